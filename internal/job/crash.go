package job

import (
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
)

// A host that fails with its runs may have been crashed by one of them. Package crashloop
// attributes each host failure to the tasks that were present, and the attributions are part of the
// job's record. Confirmed crashes fail finite work once there are enough of them. Unconfirmed ones
// (a host that only became unresponsive, an unacknowledged start) delay the next start, longer each
// time; so does every host failure under a service, which is restarted without limit.

// baselineLossRate is how often a host fails spontaneously, per second, under normal conditions. A
// job owner cannot measure the rate, as it sees only the hosts that run its own tasks, which are
// too few.
const baselineLossRate = 280.0 / 18000 / (24 * 60 * 60)

// maxCrashes bounds the number of crashes recorded for one task, so that the record of a long-lived
// job does not grow without limit. The start delay has reached its maximum by then.
const maxCrashes = 16

// recordHostLoss attributes the loss of a host to a task. It returns the error that the job fails
// with, or nil.
func (o *jobOwner) recordHostLoss(j *job, index int, report taskmsg.RunReport, now time.Time) *result.Error {
	o.hostLosses.Expire(now)
	isNew := o.hostLosses.Add(report.Worker, report.Zone, now)
	rackFailed := o.hostLosses.RackFailed(report.Worker, report.Zone, now, 0, 0)
	if rackFailed && isNew {
		o.retractAttributions(o.hostLosses.InRack(report.Zone, now))
	}
	t := &j.tasks[index]
	e := crashloop.Evidence{Run: report.Run.Attempt, Host: report.Worker, Machine: report.Worker, RunTimeUnknown: t.runningSince.IsZero(), Unconfirmed: report.LossEvidence() == taskmsg.EvidenceNone, Proven: report.LossEvidence() == taskmsg.EvidenceCrash}
	if !e.RunTimeUnknown {
		e.RunTime = now.Sub(t.runningSince)
	}
	c := crashloop.Assess(e, baselineLossRate)
	if rackFailed || c.Excused {
		return nil
	}
	if j.isService() && e.RunTime >= crashloop.HistoryResetAfter {
		delete(j.rec.Crashes, index)
	}
	if j.rec.Crashes[index].HasRun(c.Run) {
		return o.updateAttribution(j, index, report) // already reported to a previous job owner
	}
	if j.rec.Crashes == nil {
		j.rec.Crashes = map[int]crashloop.History{}
	}
	j.rec.Crashes[index] = append(trimHistory(j.rec.Crashes[index]), c)
	o.markChanged(j)
	return j.crashLoopError(index)
}

// updateAttribution applies later evidence about a run whose host loss was attributed to its task:
// that the run was present, or that it was present when the host crashed. It returns the error that
// the job fails with, or nil.
func (o *jobOwner) updateAttribution(j *job, index int, report taskmsg.RunReport) *result.Error {
	history := j.rec.Crashes[index]
	at := slices.IndexFunc(history, func(c crashloop.Crash) bool {
		return c.Run == report.Run.Attempt && recordedEvidence(c) < report.LossEvidence()
	})
	if at < 0 {
		return nil
	}
	proven := report.LossEvidence() == taskmsg.EvidenceCrash
	history = slices.Clone(history)
	history[at].Unconfirmed, history[at].LegacyUnproven, history[at].Proven = false, !proven, proven
	j.rec.Crashes[index] = history
	o.markChanged(j)
	return j.crashLoopError(index)
}

// crashLoopError returns the error that the job fails with because of the confirmed crashes under a
// task, or nil.
func (j *job) crashLoopError(index int) *result.Error {
	confirmed := slices.DeleteFunc(slices.Clone(j.rec.Crashes[index]), isUnconfirmed)
	if j.isService() || confirmed.Suspicion() < crashloop.Failed {
		return nil
	}
	return result.New(result.JobCrashesHosts, result.RanYes, "task %d: %s", index, confirmed)
}

// recordedEvidence returns the evidence recorded for a crash.
func recordedEvidence(c crashloop.Crash) taskmsg.LossEvidence {
	switch {
	case c.Proven:
		return taskmsg.EvidenceCrash
	case c.Unconfirmed:
		return taskmsg.EvidenceNone
	}
	return taskmsg.EvidencePresent
}

func isUnconfirmed(c crashloop.Crash) bool { return c.Unconfirmed }

// trimHistory returns the history with space for one more crash. It drops the oldest unconfirmed
// crash, or the oldest one if all are confirmed.
func trimHistory(h crashloop.History) crashloop.History {
	if len(h) < maxCrashes {
		return h
	}
	at := max(slices.IndexFunc(h, isUnconfirmed), 0)
	return slices.Delete(slices.Clone(h), at, at+1)
}

// retractAttributions removes the crashes attributed to tasks for hosts that turn out to have
// failed together.
func (o *jobOwner) retractAttributions(workers []string) {
	for _, j := range o.live {
		for index, history := range j.rec.Crashes {
			kept := history
			for _, name := range workers {
				kept = kept.WithoutHost(name)
			}
			if len(kept) < len(history) {
				j.rec.Crashes[index] = kept
				o.markChanged(j)
			}
		}
	}
}

// crashBackoff is the delay before a lost task starts again. Tasks that may crash their hosts are
// started at growing intervals. A service is delayed as after a failure; finite work only by
// unconfirmed losses, which never fail it, from the second one on.
func (j *job) crashBackoff(index int) time.Duration {
	history := j.rec.Crashes[index]
	if j.isService() {
		return backoffAfter(len(history))
	}
	unconfirmed := 0
	for _, c := range history {
		if c.Unconfirmed {
			unconfirmed++
		}
	}
	return backoffAfter(unconfirmed - 1)
}

// backoffAfter returns the delay after n losses.
func backoffAfter(n int) time.Duration {
	if n <= 0 {
		return 0
	}
	return failureBackoff(n)
}
