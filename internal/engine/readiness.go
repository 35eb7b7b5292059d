package engine

import "time"

// A step is ready while its turn has come and it has tasks to start. Whether it is follows from its state alone, and
// each change of that state is followed by refresh: a task changes its state, a preceding step is done, the job ends.
// Ready steps before their due time wait among the incoming ones.

// isReady reports whether the step is to be among the ready ones. A gang is only as a whole.
func (g *group) isReady() bool {
	switch {
	case g.pendingDeps > 0 || g.job.state.Final():
		return false
	case g.step.Gang:
		return g.gangIdle()
	}
	return g.waiting > 0
}

// refresh brings the ready steps up to date after a change of a step's state.
func (e *Engine) refresh(g *group) {
	e.updateDueSince(g, e.now)
	if !g.isReady() {
		g.ready = false
		delete(e.ready, g.id)
		g.releaseReservation()
		return
	}
	if g.ready {
		return
	}
	g.ready = true
	e.ready[g.id] = g
	if !g.queued && !g.incoming {
		g.incoming = true
		e.incoming = append(e.incoming, g)
	}
}

// updateDueSince records since when the turn of a step has come.
func (e *Engine) updateDueSince(g *group, now time.Time) {
	if g.dueSince.IsZero() && g.pendingDeps == 0 && !now.Before(g.due) {
		g.dueSince = now
	}
}

// updateIncoming records which of the incoming steps have become due.
func (e *Engine) updateIncoming(now time.Time) {
	for _, g := range e.incoming {
		e.updateDueSince(g, now)
	}
}

// setState changes the state of a task and what follows from it for its step.
func (e *Engine) setState(g *group, i int, s taskState) {
	t := &g.tasks[i]
	switch t.state {
	case taskWaiting:
		g.waiting--
	case taskUnconfirmed:
		g.job.account.addUnconfirmed(g, -1)
	case taskDone:
		g.undone++
	}
	t.state = s
	switch s {
	case taskWaiting:
		g.waiting++
	case taskUnconfirmed:
		g.job.account.addUnconfirmed(g, 1)
	case taskDone:
		g.undone--
	}
	e.refresh(g)
}
