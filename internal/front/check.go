package front

import (
	"fmt"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Limits of a job.
const (
	maxCommandBytes = 4000
	MaxSteps        = 256
	maxTasks        = 20000
	maxRepetitions  = 10000
	maxAmount       = int64(1) << 40 // of any resource
)

// validate refuses a job whose specification is inconsistent or out of bounds.
func validate(g *spec.Graph) error {
	if len(g.Command) > maxCommandBytes {
		return refuse("spec", "%d bytes, at most %d", len(g.Command), maxCommandBytes)
	}
	if n := len(g.Steps); n == 0 || n > MaxSteps {
		return refuse("steps", "%d steps, 1 to %d", n, MaxSteps)
	}
	if r := g.Repeat; r.Times < 0 || r.Times > maxRepetitions || r.EveryMillis < 0 || r.FirstUnixMilli < 0 {
		return refuse("repetitions", "%d times each %d ms from %d", r.Times, r.EveryMillis, r.FirstUnixMilli)
	}
	tasks := 0
	for i := range g.Steps {
		if err := validateStep(&g.Steps[i], i); err != nil {
			return err
		}
		tasks += g.Steps[i].Count * g.Occurrences()
	}
	if tasks > maxTasks {
		return refuse("steps", "%d tasks, at most %d", tasks, maxTasks)
	}
	return nil
}

func validateStep(s *spec.Step, i int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	if s.Count < 1 || s.Count > maxTasks {
		return refuse(field("count"), "%d, 1 to %d", s.Count, maxTasks)
	}
	for _, amount := range []int64{s.Size.MilliCPU, s.Size.MemoryMiB, s.Size.Accelerators, s.EstimateMillis, s.TailLatencyTargetMillis} {
		if amount < 0 || amount > maxAmount {
			return refuse(field("size"), "%d is out of range", amount)
		}
	}
	if s.MaxPerHost < 0 || s.MaxUnavailable < 0 {
		return refuse(field("count"), "a bound below zero")
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= i {
			return refuse(field("after"), "step %d does not come before step %d", dep, i)
		}
	}
	return nil
}

// checkQuota refuses a job that can never run within its account's quota and reports the figures.
// The quota has to hold one task of each step, and all members of a gang at once.
func checkQuota(a *catalog.Account, g *spec.Graph) error {
	if a == nil {
		return nil
	}
	for i := range g.Steps {
		s := &g.Steps[i]
		if over := a.Quota.Exceeds(s.MinResources()); over != "" {
			return result.New(result.AccountQuotaSmall, result.RanNo, "account %s may not have running at once what the step needs: %s", a.Name, over).AtField(fmt.Sprintf("steps[%d]", i))
		}
	}
	return nil
}

func refuse(field, format string, args ...any) error {
	return result.New(result.JobBodyInvalid, result.RanNo, format, args...).AtField(field)
}
