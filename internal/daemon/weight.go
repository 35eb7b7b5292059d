package daemon

import "github.com/sirupsen/logrus"

// Priority is the priority of a log line when there are more lines than the limits allow.
type Priority uint8

// The priorities, the lowest first. Each has a limit of its own.
const (
	// PriorityRoutine lines are written for each job or start.
	PriorityRoutine Priority = iota
	// PriorityNotable lines report single losses, of which there are hundreds when a host is lost.
	PriorityNotable
	// PriorityFinal lines report what no later line repeats: how a job ended, which crashes are
	// attributed to a task, which member is the holder, which settings are in force, what
	// is reachable.
	PriorityFinal

	priorityCount // number of priorities
)

// SetPriorityFunc sets the function that returns a line's priority. Without one all lines have
// PriorityRoutine. Warnings and errors always have PriorityFinal. Call it before anything is logged.
func (d *Daemon) SetPriorityFunc(priorityOf func(*logrus.Entry) Priority) {
	d.limiter.priorityOf = priorityOf
}
