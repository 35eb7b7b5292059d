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

// Times of the long poll for the table.
const (
	maxPollWait       = time.Second            // time after which a placer replies without a newer table
	pollTimeout       = 3 * time.Second        // time-out of a poll at the polling process
	initialRetryDelay = 50 * time.Millisecond  // delay after the first failure
	maxRetryDelay     = 500 * time.Millisecond // maximum delay after repeated failures
)

// Request asks a placer for a table that is newer than a revision or has a change of a
// partition that the polling process lacks.
type Request struct {
	After int64 `cbor:"1,keyasint"`
	Sum   int64 `cbor:"2,keyasint,omitempty"` // sum of the revisions of the partitions
}

// Reply has a newer table, or nil if there was none within maxPollWait.
type Reply struct {
	Table *Table `cbor:"1,keyasint,omitempty"`
}

// Serve registers the handler of KindView, which replies with the placer's table. The channel
// that changed returns has to be closed at the next change after the call.
func Serve(mux *peer.Mux, table func() *Table, changed func() <-chan struct{}) {
	peer.Handle(mux, peer.KindView, func(ctx context.Context, request Request) (Reply, error) {
		return waitNewer(ctx, table, changed, request), nil
	})
}

func waitNewer(ctx context.Context, table func() *Table, changed func() <-chan struct{}, req Request) Reply {
	deadline := time.NewTimer(maxPollWait)
	defer deadline.Stop()
	for {
		change := changed() // obtained before table is read, so that no change is missed
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

// Follower maintains the table of a process that holds no partitions. It polls the placer of
// its own host and, concurrently, the other placers in turn, so that its table stays current
// when one placer is disconnected from the store. The table's revision never decreases.
type Follower struct {
	peers peer.Caller
	seeds []string
	log   *logrus.Entry
	table atomic.Pointer[Table]
}

// NewFollower returns a follower of the placers at the addresses in seeds. The first one has to
// be the placer of the same host.
func NewFollower(peers peer.Caller, seeds []string, log *logrus.Entry) *Follower {
	return &Follower{peers: peers, seeds: seeds, log: log}
}

// Table returns the latest table, or an empty one before the first reply.
func (f *Follower) Table() *Table {
	if t := f.table.Load(); t != nil {
		return t
	}
	return &Table{}
}

// NotReadyReasons returns the reasons why the follower is not ready; nil once it is.
func (f *Follower) NotReadyReasons() []string {
	switch t := f.table.Load(); {
	case t == nil:
		return []string{"members and partitions: no placer has answered"}
	case len(t.Partitions) == 0:
		return []string{"partitions: the placers asked do not know them yet"}
	}
	return nil
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.pollLoop(ctx, func(int) string { return f.seeds[0] })
	f.pollLoop(ctx, func(turn int) string {
		others := f.others()
		return others[turn%len(others)]
	})
}

// others returns the addresses of all known placers except the first seed, or only the first
// seed if no other is known.
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

// apply merges a received table into the current one.
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
