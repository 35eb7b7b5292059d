package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/speculation"
)

// The inputs of package speculation: which runs are late, what the cell has running, and what waits.

// lateRun is the current run of a task that is late.
type lateRun struct {
	*run
	since time.Time
	cause speculation.Cause
}

// runCount counts the tasks of a queue or a step with a run, and the late ones.
type runCount struct{ running, late int }

// runSurvey is the result of a check for late runs.
type runSurvey struct {
	late    []lateRun // without a second run
	byQueue map[string]*runCount
	byGroup map[*group]runCount
	pairs   int
	// nextAt is when the next of the other runs becomes late, zero if none does.
	nextAt time.Time
	// runs counts the runs of all hosts, and waiting has the services and priorities of which steps wait for
	// capacity. Both are computed once there is a late run.
	runs    int
	waiting map[waitingClass]struct{}
}

// waitingClass is a service and a priority of steps that wait for capacity.
type waitingClass struct {
	service  string
	priority int
}

// surveyRuns checks the runs of speculative steps, and drops the steps without any.
func (e *Engine) surveyRuns(now time.Time) runSurvey {
	s := runSurvey{byQueue: map[string]*runCount{}, byGroup: map[*group]runCount{}}
	for g := range e.copies.groups {
		if !e.surveyGroup(g, &s, now) {
			delete(e.copies.groups, g)
		}
	}
	slices.SortFunc(s.late, func(a, b lateRun) int {
		return cmp.Or(compareSteps(a.group, b.group), a.since.Compare(b.since), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return s
}

// surveyGroup checks the runs of one step. It reports whether there are any.
func (e *Engine) surveyGroup(g *group, s *runSurvey, now time.Time) bool {
	if g.job.state.Final() || g.undone == 0 {
		return false
	}
	count := s.byQueue[g.job.rec.Queue]
	if count == nil {
		count = &runCount{}
		s.byQueue[g.job.rec.Queue] = count
	}
	var own runCount
	limits := e.lateLimits(g)
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state != taskActive || t.cur == nil {
			continue
		}
		own.running++
		at, cause := limits.of(t.cur).LateAt()
		late := cause != speculation.NotLate && !now.Before(at)
		if late {
			own.late++
		}
		switch {
		case t.second != nil:
			s.pairs++
		case late && !now.Before(t.retryAt):
			s.late = append(s.late, lateRun{t.cur, at, cause})
		case cause != speculation.NotLate:
			s.expect(later(at, t.retryAt))
		}
	}
	count.running += own.running
	count.late += own.late
	s.byGroup[g] = own
	return own.running > 0
}

// expect records when a run becomes late.
func (s *runSurvey) expect(at time.Time) {
	if s.nextAt.IsZero() || at.Before(s.nextAt) {
		s.nextAt = at
	}
}

// lateLimits are the times after which runs of a step are late.
type lateLimits struct{ expected, nearlyAll, patience time.Duration }

func (e *Engine) lateLimits(g *group) lateLimits {
	nearlyAll, _ := e.runtimes.Quantile(g.job.rec.Queue, g.step.Estimate(), speculation.LateQuantile)
	patience := speculation.Patience(g.expected, g.job.rec.Rules.CriticalPathFactor)
	return lateLimits{g.expected, nearlyAll, e.copies.ackTime.Extend(patience)}
}

// of describes a run for package speculation.
func (l lateLimits) of(r *run) speculation.Run {
	out := speculation.Run{
		OrderedAt: r.orderedAt, UnresponsiveSince: r.placedOn.unresponsiveSince, PredictedEnd: r.predictedEnd(),
		Expected: l.expected, NearlyAll: l.nearlyAll, Patience: l.patience,
	}
	if r.acknowledged {
		out.AcknowledgedAt = r.confirmedAt
	}
	if r.stopRequested {
		out.NearlyAll = 0 // its end arrives soon if its host answers
	}
	return out
}

// predictedEnd returns when the run ends according to its progress; zero if it has not been observed for long
// enough.
func (r *run) predictedEnd() time.Time {
	observed, done := r.progressAt.Sub(r.firstAt), r.percent-r.firstPercent
	if r.firstAt.IsZero() || observed <= minRateWindow || done <= 0 {
		return time.Time{}
	}
	return r.progressAt.Add(time.Duration((percentDone - r.percent) / done * float64(observed)))
}

// mayCrashHost reports whether hosts have crashed under a task of the run's job, or there is evidence that
// the run's host has crashed. Its crash is attributed first.
func (r *run) mayCrashHost() bool {
	for _, g := range r.group.job.groups {
		if g.suspicion != crashloop.Unsuspected {
			return true
		}
	}
	h := r.placedOn
	return h.processEnded || h.terminated || !h.unreachableSince.IsZero() || !h.connBrokenAt.IsZero() || len(h.pendingAttributions) > 0
}

// silentHosts counts the unresponsive hosts with runs of the job.
func (j *job) silentHosts() int {
	silent := map[*hostState]struct{}{}
	for _, g := range j.groups {
		for h := range g.perHost {
			if !h.unresponsiveSince.IsZero() {
				silent[h] = struct{}{}
			}
		}
	}
	return len(silent)
}

// countRuns counts the recorded runs of all hosts.
func (e *Engine) countRuns() (n int) {
	for _, h := range e.index.busy.All() {
		n += len(h.runs)
	}
	return n
}

// usualStartQueries is how many policy queries a step usually needs before it starts; one that has waited
// for longer waits for capacity.
const usualStartQueries = 2

// waitingClasses returns the services and priorities of which steps wait for capacity. Steps that wait for
// their accounts' quotas, and those of jobs without value, do not count.
func (e *Engine) waitingClasses(now time.Time) map[waitingClass]struct{} {
	out := map[waitingClass]struct{}{}
	for _, g := range e.queue {
		class := waitingClass{g.job.rec.Service, g.job.rec.Rules.Priority}
		if _, known := out[class]; known || !g.ready || g.waiting == 0 || g.job.expiredRank() > 0 {
			continue
		}
		if now.Sub(g.dueSince) > e.usualStart(g) && e.startableNow(g) > 0 {
			out[class] = struct{}{}
		}
	}
	return out
}

// stepsWait reports whether other steps of the same or a more urgent priority than g wait for capacity.
func (s *runSurvey) stepsWait(g *group) bool {
	for class := range s.waiting {
		if class.service == g.job.rec.Service && class.priority <= g.job.rec.Rules.Priority {
			return true
		}
	}
	return false
}

// usualStart returns how long a step usually waits for its start if there is capacity.
func (e *Engine) usualStart(g *group) time.Duration {
	wait := maxPassDelay
	if rules := g.job.rec.Rules.PolicyQuery; rules != nil {
		wait += usualStartQueries * rules.QueryDuration(e.cfg.Tuning.MaxHostsPerQuery)
	}
	return wait
}
