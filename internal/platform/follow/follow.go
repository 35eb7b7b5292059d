package follow

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/wait"
)

// Intervals and limits of a follower.
const (
	minPause = 50 * time.Millisecond // after a failed call; doubles up to maxPause
	maxPause = 800 * time.Millisecond
	// listTimeout bounds a list with all its pages. The store's client bounds each page.
	listTimeout = 15 * time.Second
	// fullBatch is the number of changes from which a reply is taken to be one of several: the
	// platform's replies hold about 500.
	fullBatch = 250
	// changesSlack is how much longer than the requested wait a reply may take.
	changesSlack = time.Second
)

// Follower lists a prefix and then polls for its changes.
type Follower struct {
	Store  platform.Poller
	Health *Health
	Prefix string
	// Wait is how long the store holds a poll open for a change.
	Wait time.Duration
	// After is the revision after which to follow; 0 starts with a list.
	After platform.Revision
	// PollPause is the pause between two polls, so that the changes in between are returned together. Pause, if
	// set, returns it instead.
	PollPause time.Duration
	Pause     func() time.Duration
	// List is called with all records and the revision at which they were read, at the start and whenever
	// changes may have been missed; Change is called with one change.
	List   func(records []platform.Record, at platform.Revision)
	Change func(platform.Change)
	// Changes, if set, is called in place of Change, with all changes that arrived together.
	Changes func([]platform.Change)
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minPause
	for ctx.Err() == nil {
		if f.follow(ctx) {
			pause = minPause
		}
		select {
		case <-ctx.Done():
		case <-f.Health.Restored():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// follow lists the prefix and then follows the changes until a call fails. It reports whether the
// list was read.
func (f *Follower) follow(ctx context.Context) bool {
	at := f.After
	if f.After = 0; at == 0 {
		var err error
		if at, err = f.list(ctx); err != nil {
			return false
		}
	}
	for {
		batch, err := f.changes(ctx, at)
		if errors.Is(err, errRepeatPoll) {
			continue
		}
		if err != nil {
			return true
		}
		f.apply(batch.Changes)
		at = batch.Revision
		if len(batch.Changes) >= fullBatch {
			continue // more changes are pending: a pause would let the backlog grow
		}
		if !wait.For(ctx, f.pause()) {
			return true
		}
	}
}

func (f *Follower) pause() time.Duration {
	if f.Pause != nil {
		return f.Pause()
	}
	return f.PollPause
}

// apply passes changes on.
func (f *Follower) apply(changes []platform.Change) {
	if f.Changes != nil {
		if len(changes) > 0 {
			f.Changes(changes)
		}
		return
	}
	for _, c := range changes {
		f.Change(c)
	}
}

func (f *Follower) list(ctx context.Context) (platform.Revision, error) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, at, err := f.Store.List(listCtx, f.Prefix)
	f.recordOutcome(ctx, err)
	if err == nil {
		f.List(records, at)
	}
	return at, err
}

// errRepeatPoll is the cause for cancelling a poll and repeating it without a list.
var errRepeatPoll = errors.New("open connections may have fallen silent")

// errStoreRestored is the cause for listing again after an outage.
var errStoreRestored = errors.New("the store answers again")

// changes makes one poll. The poll is cancelled when the store has replied to other calls after an
// outage, or when connections have become silent: the poll's own connection may no longer deliver anything.
func (f *Follower) changes(ctx context.Context, after platform.Revision) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+changesSlack)
	defer cancel()
	ctx, cancelPoll := context.WithCancelCause(ctx)
	defer cancelPoll(nil)
	restored, repeated := f.Health.Restored(), f.Health.PollsRepeated()
	go func() {
		select {
		case <-restored:
			cancelPoll(errStoreRestored)
		case <-repeated:
			cancelPoll(errRepeatPoll)
		case <-ctx.Done():
		}
	}()
	batch, err := f.Store.Changes(ctx, f.Prefix, after, f.Wait)
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		// A failed poll is not recorded, as the store closes polls that wait. The list that follows
		// shows whether the store replies.
		f.Health.RecordCall(true, time.Now())
	} else if cause := context.Cause(ctx); errors.Is(cause, errRepeatPoll) {
		err = cause
	}
	return batch, err
}

// recordOutcome records the outcome of a call, unless the caller cancelled it.
func (f *Follower) recordOutcome(ctx context.Context, err error) {
	if ctx.Err() == nil || err == nil {
		f.Health.RecordCall(err == nil, time.Now())
	}
}
