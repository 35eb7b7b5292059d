package scheduler

import (
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// place is one possible place for a task, as the scores see it.
type place struct {
	size *taskmsg.Size
	free spec.Resources
	// zoneRuns and zoneSpan compare the job's runs in this zone with the zones
	// that have fewest and most.
	zoneRuns, zoneLeast, zoneMost int
	// rackRuns is the number of the job's runs in this rack.
	rackRuns int
}

// score rates a place between 0 (worst) and 1 (best).
type score struct {
	name   string
	weight float64
	rate   func(*Ask, *place) float64
	// fixed scores do not depend on what is left of the worker, nor on its rack.
	fixed bool
}

// The weights. Spreading outweighs all else because it is about surviving a
// loss. Balance outweighs fit: what strands processors or memory is mostly that
// the other has run out there; docs/PLACEMENT.md has the figures that chose it.
const (
	weightZones        = 64
	weightRacks        = 32
	weightAccelerators = 4
	weightFit          = 2
	weightBalance      = 16
	weightGeneration   = 0.5
)

// guestRate is the best rate of a worker with accelerators for a task without.
const guestRate = 0.5

var (
	spreadZones      = score{"spread-zones", weightZones, rateZones, true}
	spreadRacks      = score{"spread-racks", weightRacks, rateRacks, false}
	keepAccelerators = score{"keep-accelerators", weightAccelerators, rateAccelerators, false}
	bestFit          = score{"best-fit", weightFit, rateBestFit, false}
	leastUsed        = score{"least-used", weightFit, rateLeastUsed, false}
	balance          = score{"balance", weightBalance, rateBalance, false}
	keepNew          = score{"keep-new-processors", weightGeneration, rateGeneration, true}
)

// scoresOf returns the scores that a policy adds up.
func scoresOf(p *taskmsg.Policy) []score {
	if p.Name == settings.PolicyPacking {
		return packingScores
	}
	return waitingScores
}

var (
	packingScores = []score{keepAccelerators, bestFit, balance, keepNew, spreadZones, spreadRacks}
	waitingScores = []score{keepAccelerators, leastUsed, balance, keepNew, spreadZones, spreadRacks}
)

// total adds up the weighted scores of a place.
func total(scores []score, a *Ask, p *place) float64 {
	var sum float64
	for i := range scores {
		sum += scores[i].weight * scores[i].rate(a, p)
	}
	return sum
}

// bound is the most that total can give for any worker of a group: fixed scores
// count as they are, the others as 1.
func bound(scores []score, a *Ask, p *place) float64 {
	var sum float64
	for i := range scores {
		rate := 1.0
		switch {
		case scores[i].fixed:
			rate = scores[i].rate(a, p)
		case scores[i].name == keepAccelerators.name && a.size().Accelerators == 0 && p.size.Size.Accelerators > 0:
			rate = guestRate
		}
		sum += scores[i].weight * rate
	}
	return sum
}

// rateRacks prefers racks with few runs of the job.
func rateRacks(_ *Ask, p *place) float64 { return 1 / float64(1+p.rackRuns) }

// rateZones prefers the zones with the fewest runs of the job.
func rateZones(a *Ask, p *place) float64 {
	if !a.Shape.Policy.SpreadZones || p.zoneMost == p.zoneLeast {
		return 1
	}
	return 1 - float64(p.zoneRuns-p.zoneLeast)/float64(p.zoneMost-p.zoneLeast)
}

// rateAccelerators keeps workers with accelerators for those who need them, and
// among these the ones with many for those who need many. Other tasks that go
// there after all go where the free accelerators keep their share of processors
// and memory.
func rateAccelerators(a *Ask, p *place) float64 {
	have := p.size.Size.Accelerators
	if have == 0 {
		return 1
	}
	need := a.size().Accelerators
	if need > 0 {
		return 1 - share(p.free.Accelerators-need, have)
	}
	cpu, mem := leftover(a, p)
	accelerators := share(p.free.Accelerators, have)
	if accelerators == 0 {
		return guestRate
	}
	return guestRate * min(1, cpu/accelerators, mem/accelerators)
}

// rateBestFit prefers the place with the least left over.
func rateBestFit(a *Ask, p *place) float64 {
	cpu, mem := leftover(a, p)
	return 1 - (cpu+mem)/2
}

// rateLeastUsed prefers the place with most left of what is tightest there.
func rateLeastUsed(a *Ask, p *place) float64 {
	cpu, mem := leftover(a, p)
	return min(cpu, mem)
}

// rateBalance prefers places where processors and memory run out together.
func rateBalance(a *Ask, p *place) float64 {
	cpu, mem := leftover(a, p)
	return 1 - max(cpu-mem, mem-cpu)
}

// rateGeneration keeps newer processors for those who ask for them.
func rateGeneration(a *Ask, p *place) float64 {
	return 1 / float64(1+max(0, p.size.Generation-a.Shape.Task.MinGeneration))
}

// leftover is the share of processors and memory left after the task.
func leftover(a *Ask, p *place) (cpu, mem float64) {
	left := p.free.Sub(a.size())
	return share(left.MilliCPU, p.size.Size.MilliCPU), share(left.MemoryMiB, p.size.Size.MemoryMiB)
}

// share is part of whole, zero when there is no whole.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
