package engine

import (
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// A host that crashes takes all its runs with it, and one of them may have caused it. What
// is held against which task, and when a job is given up, package crashloop decides; here
// the evidence is gathered and kept, and those under suspicion are kept apart.
//
// A crash is certain when the host's machine turns calls away, or another life answers at
// its address; it is taken for one when its lease is over and its entry has gone from the
// list. A host that is heard again in the same life acquits the runs that it lost.

// accusation is a crash that may be held against a task.
type accusation struct {
	run      host.Run
	evidence crashloop.Evidence
}

// accusations gathers the evidence against all that ran on a host, or may have run there
// under a former holder. Hosts that leave as they were told to are nobody's fault.
func (e *Engine) accusations(h *hostState, now time.Time) []accusation {
	if h.leaves() {
		return nil
	}
	var out []accusation
	for _, r := range h.runs {
		if r.group == nil || r.state == runOrdered {
			continue // it may have begun nothing: no answer has come yet
		}
		out = append(out, accusation{r.Run, crashloop.Evidence{
			Run: r.No, Host: h.lifeName(), Machine: h.info.Addr, Ran: r.ranFor(now), Unknown: r.adopted, Unsure: !r.begun, Proven: r.there, Newest: r.newest(),
		}})
	}
	for _, r := range slices.Concat(h.mayRun, h.tried) {
		out = append(out, accusation{r.Run, crashloop.Evidence{Run: r.No, Host: h.lifeName(), Machine: h.info.Addr, Unknown: true, Unsure: r.unsure}})
	}
	return out
}

// leaves reports whether the host was to end, and its end so accuses nobody.
func (h *hostState) leaves() bool { return h.info.Draining || h.drained || h.closed }

// ranFor is for how long a run had been on its host when that was first missed since. Where
// calls were lost before, that is now.
func (r *run) ranFor(now time.Time) time.Duration {
	missed := now
	for _, at := range []time.Time{r.on.missedAt, r.on.endedBy, r.on.silent, r.on.refused} {
		if at.After(r.sent) && at.Before(missed) {
			missed = at
		}
	}
	return missed.Sub(r.sent)
}

// newest reports whether no run of another job was started on the host as late, and none
// there is a suspect itself, which would have innocent jobs given up for its crashes.
func (r *run) newest() bool {
	for _, other := range r.on.runs {
		if other.group != nil && other.group.job == r.group.job {
			continue
		}
		if other.suspect || !other.sent.Before(r.sent) {
			return false
		}
	}
	return true
}

// accuse holds a host's crash against the tasks that were there.
func (e *Engine) accuse(h *hostState, list []accusation, now time.Time) {
	h.accused = nil
	if h.leaves() {
		return
	}
	if !h.claimed {
		if h.inherited {
			e.foundGone++
			e.losses.Add(h.lifeName(), h.info.Rack, now)
			e.judge(list, 0, now)
			e.verdicts = append(e.verdicts, verdict{now.Add(verdictAfter), h.lifeName(), list})
		}
		return // a life that ended before it was ever spoken to
	}
	at := now
	switch {
	case !h.endedBy.IsZero():
		at = h.endedBy
	case !h.silent.IsZero():
		at = h.silent
	}
	together := e.wentTogether(h, at, now)
	silent := e.silentNow(h, now)
	e.losses.Add(h.lifeName(), h.info.Rack, at)
	if !h.gone && len(list) > 0 {
		e.exiles[h.lifeName()] = now
	}
	for i := range list {
		list[i].evidence.Together = together
	}
	if together {
		e.revise(h.lifeName(), crashloop.History.Excuse)
	}
	e.judge(list, silent, now)
	e.convict(list, now)
}

// judge holds each accusation against its task as far as its evidence goes, while so many
// other hosts are silent.
func (e *Engine) judge(list []accusation, silent int, now time.Time) {
	for _, a := range list {
		e.holdAgainst(a.run, a.evidence, silent, now)
	}
}

// silentNow counts the other hosts that have surely gone: they are not even reached, or
// have been silent for about as long as a look takes to fail.
func (e *Engine) silentNow(h *hostState, now time.Time) int {
	n := 0
	for _, other := range e.sorted {
		if other != h && other.listed && (!other.refused.IsZero() || other.silentFor(now) >= 3*silentForSure) {
			n++
		}
	}
	return n
}

// wentTogether reports whether the host's whole rack fell silent with it.
func (e *Engine) wentTogether(h *hostState, at, now time.Time) bool {
	silent, present := 0, 0
	for _, other := range e.sorted {
		if other == h || other.info.Rack != h.info.Rack {
			continue
		}
		present++
		if other.silentFor(now) >= silentForSure && crashloop.Near(other.silent, at) {
			silent++
		}
	}
	return e.losses.Together(h.lifeName(), h.info.Rack, at, silent, present)
}

// holdAgainst adds a crash to what a task has caused so far. The task starts again only when
// the store has it: a next holder counts on.
func (e *Engine) holdAgainst(r host.Run, evidence crashloop.Evidence, silent int, now time.Time) {
	g := e.groupOf(r.Task)
	if g == nil {
		return
	}
	t := &g.tasks[r.Task.Index]
	if t.state == taskDone || t.crashes.Has(r.No) {
		return
	}
	under := append(slices.Clone(t.crashes), crashloop.Crash{Host: evidence.Host})
	rate := e.losses.Rate(len(e.sorted), silent, under, now)
	c := crashloop.Judge(evidence, rate)
	if c.Excused && g.step.LongRunning {
		return // hosts crash under a service that runs for months: it is not given up for that
	}
	t.crashes = t.crashes.AtRate(rate).With(c)
	g.judgeStanding()
	g.job.crashesNew = true
	e.touch(g.job)
	e.log(Event{What: "crash held against task", Kind: c.How(), Job: g.job.id(), Step: g.id.String(), Host: c.Host, Why: fmt.Sprintf("task %d: %s", r.Task.Index, t.crashes)})
}

// judgeStanding works out the worst standing of the group's tasks.
func (g *group) judgeStanding() {
	g.standing = crashloop.Unsuspected
	for i := range g.tasks {
		if t := &g.tasks[i]; t.state != taskDone {
			g.standing = max(g.standing, t.crashes.Standing())
		}
	}
}

// acquit drops what is held against tasks as a host was thought to have crashed that has
// answered again in the same life.
func (e *Engine) acquit(h *hostState) {
	h.accused, h.held = nil, false
	life := h.lifeName()
	if _, exiled := e.exiles[life]; !exiled {
		return
	}
	delete(e.exiles, life)
	e.revise(life, crashloop.History.Without)
}

// exiledFor is for how long a life that is thought to be over acquits the tasks that were
// there if it answers.
const exiledFor = 5 * time.Minute

func (e *Engine) forgetExiles(now time.Time) {
	for life, since := range e.exiles {
		if now.Sub(since) > exiledFor {
			delete(e.exiles, life)
		}
	}
}

// revise changes what is held against tasks for a host's end.
func (e *Engine) revise(life string, change func(h crashloop.History, life string) crashloop.History) {
	for _, j := range e.live {
		for _, g := range j.groups {
			e.reviseGroup(g, life, change)
		}
	}
}

func (e *Engine) reviseGroup(g *group, life string, change func(h crashloop.History, life string) crashloop.History) {
	if g.standing == crashloop.Unsuspected {
		return
	}
	for i := range g.tasks {
		t := &g.tasks[i]
		revised := change(t.crashes, life)
		if slices.Equal(revised, t.crashes) {
			continue
		}
		t.crashes = revised
		e.touch(g.job)
		e.log(Event{What: "crash taken back", Job: g.job.id(), Step: g.id.String(), Host: life, Why: fmt.Sprintf("task %d: %s", i, revised)})
	}
	g.judgeStanding()
}

// prove clears a task that lasts once it has run soundly for long: hosts crash under a
// service that runs for months.
func (e *Engine) prove(r *run, now time.Time) {
	if !r.suspect || r.group == nil || !r.group.step.LongRunning || now.Sub(r.known) < crashloop.ProvenAfter {
		return
	}
	r.suspect = false
	r.on.suspects--
	r.group.tasks[r.Task.Index].crashes = nil
	r.group.judgeStanding()
	e.touch(r.group.job)
}

// heldBack reports whether a task, or, without one, the whole group, may not start yet as a
// run of it is left over on a host, as crashes under it are not in the store, or as the verdict
// on it is to come.
func (e *Engine) heldBack(g *group, t *task) bool {
	if g.anyLeftOver(t) {
		return true
	}
	if g.standing == crashloop.Unsuspected || t != nil && len(t.crashes) == 0 {
		return false
	}
	return g.standing == crashloop.GivenUp || g.job.crashesNew || g.job.crashesIn > e.durable
}

// present is the present run of the task, or nil.
func (t *task) present() *record.RunOn {
	if t.cur == nil {
		return nil
	}
	return &record.RunOn{Run: t.cur.No, Host: string(t.cur.on.info.ID), Seen: t.cur.begun}
}

// inheritCrashes takes in the crashes under a task that a former holder has stored, and
// where that one tried it last: the host may have crashed as the partition changed hands.
func (e *Engine) inheritCrashes(g *group, i int, s record.StepProgress, now time.Time) {
	g.tasks[i].crashes = s.Crashed[i]
	for _, c := range s.Crashed[i] {
		e.exiles[c.Host] = now
	}
	at, trying := s.Trying[i]
	h := e.hosts[host.ID(at.Host)]
	if !trying || h == nil {
		return
	}
	r := host.Run{Task: g.task(i), No: at.Run}
	if !h.claimed && !slices.ContainsFunc(h.mayRun, func(may mayRun) bool { return may.Run == r }) {
		h.tried = append(h.tried, mayRun{r, !at.Seen})
	}
}
