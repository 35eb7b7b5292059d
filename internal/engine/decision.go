package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// confirmationWait is how long a quarantined task waits to learn whether the host that it was lost with
// has crashed: a host is back after some seconds. Started again sooner, such a task may cost one more
// host where answers get lost.
const confirmationWait = 3 * time.Second

// awaitConfirmation delays the restart of quarantined tasks that were lost with an unresponsive host.
func (e *Engine) awaitConfirmation(h *hostState, now time.Time) {
	for _, a := range h.accused {
		g := e.groupOf(a.run.Task)
		if g == nil || g.standing < crashloop.OnTrial {
			continue
		}
		g.notBefore = later(g.notBefore, now.Add(confirmationWait))
	}
}

// deferredDecision is the decision, due later, whether crashes fail the jobs of the listed tasks.
type verdict struct {
	due  time.Time
	life string // incarnation of a host found terminated at a failover; empty otherwise
	list []accusation
}

// Hosts found terminated at a failover were lost while no holder watched, and are found one by one.
// Their crashes are counted at once, so that the next holder knows of them. No job is failed for them
// before the other hosts are known: if at least minCommonCause of them and one in
// commonCauseDivisor terminated, they had one cause, such as power, and no task is held responsible.
// Otherwise repeated power failures would fail jobs.
const (
	verdictAfter       = time.Second
	minCommonCause     = 3
	commonCauseDivisor = 4 // one host in so many
)

// processDecisions decides about jobs whose tasks were lost while the partition changed hands.
func (e *Engine) processDecisions(now time.Time) {
	together := e.foundGone >= max(minCommonCause, e.inheritedHosts/commonCauseDivisor)
	for len(e.verdicts) > 0 && !now.Before(e.verdicts[0].due) {
		v := e.verdicts[0]
		e.verdicts = e.verdicts[1:]
		if together && v.life != "" {
			e.reviseCrashes(v.life, crashloop.History.WithoutUnproven)
		}
		e.failCrashingJobs(v.list, now)
	}
}

// scheduleDecision schedules the decision on a group that a previous holder had found to crash its hosts
// when it was replaced.
func (e *Engine) verdictOn(g *group, now time.Time) {
	if g.standing != crashloop.GivenUp {
		return
	}
	v := verdict{due: now.Add(verdictAfter)}
	for i := range g.tasks {
		v.list = append(v.list, accusation{run: host.Run{Task: g.task(i)}})
	}
	e.verdicts = append(e.verdicts, v)
}

// failCrashingJobs fails the jobs of those tasks whose crash histories suffice.
func (e *Engine) failCrashingJobs(list []accusation, now time.Time) {
	for _, a := range list {
		g := e.groupOf(a.run.Task)
		if g == nil {
			continue
		}
		t := &g.tasks[a.run.Task.Index]
		if t.state == taskDone || t.crashes.Standing() != crashloop.GivenUp {
			continue
		}
		e.losses.Explain(t.crashes)
		g.job.why = result.New(result.JobCrashesHosts, result.RanUnknown, "task %v: %s", a.run.Task, t.crashes).Error()
		e.finish(g.job, record.StateFailed, now)
	}
}

// certainSilence is how long a host must be unresponsive before it is not taken for one that merely lost
// a call: where calls get lost, some nearby host is unresponsive at any moment.
const certainSilence = time.Second
