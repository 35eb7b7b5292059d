package engine

import (
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/upkeep"
)

// UpkeepOrder takes a machine down for maintenance.
type UpkeepOrder = upkeep.Order

// SetUpkeep sets the maintenance rollouts to plan. No order is issued before from.
func (e *Engine) SetUpkeep(from time.Time, stored []upkeep.Progress) {
	e.upkeep = upkeep.NewPlanner(from, stored)
}

// SetWave applies a rollout requested by an operator.
func (e *Engine) SetWave(w upkeep.Wave) {
	if e.upkeep != nil {
		e.upkeep.SetWave(w)
	}
}

// SetMachines handles the list of the platform's machines, which was requested at asked.
func (e *Engine) SetMachines(machines []upkeep.Machine, err error, asked, now time.Time) {
	e.now = now
	if err != nil {
		e.log(Event{What: "machines not listed", Why: err.Error(), Age: now.Sub(asked)})
	}
	e.upkeep.Listed(machines, err, asked, now)
}

// upkeepInterval is the time between two planning steps of the rollouts.
const upkeepInterval = 100 * time.Millisecond

// planUpkeep advances the maintenance rollouts.
func (e *Engine) planUpkeep(now time.Time) {
	if e.upkeep == nil || !now.Before(e.proved) || e.unsettled || now.Sub(e.upkeepPlannedAt) < upkeepInterval {
		return
	}
	e.upkeepPlannedAt = now
	orders, list := e.upkeep.Next(hostDrainer{e, now}, now)
	e.out.ListMachines = list
	for _, o := range orders {
		e.log(Event{What: "machine ordered down", Host: string(o.Host), Why: string(o.Machine), Version: o.Wave})
	}
	e.out.Upkeeps = append(e.out.Upkeeps, orders...)
	if e.upkeep.Behind() {
		e.out.Commit = true
	}
}

// Upkept handles the result of an order to a machine.
func (e *Engine) Upkept(o UpkeepOrder, out upkeep.Outcome, err error, now time.Time) {
	e.now = now
	why := ""
	if err != nil {
		why = err.Error()
	}
	e.log(Event{What: "machine answered", Host: string(o.Host), Why: string(o.Machine) + " " + out.String() + " " + why})
	if out == upkeep.Fenced && err == nil {
		e.deposed = true
		return
	}
	e.upkeep.Answered(o, out, err, hostDrainer{e, now}, now)
	if h := e.hosts[o.Host]; h != nil && !h.looking {
		h.lookAt = now // the poll shows whether the host is gone
	}
}

// hostDrainer drains hosts for the maintenance planner.
type hostDrainer struct {
	*Engine
	at time.Time
}

var _ upkeep.Cell = hostDrainer{}

// Empty implements upkeep.Cell.
func (e hostDrainer) Empty(id host.ID) bool {
	h := e.hosts[id]
	if h == nil {
		return true
	}
	if !h.closed {
		h.closed = true
		h.unreserveHost()
		e.log(Event{What: "host emptied", Host: string(id), Why: "upkeep"})
	}
	e.moveOff(h, e.at)
	return len(h.runs) == 0
}

// Keep implements upkeep.Cell.
func (e hostDrainer) Keep(id host.ID) {
	if h := e.hosts[id]; h != nil && h.closed {
		h.closed = false
		e.room++
	}
}

// Load implements upkeep.Cell.
func (e hostDrainer) Load(id host.ID) int {
	if h := e.hosts[id]; h != nil {
		return len(h.runs)
	}
	return 0
}

// MayEnd implements upkeep.Cell: it protects long-running tasks, whose absence is bounded, and gangs,
// which would lose much work.
func (e hostDrainer) MayEnd(id host.ID) bool {
	h := e.hosts[id]
	if h == nil {
		return true
	}
	for _, r := range h.runs {
		if g := r.group; g != nil && (g.step.Gang || g.step.LongRunning) && !r.unwanted {
			return false
		}
	}
	return true
}

// mayMiss reports whether a task of a long-running step that is ready on a healthy host may be stopped:
// with the other absent tasks the step stays within its limit.
func (g *group) mayMiss(r *run) bool {
	away := 0
	for i := range g.tasks {
		cur := g.tasks[i].cur
		if cur != r && (cur == nil || cur.unwanted || cur.percent < atWork || !cur.on.silent.IsZero()) {
			away++
		}
	}
	return away < max(g.step.MayMiss, 1)
}

// waveWrites returns the progress of rollouts that has to be stored.
func (e *Engine) waveWrites() []upkeep.Progress {
	if e.upkeep == nil {
		return nil
	}
	return e.upkeep.Changed()
}
