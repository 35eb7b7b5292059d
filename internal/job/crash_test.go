package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Runs lost with their host were replaced without limit, however many hosts a task crashed: only
// failures reported by a host counted towards the branch's attempts. The job owner gets one report
// per loss and requeues the task.

// loseRepeatedly starts task 0 of a job on one host after the other, each of which fails shortly
// after, and returns the number of losses until the job ended, at most ten.
func loseRepeatedly(o *jobOwner, j *job, now time.Time, each func(n int) (worker, zone string)) (int, time.Time) {
	for n := range 10 {
		if j.ending() {
			return n, now
		}
		slot := o.newAttempt(j, 0)
		for _, state := range []taskmsg.RunState{taskmsg.RunRunning, taskmsg.RunLost} {
			report := reportOf(j, slot.Attempt, state, 0)
			report.Worker, report.Zone = each(n)
			o.applyReport(report, now)
			now = now.Add(20 * time.Millisecond)
		}
		now = now.Add(10 * time.Second)
		o.replaceLost(now)
	}
	return 10, now
}

func distinctWorkers(n int) (worker, zone string) { return fmt.Sprint("w", n), fmt.Sprint("z", n%3) }

// TestTaskThatCrashesWorkers checks that a job fails once three hosts failed under one of its
// tasks, and that the record passes the earlier failures on to the next job owner.
func TestTaskThatCrashesWorkers(t *testing.T) {
	t.Run("batch", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		n, _ := loseRepeatedly(o, j, time.Now(), distinctWorkers)
		is.Equal(n, 3)
		is.Equal(j.rec.Code, result.JobCrashesHosts)
	})
	t.Run("job owner changes", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		now, all := time.Now(), 0
		for !j.ending() && all < 10 {
			slot := o.newAttempt(j, 0)
			report := reportOf(j, slot.Attempt, taskmsg.RunLost, 0)
			report.Worker, report.Zone = distinctWorkers(all)
			o.applyReport(report, now)
			now, all = now.Add(10*time.Second), all+1
			stored, err := encodeRecord(j.rec)
			is.NoErr(err)
			rec, err := decodeRecord(stored)
			is.NoErr(err)
			if j.ending() {
				break
			}
			o, _ = newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
			o.epoch = uint64(all + 1) // the prefix of attempt numbers
			j = newJob(rec)
			j.recordConfirmed = true
			o.add(j)
			o.enqueueAll(j)
		}
		is.Equal(j.rec.Code, result.JobCrashesHosts)
		is.True(all <= 4)
	})
	t.Run("service", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindService, 1)
		n, now := loseRepeatedly(o, j, time.Now(), distinctWorkers)
		is.Equal(n, 10) // services are restarted without limit, at growing intervals
		is.True(len(j.delayed) > 0)
		is.True(j.delayed[len(j.delayed)-1].due.Sub(now) >= 5*time.Second)
	})
	t.Run("a zone is lost", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 20)
		now := time.Now()
		for range 3 {
			for i := range j.tasks {
				n := reportOf(j, o.newAttempt(j, i).Attempt, taskmsg.RunLost, 0)
				n.Run.Task.Index = i
				n.Worker = fmt.Sprint("w", i)
				o.applyReport(n, now)
			}
			now = now.Add(time.Minute)
			o.replaceLost(now)
		}
		is.True(!j.ending())
	})
}

// A job was failed (5212) although no host had been observed to crash under its task: three starts
// had gone to hosts that were already unresponsive, and the suspicion of unconfirmed losses added
// up. Unconfirmed losses must delay the next start, longer each time, and never fail the job.

// loseUnconfirmed loses task 0 n times in a row without a confirmed crash, on one host after the
// other, and returns the delays of its next starts.
func loseUnconfirmed(t *testing.T, o *jobOwner, j *job, now time.Time, n int) ([]time.Duration, time.Time) {
	var waits []time.Duration
	for lost := range n {
		report := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunLost, 0)
		report.Worker, report.Zone = distinctWorkers(lost)
		report.EndUnconfirmed = true
		o.applyReport(report, now)
		if j.ending() {
			t.Fatalf("ended after %d losses: %s", lost+1, j.rec.Reason)
		}
		now = now.Add(time.Minute)
		j.ready, j.delayed = nil, nil
		o.replaceLost(now)
		waits = append(waits, nextStart(j, now).Sub(now))
	}
	return waits, now
}

// nextStart returns when the only waiting task of a job may start.
func nextStart(j *job, now time.Time) time.Time {
	if len(j.delayed) > 0 {
		return j.delayed[0].due
	}
	return now
}

func TestUnconfirmedLossesNeverFailJob(t *testing.T) {
	t.Run("delay grows with each loss", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		waits, _ := loseUnconfirmed(t, o, j, time.Now(), 40)
		is.Equal(waits[0], time.Duration(0)) // a single loss may be coincidence
		is.Equal(waits[1], failureBackoffMin)
		for i := 2; i < len(waits); i++ {
			is.Equal(waits[i], min(2*waits[i-1], failureBackoffMax))
		}
		is.True(len(j.rec.Crashes[0]) <= maxCrashes) // the record does not grow without limit
	})
	t.Run("mixed with confirmed crashes", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		_, now := loseUnconfirmed(t, o, j, time.Now(), maxCrashes)
		seen := 0
		for ; !j.ending() && seen < 10; seen++ {
			report := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunLost, 0)
			report.Worker = fmt.Sprint("v", seen)
			o.applyReport(report, now)
			now = now.Add(time.Minute)
			o.replaceLost(now)
		}
		is.Equal(seen, 3) // as many as without the unconfirmed ones
		is.True(!strings.Contains(j.rec.Reason, "not seen"))
		is.True(strings.Contains(j.rec.Reason, "3 hosts"))
	})
	t.Run("confirmed later", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		_, now := loseUnconfirmed(t, o, j, time.Now(), 3)
		for i, c := range slices.Clone(j.rec.Crashes[0]) {
			is.True(!j.ending())
			report := reportOf(j, c.Run, taskmsg.RunLost, 0)
			report.Worker, report.Zone = distinctWorkers(i)
			o.applyReport(report, now) // another incarnation of the host has replied
			o.applyReport(report, now) // repeated report
		}
		is.Equal(j.rec.Code, result.JobCrashesHosts)
	})
}

// A run whose start the holder had acknowledged was treated as inherited from a previous job owner,
// because runningSince was set only by a run report and none follows an acknowledgement. So a crash
// after hours was assessed as one after a second, and a service's old crashes were never dropped,
// however long it ran in between.
func TestRunTimeCountsFromStartReply(t *testing.T) {
	cases := map[string]struct {
		ran  time.Duration
		kept int // losses on record
	}{
		"within the history reset": {crashloop.HistoryResetAfter - time.Second, 4},
		"past the history reset":   {crashloop.HistoryResetAfter, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, j := newStaticOwner(t, phaseReady, false, spec.KindService, 1)
			_, now := loseRepeatedly(o, j, time.Now(), distinctWorkers)
			j.rec.Crashes[0] = j.rec.Crashes[0][:3]
			slot := o.newAttempt(j, 0)
			result := taskmsg.SlotResult{Slot: slot, Outcome: taskmsg.OutcomeStarted, Worker: "w", Zone: "z", Partition: 1, Epoch: 1}
			o.applyPlaceReply(j, holder{member: "m"}, []taskmsg.Slot{slot}, taskmsg.PlaceReply{Results: []taskmsg.SlotResult{result}}, nil, now)
			o.applyReport(reportOf(j, slot.Attempt, taskmsg.RunLost, 0), now.Add(tc.ran))
			is.Equal(len(j.rec.Crashes[0]), tc.kept)
		})
	}
}

// A run that was present once, and may have ended unreported before its host restarted, was
// reported as a crash: three such reports failed a job, with the reason "there at its end" for
// each.
//
// TestLossesWithoutCrashEvidence checks that fewer than five such reports for different hosts do
// not fail a job, nor any number for a single host, unless later evidence confirms the crashes.
func TestLossesWithoutCrashEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		workers   func(n int) (worker, zone string)
		first     taskmsg.LossEvidence // evidence reported first
		delayed   taskmsg.LossEvidence // evidence reported last
		maxLosses int                  // losses until the job fails; zero for never
	}{
		"reported at once":         {workers: distinctWorkers, first: taskmsg.EvidencePresent, delayed: taskmsg.EvidencePresent, maxLosses: 5},
		"each on a different host": {workers: distinctWorkers, delayed: taskmsg.EvidencePresent, maxLosses: 5},
		"all on one host":          {workers: func(int) (string, string) { return "w", "z" }, delayed: taskmsg.EvidencePresent},
		"crash confirmed later":    {workers: distinctWorkers, delayed: taskmsg.EvidenceCrash, maxLosses: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
			lost, now := 0, time.Now()
			for ; !j.ending() && lost < 2*maxCrashes; lost++ {
				report := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunLost, 0)
				report.Worker, report.Zone = tc.workers(lost)
				for s := tc.first; s <= tc.delayed; s++ {
					report.SetEvidence(s)
					o.applyReport(report, now)
				}
				now = now.Add(time.Minute)
				j.ready, j.delayed = nil, nil
				o.replaceLost(now)
			}
			is.Equal(j.ending(), tc.maxLosses > 0)
			if tc.maxLosses > 0 {
				is.Equal(lost, tc.maxLosses)
				is.Equal(strings.Contains(j.rec.Reason, crashloop.ObservedAtEnd), tc.delayed == taskmsg.EvidenceCrash)
			}
		})
	}
}
