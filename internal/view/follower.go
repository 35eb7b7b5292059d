package view

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// Times of the table's long poll.
const (
	maxPollWait       = time.Second            // a placer answers at the latest after this
	pollTimeout       = 3 * time.Second        // then the next placer is asked
	initialRetryDelay = 50 * time.Millisecond  // first wait after a failure
	maxRetryDelay     = 500 * time.Millisecond // longest wait after failures
)

// Request asks a placer for a table newer than a revision, or with a change that
// the asking process lacks.
type Request struct {
	After int64 `cbor:"1,keyasint"`
	Sum   int64 `cbor:"2,keyasint,omitempty"` // of the revisions of its partitions
}

// Reply carries a newer table, or nil when there was none in time.
type Reply struct {
	Table *Table `cbor:"1,keyasint,omitempty"`
}

// Serve answers KindView on mux from the placer's own table. The channel of
// changed is closed at the next change after the call.
func Serve(mux *peer.Mux, table func() *Table, changed func() <-chan struct{}) {
	peer.Handle(mux, peer.KindView, func(ctx context.Context, request Request) (Reply, error) {
		return waitNewer(ctx, table, changed, request), nil
	})
}

func waitNewer(ctx context.Context, table func() *Table, changed func() <-chan struct{}, req Request) Reply {
	deadline := time.NewTimer(maxPollWait)
	defer deadline.Stop()
	for {
		change := changed() // before the look, so that no change is missed
		if t := table(); t != nil && (t.Revision > req.After || t.sum() > req.Sum) {
			return Reply{Table: t}
		}
		select {
		case <-change:
		case <-deadline.C:
			return Reply{}
		case <-ctx.Done():
			return Reply{}
		}
	}
}

// Follower keeps a process that holds no partitions up to date. It asks its own
// host's placer and, beside it, the others in turn, so that one placer that is
// cut from the store does not keep it behind. Its table never goes down.
type Follower struct {
	peers peer.Caller
	seeds []string
	log   *logrus.Entry
	table atomic.Pointer[Table]
}

// NewFollower returns a follower of the placers at seeds; the first is the one
// of the same host.
func NewFollower(peers peer.Caller, seeds []string, log *logrus.Entry) *Follower {
	return &Follower{peers: peers, seeds: seeds, log: log}
}

// Table returns the newest table, or an empty one before the first answer.
func (f *Follower) Table() *Table {
	if t := f.table.Load(); t != nil {
		return t
	}
	return &Table{}
}

// Lacks lists what the follower has not learnt yet.
func (f *Follower) Lacks() []string {
	switch t := f.table.Load(); {
	case t == nil:
		return []string{"members and partitions: no placer has answered"}
	case len(t.Partitions) == 0:
		return []string{"partitions: the placers asked do not know them yet"}
	}
	return nil
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.pollLoop(ctx, func(int) string { return f.seeds[0] })
	f.pollLoop(ctx, func(turn int) string {
		others := f.others()
		return others[turn%len(others)]
	})
}

// others lists every known placer but the first seed; that one alone when
// there are no others.
func (f *Follower) others() []string {
	seen := map[string]bool{f.seeds[0]: true}
	var out []string
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, m := range f.Table().Members {
		add(m.Addr)
	}
	for _, s := range f.seeds {
		add(s)
	}
	if len(out) == 0 {
		return f.seeds[:1]
	}
	return out
}

func (f *Follower) pollLoop(ctx context.Context, nextAddr func(turn int) string) {
	retryDelay := &backoff.ExponentialBackOff{
		InitialInterval: initialRetryDelay, MaxInterval: maxRetryDelay,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	retryDelay.Reset()
	for turn := 0; ctx.Err() == nil; turn++ {
		if err := f.poll(ctx, nextAddr(turn)); err == nil {
			retryDelay.Reset()
			continue
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) poll(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var reply Reply
	current := f.Table()
	if err := f.peers.Call(ctx, addr, peer.KindView, Request{After: current.Revision, Sum: current.sum()}, &reply); err != nil {
		return result.From(err)
	}
	f.apply(reply.Table)
	return nil
}

// apply takes in what a table tells that the present one lacks.
func (f *Follower) apply(t *Table) {
	for t != nil {
		current, next := f.table.Load(), t
		if current != nil {
			next = current.merge(t)
		}
		if next == current {
			return
		}
		if f.table.CompareAndSwap(current, next) {
			f.log.WithFields(logrus.Fields{"revision": next.Revision, "members": len(next.Members)}).Debug("table applied")
			return
		}
	}
}
