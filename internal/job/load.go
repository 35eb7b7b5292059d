package job

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
)

// Timing of reading the records after an acquisition of the partition.
const (
	loadTimeout    = 5 * time.Second
	loadBackoffMin = 100 * time.Millisecond
	loadBackoffMax = 2 * time.Second
)

// loadRecords reads the records of the partition's jobs, retrying until it has them all. It reports
// false if the job owner was stopped.
func (o *jobOwner) loadRecords() bool {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = loadBackoffMin, loadBackoffMax
	for {
		records, err := o.listRecords()
		if err == nil {
			return o.installRecords(records)
		}
		o.log.WithError(err).Debug("failed to read job records, retrying")
		select {
		case <-o.ctx.Done():
			return false
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// listRecords returns the records as of this job owner's claim or later. An older state could lack
// a job that the previous job owner accepted afterwards.
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

// installRecords builds the job table from the records. No other process can write them any more,
// because every write requires that the partition's record is unchanged.
func (o *jobOwner) installRecords(records []platform.Record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase == phaseEnded {
		return false
	}
	for _, r := range records {
		rec, err := decodeRecord(r.Value)
		if err != nil {
			o.log.WithError(err).WithField("key", r.Key).Error("failed to decode job record, skipping it")
			continue
		}
		j := newJob(rec)
		j.revision, j.recordConfirmed = r.ModRevision, true
		j.inherited = true
		j.firstWriteDone = alreadyWritten
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

// alreadyWritten is firstWriteDone of a job whose first write a previous job owner made. A caller
// who submits the job again gets a reply at once instead of waiting until its deadline.
var alreadyWritten = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// reserveUnreported charges the team's quota for every task that a previous job owner may have
// started, so that new work cannot use quota that is already in use.
func (o *jobOwner) reserveUnreported(j *job) {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	n, size := j.rec.maxActive(int(values.Task.Surge))
	j.unreported = n
	o.ledger.Restore(j.rec.Job.Team, j.unreportedAccount(), size, n)
}

// releaseUnreportedQuota releases the quota charged for n tasks that have been reported by now.
func (o *jobOwner) releaseUnreportedQuota(j *job, n int) {
	n = min(n, j.unreported)
	j.unreported -= n
	o.ledger.Release(j.rec.Job.Team, j.unreportedAccount(), n)
}

func (j *job) unreportedAccount() string { return j.id() + "/unseen" }
