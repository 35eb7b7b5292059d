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
	// MinHeartbeatInterval is how often a member asks the holder of a partition.
	MinHeartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout bounds the wait for the answer to one.
	heartbeatTimeout = 500 * time.Millisecond
	// statusTimeout bounds the wait for other members' opinions.
	statusTimeout = 150 * time.Millisecond
	// claimTimeout bounds a claim.
	claimTimeout = 3 * time.Second
	// firstClaimDelay is how long after its start a member claims a partition that
	// nobody has ever held: until then the others have entered themselves.
	firstClaimDelay = 600 * time.Millisecond
	// strongerCheckInterval is how often a holder looks for a member with much more processor
	// time to hand the partition to.
	strongerCheckInterval = time.Second
	// handoverTimeout bounds the wait for a successor's claim in a planned stop.
	handoverTimeout = 1500 * time.Millisecond
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

	started   time.Time
	monitors  []*holderMonitor
	leaving   chan struct{}
	leaveOnce sync.Once
	running   sync.WaitGroup
}

// holderMonitor is what this process knows of one partition's holder.
type holderMonitor struct {
	partition int

	mu          sync.Mutex
	epoch       uint64    // of the holder that the rest is about
	lastContact time.Time // when it last answered as the holder
	// refused is true while nothing listens at its address, replaced once another
	// incarnation has answered there; cut is for how long it lacked the store when
	// it last answered.
	refused, replaced bool
	storeOutage       time.Duration
	invitedEpoch      uint64 // epoch of a holder that asked this process to succeed
	held              bool
	stop              context.CancelFunc // ends holding
	chainRevision     platform.Revision  // of the holder's last write as last read
	chainChangedAt    time.Time          // since when that has stood still
	chainReadAt       time.Time          // when it was read
}

// Start registers the message kinds and watches the partitions.
func (c *Claimer) Start(ctx context.Context, mux *peer.Mux, partitions int) {
	c.started, c.leaving = time.Now(), make(chan struct{})
	for p := range partitions {
		c.monitors = append(c.monitors, &holderMonitor{partition: p})
	}
	peer.Handle(mux, peer.KindBeat, c.onHeartbeat)
	peer.Handle(mux, peer.KindOpinion, c.onHolderStatus)
	peer.Handle(mux, peer.KindSucceed, c.onHandover)
	go c.Late.Run(ctx)
	for _, w := range c.monitors {
		c.running.Go(func() { c.monitor(ctx, w) })
	}
}

func (w *holderMonitor) isHeld() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held
}

func (w *holderMonitor) isInContact(epoch uint64, limit time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held || w.epoch == epoch && now.Sub(w.lastContact) < limit
}

func (w *holderMonitor) invite(epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.invitedEpoch = epoch
}

// trackEpoch starts the watch anew for another holder, who is given time to speak.
func (w *holderMonitor) trackEpoch(epoch uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != epoch {
		w.epoch, w.lastContact, w.chainChangedAt, w.chainRevision = epoch, now, time.Time{}, 0
		w.refused, w.replaced, w.storeOutage = false, false, 0
	}
}

// monitor beats one partition's holder and claims the partition when it is dead.
func (c *Claimer) monitor(ctx context.Context, w *holderMonitor) {
	for ctx.Err() == nil {
		h, _ := c.View.Holder(w.partition)
		w.trackEpoch(h.Epoch, time.Now())
		if c.Health.Age(time.Now()) > time.Hour {
			wait.For(ctx, MinHeartbeatInterval/4) // nothing is known before the store has answered once
			continue
		}
		if h.Epoch > 0 && h.Incarnation != c.Self.Incarnation {
			go c.sendHeartbeat(ctx, w, h)
		}
		if c.isLeaving() || !c.isHolderDead(ctx, w, c.evidence(w, h)) {
			c.waitForChange(ctx, w, h.Epoch)
			continue
		}
		c.claim(ctx, w, h)
	}
}

// waitForChange waits for the next beat, or until something has changed.
func (c *Claimer) waitForChange(ctx context.Context, w *holderMonitor, epoch uint64) {
	timer := time.NewTimer(heartbeatInterval(c.View.Size()))
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

func (w *holderMonitor) isInvited(epoch uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.invitedEpoch == epoch && epoch != 0
}

// sendHeartbeat asks the holder whether it is there. Beats do not wait for each other: each
// answer counts when it comes.
func (c *Claimer) sendHeartbeat(ctx context.Context, w *holderMonitor, h ledger.Holder) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply HeartbeatReply
	err := c.Peers.Call(ctx, h.Addr, peer.KindBeat, Heartbeat{
		Partition: w.partition, From: c.Self.Name, FromAddr: c.Self.Addr, Catalog: c.CatalogVersion(),
		Members: c.Health.Failing(time.Now()) > 0,
	}, &reply)
	if err == nil && reply.Incarnation == h.Incarnation {
		c.applyReply(reply)
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
		w.refused, w.storeOutage = false, reply.StoreOutage
		if reply.Holds {
			w.lastContact = time.Now()
		}
	}
}

func (c *Claimer) applyReply(reply HeartbeatReply) {
	c.View.Learn(withRevision(reply.Holder, reply.Revision))
	if c.Health.Failing(time.Now()) > 0 {
		c.View.addReported(reply.Members, time.Now())
	}
	if reply.Catalog > c.CatalogVersion() {
		c.Behind(reply.Holder.Addr)
	}
}
