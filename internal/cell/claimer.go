package cell

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

// Times of the heartbeats.
const (
	// BeatEvery is how often a member asks the holder of a partition.
	BeatEvery = 200 * time.Millisecond
	// beatPatience bounds the wait for the answer to one.
	beatPatience = 500 * time.Millisecond
	// opinionPatience bounds the wait for other members' opinions.
	opinionPatience = 150 * time.Millisecond
	// claimPatience bounds a claim.
	claimPatience = 3 * time.Second
	// firstClaimAfter is how long after its start a member claims a partition that
	// nobody has ever held: until then the others have entered themselves.
	firstClaimAfter = 600 * time.Millisecond
	// yieldEvery is how often a holder looks for a member with much more processor
	// time to hand the partition to.
	yieldEvery = time.Second
	// succeedPatience bounds the wait for a successor's claim in a planned stop.
	succeedPatience = 1500 * time.Millisecond
)

// Hold runs a partition that this process has claimed from the former holder,
// until ctx ends or the partition is lost. It returns why.
type Hold func(ctx context.Context, l *ledger.Ledger, former ledger.Holder) error

// Claimer watches the holders of the partitions and takes over from those that
// are dead.
type Claimer struct {
	Self   Member
	View   *View
	Store  platform.Poller
	Writes *resend.Sender // to Store
	Health *follow.Health
	Peers  peer.Caller
	Log    *logrus.Entry
	Hold   Hold
	// CatalogVersion is that of the configuration in force here; Behind is told
	// the address of a member that has a newer one.
	CatalogVersion func() int64
	Behind         func(addr string)
	// Late knows the timers of this process; Run measures them.
	Late *lateness.Timers

	started time.Time
	watches []*holderWatch
	leaving chan struct{}
	once    sync.Once
	running sync.WaitGroup
}

// holderWatch is what this process knows of one partition's holder.
type holderWatch struct {
	partition int

	mu    sync.Mutex
	epoch uint64    // of the holder that the rest is about
	heard time.Time // when it last answered as the holder
	// refused is true while nothing listens at its address, replaced once another
	// incarnation has answered there; cut is for how long it lacked the store when
	// it last answered.
	refused, replaced bool
	cut               time.Duration
	invited           uint64 // epoch of a holder that asked this process to succeed
	held              bool
	stop              context.CancelFunc // ends holding
	chain             platform.Revision  // of the holder's last write as last read
	moved             time.Time          // since when that has stood still
	asked             time.Time          // when it was read
}

// Start registers the message kinds and watches the partitions.
func (c *Claimer) Start(ctx context.Context, mux *peer.Mux, partitions int) {
	c.started, c.leaving = time.Now(), make(chan struct{})
	for p := range partitions {
		c.watches = append(c.watches, &holderWatch{partition: p})
	}
	peer.Handle(mux, peer.KindBeat, c.onBeat)
	peer.Handle(mux, peer.KindOpinion, c.onOpinion)
	peer.Handle(mux, peer.KindSucceed, c.onSucceed)
	go c.Late.Run(ctx)
	for _, w := range c.watches {
		c.running.Go(func() { c.watch(ctx, w) })
	}
}

func (w *holderWatch) holding() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

func (w *holderWatch) hears(epoch uint64, limit time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held || w.epoch == epoch && now.Sub(w.heard) < limit
}

func (w *holderWatch) invite(epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.invited = epoch
}

// about starts the watch anew for another holder, who is given time to speak.
func (w *holderWatch) about(epoch uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != epoch {
		w.epoch, w.heard, w.moved, w.chain = epoch, now, time.Time{}, 0
		w.refused, w.replaced, w.cut = false, false, 0
	}
}

// watch beats one partition's holder and claims the partition when it is dead.
func (c *Claimer) watch(ctx context.Context, w *holderWatch) {
	for ctx.Err() == nil {
		h, _ := c.View.Holder(w.partition)
		w.about(h.Epoch, time.Now())
		if c.Health.Age(time.Now()) > time.Hour {
			wait.For(ctx, BeatEvery/4) // nothing is known before the store has answered once
			continue
		}
		if h.Epoch > 0 && h.Incarnation != c.Self.Incarnation {
			go c.beat(ctx, w, h)
		}
		if c.isLeaving() || !c.dead(ctx, w, c.evidence(w, h)) {
			c.rest(ctx, w, h.Epoch)
			continue
		}
		c.takeOver(ctx, w, h)
	}
}

// rest waits for the next beat, or until something has changed.
func (c *Claimer) rest(ctx context.Context, w *holderWatch, epoch uint64) {
	timer := time.NewTimer(beatEvery(c.View.Size()))
	defer timer.Stop()
	for {
		changed := c.View.Changed()
		if h, _ := c.View.Holder(w.partition); h.Epoch != epoch || w.isInvited(epoch) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *holderWatch) isInvited(epoch uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.invited == epoch && epoch != 0
}

// beat asks the holder whether it is there. Beats do not wait for each other: each
// answer counts when it comes.
func (c *Claimer) beat(ctx context.Context, w *holderWatch, h ledger.Holder) {
	ctx, cancel := context.WithTimeout(ctx, beatPatience)
	defer cancel()
	var reply BeatReply
	err := c.Peers.Call(ctx, h.Addr, peer.KindBeat, Beat{
		Partition: w.partition, From: c.Self.Name, FromAddr: c.Self.Addr, Catalog: c.CatalogVersion(),
		Members: c.Health.Failing(time.Now()) > 0,
	}, &reply)
	if err == nil && reply.Incarnation == h.Incarnation {
		c.learn(reply)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != h.Epoch {
		return
	}
	switch {
	case err != nil:
		w.refused = result.CodeOf(err) == result.PeerNotReached && ctx.Err() == nil
	case reply.Incarnation != h.Incarnation:
		w.replaced = true
	default:
		w.refused, w.cut = false, reply.Cut
		if reply.Holds {
			w.heard = time.Now()
		}
	}
}

func (c *Claimer) learn(reply BeatReply) {
	c.View.Learn(known(reply.Holder, reply.Revision))
	if c.Health.Failing(time.Now()) > 0 {
		c.View.learnMembers(reply.Members, time.Now())
	}
	if reply.Catalog > c.CatalogVersion() {
		c.Behind(reply.Holder.Addr)
	}
}
