package spec

import (
	"cmp"
	"fmt"
	"time"
)

// Graph is a job that consists of steps with dependencies. All tasks of a step have the same declaration; steps may
// differ in every respect.
type Graph struct {
	// Command is passed uninterpreted to the hosts that run the tasks.
	Command string `cbor:"1,keyasint,omitempty" json:"command"`
	Steps   []Step `cbor:"2,keyasint" json:"steps"`
	// Repeat runs all steps several times; the zero value runs them once, without delay.
	Repeat Repeat `cbor:"3,keyasint,omitzero" json:"repeat,omitzero"`
}

// Repeat is the schedule of a repeated job: occurrence k begins at FirstUnixMilli plus k times EveryMillis, whether or
// not earlier occurrences have ended.
type Repeat struct {
	Times          int   `cbor:"1,keyasint,omitempty" json:"times,omitempty"`
	FirstUnixMilli int64 `cbor:"2,keyasint,omitempty" json:"first_unix_ms,omitempty"`
	EveryMillis    int64 `cbor:"3,keyasint,omitempty" json:"every_ms,omitempty"`
}

// Occurrences returns the number of times that the job's steps run, at least one.
func (g *Graph) Occurrences() int { return max(g.Repeat.Times, 1) }

// MaxTaskSize returns the component-wise maximum of the steps' task sizes.
func (g *Graph) MaxTaskSize() (most Resources) {
	for i := range g.Steps {
		most = most.Max(g.Steps[i].Size)
	}
	return most
}

// Due returns the time from which an occurrence may begin; the zero time for a job that isn't repeated.
func (g *Graph) Due(occurrence int) time.Time {
	if g.Repeat.Times == 0 {
		return time.Time{}
	}
	return time.UnixMilli(g.Repeat.FirstUnixMilli + int64(occurrence)*g.Repeat.EveryMillis)
}

// Step is a number of tasks with the same declaration.
type Step struct {
	Count int       `cbor:"1,keyasint" json:"count"`
	Size  Resources `cbor:"2,keyasint" json:"size"`
	// EstimateMillis is the caller's rough estimate of a task's run time.
	EstimateMillis int64 `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"`
	// After lists the indexes of earlier steps, all of whose tasks must be done before this step starts.
	After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	// Gang is set if the tasks make progress only while all of them run; they end together.
	Gang bool `cbor:"5,keyasint,omitempty" json:"gang,omitempty"`
	// SameRack is set for gangs that run much slower when spread over several racks.
	SameRack bool `cbor:"6,keyasint,omitempty" json:"same_rack,omitempty"`
	// Label is a label that the host must have; empty allows any host.
	Label string `cbor:"7,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is the rack that stores the step's data; tasks run much slower on other racks.
	DataRack string `cbor:"8,keyasint,omitempty" json:"data_rack,omitempty"`
	// MaxPerHost bounds the step's tasks on one host; zero means no bound.
	MaxPerHost int `cbor:"9,keyasint,omitempty" json:"most_per_host,omitempty"`
	// Checkpointing tasks save checkpoints and can resume on another host.
	Checkpointing bool `cbor:"10,keyasint,omitempty" json:"checkpointing,omitempty"`
	// Speculative tasks may run in several copies at once; the first copy to end determines the result.
	Speculative bool `cbor:"11,keyasint,omitempty" json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted whenever they end, for whatever reason.
	LongRunning bool `cbor:"12,keyasint,omitempty" json:"long_running,omitempty"`
	// Image names the program that the tasks run; tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// TailLatencyTargetMillis is the upper bound for the tail response time of a serving task; zero for tasks that answer no
	// requests.
	TailLatencyTargetMillis int64 `cbor:"14,keyasint,omitempty" json:"tail_target_ms,omitempty"`
	// Backfill marks backfill (best-effort) tasks. They don't count against a host's processors: they get the
	// processor time that the other tasks leave unused.
	Backfill bool `cbor:"15,keyasint,omitempty" json:"filler,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be unavailable at the same time because of the scheduler's
	// own orders.
	MaxUnavailable int `cbor:"16,keyasint,omitempty" json:"may_miss,omitempty"`
}

// MinResources returns the minimum resources with which the step makes progress: those of one task, or of the whole gang.
func (s *Step) MinResources() Resources {
	if s.Gang {
		return s.Size.Times(int64(s.Count))
	}
	return s.Size
}

// Allocation returns the resources that a task of the step is allocated on a host. Backfill tasks are allocated no
// processors.
func (s *Step) Allocation() Resources {
	if !s.Backfill {
		return s.Size
	}
	return Resources{MemoryMiB: s.Size.MemoryMiB, Accelerators: s.Size.Accelerators}
}

// Estimate returns the caller's estimate of a task's run time.
func (s *Step) Estimate() time.Duration {
	return time.Duration(s.EstimateMillis) * time.Millisecond
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step,omitempty"`
}

// String returns job/occurrence/step.
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Occurrence, s.Step) }

// StepTask identifies one task of a step.
type StepTask struct {
	StepID
	Index int `json:"index"`
}

// Compare orders tasks by job, occurrence, step and index.
func (t StepTask) Compare(other StepTask) int {
	return cmp.Or(
		cmp.Compare(t.Job, other.Job),
		cmp.Compare(t.Occurrence, other.Occurrence),
		cmp.Compare(t.Step, other.Step),
		cmp.Compare(t.Index, other.Index),
	)
}

// String returns job/occurrence/step/index.
func (t StepTask) String() string { return fmt.Sprintf("%s/%d", t.StepID, t.Index) }
