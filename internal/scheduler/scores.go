package scheduler

import (
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// candidate is a possible placement of a task, as input of the scorers.
type candidate struct {
	machineType *taskmsg.Size
	free        spec.Resources
	// zoneRuns is the number of the job's runs in this zone, zoneMin and zoneMax the fewest and
	// the most of its runs in any one zone.
	zoneRuns, zoneMin, zoneMax int
	// rackRuns is the number of the job's runs in this rack.
	rackRuns int
}

// scorer rates a candidate between 0 (worst) and 1 (best).
type scorer struct {
	name   string
	weight float64
	score  func(*Request, *candidate) float64
	// fixed scorers depend neither on the worker's free resources nor on its rack.
	fixed bool
}

// Weights of the scorers. Spreading outweighs everything else because it limits the effect of a
// failure. Balance outweighs fit because processors or memory are stranded mostly where the
// other of the two has run out. The measurements behind these weights are in docs/PLACEMENT.md.
const (
	weightZones        = 64
	weightRacks        = 32
	weightAccelerators = 4
	weightFit          = 2
	weightBalance      = 16
	weightGeneration   = 0.5
)

// maxScoreNoAccelerators is the best score of a worker with accelerators for a task that needs
// none.
const maxScoreNoAccelerators = 0.5

var (
	spreadZones           = scorer{"spread-zones", weightZones, scoreZones, true}
	spreadRacks           = scorer{"spread-racks", weightRacks, scoreRacks, false}
	preserveAccelerators  = scorer{"keep-accelerators", weightAccelerators, scoreAccelerators, false}
	bestFit               = scorer{"best-fit", weightFit, scoreBestFit, false}
	leastUsed             = scorer{"least-used", weightFit, scoreLeastUsed, false}
	balance               = scorer{"balance", weightBalance, scoreBalance, false}
	preserveNewProcessors = scorer{"keep-new-processors", weightGeneration, scoreGeneration, true}
)

// scorersOf returns the scorers of a policy.
func scorersOf(p *taskmsg.Policy) []scorer {
	if p.Name == settings.PolicyPacking {
		return packingScorers
	}
	return waitingScorers
}

var (
	packingScorers = []scorer{preserveAccelerators, bestFit, balance, preserveNewProcessors, spreadZones, spreadRacks}
	waitingScorers = []scorer{preserveAccelerators, leastUsed, balance, preserveNewProcessors, spreadZones, spreadRacks}
)

// totalScore returns the weighted sum of the scores of a candidate.
func totalScore(scorers []scorer, req *Request, c *candidate) float64 {
	var sum float64
	for i := range scorers {
		sum += scorers[i].weight * scorers[i].score(req, c)
	}
	return sum
}

// upperBound returns the highest totalScore that any worker of a group can have: fixed scorers
// count with their score, the others with 1.
func upperBound(scorers []scorer, req *Request, c *candidate) float64 {
	var sum float64
	for i := range scorers {
		score := 1.0
		switch {
		case scorers[i].fixed:
			score = scorers[i].score(req, c)
		case scorers[i].name == preserveAccelerators.name && req.size().Accelerators == 0 && c.machineType.Size.Accelerators > 0:
			score = maxScoreNoAccelerators
		}
		sum += scorers[i].weight * score
	}
	return sum
}

// scoreRacks prefers racks with few runs of the job.
func scoreRacks(_ *Request, c *candidate) float64 { return 1 / float64(1+c.rackRuns) }

// scoreZones prefers the zones with the fewest runs of the job.
func scoreZones(req *Request, c *candidate) float64 {
	if !req.Shape.Policy.SpreadZones || c.zoneMax == c.zoneMin {
		return 1
	}
	return 1 - float64(c.zoneRuns-c.zoneMin)/float64(c.zoneMax-c.zoneMin)
}

// scoreAccelerators preserves workers with accelerators for tasks that need them, and among
// these the workers with many for tasks that need many. A task without accelerators that is placed
// there nevertheless prefers workers where the remaining fractions of processors and memory are
// not below the fraction of free accelerators, so that these can still be used.
func scoreAccelerators(req *Request, c *candidate) float64 {
	have := c.machineType.Size.Accelerators
	if have == 0 {
		return 1
	}
	need := req.size().Accelerators
	if need > 0 {
		return 1 - fraction(c.free.Accelerators-need, have)
	}
	cpu, mem := remainingFractions(req, c)
	accelerators := fraction(c.free.Accelerators, have)
	if accelerators == 0 {
		return maxScoreNoAccelerators
	}
	return maxScoreNoAccelerators * min(1, cpu/accelerators, mem/accelerators)
}

// scoreBestFit prefers the candidate with the least resources left over.
func scoreBestFit(req *Request, c *candidate) float64 {
	cpu, mem := remainingFractions(req, c)
	return 1 - (cpu+mem)/2
}

// scoreLeastUsed prefers the candidate with the most left over of its scarcest resource.
func scoreLeastUsed(req *Request, c *candidate) float64 {
	cpu, mem := remainingFractions(req, c)
	return min(cpu, mem)
}

// scoreBalance prefers candidates where processors and memory are used up evenly.
func scoreBalance(req *Request, c *candidate) float64 {
	cpu, mem := remainingFractions(req, c)
	return 1 - max(cpu-mem, mem-cpu)
}

// scoreGeneration preserves newer processors for tasks that request them.
func scoreGeneration(req *Request, c *candidate) float64 {
	return 1 / float64(1+max(0, c.machineType.Generation-req.Shape.Task.MinGeneration))
}

// remainingFractions returns the fractions of processors and memory that are left over after
// the placement.
func remainingFractions(req *Request, c *candidate) (cpu, mem float64) {
	left := c.free.Sub(req.size())
	return fraction(left.MilliCPU, c.machineType.Size.MilliCPU), fraction(left.MemoryMiB, c.machineType.Size.MemoryMiB)
}

// fraction returns part divided by whole, or zero if whole is zero.
func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
