package cell

import (
	"context"
	"errors"
	"math/rand/v2"
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

// evidence is what the heartbeats so far say of a holder.
func (c *Claimer) evidence(w *holderWatch, h ledger.Holder) Evidence {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	e := Evidence{Holder: h, Silence: now.Sub(w.heard), Limit: doubtAfter(c.View.Size()), Refused: w.refused, Replaced: w.replaced, HolderCut: w.cut}
	if h.Epoch > 0 && h.Incarnation == c.Self.Incarnation {
		e.Replaced = true // a claim of ours that arrived after we gave it up
	}
	if c.Health.Failing(now) > 0 || e.HolderCut > 0 && c.Health.Age(now) >= e.HolderCut {
		e.HolderCut = 0 // this process could not take over either, as far as it knows
	}
	return e
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

// dead completes the evidence as far as needed and judges it.
func (c *Claimer) dead(ctx context.Context, w *holderWatch, e Evidence) bool {
	if w.isInvited(e.Holder.Epoch) || e.Dead() {
		return true
	}
	if e.Silence < e.Limit && !e.Refused {
		return false
	}
	c.gather(ctx, w, &e)
	if !e.Dead() {
		c.standsStill(ctx, w, &e)
	}
	if !e.Dead() {
		return false
	}
	c.Log.WithFields(logrus.Fields{
		"partition": w.partition, "holder": e.Holder.Name, "epoch": e.Holder.Epoch, "silence_ms": e.Silence.Milliseconds(),
		"refused": e.Refused, "agreeing": e.Agreeing, "others": e.Others, "stood_still_ms": e.StoodStill.Milliseconds(),
	}).Warn("holder taken for dead")
	return true
}

// gather asks the other members whether they hear the holder.
func (c *Claimer) gather(ctx context.Context, w *holderWatch, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, opinionPatience)
	defer cancel()
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, m := range drawn(c.others(e.Holder.Name)) {
		e.Others++
		asking.Go(func() {
			var o Opinion
			err := c.Peers.Call(ctx, m.Addr, peer.KindOpinion, OpinionRequest{w.partition, e.Holder.Epoch}, &o)
			if err != nil {
				return
			}
			c.View.Learn(known(o.Holder, o.Revision))
			mu.Lock()
			defer mu.Unlock()
			if o.Hears {
				e.Hearing++
			} else {
				e.Agreeing++
			}
		})
	}
	asking.Wait()
}

// mostAsked is how many members one asks for their opinion: with all asking all,
// a cell of many members would be busy with that alone.
const mostAsked = 6

// others are the members but for this one and the holder.
func (c *Claimer) others(holder string) []Member {
	var out []Member
	for _, m := range c.View.Members(time.Now()) {
		if m.Name != c.Self.Name && m.Name != holder {
			out = append(out, m)
		}
	}
	return out
}

// drawn are some of the members, for a question to each.
func drawn(members []Member) []Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	return members[:min(len(members), mostAsked)]
}

// standsStill reads whether the holder still writes, for a member that can ask
// nobody.
func (c *Claimer) standsStill(ctx context.Context, w *holderWatch, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, beatPatience)
	defer cancel()
	rec, _, err := c.Store.Get(ctx, ledger.ChainKey(w.partition))
	now := time.Now()
	c.Health.Note(err == nil, now)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if rec.ModRevision != w.chain || w.moved.IsZero() || now.Sub(w.asked) > aloneAfter {
		w.chain, w.moved = rec.ModRevision, now
	}
	w.asked = now
	e.StoodStill = now.Sub(w.moved)
}

// takeOver claims a partition, after those who go before this member, and holds
// it.
func (c *Claimer) takeOver(ctx context.Context, w *holderWatch, former ledger.Holder) {
	if former.Epoch == 0 {
		wait.For(ctx, firstClaimAfter-time.Since(c.started))
	}
	if !w.isInvited(former.Epoch) && !c.waitTurn(ctx, w, former) {
		return
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimPatience)
	l, present, err := ledger.Claim(claimCtx, c.Writes, former, ledger.Holder{
		Partition: w.partition, Name: c.Self.Name, Incarnation: c.Self.Incarnation, Addr: c.Self.Addr,
	})
	cancel()
	switch {
	case errors.Is(err, ledger.ErrRaced):
		c.View.Learn(present)
		return
	case err != nil:
		c.Health.Note(false, time.Now())
		wait.For(ctx, BeatEvery)
		return
	}
	c.View.Learn(present)
	c.Log.WithFields(logrus.Fields{"partition": w.partition, "epoch": present.Epoch, "from": former.Name}).Info("partition claimed")
	c.hold(ctx, w, l, former)
}

// waitTurn waits for the members that should claim first. It reports false when
// one of them has.
func (c *Claimer) waitTurn(ctx context.Context, w *holderWatch, former ledger.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, Patience(c.View.Members(time.Now()), former.Name, c.Self))
	defer cancel()
	for {
		changed := c.View.Changed()
		if h, _ := c.View.Holder(w.partition); h.Epoch != former.Epoch {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Is(ctx.Err(), context.DeadlineExceeded)
		}
	}
}

// hold runs the partition until it is lost or given up.
func (c *Claimer) hold(ctx context.Context, w *holderWatch, l *ledger.Ledger, former ledger.Holder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.held, w.stop = true, cancel
	w.mu.Unlock()
	go c.yieldLoop(ctx, cancel)
	go c.giveAway(ctx, w)
	err := c.Hold(ctx, l, former)
	w.mu.Lock()
	w.held, w.stop = false, nil
	w.mu.Unlock()
	if ctx.Err() != nil {
		c.handOver(context.WithoutCancel(ctx), w)
	}
	c.Log.WithError(err).WithFields(logrus.Fields{"partition": w.partition, "epoch": l.Holder().Epoch}).Warn("partition not held any more")
}

func (c *Claimer) isLeaving() bool {
	select {
	case <-c.leaving:
		return true
	default:
		return false
	}
}

// Leave claims nothing any more and hands every held partition to a successor.
func (c *Claimer) Leave(ctx context.Context) {
	c.once.Do(func() { close(c.leaving) })
	for _, w := range c.watches {
		w.mu.Lock()
		stop := w.stop
		w.mu.Unlock()
		if stop == nil {
			continue
		}
		stop()
	}
	released := make(chan struct{})
	go func() {
		for _, w := range c.watches {
			for w.holding() {
				wait.For(ctx, BeatEvery/20)
			}
			c.awaitSuccessor(ctx, w)
		}
		close(released)
	}()
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// awaitSuccessor waits until a partition that this process held has another
// holder.
func (c *Claimer) awaitSuccessor(ctx context.Context, w *holderWatch) {
	for ctx.Err() == nil {
		changed := c.View.Changed()
		if h, ok := c.View.Holder(w.partition); !ok || h.Incarnation != c.Self.Incarnation {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// yieldLoop ends the holding of a partition when a much stronger member is there.
func (c *Claimer) yieldLoop(ctx context.Context, stop context.CancelFunc) {
	seen := map[string]bool{}
	for wait.For(ctx, yieldEvery) {
		stronger := Stronger(c.View.Members(time.Now()), c.Self)
		if stronger == "" {
			continue
		}
		if !seen[stronger] { // it has to stand for a while
			seen[stronger] = true
			continue
		}
		c.Log.WithField("to", stronger).Info("partition handed to a stronger member")
		stop()
	}
}

// handOver asks the best candidate to claim a partition that is no longer worked
// on here, and the next one if it does not.
func (c *Claimer) handOver(ctx context.Context, w *holderWatch) {
	h, ok := c.View.Holder(w.partition)
	if !ok || h.Incarnation != c.Self.Incarnation {
		return
	}
	for _, m := range Candidates(c.View.Members(time.Now()), c.Self.Name) {
		if c.ask(ctx, m, h) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// ask asks one candidate and waits until the partition has another holder.
func (c *Claimer) ask(ctx context.Context, m Member, h ledger.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, succeedPatience)
	defer cancel()
	if c.Peers.Call(ctx, m.Addr, peer.KindSucceed, SucceedRequest{h, h.Revision}, &Empty{}) != nil {
		return false
	}
	for {
		changed := c.View.Changed()
		if now, _ := c.View.Holder(h.Partition); now.Epoch > h.Epoch {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
