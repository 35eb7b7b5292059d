package follow

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/wait"
)

// Pauses after a call that failed.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// listPatience bounds the wait for a whole list.
	listPatience = 2 * time.Second
	// fullBatch is from how many changes on an answer is taken to be one of several:
	// the platform's hold some 500.
	fullBatch = 250
	// changesSlack is how much longer than the wait that was asked for an answer
	// may take.
	changesSlack = time.Second
)

// Follower lists a prefix, then asks for its changes, for ever.
type Follower struct {
	Store  platform.Poller
	Health *Health
	Prefix string
	// Wait is how long the store holds a question back for a change.
	Wait time.Duration
	// After is a revision from which on to follow; zero begins with a list.
	After platform.Revision
	// Rest is the pause between two questions: changes in between come together.
	Rest time.Duration
	// List takes in everything, at the start and whenever changes may have been
	// missed; Change takes in one change.
	List   func([]platform.Record)
	Change func(platform.Change)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if f.follow(ctx) {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
		case <-f.Health.Restored():
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
}

// follow lists and then follows the changes until a call fails. It reports
// whether the list was read.
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
		if errors.Is(err, errRenewed) {
			continue
		}
		if err != nil {
			return true
		}
		for _, c := range batch.Changes {
			f.Change(c)
		}
		at = batch.Revision
		if len(batch.Changes) >= fullBatch {
			continue // there is more: a rest would let it pile up
		}
		if !wait.For(ctx, f.Rest) {
			return true
		}
	}
}

func (f *Follower) list(ctx context.Context) (platform.Revision, error) {
	listCtx, cancel := context.WithTimeout(ctx, listPatience)
	defer cancel()
	records, at, err := f.Store.List(listCtx, f.Prefix)
	f.note(ctx, err)
	if err == nil {
		f.List(records)
	}
	return at, err
}

// errRenewed is why a question is asked again.
var errRenewed = errors.New("open connections may have fallen silent")

// errRestored is why everything is listed again.
var errRestored = errors.New("the store answers again")

// changes asks once. The question is given up when the store has answered others
// after an outage, or connections have fallen silent: it may hang on one that
// nothing comes from any more.
func (f *Follower) changes(ctx context.Context, after platform.Revision) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+changesSlack)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	restored, renewed := f.Health.Restored(), f.Health.Renewed()
	go func() {
		select {
		case <-restored:
			giveUp(errRestored)
		case <-renewed:
			giveUp(errRenewed)
		case <-ctx.Done():
		}
	}()
	batch, err := f.Store.Changes(ctx, f.Prefix, after, f.Wait)
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		// A question that was cut says nothing: the store cuts those that wait. The
		// list that follows tells whether it answers.
		f.Health.Note(true, time.Now())
	} else if cause := context.Cause(ctx); errors.Is(cause, errRenewed) {
		err = cause
	}
	return batch, err
}

// note tells the health how a call ended, unless it was given up.
func (f *Follower) note(ctx context.Context, err error) {
	if ctx.Err() == nil || err == nil {
		f.Health.Note(err == nil, time.Now())
	}
}
