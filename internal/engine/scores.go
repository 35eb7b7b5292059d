package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/denseset"
	"pulleyquay/internal/hostspeed"
	"pulleyquay/internal/prioqueue"
	"pulleyquay/internal/spec"
)

// Costs of placing a task on a host; the host with the lowest sum is chosen. The leftover decides between
// hosts that are equal otherwise.
const (
	costLeftover         = 1.0
	costRemoteData       = 100.0 // outside the rack of its data
	costFailedBefore     = 50.0  // the task failed on this host before
	costReserved         = 300.0 // slots are reserved there for another step
	costHostFailures     = 5.0   // the last task on this host failed
	costSuspects         = 30.0  // for a suspect task, a host with suspects of other jobs: separated, suspects crash fewer hosts
	costBackfillCrowding = 20.0  // for a backfill task: no processor time is left over there
	costSlowHost         = 3.0   // for latency-sensitive work, a host that takes twice as long as the mean
	gainSlowHost         = 1.0   // for other work, likewise
	costUnanswered       = 2.0   // for latency-sensitive work, a host that has just left a call unanswered: more than that of any free host
)

// cost returns the placement cost of a task of a step on a host.
func (e *Engine) cost(g *group, h *hostState) float64 {
	size := g.step.Allocation()
	free := h.free()
	left := free.Sub(size)
	cost := costLeftover * leftover(left, h.info.Size)
	if g.step.DataRack != "" && g.step.DataRack != h.info.Rack {
		cost += costRemoteData
	}
	for _, r := range h.reserved {
		if r.group != g {
			cost += costReserved
			break
		}
	}
	if h.failures > 0 {
		cost += costHostFailures
	}
	if slower := h.speed.RelativeRunTime() - 1; g.latencySensitive() {
		cost += costSlowHost*slower + costUnanswered*hostspeed.UnansweredWeight(h.unansweredAt, e.now)
	} else {
		cost -= gainSlowHost * slower
	}
	if g.suspicion >= crashloop.Suspect && h.suspectRuns > g.suspectRunsOn(h) {
		cost += costSuspects
	}
	if g.step.Backfill {
		idle := free.MilliCPU - h.backfillDemand().MilliCPU
		cost += costBackfillCrowding * (1 - fraction(idle, h.info.Size.MilliCPU))
	}
	return cost
}

// servicePool aggregates the hosts of a service.
type servicePool struct {
	// maxFree is the largest free capacity of a host in each dimension at the start of the scheduling
	// pass.
	maxFree spec.Resources
	// total is the size of the hosts that took new work at the start of the scheduling pass.
	total spec.Resources
	// maxSize is the largest size of a host in each dimension.
	maxSize spec.Resources

	// open counts the hosts of the working set, openSize is their size; inUse is what runs on all hosts use.
	open            int
	openSize, inUse spec.Resources
	// parked are the hosts that may be unparked, parkedRacks the same hosts by rack; extendedAt is when the
	// working set was last extended for a step.
	parked      *prioqueue.Queue[*hostState, parkedRank]
	parkedRacks map[string]*denseset.Set[*hostState]
	extendedAt  time.Time

	// freeCPU, freeMem and freeAcc have the hosts that total counts by what is free, the most first.
	freeCPU, freeMem, freeAcc *prioqueue.Queue[*hostState, int64]
}

func newServicePool() *servicePool {
	mostFirst := func(a, b int64) bool { return a > b }
	return &servicePool{
		parked: prioqueue.New[*hostState](parkedRank.before), parkedRacks: map[string]*denseset.Set[*hostState]{},
		freeCPU: prioqueue.New[*hostState](mostFirst), freeMem: prioqueue.New[*hostState](mostFirst), freeAcc: prioqueue.New[*hostState](mostFirst),
	}
}

// putHost counts a placeable host, or updates what it counts for.
func (p *servicePool) putHost(h *hostState) {
	entry := &h.entry
	if entry.pool == nil {
		entry.pool, entry.size = p, h.info.Size
		p.total = p.total.Add(entry.size)
	}
	free := h.free()
	p.freeCPU.Set(entry.freeCPU, free.MilliCPU)
	p.freeMem.Set(entry.freeMem, free.MemoryMiB)
	p.freeAcc.Set(entry.freeAcc, free.Accelerators)
}

// removeHost stops counting a host.
func (p *servicePool) removeHost(h *hostState) {
	entry := &h.entry
	p.total = p.total.Sub(entry.size)
	entry.pool, entry.size = nil, spec.Resources{}
	p.freeCPU.Remove(entry.freeCPU)
	p.freeMem.Remove(entry.freeMem)
	p.freeAcc.Remove(entry.freeAcc)
}

// largestFree returns the largest free capacity of a host in each dimension.
func (p *servicePool) largestFree() spec.Resources {
	if p.freeCPU.Len() == 0 {
		return spec.Resources{}
	}
	largest := spec.Resources{MilliCPU: p.freeCPU.First().Priority(), MemoryMiB: p.freeMem.First().Priority(), Accelerators: p.freeAcc.First().Priority()}
	return largest.Max(spec.Resources{})
}

// poolOf returns the pool of a service.
func (e *Engine) poolOf(service string) *servicePool {
	p := e.pools[service]
	if p == nil {
		p = newServicePool()
		e.pools[service] = p
	}
	return p
}

// leftover returns the share of a host that remains free, averaged over its dimensions. Accelerators count
// only where the host has some, so that tasks that need one are packed together.
func leftover(left, size spec.Resources) float64 {
	sum := fraction(left.MilliCPU, size.MilliCPU) + fraction(left.MemoryMiB, size.MemoryMiB)
	if size.Accelerators == 0 {
		return sum / 2
	}
	return (sum + fraction(left.Accelerators, size.Accelerators)) / 3
}

// fraction returns part/whole, or zero for a zero whole.
func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
