package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/speculation"
)

// DumpedCopy is a task with two runs, or with a late run that got no copy.
type DumpedCopy struct {
	Task  string `json:"task"`
	Queue string `json:"queue"`
	// Run, Host and State are those of the current run, AgeMillis is the time since its order.
	Run       int    `json:"run"`
	Host      string `json:"host"`
	State     string `json:"state"`
	AgeMillis int64  `json:"age_ms"`
	// SecondRun, SecondHost and SecondState are those of the second run, if there is one.
	SecondRun   int    `json:"second_run,omitempty"`
	SecondHost  string `json:"second_host,omitempty"`
	SecondState string `json:"second_state,omitempty"`
	// Late is the reason for which the current run is late, and Refused why it has no copy.
	Late    string `json:"late,omitempty"`
	Refused string `json:"refused,omitempty"`
}

// dumpCopies returns the tasks with two runs or a late one, those that were ordered first at the top.
func (e *Engine) dumpCopies(now time.Time) (rows []DumpedCopy) {
	for g := range e.copies.groups {
		rows = append(rows, e.dumpGroupCopies(g, now)...)
	}
	slices.SortFunc(rows, func(a, b DumpedCopy) int {
		return cmp.Or(cmp.Compare(b.AgeMillis, a.AgeMillis), cmp.Compare(a.Task, b.Task))
	})
	return rows
}

func (e *Engine) dumpGroupCopies(g *group, now time.Time) (rows []DumpedCopy) {
	if g.job.state.Final() {
		return nil
	}
	limits := e.lateLimits(g)
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state != taskActive || t.cur == nil {
			continue
		}
		row := DumpedCopy{
			Task: g.task(i).String(), Queue: g.job.queue, Run: t.cur.No, Host: t.cur.placedOn.incarnationName(), State: t.cur.state.String(),
			AgeMillis: now.Sub(t.cur.orderedAt).Milliseconds(), Late: string(limits.lateness(t.cur, now)),
		}
		switch {
		case t.second != nil:
			row.SecondRun, row.SecondHost, row.SecondState = t.second.No, t.second.placedOn.incarnationName(), t.second.state.String()
		case row.Late != "":
			row.Refused = string(t.refusal)
		default:
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

// lateness returns the reason for which a run is late now, or speculation.NotLate.
func (l lateLimits) lateness(r *run, now time.Time) speculation.Cause {
	if at, cause := l.of(r).LateAt(); !now.Before(at) {
		return cause
	}
	return speculation.NotLate
}

// maxExplainedCopies is the maximum number of late tasks in the explanation of a step.
const maxExplainedCopies = 5

// explainCopies describes the late tasks of a step and their copies.
func (e *Engine) explainCopies(g *group, now time.Time) string {
	if !g.copyable() {
		return ""
	}
	rows := e.dumpGroupCopies(g, now)
	parts := make([]string, 0, maxExplainedCopies+1)
	for _, row := range rows[:min(len(rows), maxExplainedCopies)] {
		why := "no copy: " + cmp.Or(row.Refused, "not considered yet")
		if row.SecondRun > 0 {
			why = fmt.Sprintf("run %d on %s beside it (%s)", row.SecondRun, row.SecondHost, row.SecondState)
		}
		parts = append(parts, fmt.Sprintf("%s, run %d on %s (%s for %d ms; %s): %s", row.Task, row.Run, row.Host, row.State, row.AgeMillis, cmp.Or(row.Late, "in time"), why))
	}
	if left := len(rows) - len(parts); left > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", left))
	}
	return strings.Join(parts, "; ")
}
