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

// origin states which call created a job's record.
type origin int

const (
	originExisting  origin = iota // the record existed before this call
	originThisCall                // this call created the record
	originUncertain               // the record exists, and an earlier copy of this call may have created it
)

// String returns the text for the log.
func (o origin) String() string {
	switch o {
	case originThisCall:
		return "stored"
	case originUncertain:
		return "stored, after an answer of the store was lost"
	}
	return "it was there before"
}

// storeAttempt is the result of one attempt to store a job.
type storeAttempt struct {
	origin origin
	err    error
}

// outcomeUnknown reports whether the job may be stored, now or later, although the attempt
// failed.
func (s storeAttempt) outcomeUnknown() bool {
	return s.err != nil && result.From(s.err).Ran != result.RanNo
}

// storeJob stores a job. If the outcome is unknown, it records the job as unresolved: a caller that
// submits it again must not get the answer that the job is not accepted.
func (f *Front) storeJob(ctx context.Context, rec record.Job) (origin, error) {
	before := f.unresolvedJobs.contains(rec.ID, time.Now())
	origin, err := f.storeWithFallback(ctx, rec, before)
	switch {
	case err == nil:
		f.unresolvedJobs.remove(rec.ID)
	case storeAttempt{err: err}.outcomeUnknown():
		f.unresolvedJobs.add(rec.ID, time.Now())
	}
	if err == nil && before && origin == originExisting {
		return originUncertain, nil
	}
	return origin, err
}

// storeWithFallback stores a job with calls of this process, or through a peer while the store
// does not answer this process. Package admission decides which steps are taken and which result
// the caller gets.
func (f *Front) storeWithFallback(ctx context.Context, rec record.Job, outcomeUnknown bool) (origin, error) {
	job := admission.Job{OutcomeUnknown: outcomeUnknown}
	var last storeAttempt
	for {
		switch step := admission.Next(job, f.storeStatus()); step {
		case admission.Try:
			last.origin, last.err = f.storeDirectly(ctx, rec)
			job.Tried = true
		case admission.Relay:
			last.origin, last.err = f.storeViaPeer(ctx, rec)
			job.Relayed = true
			if job.OutcomeUnknown && last.err == nil {
				last.origin = originUncertain // the attempt of this process may have created it
			}
		case admission.ReplyUnknown:
			return 0, f.errOutcomeUnknown()
		default:
			if last.err == nil {
				last.err = f.errStoreUnavailable()
			}
			return 0, last.err
		}
		if last.err == nil || result.CodeOf(last.err) == result.StoreRefused {
			return last.origin, last.err
		}
		job.OutcomeUnknown = job.OutcomeUnknown || last.outcomeUnknown()
		if ctx.Err() != nil {
			job.Tried, job.Relayed = true, true // no time is left for another attempt
		}
	}
}

// storeStatus returns this process's current information on the store's availability.
func (f *Front) storeStatus() admission.Store {
	now := time.Now()
	return admission.Store{UnansweredFor: f.Health.UnansweredFor(now), FailingFor: f.Health.FailingFor(now), UsualLatency: f.Store.UsualLatency()}
}

// storeUnavailable reports whether the store has not answered this process for so long that no
// jobs are sent to it.
func (f *Front) storeUnavailable() bool { return f.storeStatus().Unavailable() }

// errStoreUnavailable is the error for a job that was not sent to the store.
func (f *Front) errStoreUnavailable() error {
	o := f.storeStatus()
	return result.New(result.JobNotStored, result.RanNo, "the store has not answered for %v",
		max(o.UnansweredFor, o.FailingFor).Round(time.Millisecond)).WithRetryAfter(admission.RetryDelay)
}

// storeOnPeerRequest creates a job's record, if none exists, at the request of a peer.
func (f *Front) storeOnPeerRequest(ctx context.Context, rec record.Job) (origin, error) {
	if err := rec.Sanitize(); err != nil {
		return 0, result.New(result.BadInput, result.RanNo, "%v", err)
	}
	if f.storeUnavailable() {
		return 0, f.errStoreUnavailable()
	}
	return f.storeDirectly(ctx, rec)
}

// storeDirectly creates a job's record, if none exists, with calls of this process. It returns
// when the store has answered, ctx ends, or the store is considered unavailable.
func (f *Front) storeDirectly(ctx context.Context, rec record.Job) (origin, error) {
	value, err := record.Encode(rec)
	if err != nil {
		return 0, result.New(result.Internal, result.RanNo, "%v", err)
	}
	key := record.JobKey(f.partition(rec.ID), rec.ID)
	txn := platform.Txn{If: []platform.Condition{{Key: key}}, Then: []platform.Write{{Key: key, Value: value}}}
	reply, err := f.Store.Commit(ctx, txn, f.abortCondition(ctx))
	switch {
	case errors.Is(err, platform.ErrRefused):
		return 0, result.New(result.StoreRefused, result.RanNo, "%v", err)
	case errors.Is(err, platform.ErrUnavailable):
		return 0, result.New(result.JobNotStored, result.RanNo, "%v", err).WithRetryAfter(briefRetryDelay)
	case err != nil:
		return 0, f.errOutcomeUnknown()
	case reply.Applied:
		return originThisCall, nil
	case reply.Repeated:
		return originUncertain, nil
	}
	return originExisting, nil
}

// abortCondition returns the condition under which a write is abandoned. While it is certain that
// the job is not stored, the write is abandoned as soon as the store is considered unavailable.
// If the outcome is unknown, the caller must also have waited long enough.
func (f *Front) abortCondition(ctx context.Context) func(outcomeUnknown bool) bool {
	start, timeout := time.Now(), DefaultCallTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = end.Sub(start)
	}
	return func(outcomeUnknown bool) bool {
		return f.storeUnavailable() && (!outcomeUnknown || time.Since(start) >= admission.UnknownWaitLimit(timeout))
	}
}

// errOutcomeUnknown is the error for a job that may be stored, now or later.
func (f *Front) errOutcomeUnknown() error {
	return result.New(result.JobStoreUnknown, result.RanUnknown, "the store has not answered; handing the job in again tells").WithRetryAfter(admission.RetryDelay)
}
