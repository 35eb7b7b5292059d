// Package front serves callers: it stores the jobs that they submit, notifies the holder of each
// job's partition, and queries the holder for job states.
//
// A job is accepted once its record is in the store. The record is created only if none exists,
// so a job submitted again through any process stays one job. Neither the write nor the caller's
// answer needs a holder.
package front

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/cell"
	"pulleyquay/internal/holder"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/wait"
)

// Timeouts and delays.
const (
	// holderTimeout bounds one call to the holder.
	holderTimeout = 700 * time.Millisecond
	// holderRetryDelay is the delay between two calls to the holder.
	holderRetryDelay = 50 * time.Millisecond
	// AnswerMargin is the part of the caller's deadline that is reserved for sending the answer.
	AnswerMargin = 60 * time.Millisecond
	// briefRetryDelay is the Retry-After value for failures that are expected to be short.
	briefRetryDelay = 500 * time.Millisecond
	// DefaultCallTimeout is the deadline of a caller that does not give one.
	DefaultCallTimeout = 3 * time.Second
)

// Front serves callers' requests for jobs.
type Front struct {
	Store  *resend.Sender
	Get    func(ctx context.Context, key string) (platform.Record, bool, error)
	Health *follow.Health
	Peers  peer.Caller
	View   *cell.View
	// Self is the peer address of this process.
	Self       string
	Partitions int
	Log        *logrus.Entry
	Metrics    *Metrics
	// Limits are the limits on jobs of queues and client accounts; nil if there never are any.
	Limits *overload.Limits

	notifier       notifier
	unresolvedJobs unresolvedJobs
}

// partition returns the partition of a job: a hash of its id.
func (f *Front) partition(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(f.Partitions))
}

// Submit accepts a job. It returns nil once the job is stored, and again nil when the same job is
// submitted again. An error with RanNo guarantees that the job was not accepted.
func (f *Front) Submit(ctx context.Context, by Caller, q *catalog.Queue, id string, g spec.Graph) error {
	start := time.Now()
	origin, err := f.submit(ctx, by, q, id, g)
	f.Metrics.observeSubmit(start, err)
	f.logSubmit(by, q, id, origin, err, start)
	return err
}

// logSubmit logs the outcome of a submission.
func (f *Front) logSubmit(by Caller, q *catalog.Queue, id string, origin origin, err error, start time.Time) {
	log := f.Log.WithFields(logrus.Fields{
		"job": id, "queue": q.Name, "account": by.accountName(), "took_ms": time.Since(start).Milliseconds(),
		"store_silent_ms": max(f.Health.UnansweredFor(time.Now()), f.Health.FailingFor(time.Now())).Milliseconds(),
	})
	if err == nil {
		log.WithField("why", origin.String()).Info("job accepted")
		return
	}
	e := result.From(err)
	log.WithFields(limitFields(err)).WithFields(logrus.Fields{"code": e.Code, "ran": e.Ran, "why": e.Error()}).Info("job not accepted")
}

// submit validates a job, stores it and enqueues the notification of its holder.
func (f *Front) submit(ctx context.Context, by Caller, q *catalog.Queue, id string, g spec.Graph) (origin, error) {
	if err := validate(&g); err != nil {
		return 0, err
	}
	if err := checkQuota(by.Account, &g); err != nil {
		return 0, err
	}
	if err := f.checkLimit(ctx, by, q, id, &g); err != nil {
		return 0, err
	}
	rec := record.Job{
		ID: id, Account: by.accountName(), Queue: q.Name, Service: q.Service, Rules: q.Rules, Graph: g, AcceptedUnixMilli: time.Now().UnixMilli(),
	}
	start := time.Now()
	origin, err := f.storeJob(ctx, rec)
	if err != nil {
		return 0, err
	}
	if origin == originExisting {
		return origin, f.checkOwner(ctx, by, id)
	}
	f.notifier.enqueue(&rec, f.partition(id), origin == originThisCall, start)
	return origin, nil
}

// checkOwner refuses a job that is submitted under the id of another account's job.
func (f *Front) checkOwner(ctx context.Context, by Caller, id string) error {
	if by.Account == nil {
		return nil
	}
	rec, err := f.readRecord(ctx, id)
	switch {
	case err == nil && (rec.AccessibleTo(by.accountName()) || rec.WithdrawnBy(by.accountName())):
		return nil
	case err == nil, result.CodeOf(err) == result.JobUnknown:
		return result.New(result.JobNameTaken, result.RanNo, "job %s", id)
	case result.CodeOf(err) == result.HolderUnreachable:
		return f.errOutcomeUnknown()
	}
	return err
}

// State returns the state of a job. The source is the holder, or the store if the holder has no
// record of the job or cannot be reached.
func (f *Front) State(ctx context.Context, by Caller, q *catalog.Queue, id string) (record.State, error) {
	reply, err := f.queryHolder(ctx, by, id, peer.KindJobState)
	answered := err == nil
	if answered && reply.Found && (reply.AccessChecked || by.Account == nil) {
		return reply.State, nil
	}
	rec, err := f.readJob(ctx, by, id)
	if err != nil {
		return "", err
	}
	if answered && reply.Found {
		return reply.State, nil // the holder runs a version without accounts
	}
	if rec.Ended != "" {
		return rec.Ended, nil
	}
	if answered {
		// The holder replied that it has no record of the job. A holder that did not reply may be
		// overloaded, and a repeated notification would add to its load.
		f.notifier.enqueue(rec, f.partition(id), false, time.Now())
	}
	return record.StateQueued, nil
}

// readJob reads a job's record. It returns JobUnknown if there is none that the caller may read.
func (f *Front) readJob(ctx context.Context, by Caller, id string) (*record.Job, error) {
	j, err := f.readRecord(ctx, id)
	if err == nil && !j.AccessibleTo(by.accountName()) {
		return nil, errJobUnknown(id)
	}
	return j, err
}

func errJobUnknown(id string) error { return result.New(result.JobUnknown, result.RanNo, "job %s", id) }

// readRecord reads a job's record, whoever may read it. It returns JobUnknown if there is none.
func (f *Front) readRecord(ctx context.Context, id string) (*record.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	rec, ok, err := f.Get(ctx, record.JobKey(f.partition(id), id))
	f.Health.RecordCall(err == nil, time.Now())
	if err != nil {
		return nil, result.New(result.HolderUnreachable, result.RanNo, "neither the holder nor the store answers: %v", err).WithRetryAfter(briefRetryDelay)
	}
	if !ok {
		return nil, errJobUnknown(id)
	}
	j, err := record.DecodeJob(rec.Value)
	if err != nil {
		return nil, result.New(result.Internal, result.RanUnknown, "%v", err)
	}
	j.ID = id
	return j, nil
}

// Cancel ends a job. It returns nil once the cancellation is stored, also if the job had already
// ended, and JobUnknown if there is no such job and none can be stored any more by an earlier call.
func (f *Front) Cancel(ctx context.Context, by Caller, q *catalog.Queue, id string) error {
	start := time.Now()
	err := f.cancel(ctx, by, id)
	log := f.Log.WithFields(logrus.Fields{"job": id, "queue": q.Name, "took_ms": time.Since(start).Milliseconds()})
	if err != nil {
		log.WithError(err).Info("cancellation not stored")
		return err
	}
	log.Info("cancellation stored")
	return nil
}

func (f *Front) cancel(ctx context.Context, by Caller, id string) error {
	for {
		reply, err := f.queryHolder(ctx, by, id, peer.KindCancelJob)
		if err == nil && reply.Found {
			return nil
		}
		if err == nil {
			done, err := f.cancelStored(ctx, by, id)
			if done || err != nil {
				return err
			}
		}
		if !wait.For(ctx, holderRetryDelay) {
			return result.New(result.HolderUnreachable, result.RanUnknown, "the cancellation is not stored").WithRetryAfter(briefRetryDelay)
		}
	}
}

// cancelStored cancels a job that its holder does not know, by the job's record. It reports whether that is done;
// otherwise the holder has to be asked again.
func (f *Front) cancelStored(ctx context.Context, by Caller, id string) (done bool, err error) {
	rec, err := f.readRecord(ctx, id)
	switch {
	case result.CodeOf(err) == result.JobUnknown:
		withdrawn, withdrawErr := f.withdraw(ctx, by, id)
		if withdrawErr != nil {
			return false, withdrawErr
		}
		if !withdrawn {
			return false, nil // it has been stored meanwhile
		}
		return true, err
	case err != nil:
		return false, err
	case !rec.AccessibleTo(by.accountName()):
		return true, errJobUnknown(id)
	case rec.Ended != "":
		return true, nil
	}
	if err := f.notifier.notify(ctx, rec, f.partition(id), false, 0); err != nil {
		f.Log.WithError(err).WithField("job", id).Debug("failed to notify the holder of a job to be cancelled")
	}
	return false, nil
}

// Pending counts the accepted jobs of a queue that have not started.
func (f *Front) Pending(ctx context.Context, q *catalog.Queue) (int, error) {
	total := 0
	for p := range f.Partitions {
		var reply holder.PendingReply
		if err := f.call(ctx, p, peer.KindPendingJobs, holder.PendingRequest{Partition: p, Queue: q.Name}, &reply); err != nil {
			return 0, err
		}
		total += reply.Pending
	}
	return total, nil
}

// queryHolder sends one request about a job to the holder of its partition.
func (f *Front) queryHolder(ctx context.Context, by Caller, id string, kind peer.Kind) (holder.JobReply, error) {
	var reply holder.JobReply
	p := f.partition(id)
	err := f.call(ctx, p, kind, holder.JobRequest{Partition: p, Job: id, Account: by.accountName()}, &reply)
	return reply, err
}

// call sends one request to the holder of a partition; it does not retry.
func (f *Front) call(ctx context.Context, partition int, kind peer.Kind, req, reply any) error {
	h, ok := f.View.Holder(partition)
	if !ok {
		return errNoHolder(partition)
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	return f.Peers.Call(ctx, h.Addr, kind, req, reply)
}

func errNoHolder(partition int) error {
	return result.New(result.HolderUnreachable, result.RanNo, "partition %d has no holder yet", partition).WithRetryAfter(briefRetryDelay)
}
