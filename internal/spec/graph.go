package spec

import (
	"fmt"
	"time"
)

// Graph is a job made of steps that depend on each other. The tasks of a step
// are alike; steps may differ in everything.
type Graph struct {
	// Command is passed unread to the hosts that run the tasks.
	Command string `cbor:"1,keyasint,omitempty" json:"command"`
	Steps   []Step `cbor:"2,keyasint" json:"steps"`
	// Repeat runs all steps several times; the zero value runs them once, at once.
	Repeat Repeat `cbor:"3,keyasint,omitzero" json:"repeat,omitzero"`
}

// Repeat says when the occurrences of a repeated job begin: occurrence k at
// FirstUnixMilli plus k times EveryMillis, whether or not earlier ones have
// ended.
type Repeat struct {
	Times          int   `cbor:"1,keyasint,omitempty" json:"times,omitempty"`
	FirstUnixMilli int64 `cbor:"2,keyasint,omitempty" json:"first_unix_ms,omitempty"`
	EveryMillis    int64 `cbor:"3,keyasint,omitempty" json:"every_ms,omitempty"`
}

// Occurrences is how often the steps of the job run.
func (g *Graph) Occurrences() int { return max(g.Repeat.Times, 1) }

// Largest is the most that a task of any step takes in each dimension.
func (g *Graph) Largest() (most Resources) {
	for i := range g.Steps {
		most = most.Max(g.Steps[i].Size)
	}
	return most
}

// Due is when an occurrence may begin; the zero time for a job that is not
// repeated.
func (g *Graph) Due(occurrence int) time.Time {
	if g.Repeat.Times == 0 {
		return time.Time{}
	}
	return time.UnixMilli(g.Repeat.FirstUnixMilli + int64(occurrence)*g.Repeat.EveryMillis)
}

// Step is a number of like tasks.
type Step struct {
	Count int       `cbor:"1,keyasint" json:"count"`
	Size  Resources `cbor:"2,keyasint" json:"size"`
	// EstimateMillis is the caller's rough guess of a task's run time.
	EstimateMillis int64 `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"`
	// After lists earlier steps, by their place in the graph, all of whose tasks
	// have to be done first.
	After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	// Gang tasks work only while all of them run; they end together.
	Gang bool `cbor:"5,keyasint,omitempty" json:"gang,omitempty"`
	// SameRack gangs run much slower when spread over several racks.
	SameRack bool `cbor:"6,keyasint,omitempty" json:"same_rack,omitempty"`
	// Label is one that the host must have; empty takes any host.
	Label string `cbor:"7,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is where the data lies; tasks run much slower on other racks.
	DataRack string `cbor:"8,keyasint,omitempty" json:"data_rack,omitempty"`
	// MostPerHost bounds the tasks of the step on one host; zero is no bound.
	MostPerHost int `cbor:"9,keyasint,omitempty" json:"most_per_host,omitempty"`
	// Checkpointing tasks save their progress and can go on elsewhere.
	Checkpointing bool `cbor:"10,keyasint,omitempty" json:"checkpointing,omitempty"`
	// Speculative tasks may have several copies running; the first to end counts.
	Speculative bool `cbor:"11,keyasint,omitempty" json:"speculative,omitempty"`
	// LongRunning tasks serve until the job is cancelled and are started again
	// however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty" json:"long_running,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// TailTargetMillis is what the slowest responses of a serving task must stay
	// below; zero for tasks that serve nobody.
	TailTargetMillis int64 `cbor:"14,keyasint,omitempty" json:"tail_target_ms,omitempty"`
	// Filler tasks do not count against a host's processors: they get what the
	// other tasks leave unused.
	Filler bool `cbor:"15,keyasint,omitempty" json:"filler,omitempty"`
	// MayMiss is how many tasks of a long-running step may be away at a time
	// because of the scheduler's own orders.
	MayMiss int `cbor:"16,keyasint,omitempty" json:"may_miss,omitempty"`
}

// AtOnce is the least that the step has to have running to get on: one task, or a gang.
func (s *Step) AtOnce() Resources {
	if s.Gang {
		return s.Size.Times(int64(s.Count))
	}
	return s.Size
}

// Booked is what a task of the step takes from a host's size.
func (s *Step) Booked() Resources {
	if !s.Filler {
		return s.Size
	}
	return Resources{MemoryMiB: s.Size.MemoryMiB, Accelerators: s.Size.Accelerators}
}

// Estimate is the caller's guess of a task's run time.
func (s *Step) Estimate() time.Duration {
	return time.Duration(s.EstimateMillis) * time.Millisecond
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step,omitempty"`
}

// String gives job/occurrence/step.
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Occurrence, s.Step) }

// StepTask names one task of a step.
type StepTask struct {
	StepID
	Index int `json:"index"`
}

// String gives job/occurrence/step/index.
func (t StepTask) String() string { return fmt.Sprintf("%s/%d", t.StepID, t.Index) }
