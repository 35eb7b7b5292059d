// Package front answers callers: it stores the jobs that they hand in, tells the
// holder of them, and asks the holder for their states.
//
// A job is accepted when the store has its record, which is made only where none
// is, so that a job handed in again through any process stays one job. The store
// needs no holder for that, and neither does the caller's answer.
package front

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/cell"
	"pulleyquay/internal/holder"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/wait"
)

// Times of the front.
const (
	// holderPatience bounds one question to the holder.
	holderPatience = 700 * time.Millisecond
	// holderPause is the pause before the holder is asked again.
	holderPause = 50 * time.Millisecond
	// AnswerMargin is left of the caller's time for the answer to travel.
	AnswerMargin = 60 * time.Millisecond
	// comeBackSoon is when callers are told to come back after a moment's trouble.
	comeBackSoon = 500 * time.Millisecond
	// DefaultPatience is how long a caller that does not say waits.
	DefaultPatience = 3 * time.Second
)

// Front answers callers.
type Front struct {
	Store  *resend.Sender
	Get    func(ctx context.Context, key string) (platform.Record, bool, error)
	Health *follow.Health
	Peers  peer.Caller
	View   *cell.View
	// Self is the address of this process among its peers.
	Self       string
	Partitions int
	Log        *logrus.Entry
	Metrics    *Metrics

	teller teller
	doubts doubts
}

// partition is the one that a job belongs to.
func (f *Front) partition(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return int(h.Sum32() % uint32(f.Partitions))
}

// Submit accepts a job. It returns nil once the job is stored; handing in the
// same job again returns nil as well. An error with RanNo promises that the job
// was not accepted.
func (f *Front) Submit(ctx context.Context, by Caller, q *catalog.Queue, id string, g spec.Graph) error {
	begun := time.Now()
	made, err := f.submit(ctx, by, q, id, g)
	f.Metrics.submit(begun, err)
	f.logSubmit(by, q, id, made, err, begun)
	return err
}

// logSubmit tells what became of a job that was handed in.
func (f *Front) logSubmit(by Caller, q *catalog.Queue, id string, made made, err error, begun time.Time) {
	log := f.Log.WithFields(logrus.Fields{
		"job": id, "queue": q.Name, "account": by.name(), "took_ms": time.Since(begun).Milliseconds(),
		"store_silent_ms": max(f.Health.Silent(time.Now()), f.Health.Failing(time.Now())).Milliseconds(),
	})
	if err == nil {
		log.WithField("why", made.String()).Info("job accepted")
		return
	}
	e := result.From(err)
	log.WithFields(logrus.Fields{"code": e.Code, "ran": e.Ran, "why": e.Error()}).Info("job not accepted")
}

// submit checks a job, stores it and has its holder told.
func (f *Front) submit(ctx context.Context, by Caller, q *catalog.Queue, id string, g spec.Graph) (made, error) {
	if err := check(&g); err != nil {
		return 0, err
	}
	if err := checkQuota(by.Account, &g); err != nil {
		return 0, err
	}
	rec := record.Job{
		ID: id, Account: by.name(), Queue: q.Name, Service: q.Service, Rules: q.Rules, Graph: g, AcceptedUnixMilli: time.Now().UnixMilli(),
	}
	begun := time.Now()
	made, err := f.storeJob(ctx, rec)
	if err != nil {
		return 0, err
	}
	if made == stoodThere {
		return made, f.checkOwner(ctx, by, id)
	}
	f.teller.add(&rec, f.partition(id), made == madeHere, begun)
	return made, nil
}

// checkOwner refuses a job handed in under the id of another account's job.
func (f *Front) checkOwner(ctx context.Context, by Caller, id string) error {
	if by.Account == nil {
		return nil
	}
	_, err := f.stored(ctx, by, id)
	switch result.CodeOf(err) {
	case result.JobUnknown:
		return result.New(result.JobNameTaken, result.RanNo, "job %s", id)
	case result.HolderAway:
		return f.unsettled()
	}
	return err
}

// State returns the state of a job: from its holder, or from the store when the
// holder does not know the job or is not reached.
func (f *Front) State(ctx context.Context, by Caller, q *catalog.Queue, id string) (record.State, error) {
	reply, err := f.askHolder(ctx, by, id, peer.KindState)
	answered := err == nil
	if answered && reply.Known && (reply.Checked || by.Account == nil) {
		return reply.State, nil
	}
	rec, err := f.stored(ctx, by, id)
	if err != nil {
		return "", err
	}
	if answered && reply.Known {
		return reply.State, nil // of a version that knows no accounts
	}
	if rec.Ended != "" {
		return rec.Ended, nil
	}
	if answered {
		// The holder itself has said that it does not know the job. One that has not
		// answered may be behind, and being told again what it knows keeps it behind.
		f.teller.add(rec, f.partition(id), false, time.Now())
	}
	return record.StateQueued, nil
}

// stored reads a job's record, or returns JobUnknown when there is none that is open to
// the caller.
func (f *Front) stored(ctx context.Context, by Caller, id string) (*record.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, holderPatience)
	defer cancel()
	rec, ok, err := f.Get(ctx, record.JobKey(f.partition(id), id))
	f.Health.Note(err == nil, time.Now())
	if err != nil {
		return nil, result.New(result.HolderAway, result.RanNo, "neither the holder nor the store answers: %v", err).Later(comeBackSoon)
	}
	if !ok {
		return nil, result.New(result.JobUnknown, result.RanNo, "job %s", id)
	}
	j, err := record.DecodeJob(rec.Value)
	if err != nil {
		return nil, result.New(result.Internal, result.RanUnknown, "%v", err)
	}
	if !j.Open(by.name()) {
		return nil, result.New(result.JobUnknown, result.RanNo, "job %s", id)
	}
	j.ID = id
	return j, nil
}

// Cancel ends a job. It returns nil once that is stored, also when the job had
// ended before.
func (f *Front) Cancel(ctx context.Context, by Caller, q *catalog.Queue, id string) error {
	begun := time.Now()
	err := f.cancel(ctx, by, id)
	log := f.Log.WithFields(logrus.Fields{"job": id, "queue": q.Name, "took_ms": time.Since(begun).Milliseconds()})
	if err != nil {
		log.WithError(err).Info("cancellation not stored")
		return err
	}
	log.Info("cancellation stored")
	return nil
}

func (f *Front) cancel(ctx context.Context, by Caller, id string) error {
	for {
		reply, err := f.askHolder(ctx, by, id, peer.KindCancelJob)
		if err == nil && reply.Known {
			return nil
		}
		if err == nil {
			rec, err := f.stored(ctx, by, id)
			if err != nil {
				return err
			}
			if rec.Ended != "" {
				return nil
			}
			if err := f.teller.tell(ctx, rec, f.partition(id), false, 0); err != nil {
				f.Log.WithError(err).WithField("job", id).Debug("holder not told of a job to cancel")
			}
		}
		if !wait.For(ctx, holderPause) {
			return result.New(result.HolderAway, result.RanUnknown, "the cancellation is not stored").Later(comeBackSoon)
		}
	}
}

// Pending counts the accepted jobs of a queue that have not begun.
func (f *Front) Pending(ctx context.Context, q *catalog.Queue) (int, error) {
	total := 0
	for p := range f.Partitions {
		var reply holder.PendingReply
		if err := f.call(ctx, p, peer.KindPending, holder.PendingRequest{Partition: p, Queue: q.Name}, &reply); err != nil {
			return 0, err
		}
		total += reply.Pending
	}
	return total, nil
}

// askHolder asks the holder of a job's partition about the job.
func (f *Front) askHolder(ctx context.Context, by Caller, id string, kind peer.Kind) (holder.JobReply, error) {
	var reply holder.JobReply
	p := f.partition(id)
	err := f.call(ctx, p, kind, holder.JobRequest{Partition: p, Job: id, Account: by.name()}, &reply)
	return reply, err
}

// call asks the holder of a partition, once.
func (f *Front) call(ctx context.Context, partition int, kind peer.Kind, req, reply any) error {
	h, ok := f.View.Holder(partition)
	if !ok {
		return errNoHolder(partition)
	}
	ctx, cancel := context.WithTimeout(ctx, holderPatience)
	defer cancel()
	return f.Peers.Call(ctx, h.Addr, kind, req, reply)
}

func errNoHolder(partition int) error {
	return result.New(result.HolderAway, result.RanNo, "partition %d has no holder yet", partition).Later(comeBackSoon)
}
