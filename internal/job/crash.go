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

// usualLossRate is how often a worker goes by itself, per second, on an ordinary day. A home
// knows only the workers that run something of its own, too few to learn it.
const usualLossRate = 280.0 / 18000 / (24 * 60 * 60)

// mostCrashes bounds what is kept of one task's losses, so that a job's record does not
// grow for as long as the job lives. The wait before a start grows no more by then.
const mostCrashes = 16

// crashed holds a worker's loss against a task. It returns why the job ends by it, or nil.
func (h *home) crashed(j *job, index int, n taskmsg.RunNews, now time.Time) *result.Error {
	h.losses.Forget(now)
	news := h.losses.Add(n.Worker, n.Zone, now)
	together := h.losses.Together(n.Worker, n.Zone, now, 0, 0)
	if together && news {
		h.excuse(h.losses.With(n.Zone, now))
	}
	t := &j.tasks[index]
	e := crashloop.Evidence{Run: n.Run.Attempt, Host: n.Worker, Machine: n.Worker, Unknown: t.since.IsZero(), Unsure: n.Sight() == taskmsg.SightNone, Proven: n.Sight() == taskmsg.SightCrash}
	if !e.Unknown {
		e.Ran = now.Sub(t.since)
	}
	c := crashloop.Judge(e, usualLossRate)
	if together || c.Excused {
		return nil
	}
	if j.isService() && e.Ran >= crashloop.ProvenAfter {
		delete(j.rec.Crashes, index)
	}
	if j.rec.Crashes[index].Has(c.Run) {
		return h.sawCrash(j, index, n) // told to an earlier home
	}
	if j.rec.Crashes == nil {
		j.rec.Crashes = map[int]crashloop.History{}
	}
	j.rec.Crashes[index] = append(shorten(j.rec.Crashes[index]), c)
	h.touch(j)
	return j.crashVerdict(index)
}

// sawCrash takes in what has turned out of a run whose loss was held against its task: that it
// was there, or that its worker has crashed under it. It returns why the job ends by it, or nil.
func (h *home) sawCrash(j *job, index int, n taskmsg.RunNews) *result.Error {
	history := j.rec.Crashes[index]
	at := slices.IndexFunc(history, func(c crashloop.Crash) bool { return c.Run == n.Run.Attempt && sightOf(c) < n.Sight() })
	if at < 0 {
		return nil
	}
	proven := n.Sight() == taskmsg.SightCrash
	history = slices.Clone(history)
	history[at].Unsure, history[at].Unheard, history[at].Proven = false, !proven, proven
	j.rec.Crashes[index] = history
	h.touch(j)
	return j.crashVerdict(index)
}

// crashVerdict returns why the job is given up for the crashes that were seen under a task,
// or nil.
func (j *job) crashVerdict(index int) *result.Error {
	seen := slices.DeleteFunc(slices.Clone(j.rec.Crashes[index]), isUnseen)
	if j.isService() || seen.Standing() < crashloop.GivenUp {
		return nil
	}
	return result.New(result.JobCrashesHosts, result.RanYes, "task %d: %s", index, seen)
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

func isUnseen(c crashloop.Crash) bool { return c.Unsure }

// shorten returns the history with room for one more crash: the oldest that nobody saw
// goes, or the oldest of all.
func shorten(h crashloop.History) crashloop.History {
	if len(h) < mostCrashes {
		return h
	}
	at := max(slices.IndexFunc(h, isUnseen), 0)
	return slices.Delete(slices.Clone(h), at, at+1)
}

// excuse drops what is held against tasks for the loss of workers that, as is known now,
// went together.
func (h *home) excuse(workers []string) {
	for _, j := range h.live {
		for index, history := range j.rec.Crashes {
			less := history
			for _, name := range workers {
				less = less.Without(name)
			}
			if len(less) < len(history) {
				j.rec.Crashes[index] = less
				h.touch(j)
			}
		}
	}
}

// crashPause is how long a lost task waits before its next start: what may crash its workers
// is tried ever more slowly, a service like one that fails. Finite work waits for losses that
// nobody saw, which end it never, but not for a single one.
func (j *job) crashPause(index int) time.Duration {
	history := j.rec.Crashes[index]
	if j.isService() {
		return pauseAfter(len(history))
	}
	unseen := 0
	for _, c := range history {
		if c.Unsure {
			unseen++
		}
	}
	return pauseAfter(unseen - 1)
}

// pauseAfter is the wait after so many losses.
func pauseAfter(n int) time.Duration {
	if n <= 0 {
		return 0
	}
	return failurePause(n)
}
