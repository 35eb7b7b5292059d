package daemon

import "github.com/sirupsen/logrus"

// Weight is the priority of a log line when there are more lines than the limits allow.
type Weight uint8

// The priorities, the lowest first. Each has a limit of its own.
const (
	// Routine lines are written for each job or start.
	Routine Weight = iota
	// Notable lines report single losses, of which there are hundreds when a host is lost.
	Notable
	// Final lines report what no later line repeats: how a job ended, which crashes are
	// attributed to a task, which member is the holder, which settings are in force, what
	// is reachable.
	Final

	priorityCount // number of priorities
)

// Weigh sets the function that returns a line's priority. Without one all lines are Routine.
// Warnings and errors are Final in any case. Call it before anything is logged.
func (d *Daemon) Weigh(priorityOf func(*logrus.Entry) Weight) { d.limiter.priorityOf = priorityOf }
