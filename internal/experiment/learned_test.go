package experiment

// This file estimates the sizes of tasks from the observed usage of earlier tasks of
// their branch, as a fraction of the declared sizes. It is an experiment and not part of
// the product; docs/PLACEMENT.md describes its benefits and risks.

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2"

	"pulleyquay/internal/spec"
)

const (
	// minSamples is how many observations a branch needs before they are used.
	minSamples = 100
	// maxSamples is how many observations a branch's histogram takes before a new one
	// replaces it; the previous one is used until the new one has minSamples.
	maxSamples = 10000
	// quantile is the quantile of the observed fractions that is used as a task's size, in
	// percent.
	quantile = 95
	// maxPercent is the largest fraction recorded; larger ones are recorded as this.
	maxPercent = 1000
	// maxBranches limits the memory; the least recently used branches are evicted.
	maxBranches = 1024
)

// learnedSizes holds the observations of each branch.
type learnedSizes struct {
	branches *lru.Cache[string, *branch]
}

// branch holds the observations of one branch, in percent of the declared size.
type branch struct{ cpu, memory series }

// series is a histogram that is replaced after maxSamples, and the previous one.
type series struct{ current, previous *hdrhistogram.Histogram }

// newLearnedSizes returns learnedSizes without observations.
func newLearnedSizes() *learnedSizes {
	branches, err := lru.New[string, *branch](maxBranches)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &learnedSizes{branches: branches}
}

// Record adds the declared size and the usage of a task, or their sums over several
// tasks.
func (s *learnedSizes) Record(name string, declared, used spec.Resources) {
	b, ok := s.branches.Get(name)
	if !ok {
		b = &branch{}
		s.branches.Add(name, b)
	}
	b.cpu.record(declared.MilliCPU, used.MilliCPU)
	b.memory.record(declared.MemoryMiB, used.MemoryMiB)
}

// Size returns the learned size of a task of the branch with the declared size, zero
// with too few observations. Accelerators are never learned.
func (s *learnedSizes) Size(name string, declared spec.Resources) spec.Resources {
	b, ok := s.branches.Get(name)
	if !ok {
		return spec.Resources{}
	}
	return spec.Resources{MilliCPU: b.cpu.size(declared.MilliCPU), MemoryMiB: b.memory.size(declared.MemoryMiB)}
}

func (s *series) record(declared, used int64) {
	if declared <= 0 {
		return
	}
	if s.current == nil || s.current.TotalCount() >= maxSamples {
		s.current, s.previous = hdrhistogram.New(1, maxPercent, 2), s.current
	}
	// RecordValue can not fail, since the value is in the histogram's range.
	_ = s.current.RecordValue(min(max(used*100/declared, 1), maxPercent))
}

func (s *series) size(declared int64) int64 {
	h := s.current
	if h != nil && h.TotalCount() < minSamples {
		h = s.previous
	}
	if h == nil || h.TotalCount() < minSamples {
		return 0
	}
	return declared * min(h.ValueAtQuantile(quantile), maxPercent) / 100
}
