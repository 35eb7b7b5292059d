package settings

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/wait"
)

// pollWait is how long a placer may delay the reply to a poll while there is nothing newer.
const pollWait = time.Second

// Follower keeps an entry's settings up to date by polling placers. It doesn't use the store, so a store outage
// doesn't interrupt it.
type Follower struct {
	// name is reported to the polled placer, which includes this follower's revision in its AppliedRevision.
	name    string
	caller  peer.Caller
	addrs   func() []string
	log     logrus.FieldLogger
	replica *replica
}

// NewFollower returns a Follower without settings. addrs returns the placers' addresses, nearest first.
func NewFollower(name string, caller peer.Caller, addrs func() []string, log logrus.FieldLogger) *Follower {
	return &Follower{name: name, caller: caller, addrs: addrs, log: log, replica: newReplica()}
}

// Current returns the active tree, or nil before the first one was received.
func (f *Follower) Current() *Tree { return f.replica.current.Load() }

// Ready returns why the process can't act on settings yet, or nil.
func (f *Follower) Ready() error { return f.replica.ready() }

// OnApply registers a function that is called with each tree that becomes active, in order. Call it before Run; fn
// must not block.
func (f *Follower) OnApply(fn func(*Tree)) { f.replica.onApply = append(f.replica.onApply, fn) }

// Run polls until ctx ends. It polls the first placer that answers; when a higher revision than that placer's is
// known to exist, it polls the others as well.
func (f *Follower) Run(ctx context.Context) {
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		if f.pollOnce(ctx) {
			retryBackoff.Reset()
			continue
		}
		wait.For(ctx, retryBackoff.NextBackOff())
	}
}

// pollOnce polls the placers in turn until one answers and the follower is ready. It reports whether that happened.
func (f *Follower) pollOnce(ctx context.Context) bool {
	addrs := f.addrs()
	if f.Current() == nil {
		addrs = f.replica.rankByRevision(ctx, f.caller, addrs)
	}
	for _, addr := range addrs {
		req := FetchRequest{Follower: f.name}
		if f.Ready() == nil {
			req.WaitMillis = pollWait.Milliseconds()
		}
		if err := f.replica.fetchFrom(ctx, f.caller, addr, req); err != nil {
			f.log.WithError(err).WithField("placer", addr).Debug("settings: placer did not answer")
			continue
		}
		if f.Ready() == nil {
			return true
		}
	}
	return false
}
