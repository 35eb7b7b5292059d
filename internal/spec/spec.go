// Package spec defines what callers declare: resources, jobs and task identities. It is plain data shared by every
// process and contains no scheduling decisions.
package spec

import "fmt"

// Resources are the resources that a worker offers or a task needs.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty" json:"milli_cpu" validate:"min=0"`
	MemoryMiB    int64 `cbor:"2,keyasint,omitempty" json:"memory_mib" validate:"min=0"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty" validate:"min=0"`
}

// Add returns the component-wise sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns the component-wise difference of r and o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Times returns r with every component multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMiB * n, r.Accelerators * n}
}

// Max returns the component-wise maximum of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the component-wise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMiB, o.MemoryMiB), min(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most capacity in every component.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMiB <= capacity.MemoryMiB && r.Accelerators <= capacity.Accelerators
}

// FitCount returns how many tasks of a size fit into r at once; Unbounded for a size of zero.
func (r Resources) FitCount(size Resources) int {
	n := int64(Unbounded)
	for _, d := range [][2]int64{
		{size.MilliCPU, r.MilliCPU}, {size.MemoryMiB, r.MemoryMiB}, {size.Accelerators, r.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return int(max(n, 0))
}

// Unbounded is the value of a count without a bound.
const Unbounded = 1 << 20

// IsZero reports whether every component is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Kind is the kind of a job.
type Kind string

// The kinds of jobs: services run until they are stopped; batch jobs and gangs end. A gang's tasks are started all
// together or not at all.
const (
	KindService Kind = "service"
	KindBatch   Kind = "batch"
	KindGang    Kind = "gang"
)

// Task is the declaration shared by every task of a job.
type Task struct {
	Size Resources `cbor:"1,keyasint" json:"size"`
	// AcceleratorKind restricts accelerators to one kind; empty allows any.
	AcceleratorKind string `cbor:"2,keyasint,omitempty" json:"accelerator_kind,omitempty"`
	// MinGeneration is the oldest processor generation that is acceptable.
	MinGeneration int `cbor:"3,keyasint,omitempty" json:"min_generation,omitempty" validate:"min=0"`
	// Labels must all be present on the worker, with these values.
	Labels map[string]string `cbor:"4,keyasint,omitempty" json:"labels,omitempty"`
	// RunMillis is the declared run time; zero for services.
	RunMillis int64 `cbor:"5,keyasint,omitempty" json:"run_ms,omitempty" validate:"min=0"`
	// Command is passed to the worker uninterpreted.
	Command string `cbor:"6,keyasint,omitempty" json:"command,omitempty"`
}

// Job is a workload as submitted by a caller.
type Job struct {
	// ID is a UUIDv7 chosen by the submitter; resubmitting the job is idempotent.
	ID   string `cbor:"1,keyasint" json:"id"`
	Team string `cbor:"2,keyasint" json:"team" validate:"required"`
	// Branch is the path of the branch of the settings tree that governs the job.
	Branch string `cbor:"3,keyasint" json:"branch" validate:"required"`
	Kind   Kind   `cbor:"4,keyasint" json:"kind" validate:"oneof=service batch gang"`
	// Tasks is the number of tasks, or of a service's replicas.
	Tasks int  `cbor:"5,keyasint" json:"tasks" validate:"min=1"`
	Task  Task `cbor:"6,keyasint" json:"task"`
	// Urgent jobs may preempt less urgent ones.
	Urgent bool `cbor:"7,keyasint,omitempty" json:"urgent,omitempty"`
	// DeadlineUnixMilli is the time after which the job's results are useless; zero for no deadline.
	DeadlineUnixMilli int64 `cbor:"8,keyasint,omitempty" json:"deadline_unix_ms,omitempty"`
}

// TaskID identifies one task of one job.
type TaskID struct {
	Job   string `cbor:"1,keyasint" json:"job"`
	Index int    `cbor:"2,keyasint" json:"index"`
}

// String returns job/index.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }
