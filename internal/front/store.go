package front

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// Times of storing a job.
const (
	// relayAfter is after how long without an answer a job is given to a peer to
	// store, if the store answers nothing else of this process either.
	relayAfter = 600 * time.Millisecond
	// relayCheck is how often that is looked at.
	relayCheck = 50 * time.Millisecond
	// awayAfter is for how long the store has to be unanswering before jobs are
	// refused at once.
	awayAfter = 300 * time.Millisecond
)

// made tells who made a job's record.
type made int

const (
	stoodThere made = iota // it was there before this call
	madeHere
	mayBeHere // it is there, and an earlier copy of this call may have made it
)

// String tells it for the log.
func (m made) String() string {
	switch m {
	case madeHere:
		return "stored"
	case mayBeHere:
		return "stored, after an answer of the store was lost"
	}
	return "it was there before"
}

// stored is how an attempt to store a job ended.
type stored struct {
	made made
	err  error
}

// unknown reports whether the job may be stored, now or later, although the attempt
// failed.
func (s stored) unknown() bool { return s.err != nil && result.From(s.err).Ran != result.RanNo }

// storeSomewhere stores a job: with calls of this process's own, and by a peer while
// the store does not answer this process.
func (f *Front) storeSomewhere(ctx context.Context, rec record.Job) (made, error) {
	if f.away() {
		return f.relay(ctx, rec)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := make(chan stored, 1)
	go func() {
		m, err := f.storeHere(ctx, rec)
		own <- stored{m, err}
	}()
	first, answered := f.awaitOwn(own)
	if answered && (first.err == nil || first.unknown() || result.CodeOf(first.err) == result.StoreRefused) {
		return first.made, first.err
	}
	peer := make(chan stored, 1)
	go func() {
		m, err := f.relay(ctx, rec)
		peer <- stored{m, err}
	}()
	if answered {
		own <- first
	}
	return f.eitherOf(own, peer)
}

// awaitOwn waits for this process's own attempt, as long as the store answers it at
// all. It reports whether the attempt has ended.
func (f *Front) awaitOwn(own <-chan stored) (stored, bool) {
	begun := time.Now()
	check := time.NewTicker(relayCheck)
	defer check.Stop()
	for {
		select {
		case s := <-own:
			return s, true
		case now := <-check.C:
			if now.Sub(begun) >= relayAfter && f.Health.Failing(now) > 0 {
				return stored{}, false
			}
		}
	}
}

// eitherOf waits for the first of two attempts that succeeds, or for both to fail.
func (f *Front) eitherOf(own, peer <-chan stored) (made, error) {
	var failed []stored
	for len(failed) < 2 {
		var s stored
		select {
		case s = <-own:
		case s = <-peer:
		}
		if s.err == nil {
			return mayBeHere, nil // the other attempt may have made it, or may yet arrive
		}
		failed = append(failed, s)
	}
	if failed[0].unknown() || failed[1].unknown() {
		return 0, f.unsettled()
	}
	return 0, failed[0].err
}

// away reports whether the store has not answered this process for so long that
// jobs are not tried there.
func (f *Front) away() bool { return f.Health.Failing(time.Now()) > awayAfter }

// store writes a job's record where none is, for a peer.
func (f *Front) store(ctx context.Context, rec record.Job) (made, error) {
	if f.away() {
		return 0, result.New(result.JobNotStored, result.RanNo, "the store has not answered for %v", f.Health.Failing(time.Now()).Round(time.Millisecond)).Later(comeBackLater)
	}
	return f.storeHere(ctx, rec)
}

// storeHere writes a job's record with calls of this process's own, until the store
// has answered, ctx ends, or the store has refused for long.
func (f *Front) storeHere(ctx context.Context, rec record.Job) (made, error) {
	value, err := record.Encode(rec)
	if err != nil {
		return 0, result.New(result.Internal, result.RanNo, "%v", err)
	}
	key := record.JobKey(f.partition(rec.ID), rec.ID)
	txn := platform.Txn{If: []platform.Condition{{Key: key}}, Then: []platform.Write{{Key: key, Value: value}}}
	reply, err := f.Store.Commit(ctx, txn, f.away)
	switch {
	case errors.Is(err, platform.ErrRefused):
		return 0, result.New(result.StoreRefused, result.RanNo, "%v", err)
	case errors.Is(err, platform.ErrUnavailable):
		return 0, result.New(result.JobNotStored, result.RanNo, "%v", err).Later(comeBackSoon)
	case err != nil:
		return 0, f.unsettled()
	case reply.Applied:
		return madeHere, nil
	case reply.Repeated:
		return mayBeHere, nil
	}
	return stoodThere, nil
}

// unsettled is the error of a job that may be stored, now or later.
func (f *Front) unsettled() error {
	return result.New(result.JobStoreUnknown, result.RanUnknown, "the store has not answered in the caller's time").Later(comeBackSoon)
}
