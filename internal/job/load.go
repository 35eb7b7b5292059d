package job

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
)

// Times of reading the records at a takeover.
const (
	loadTimeout    = 5 * time.Second
	loadBackoffMin = 100 * time.Millisecond
	loadBackoffMax = 2 * time.Second
)

// loadRecords reads the records of the partition's jobs until it has them all, and
// reports whether the home still lives.
func (o *jobOwner) loadRecords() bool {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = loadBackoffMin, loadBackoffMax
	for {
		records, err := o.listRecords()
		if err == nil {
			return o.installRecords(records)
		}
		o.log.WithError(err).Debug("job records not read yet")
		select {
		case <-o.ctx.Done():
			return false
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// listRecords returns the records as they were at or after this home's claim. An older
// reading could lack a job that the previous home has accepted since.
func (o *jobOwner) listRecords() ([]platform.Record, error) {
	fence, err := o.fence()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	records, revision, err := o.m.cfg.Store.List(ctx, recordKeyPrefix(o.partition))
	if err != nil {
		return nil, err
	}
	if revision < fence.ModRevision {
		return nil, errStaleList
	}
	return records, nil
}

// installRecords makes the table from the records. Nobody else can write them any
// more, because every write demands that the partition's record is unchanged.
func (o *jobOwner) installRecords(records []platform.Record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase == phaseEnded {
		return false
	}
	for _, r := range records {
		rec, err := decodeRecord(r.Value)
		if err != nil {
			o.log.WithError(err).WithField("key", r.Key).Error("job record can not be read and is left alone")
			continue
		}
		j := newJob(rec)
		j.revision, j.recordConfirmed = r.ModRevision, true
		j.inherited = true
		j.firstWriteDone = alreadyAnswered
		if j.rec.State.Final() {
			o.jobs[j.id()] = j
			continue
		}
		o.add(j)
		o.reserveUnreported(j)
		j.log.add(time.Now(), "taken over", "the home of the team's jobs moved here")
	}
	o.phase = phaseReconciling
	o.log.WithField("jobs", len(records)).Info("job records read")
	return true
}

// alreadyAnswered is the outcome of a first write that an earlier home made: a caller who sends the job
// again is answered at once, where it would else wait until its deadline each time.
var alreadyAnswered = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// reserveUnreported counts against the team's quota every task that an earlier home may
// have started, so that new work can not use what turns out to be taken.
func (o *jobOwner) reserveUnreported(j *job) {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	n, size := j.rec.maxActive(int(values.Task.Surge))
	j.unreported = n
	o.ledger.Restore(j.rec.Job.Team, j.unreportedAccount(), size, n)
}

// releaseUnreported gives back what was counted for tasks that are told of now.
func (o *jobOwner) releaseUnreported(j *job, n int) {
	n = min(n, j.unreported)
	j.unreported -= n
	o.ledger.Release(j.rec.Job.Team, j.unreportedAccount(), n)
}

func (j *job) unreportedAccount() string { return j.id() + "/unseen" }
