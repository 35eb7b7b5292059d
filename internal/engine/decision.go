package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// confirmationWait is how long a quarantined task waits for the confirmation that the host with which it
// was lost has crashed: a crashed host is back after some seconds. If it started again sooner, it might
// crash one more host where answers get lost.
const confirmationWait = 3 * time.Second

// awaitConfirmation delays the restart of quarantined tasks that were lost with an unresponsive host.
func (e *Engine) awaitConfirmation(h *hostState, now time.Time) {
	for _, a := range h.pendingAttributions {
		g := e.groupOf(a.run.Task)
		if g == nil || g.suspicion < crashloop.Quarantined {
			continue
		}
		g.notBefore = later(g.notBefore, now.Add(confirmationWait))
	}
}

// deferredDecision is the decision, due later, whether crashes fail the jobs of the listed tasks.
type deferredDecision struct {
	due         time.Time
	incarnation string // of a host found terminated at a failover; empty otherwise
	list        []attribution
}

// Hosts found terminated at a failover ended while the partition had no holder, and are found one by
// one. Their crashes are counted at once, so that they are stored for the next holder. No job is failed
// for them before the state of the other hosts is known: if at least minCommonCause of them and one in
// commonCauseDivisor terminated, they had one cause, such as power, and no task is held responsible.
// Otherwise repeated power failures would fail jobs.
const (
	crashDecisionDelay = time.Second
	minCommonCause     = 3
	commonCauseDivisor = 4 // one host in so many
)

// processDecisions decides about jobs whose tasks were lost while the partition changed hands.
func (e *Engine) processDecisions(now time.Time) {
	together := e.terminatedAtFailover >= max(minCommonCause, e.inheritedHosts/commonCauseDivisor)
	for len(e.deferredDecisions) > 0 && !now.Before(e.deferredDecisions[0].due) {
		d := e.deferredDecisions[0]
		e.deferredDecisions = e.deferredDecisions[1:]
		if together && d.incarnation != "" {
			e.reviseCrashes(d.incarnation, crashloop.History.WithoutUnproven)
		}
		e.failCrashingJobs(d.list, now)
	}
}

// scheduleDecision schedules the decision on a group that the previous holder had found to crash its
// hosts, but whose job it had not failed yet.
func (e *Engine) scheduleDecision(g *group, now time.Time) {
	if g.suspicion != crashloop.Failed {
		return
	}
	d := deferredDecision{due: now.Add(crashDecisionDelay)}
	for i := range g.tasks {
		d.list = append(d.list, attribution{run: host.Run{Task: g.task(i)}})
	}
	e.deferredDecisions = append(e.deferredDecisions, d)
}

// failCrashingJobs fails the jobs of those tasks whose crash histories suffice.
func (e *Engine) failCrashingJobs(list []attribution, now time.Time) {
	for _, a := range list {
		g := e.groupOf(a.run.Task)
		if g == nil {
			continue
		}
		t := &g.tasks[a.run.Task.Index]
		if t.state == taskDone || t.crashes.Suspicion() != crashloop.Failed {
			continue
		}
		e.losses.MarkAttributed(t.crashes)
		g.job.endReason = result.New(result.JobCrashesHosts, result.RanUnknown, "task %v: %s", a.run.Task, t.crashes).Error()
		e.finish(g.job, record.StateFailed, now)
	}
}

// certainSilence is how long a host must be unresponsive before it is not taken for one that merely lost
// a call: where calls get lost, some nearby host is unresponsive at any moment.
const certainSilence = time.Second
