package job

import (
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
)

// A worker that is lost with its runs may have been crashed by one of them. Losses are held
// against the tasks that were there as package crashloop judges them, and are part of the
// job's record. Those that were seen as crashes end finite work when they are enough. Those
// that nobody saw (a worker that only fell silent, a start without an answer) make the next
// start wait, ever longer; so does any loss of a service, which is tried for ever.

// baselineLossRate is how often a worker goes by itself, per second, on an ordinary day. A home
// knows only the workers that run something of its own, too few to learn it.
const baselineLossRate = 280.0 / 18000 / (24 * 60 * 60)

// maxCrashes bounds what is kept of one task's losses, so that a job's record does not
// grow for as long as the job lives. The wait before a start grows no more by then.
const maxCrashes = 16

// recordHostLoss holds a worker's loss against a task. It returns why the job ends by it, or nil.
func (o *jobOwner) recordHostLoss(j *job, index int, n taskmsg.RunNews, now time.Time) *result.Error {
	o.hostLosses.Forget(now)
	isNew := o.hostLosses.Add(n.Worker, n.Zone, now)
	together := o.hostLosses.Together(n.Worker, n.Zone, now, 0, 0)
	if together && isNew {
		o.retractAttributions(o.hostLosses.With(n.Zone, now))
	}
	t := &j.tasks[index]
	e := crashloop.Evidence{Run: n.Run.Attempt, Host: n.Worker, Machine: n.Worker, Unknown: t.runningSince.IsZero(), Unsure: n.Sight() == taskmsg.SightNone, Proven: n.Sight() == taskmsg.SightCrash}
	if !e.Unknown {
		e.Ran = now.Sub(t.runningSince)
	}
	c := crashloop.Judge(e, baselineLossRate)
	if together || c.Excused {
		return nil
	}
	if j.isService() && e.Ran >= crashloop.ProvenAfter {
		delete(j.rec.Crashes, index)
	}
	if j.rec.Crashes[index].Has(c.Run) {
		return o.updateAttribution(j, index, n) // told to an earlier home
	}
	if j.rec.Crashes == nil {
		j.rec.Crashes = map[int]crashloop.History{}
	}
	j.rec.Crashes[index] = append(trimHistory(j.rec.Crashes[index]), c)
	o.markChanged(j)
	return j.crashLoopError(index)
}

// updateAttribution takes in what has turned out of a run whose loss was held against its task: that it
// was there, or that its worker has crashed under it. It returns why the job ends by it, or nil.
func (o *jobOwner) updateAttribution(j *job, index int, n taskmsg.RunNews) *result.Error {
	history := j.rec.Crashes[index]
	at := slices.IndexFunc(history, func(c crashloop.Crash) bool { return c.Run == n.Run.Attempt && sightOf(c) < n.Sight() })
	if at < 0 {
		return nil
	}
	proven := n.Sight() == taskmsg.SightCrash
	history = slices.Clone(history)
	history[at].Unsure, history[at].Unheard, history[at].Proven = false, !proven, proven
	j.rec.Crashes[index] = history
	o.markChanged(j)
	return j.crashLoopError(index)
}

// crashLoopError returns why the job is given up for the crashes that were seen under a task,
// or nil.
func (j *job) crashLoopError(index int) *result.Error {
	confirmed := slices.DeleteFunc(slices.Clone(j.rec.Crashes[index]), isUnconfirmed)
	if j.isService() || confirmed.Standing() < crashloop.GivenUp {
		return nil
	}
	return result.New(result.JobCrashesHosts, result.RanYes, "task %d: %s", index, confirmed)
}

// sightOf is what is known of the run of a crash.
func sightOf(c crashloop.Crash) taskmsg.Sight {
	switch {
	case c.Proven:
		return taskmsg.SightCrash
	case c.Unsure:
		return taskmsg.SightNone
	}
	return taskmsg.SightThere
}

func isUnconfirmed(c crashloop.Crash) bool { return c.Unsure }

// trimHistory returns the history with room for one more crash: the oldest that nobody saw
// goes, or the oldest of all.
func trimHistory(h crashloop.History) crashloop.History {
	if len(h) < maxCrashes {
		return h
	}
	at := max(slices.IndexFunc(h, isUnconfirmed), 0)
	return slices.Delete(slices.Clone(h), at, at+1)
}

// retractAttributions drops what is held against tasks for the loss of workers that, as is known now,
// went together.
func (o *jobOwner) retractAttributions(workers []string) {
	for _, j := range o.live {
		for index, history := range j.rec.Crashes {
			kept := history
			for _, name := range workers {
				kept = kept.Without(name)
			}
			if len(kept) < len(history) {
				j.rec.Crashes[index] = kept
				o.markChanged(j)
			}
		}
	}
}

// crashBackoff is how long a lost task waits before its next start: what may crash its workers
// is tried ever more slowly, a service like one that fails. Finite work waits for losses that
// nobody saw, which end it never, but not for a single one.
func (j *job) crashBackoff(index int) time.Duration {
	history := j.rec.Crashes[index]
	if j.isService() {
		return backoffAfter(len(history))
	}
	unconfirmed := 0
	for _, c := range history {
		if c.Unsure {
			unconfirmed++
		}
	}
	return backoffAfter(unconfirmed - 1)
}

// backoffAfter is the wait after so many losses.
func backoffAfter(n int) time.Duration {
	if n <= 0 {
		return 0
	}
	return failureBackoff(n)
}
