package front

import (
	"context"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// A job without a record may still be stored: a call to the store that got no answer may take effect seconds later.
// Its cancellation is therefore acknowledged only once a record keeps that call from creating the job.

// withdraw creates a record that keeps a job from being stored later, and reports whether the store had no record of
// the job.
func (f *Front) withdraw(ctx context.Context, by Caller, id string) (created bool, err error) {
	rec := record.Job{Ended: record.StateCancelled, EndedUnixMilli: time.Now().UnixMilli(), Withdrawn: true, Account: by.accountName()}
	value, err := record.Encode(rec)
	if err != nil {
		return false, result.New(result.Internal, result.RanNo, "%v", err)
	}
	key := record.JobKey(f.partition(id), id)
	txn := platform.Txn{If: []platform.Condition{{Key: key}}, Then: []platform.Write{{Key: key, Value: value}}}
	reply, err := f.Store.Commit(ctx, txn, f.abortCondition(ctx))
	if err != nil {
		return false, result.New(result.HolderUnreachable, result.RanUnknown, "the cancellation is not stored: %v", err).WithRetryAfter(briefRetryDelay)
	}
	return reply.Applied, nil
}
