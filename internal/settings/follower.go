package settings

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/wait"
)

// pollWait is how long a placer may hold back the answer to a poll.
const pollWait = time.Second

// Follower keeps an entry on the newest settings by polling placers. It talks
// to no store, so it goes on learning in an outage.
type Follower struct {
	// name is reported to the placers, which count its revision as theirs.
	name   string
	caller peer.Caller
	addrs  func() []string
	log    logrus.FieldLogger
	book   *book
}

// NewFollower returns a Follower that knows nothing yet. addrs gives the
// placers' addresses, the nearest first.
func NewFollower(name string, caller peer.Caller, addrs func() []string, log logrus.FieldLogger) *Follower {
	return &Follower{name: name, caller: caller, addrs: addrs, log: log, book: newBook()}
}

// Current returns the tree in force, or nil before the first is learned.
func (f *Follower) Current() *Tree { return f.book.current.Load() }

// Ready tells what the process lacks to act on settings; nil when nothing.
func (f *Follower) Ready() error { return f.book.ready() }

// OnApply registers a function that is called with each tree put in force, in
// order. Call it before Run; fn must not block.
func (f *Follower) OnApply(fn func(*Tree)) { f.book.onApply = append(f.book.onApply, fn) }

// Run polls until ctx ends. It stays with the first placer that answers; when
// another process is known to be ahead of that one, it asks the others.
func (f *Follower) Run(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		if f.round(ctx) {
			pause.Reset()
			continue
		}
		wait.For(ctx, pause.NextBackOff())
	}
}

// round polls the placers in turn until one answers and nothing lacks. It
// reports whether that was so.
func (f *Follower) round(ctx context.Context) bool {
	addrs := f.addrs()
	if f.Current() == nil {
		addrs = f.book.survey(ctx, f.caller, addrs)
	}
	for _, addr := range addrs {
		ask := Ask{Follower: f.name}
		if f.Ready() == nil {
			ask.WaitMillis = pollWait.Milliseconds()
		}
		if err := f.book.learn(ctx, f.caller, addr, ask); err != nil {
			f.log.WithError(err).WithField("placer", addr).Debug("settings: placer did not answer")
			continue
		}
		if f.Ready() == nil {
			return true
		}
	}
	return false
}
