package daemon

import "github.com/sirupsen/logrus"

// Weight says how much it matters that a line is kept when there are more than fit.
type Weight uint8

// The weights, the least first. Each has a budget of its own.
const (
	// Routine lines come with each job or start.
	Routine Weight = iota
	// Notable lines tell of single losses, which come in hundreds when a host goes.
	Notable
	// Final lines settle something that is not told again: how a job ended, what is held
	// against a task, who holds, which settings are in force, what can be reached.
	Final

	weights // how many there are
)

// Weigh has lines weighed by a function; without one all are Routine, but for warnings and
// errors. Call it before anything is logged.
func (d *Daemon) Weigh(weigh func(*logrus.Entry) Weight) { d.budget.weigh = weigh }
