package scheduler

import (
	"slices"

	"pulleyquay/internal/taskmsg"
)

// Names of the rules that turn workers down, as they stand in a Refusal.
const (
	RuleStatus          = "status"
	RuleKept            = "kept" // for aged work of another job
	RuleAvoid           = "avoid"
	RuleAcceleratorKind = "accelerator-kind"
	RuleGeneration      = "generation"
	RuleLabels          = "labels"
	RuleAccelerators    = "accelerators"
	RuleMemory          = "memory"
	RuleProcessors      = "processors"
)

// hardwareFilter looks only at what never changes on a worker.
type hardwareFilter struct {
	rule   string
	admits func(*Ask, *taskmsg.Size) bool
}

// hardwareFilters in the order of asking. A worker counts for the first rule
// that turns it down.
var hardwareFilters = []hardwareFilter{
	{RuleAcceleratorKind, admitsAcceleratorKind},
	{RuleGeneration, admitsGeneration},
	{RuleLabels, admitsLabels},
}

func admitsAcceleratorKind(a *Ask, s *taskmsg.Size) bool {
	t := &a.Shape.Task
	return t.Size.Accelerators == 0 || t.AcceleratorKind == "" || t.AcceleratorKind == s.AcceleratorKind
}

func admitsGeneration(a *Ask, s *taskmsg.Size) bool {
	return s.Generation >= a.Shape.Task.MinGeneration
}

func admitsLabels(a *Ask, s *taskmsg.Size) bool {
	for name, value := range a.Shape.Task.Labels {
		if have, ok := s.Labels[name]; !ok || have != value {
			return false
		}
	}
	return true
}

// roomFilter looks at what is left of a worker now.
type roomFilter struct {
	rule   string
	admits func(*Ask, *book) bool
}

// roomFilters in the order of asking, after the status and hardware filters.
var roomFilters = []roomFilter{
	{RuleAvoid, admitsAvoid},
	{RuleAccelerators, admitsAccelerators},
	{RuleMemory, admitsMemory},
	{RuleProcessors, admitsProcessors},
}

func admitsAvoid(a *Ask, b *book) bool {
	return !slices.Contains(a.Shape.Avoid, b.Info.Name)
}

func admitsAccelerators(a *Ask, b *book) bool {
	return a.size().Accelerators <= b.free().Accelerators
}

func admitsMemory(a *Ask, b *book) bool {
	return a.size().MemoryMiB <= b.free().MemoryMiB
}

func admitsProcessors(a *Ask, b *book) bool {
	return a.size().MilliCPU <= b.free().MilliCPU
}

// makeOf gives the part of a worker that the hardware filters look at.
func makeOf(b *book) taskmsg.Size {
	i := &b.Info
	return taskmsg.Size{Size: i.Size, AcceleratorKind: i.AcceleratorKind, Generation: i.Generation, Labels: i.Labels}
}

// hardwareAdmits tells whether every hardware filter admits the make.
func hardwareAdmits(a *Ask, m *taskmsg.Size) bool { return refusedByHardware(a, m) == "" }

// refusedByHardware returns the first hardware filter that turns the make down,
// or "".
func refusedByHardware(a *Ask, m *taskmsg.Size) string {
	for _, f := range hardwareFilters {
		if !f.admits(a, m) {
			return f.rule
		}
	}
	return ""
}

// refusedBy returns the first rule that turns the worker down, or "".
func refusedBy(a *Ask, b *book) string {
	if b.Status != StatusReady {
		return RuleStatus
	}
	if b.keptFor != "" && b.keptFor != a.Shape.Job {
		return RuleKept
	}
	if rule := refusedByHardware(a, &b.group.size); rule != "" {
		return rule
	}
	for _, f := range roomFilters {
		if !f.admits(a, b) {
			return f.rule
		}
	}
	return ""
}
