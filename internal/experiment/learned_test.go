package experiment

// What tasks of a branch were observed to need, as shares of what they declared.
// It is a trial, not a part of the product: docs/PLACEMENT.md shows what it would
// gain and risk.

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	lru "github.com/hashicorp/golang-lru/v2"

	"pulleyquay/internal/spec"
)

const (
	// leastSamples is how many observations a branch needs before it counts.
	leastSamples = 100
	// mostSamples is when a branch's observations start anew; the old ones
	// serve until there are enough new ones.
	mostSamples = 10000
	// quantile of the observed shares that a task counts for, in percent.
	quantile = 95
	// mostPercent bounds a share; more is noted as so much.
	mostPercent = 1000
	// branchesKept bounds the memory; the branches used last stay.
	branchesKept = 1024
)

// learnedSizes holds the observations by branch.
type learnedSizes struct {
	branches *lru.Cache[string, *branch]
}

// branch is the observations of one branch, in percent of what was declared.
type branch struct{ cpu, memory series }

// series is a histogram that starts anew after mostSamples.
type series struct{ now, before *hdrhistogram.Histogram }

// newLearnedSizes returns learnedSizes without observations.
func newLearnedSizes() *learnedSizes {
	branches, err := lru.New[string, *branch](branchesKept)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &learnedSizes{branches: branches}
}

// Note takes in that a task, or several together, declared and used so much.
func (s *learnedSizes) Note(name string, declared, used spec.Resources) {
	b, ok := s.branches.Get(name)
	if !ok {
		b = &branch{}
		s.branches.Add(name, b)
	}
	b.cpu.note(declared.MilliCPU, used.MilliCPU)
	b.memory.note(declared.MemoryMiB, used.MemoryMiB)
}

// Size returns what tasks of the branch that declare so much were observed to
// need; zero while too few were observed. Accelerators are never learned.
func (s *learnedSizes) Size(name string, declared spec.Resources) spec.Resources {
	b, ok := s.branches.Get(name)
	if !ok {
		return spec.Resources{}
	}
	return spec.Resources{MilliCPU: b.cpu.size(declared.MilliCPU), MemoryMiB: b.memory.size(declared.MemoryMiB)}
}

func (s *series) note(declared, used int64) {
	if declared <= 0 {
		return
	}
	if s.now == nil || s.now.TotalCount() >= mostSamples {
		s.now, s.before = hdrhistogram.New(1, mostPercent, 2), s.now
	}
	// The value is within the histogram's range, so that it can not fail.
	_ = s.now.RecordValue(min(max(used*100/declared, 1), mostPercent))
}

func (s *series) size(declared int64) int64 {
	h := s.now
	if h != nil && h.TotalCount() < leastSamples {
		h = s.before
	}
	if h == nil || h.TotalCount() < leastSamples {
		return 0
	}
	return declared * min(h.ValueAtQuantile(quantile), mostPercent) / 100
}
