package engine

import (
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/upkeep"
)

// UpkeepOrder takes a machine down for its upkeep.
type UpkeepOrder = upkeep.Order

// SetUpkeep gives the engine the waves of upkeep to plan. No order is given before
// from.
func (e *Engine) SetUpkeep(from time.Time, stored []upkeep.Progress) {
	e.upkeep = upkeep.NewPlanner(from, stored)
}

// SetWave takes in a wave that an operator has asked for.
func (e *Engine) SetWave(w upkeep.Wave) {
	if e.upkeep != nil {
		e.upkeep.SetWave(w)
	}
}

// SetMachines takes in the platform's machines, asked for at asked.
func (e *Engine) SetMachines(machines []upkeep.Machine, err error, asked, now time.Time) {
	e.now = now
	if err != nil {
		e.log(Event{What: "machines not listed", Why: err.Error(), Age: now.Sub(asked)})
	}
	e.upkeep.Listed(machines, err, asked, now)
}

// upkeepEvery is how often waves are moved on.
const upkeepEvery = 100 * time.Millisecond

// planUpkeep moves the waves on.
func (e *Engine) planUpkeep(now time.Time) {
	if e.upkeep == nil || !now.Before(e.proved) || e.unsettled || now.Sub(e.upkeepAt) < upkeepEvery {
		return
	}
	e.upkeepAt = now
	orders, list := e.upkeep.Next(emptier{e, now}, now)
	e.out.ListMachines = list
	for _, o := range orders {
		e.log(Event{What: "machine ordered down", Host: string(o.Host), Why: string(o.Machine), Version: o.Wave})
	}
	e.out.Upkeeps = append(e.out.Upkeeps, orders...)
	if e.upkeep.Behind() {
		e.out.Commit = true
	}
}

// Upkept takes in the outcome of an order to a machine.
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
	e.upkeep.Answered(o, out, err, emptier{e, now}, now)
	if h := e.hosts[o.Host]; h != nil && !h.looking {
		h.lookAt = now // it tells whether the host is gone
	}
}

// emptier empties hosts for the upkeep planner.
type emptier struct {
	*Engine
	at time.Time
}

var _ upkeep.Cell = emptier{}

// Empty implements upkeep.Cell.
func (e emptier) Empty(id host.ID) bool {
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
func (e emptier) Keep(id host.ID) {
	if h := e.hosts[id]; h != nil && h.closed {
		h.closed = false
		e.room++
	}
}

// Load implements upkeep.Cell.
func (e emptier) Load(id host.ID) int {
	if h := e.hosts[id]; h != nil {
		return len(h.runs)
	}
	return 0
}

// MayEnd implements upkeep.Cell: tasks whose absence is bounded are not ended, nor
// gangs, of which much would be lost.
func (e emptier) MayEnd(id host.ID) bool {
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

// mayMiss reports whether one task of a long-running step may be stopped that is
// at work on a sound host: the others that are away leave the step its due.
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

// waveWrites is what has to be stored of the waves.
func (e *Engine) waveWrites() []upkeep.Progress {
	if e.upkeep == nil {
		return nil
	}
	return e.upkeep.Changed()
}
