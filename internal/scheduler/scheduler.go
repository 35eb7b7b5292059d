// Package scheduler decides on which worker a task runs. It is pure: no I/O, no
// clock, no goroutines; the caller passes time and a seed and serialises calls.
//
// A Cell holds the workers of one holder and their books. Select passes the
// workers through a chain of named rules: filters (may it run there at all),
// then scores (where is best). What was turned down is counted per rule.
package scheduler

import (
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// Status tells whether a worker takes new work.
type Status int

// The statuses of a worker.
const (
	StatusUnclaimed Status = iota // its inventory is not known; nothing is placed
	StatusReady
	StatusLeaving  // drains
	StatusSetAside // failed tasks of different jobs; only probes
	StatusOver     // observed usage above its size
)

// Worker is one worker as the scheduler sees it.
type Worker struct {
	Info      worker.Info
	Addr      string
	Partition int
	Status    Status
}

// Ask is one placement to decide.
type Ask struct {
	Shape taskmsg.Shape
}

// size is what the task counts for in the books: what it declares.
func (a *Ask) size() spec.Resources { return a.Shape.Task.Size }

// NewRun makes the entry for the books of one slot of a shape.
func NewRun(shape *taskmsg.Shape, home int, slot taskmsg.Slot) Run {
	ask := Ask{Shape: *shape}
	return Run{
		Attempt:     worker.Attempt{Task: spec.TaskID{Job: shape.Job, Index: slot.Index}, Attempt: slot.Attempt},
		Home:        home,
		Kind:        shape.Kind,
		Size:        ask.size(),
		Priority:    shape.Policy.Priority,
		Urgent:      shape.Urgent,
		MinReplicas: shape.Policy.MinReplicas,
		Spared:      slot.Spared,
	}
}

// Choice is the worker chosen, with the score that won.
type Choice struct {
	Worker string
	Score  float64
}

// Run is one entry in a worker's books.
type Run struct {
	Attempt  worker.Attempt
	Home     int
	Kind     spec.Kind
	Size     spec.Resources
	Priority int64
	Urgent   bool
	// Held runs are reserved for a gang and not started.
	Held bool
	// MinReplicas is how many replicas of a service must stay. It is checked
	// against the replicas in this cell alone, which errs to the safe side; a
	// service whose minimum is not known (zero) is never preempted.
	MinReplicas int64
	// Spared runs are not preempted: the task's previous attempt was.
	Spared bool
}
