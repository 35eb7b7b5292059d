// Package scheduler decides on which worker a task runs. It has no I/O, clock or goroutines:
// the caller passes the time and a seed, and serialises calls.
//
// A Cell holds the workers of one holder with the resources allocated on them. Select passes
// the workers through a chain of named rules: filters decide which workers are admitted, then
// scores decide which of them is best. Rejected workers are counted by rule.
package scheduler

import (
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// Status is whether a worker takes new work.
type Status int

// The statuses of a worker.
const (
	StatusUnclaimed Status = iota // its inventory is unknown, so nothing is placed
	StatusReady
	StatusDraining   // takes no new work, since it is about to leave
	StatusExcluded   // excluded, since tasks of several jobs failed there; takes only probes
	StatusOverloaded // observed usage above its size
)

// Worker is the description of a worker.
type Worker struct {
	Info      worker.Info
	Addr      string
	Partition int
	Status    Status
}

// Request is a request for one placement.
type Request struct {
	Shape taskmsg.Shape
}

// size returns the declared resources of the task.
func (req *Request) size() spec.Resources { return req.Shape.Task.Size }

// NewRun returns the run for one slot of a shape.
func NewRun(shape *taskmsg.Shape, home int, slot taskmsg.Slot) Run {
	request := Request{Shape: *shape}
	return Run{
		Attempt:          worker.Attempt{Task: spec.TaskID{Job: shape.Job, Index: slot.Index}, Attempt: slot.Attempt},
		Home:             home,
		Kind:             shape.Kind,
		Size:             request.size(),
		Priority:         shape.Policy.Priority,
		Urgent:           shape.Urgent,
		MinReplicas:      shape.Policy.MinReplicas,
		PreemptionExempt: slot.PreemptionExempt,
	}
}

// Choice is the chosen worker with its score.
type Choice struct {
	Worker string
	Score  float64
}

// Run is a run with the resources allocated to it on a worker.
type Run struct {
	Attempt  worker.Attempt
	Home     int
	Kind     spec.Kind
	Size     spec.Resources
	Priority int64
	Urgent   bool
	// Held runs are reserved for a gang and not started.
	Held bool
	// MinReplicas is the number of replicas that a service must keep. Preemption compares it
	// with the replicas in this cell alone, which errs on the safe side. A service whose
	// minimum is unknown (zero) is never preempted.
	MinReplicas int64
	// PreemptionExempt runs are not preempted, because the previous attempt of the task was.
	PreemptionExempt bool
}
