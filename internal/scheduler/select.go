package scheduler

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Bounds of the cost of one decision.
const (
	// maxCandidates is the maximum number of candidates evaluated for the first task of a
	// shape, maxCandidatesRepeat for each further task in the same call.
	maxCandidates       = 128
	maxCandidatesRepeat = 32
	// samplesInBucket is the maximum number of workers sampled in a bucket in which only some of
	// the workers may have room for the task. If none of the sampled workers has room, the bucket
	// is deferred: all its workers are examined, but only if no bucket's sample has room.
	samplesInBucket = 4
	// samplesInBestBucket is how many more workers are evaluated in the bucket of the best
	// candidate.
	samplesInBestBucket = 4
)

// Placement is a run with the worker on which it was allocated.
type Placement struct {
	Run
	Choice
}

// Select chooses the best worker for one task, or returns how many workers each rule rejected.
// It does not allocate anything.
func (c *Cell) Select(req Request) (Choice, *taskmsg.Refusal) {
	s := c.newSearch(&req)
	w, score := s.best()
	if w == nil {
		return Choice{}, s.refusal()
	}
	return Choice{Worker: w.Info.Name, Score: score}, nil
}

// Place chooses a worker for each run of one shape and allocates the run there, until no worker
// has room for one. The refusal is that of the first run that was not placed. A run that is
// already allocated is skipped and missing from the result. If an aged job finds no room, a
// worker is dedicated to it.
func (c *Cell) Place(req Request, runs []Run, now time.Time) ([]Placement, *taskmsg.Refusal) {
	req.Shape.RunningByZone = copyZones(req.Shape.RunningByZone)
	placed := make([]Placement, 0, len(runs))
	s := c.newSearch(&req)
	for _, r := range runs {
		if _, dup := c.runs[r.Attempt]; dup {
			continue
		}
		w, score := s.best()
		if w == nil {
			refusal := s.refusal()
			if req.Shape.Aged && !refusal.Never {
				c.dedicate(&req, now)
			}
			return placed, refusal
		}
		c.record(w, r, now)
		if w.dedicatedTo != "" {
			c.endDedication(w.dedicatedTo)
		}
		s.last, s.limit = w, maxCandidatesRepeat
		placed = append(placed, Placement{Run: r, Choice: Choice{Worker: w.Info.Name, Score: score}})
		req.Shape.RunningByZone[w.Info.Zone]++
		if req.Shape.Policy.SpreadZones {
			s.rank()
		}
	}
	return placed, nil
}

// search is the state of the decisions for one request.
type search struct {
	cell     *Cell
	request  *Request
	size     spec.Resources
	levels   levels
	scorers  []scorer
	groups   []rankedGroup
	deferred []deferredBucket
	// candidate is the candidate being evaluated; a field of search avoids an allocation per
	// candidate.
	candidate candidate
	// minRuns and maxRuns are the fewest and the most runs of the job in any one zone.
	minRuns, maxRuns int
	// limit is the maximum number of candidates to evaluate.
	limit int
	// last is the worker chosen last, which is often the best for the next task of the same
	// shape too.
	last *record
}

// rankedGroup is a group that the hardware filters admit, with the best score that a worker in
// it could have.
type rankedGroup struct {
	*group
	candidate  candidate // without free and rackRuns
	upperBound float64
}

// deferredBucket is a bucket in which sampling found no worker that fits.
type deferredBucket struct {
	*bucket
	group *rankedGroup
}

// newSearch reuses the memory of the previous search of the cell; there is at most one search
// at a time.
func (c *Cell) newSearch(req *Request) *search {
	s := &c.scratch
	size := req.size()
	*s = search{
		cell: c, request: req, size: size, levels: levelsOf(size), scorers: scorersOf(&req.Shape.Policy), limit: maxCandidates,
		groups: s.groups[:0], deferred: s.deferred[:0],
	}
	for _, g := range c.index.order {
		if g.ready > 0 && hardwareMatches(req, &g.machineType) {
			s.groups = append(s.groups, rankedGroup{group: g})
		}
	}
	s.rank()
	return s
}

// rank sorts the groups by the best score that a worker in them could have.
func (s *search) rank() {
	s.minRuns, s.maxRuns = s.zoneRange()
	for i := range s.groups {
		g := &s.groups[i]
		g.candidate = s.candidateIn(g.group)
		g.upperBound = upperBound(s.scorers, s.request, &g.candidate)
	}
	slices.SortStableFunc(s.groups, func(a, b rankedGroup) int { return cmp.Compare(b.upperBound, a.upperBound) })
}

// candidateIn returns what all candidates in a group have in common.
func (s *search) candidateIn(g *group) candidate {
	return candidate{machineType: &g.machineType, zoneRuns: s.request.Shape.RunningByZone[g.zone], zoneMin: s.minRuns, zoneMax: s.maxRuns}
}

// zoneRange returns the fewest and the most runs of the job in any one zone.
func (s *search) zoneRange() (minRuns, maxRuns int) {
	for i := range s.groups {
		n := s.request.Shape.RunningByZone[s.groups[i].zone]
		if i == 0 || n < minRuns {
			minRuns = n
		}
		maxRuns = max(maxRuns, n)
	}
	return minRuns, maxRuns
}

// bestSoFar is the best candidate found so far, with the number of candidates examined.
type bestSoFar struct {
	record   *record
	group    *rankedGroup
	score    float64
	examined int
}

// best returns the best worker among those sampled and its score. If sampling finds no worker
// with room, it examines all workers that may have room. It returns nil if none has.
func (s *search) best() (*record, float64) {
	var c bestSoFar
	s.deferred = s.deferred[:0]
	if d, ok := s.cell.dedicated[s.request.Shape.Job]; ok && rejectingRule(s.request, d.record) == "" {
		g := rankedGroup{group: d.record.group}
		g.candidate = s.candidateIn(d.record.group)
		s.evaluate(d.record, &g, &c)
		return c.record, c.score
	}
	for i := range s.groups {
		g := &s.groups[i]
		if c.record != nil && (g.upperBound <= c.score || c.examined >= s.limit) {
			break
		}
		if s.last != nil && s.last.group == g.group {
			s.evaluate(s.last, g, &c)
		}
		s.evaluateGroup(g, &c)
	}
	if c.record == nil {
		return s.searchDeferred()
	}
	for range samplesInBestBucket {
		s.evaluate(s.randomWorkerIn(c.record.bucket), c.group, &c)
	}
	return c.record, c.score
}

// evaluateGroup evaluates one worker of each bucket that has room, starting at a random bucket.
func (s *search) evaluateGroup(g *rankedGroup, c *bestSoFar) {
	n := len(g.buckets)
	if n == 0 {
		return // the last worker with room was filled after the search began
	}
	first := s.cell.random.IntN(n)
	for i := range n {
		if c.examined >= s.limit {
			return
		}
		b := g.buckets[(first+i)%n]
		switch b.fit(s.levels, &s.size) {
		case allFit:
			s.evaluateSample(b, g, c, 1+len(s.request.Shape.Avoid))
		case someMayFit:
			s.evaluateSample(b, g, c, samplesInBucket)
		}
	}
}

// evaluateSample evaluates random workers of a bucket until one fits, at most the given number.
// If none fits the bucket is deferred.
func (s *search) evaluateSample(b *bucket, g *rankedGroup, c *bestSoFar, samples int) {
	for range samples {
		if s.evaluate(s.randomWorkerIn(b), g, c) {
			return
		}
	}
	s.deferred = append(s.deferred, deferredBucket{b, g})
}

func (s *search) randomWorkerIn(b *bucket) *record {
	if len(b.workers) == 1 {
		return b.workers[0]
	}
	return b.workers[s.cell.random.IntN(len(b.workers))]
}

// evaluate compares a worker with the best candidate so far. It reports whether the worker
// fits.
func (s *search) evaluate(w *record, g *rankedGroup, c *bestSoFar) bool {
	free := w.free()
	if !s.size.Fits(free) || !admitsAvoid(s.request, w) {
		return false
	}
	c.examined++
	s.candidate = g.candidate
	s.candidate.free = free
	if s.request.Shape.Policy.SpreadRacks {
		s.candidate.rackRuns = s.cell.rackRuns(w, s.request.Shape.Job)
	}
	if score := totalScore(s.scorers, s.request, &s.candidate); c.record == nil || score > c.score {
		c.record, c.group, c.score = w, g, score
	}
	return true
}

// searchDeferred evaluates every worker in the deferred buckets, after sampling found none that
// fits.
func (s *search) searchDeferred() (*record, float64) {
	var c bestSoFar
	for _, d := range s.deferred {
		for _, w := range d.workers {
			s.evaluate(w, d.group, &c)
		}
		if c.record != nil {
			return c.record, c.score
		}
		d.recomputeMaxFree()
	}
	return nil, 0
}

// rackRuns returns the number of the job's runs in the rack of w.
func (c *Cell) rackRuns(w *record, job string) int {
	n := 0
	for _, other := range c.index.racks[w.rack] {
		for _, alloc := range other.runs {
			if alloc.Attempt.Task.Job == job {
				n++
			}
		}
	}
	return n
}

func copyZones(zones map[string]int) map[string]int {
	out := make(map[string]int, len(zones)+1)
	for zone, n := range zones {
		out[zone] = n
	}
	return out
}
