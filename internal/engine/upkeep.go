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
func (e *Engine) SetWave(w upkeep.Rollout) {
	if e.upkeep != nil {
		e.upkeep.SetWave(w)
	}
}

// SetMachines handles the list of the platform's machines, which was requested at requestedAt.
func (e *Engine) SetMachines(machines []upkeep.Machine, err error, requestedAt, now time.Time) {
	e.now = now
	if err != nil {
		e.log(Event{What: "machines not listed", Why: err.Error(), Age: now.Sub(requestedAt)})
	}
	e.upkeep.UpdateMachines(machines, err, requestedAt, now)
}

// upkeepInterval is the time between two planning steps of the rollouts.
const upkeepInterval = 100 * time.Millisecond

// planUpkeep advances the maintenance rollouts.
func (e *Engine) planUpkeep(now time.Time) {
	if e.upkeep == nil || !now.Before(e.authorityUntil) || e.reconciling || now.Sub(e.upkeepPlannedAt) < upkeepInterval {
		return
	}
	e.upkeepPlannedAt = now
	orders, list := e.upkeep.Plan(hostDrainer{e, now}, now)
	e.out.ListMachines = list
	for _, o := range orders {
		e.log(Event{What: "machine ordered down", Host: string(o.Host), Why: string(o.Machine), Version: o.Rollout})
	}
	e.out.MachineOrders = append(e.out.MachineOrders, orders...)
	if e.upkeep.HasUnsavedProgress() {
		e.out.Commit = true
	}
}

// HandleUpkeepResult handles the result of an order to a machine.
func (e *Engine) HandleUpkeepResult(o UpkeepOrder, out upkeep.Outcome, err error, now time.Time) {
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
	e.upkeep.RecordOutcome(o, out, err, hostDrainer{e, now}, now)
	if h := e.hosts[o.Host]; h != nil && !h.pollInFlight {
		h.schedulePoll(now) // the poll shows whether the host has terminated
	}
}

// hostDrainer drains hosts for the maintenance planner.
type hostDrainer struct {
	*Engine
	at time.Time
}

var _ upkeep.HostControl = hostDrainer{}

// Drain implements upkeep.HostControl.
func (e hostDrainer) Drain(id host.ID) bool {
	h := e.hosts[id]
	if h == nil {
		return true
	}
	if !h.cordoned {
		h.cordoned = true
		h.touch()
		h.releaseReservations()
		e.log(Event{What: "host emptied", Host: string(id), Why: "upkeep"})
	}
	e.evictRuns(h, e.at)
	return len(h.runs) == 0
}

// Uncordon implements upkeep.HostControl.
func (e hostDrainer) Uncordon(id host.ID) {
	if h := e.hosts[id]; h != nil && h.cordoned {
		h.cordoned = false
		h.touch()
		e.capacityChanges++
	}
}

// Load implements upkeep.HostControl.
func (e hostDrainer) Load(id host.ID) int {
	if h := e.hosts[id]; h != nil {
		return len(h.runs)
	}
	return 0
}

// MayTerminate implements upkeep.HostControl: it protects long-running tasks, whose absence is bounded, and gangs,
// which would lose much work.
func (e hostDrainer) MayTerminate(id host.ID) bool {
	h := e.hosts[id]
	if h == nil {
		return true
	}
	for _, r := range h.runs {
		if g := r.group; g != nil && (g.step.Gang || g.step.LongRunning) && !r.stopRequested {
			return false
		}
	}
	return true
}

// mayStopReplica reports whether a task of a long-running step that is ready on a responsive host may be
// stopped without exceeding the step's limit of unavailable tasks.
func (g *group) mayStopReplica(r *run) bool {
	unavailable := 0
	for i := range g.tasks {
		cur := g.tasks[i].cur
		if cur != r && (cur == nil || cur.stopRequested || cur.percent < readyPercent || !cur.placedOn.unresponsiveSince.IsZero()) {
			unavailable++
		}
	}
	return unavailable < max(g.step.MaxUnavailable, 1)
}

// rolloutsToStore returns the progress of rollouts that has to be stored.
func (e *Engine) rolloutsToStore() []upkeep.Progress {
	if e.upkeep == nil {
		return nil
	}
	return e.upkeep.TakeProgress()
}
