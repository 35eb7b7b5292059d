package front

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/admission"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
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

// inDoubt reports whether the job may be stored, now or later, although the attempt
// failed.
func (s stored) inDoubt() bool { return s.err != nil && result.From(s.err).Ran != result.RanNo }

// storeJob stores a job, and remembers it for as long as it is in doubt: a caller that hands
// it in again must not be told that it is not accepted.
func (f *Front) storeJob(ctx context.Context, rec record.Job) (made, error) {
	before := f.doubts.has(rec.ID, time.Now())
	made, err := f.storeSomewhere(ctx, rec, before)
	switch {
	case err == nil:
		f.doubts.settle(rec.ID)
	case stored{err: err}.inDoubt():
		f.doubts.note(rec.ID, time.Now())
	}
	if err == nil && before && made == stoodThere {
		return mayBeHere, nil
	}
	return made, err
}

// storeSomewhere stores a job: with calls of this process's own, and by a peer while
// the store does not answer this process. What is tried and what the caller is told in
// the end is decided in package admission.
func (f *Front) storeSomewhere(ctx context.Context, rec record.Job, inDoubt bool) (made, error) {
	job := admission.Job{InDoubt: inDoubt}
	var last stored
	for {
		switch step := admission.Next(job, f.outlook()); step {
		case admission.Try:
			last.made, last.err = f.storeHere(ctx, rec)
			job.Tried = true
		case admission.Relay:
			last.made, last.err = f.relay(ctx, rec)
			job.Relayed = true
			if job.InDoubt && last.err == nil {
				last.made = mayBeHere // or this process's own attempt has made it
			}
		case admission.Doubt:
			return 0, f.unsettled()
		default:
			if last.err == nil {
				last.err = f.storeAway()
			}
			return 0, last.err
		}
		if last.err == nil || result.CodeOf(last.err) == result.StoreRefused {
			return last.made, last.err
		}
		job.InDoubt = job.InDoubt || last.inDoubt()
		if ctx.Err() != nil {
			job.Tried, job.Relayed = true, true // there is no time left for more
		}
	}
}

// outlook is what this process knows of the store now.
func (f *Front) outlook() admission.Store {
	now := time.Now()
	return admission.Store{Silent: f.Health.Silent(now), Failing: f.Health.Failing(now), Usual: f.Store.Usual()}
}

// away reports whether the store has not answered this process for so long that
// jobs are not tried there.
func (f *Front) away() bool { return f.outlook().Away() }

// storeAway is the error of a job that was not sent to the store.
func (f *Front) storeAway() error {
	o := f.outlook()
	return result.New(result.JobNotStored, result.RanNo, "the store has not answered for %v",
		max(o.Silent, o.Failing).Round(time.Millisecond)).Later(admission.ComeBack)
}

// store writes a job's record where none is, for a peer.
func (f *Front) store(ctx context.Context, rec record.Job) (made, error) {
	if f.away() {
		return 0, f.storeAway()
	}
	return f.storeHere(ctx, rec)
}

// storeHere writes a job's record with calls of this process's own, until the store
// has answered, ctx ends, or the store counts as away.
func (f *Front) storeHere(ctx context.Context, rec record.Job) (made, error) {
	value, err := record.Encode(rec)
	if err != nil {
		return 0, result.New(result.Internal, result.RanNo, "%v", err)
	}
	key := record.JobKey(f.partition(rec.ID), rec.ID)
	txn := platform.Txn{If: []platform.Condition{{Key: key}}, Then: []platform.Write{{Key: key, Value: value}}}
	reply, err := f.Store.Commit(ctx, txn, f.giveUp(ctx))
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

// giveUp tells when a job that is being stored is given up: while it is certain that it
// is not stored, when the store counts as away; in doubt, when the caller has waited
// long enough as well.
func (f *Front) giveUp(ctx context.Context) func(inDoubt bool) bool {
	begun, patience := time.Now(), DefaultPatience
	if end, ok := ctx.Deadline(); ok {
		patience = end.Sub(begun)
	}
	return func(inDoubt bool) bool {
		return f.away() && (!inDoubt || time.Since(begun) >= admission.DoubtAfter(patience))
	}
}

// unsettled is the error of a job that may be stored, now or later.
func (f *Front) unsettled() error {
	return result.New(result.JobStoreUnknown, result.RanUnknown, "the store has not answered; handing the job in again tells").Later(admission.ComeBack)
}
