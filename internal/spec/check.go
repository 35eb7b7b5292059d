package spec

import "fmt"

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 256

// Other limits of a job.
const (
	maxCommandBytes = 4000
	maxTasks        = 20000
	maxRepetitions  = 10000
	// maxAmount bounds the amount of any resource, in its unit, and times in milliseconds.
	maxAmount = int64(1) << 40
)

// Violation is the error for a specification that is inconsistent or beyond the limits of a job.
type Violation struct {
	// Field is the path of the field, with the names of the callers' format.
	Field  string
	Reason string
}

func (v *Violation) Error() string { return v.Field + ": " + v.Reason }

func violation(field, format string, args ...any) error {
	return &Violation{field, fmt.Sprintf(format, args...)}
}

// Check returns a *Violation if the job is inconsistent or beyond the limits. What passes can be scheduled: its tasks
// can be counted, its steps ordered and its sizes added up.
func (g *Graph) Check() error {
	if len(g.Command) > maxCommandBytes {
		return violation("spec", "%d bytes, at most %d", len(g.Command), maxCommandBytes)
	}
	if n := len(g.Steps); n == 0 || n > MaxSteps {
		return violation("steps", "%d steps, 1 to %d", n, MaxSteps)
	}
	if r := g.Repeat; r.Times < 0 || r.Times > maxRepetitions || r.EveryMillis < 0 || r.FirstUnixMilli < 0 {
		return violation("repetitions", "%d times each %d ms from %d", r.Times, r.EveryMillis, r.FirstUnixMilli)
	}
	tasks := 0
	for i := range g.Steps {
		if err := g.Steps[i].check(i); err != nil {
			return err
		}
		tasks += g.Steps[i].Count * g.Occurrences()
	}
	if tasks > maxTasks {
		return violation("steps", "%d tasks, at most %d", tasks, maxTasks)
	}
	return nil
}

// check checks the step with index i of a job.
func (s *Step) check(i int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	if s.Count < 1 || s.Count > maxTasks {
		return violation(field("count"), "%d, 1 to %d", s.Count, maxTasks)
	}
	for _, amount := range []int64{s.Size.MilliCPU, s.Size.MemoryMiB, s.Size.Accelerators, s.EstimateMillis, s.TailLatencyTargetMillis} {
		if amount < 0 || amount > maxAmount {
			return violation(field("size"), "%d is out of range", amount)
		}
	}
	if s.MaxPerHost < 0 || s.MaxUnavailable < 0 {
		return violation(field("count"), "a bound below zero")
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= i {
			return violation(field("after"), "step %d does not come before step %d", dep, i)
		}
	}
	return nil
}
