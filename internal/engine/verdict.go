package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// wordWithin is for how long a task on trial waits for it to be known whether the host that
// it was lost with has crashed: a host is back after some seconds. Tried before that, such
// a task may cost one host more where answers get lost.
const wordWithin = 3 * time.Second

// waitForWord has tasks on trial wait that were lost with a silent host.
func (e *Engine) waitForWord(h *hostState, now time.Time) {
	for _, a := range h.accused {
		g := e.groupOf(a.run.Task)
		if g == nil || g.standing < crashloop.OnTrial {
			continue
		}
		g.notBefore = later(g.notBefore, now.Add(wordWithin))
	}
}

// verdict is on tasks that were on a host which was found gone at a takeover.
type verdict struct {
	due  time.Time
	life string // of the host; empty for a former holder's finding
	list []accusation
}

// Hosts that are found gone at a takeover were lost while nobody watched, and are found one
// by one. Their crashes are counted at once, so that the holder after this one knows of
// them, but no job is given up for them before the other hosts are known: as many as
// shareTogether of all went for one cause, such as power, and accuse nobody. Else jobs would
// be given up where all power is lost again and again.
const (
	verdictAfter  = time.Second
	leastTogether = 3
	shareTogether = 4 // one in so many
)

// giveVerdicts decides about jobs whose tasks were lost while the partition changed hands.
func (e *Engine) giveVerdicts(now time.Time) {
	together := e.foundGone >= max(leastTogether, e.inheritedHosts/shareTogether)
	for len(e.verdicts) > 0 && !now.Before(e.verdicts[0].due) {
		v := e.verdicts[0]
		e.verdicts = e.verdicts[1:]
		if together && v.life != "" {
			e.revise(v.life, crashloop.History.WithoutUnproven)
		}
		e.convict(v.list, now)
	}
}

// verdictOn has a verdict given on a group that a former holder found guilty as it was
// succeeded.
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

// convict gives up the jobs of those tasks whose histories are enough for it.
func (e *Engine) convict(list []accusation, now time.Time) {
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

// silentForSure is after how long a silent host is no longer one that merely lost a call:
// where calls get lost, some host nearby is silent at any moment.
const silentForSure = time.Second
