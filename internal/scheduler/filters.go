package scheduler

import (
	"slices"

	"pulleyquay/internal/taskmsg"
)

// Names of the rules that reject workers, as they appear in a Refusal.
const (
	RuleStatus          = "status"
	RuleDedicated       = "kept" // dedicated to an aged job
	RuleAvoid           = "avoid"
	RuleAcceleratorKind = "accelerator-kind"
	RuleGeneration      = "generation"
	RuleLabels          = "labels"
	RuleAccelerators    = "accelerators"
	RuleMemory          = "memory"
	RuleProcessors      = "processors"
)

// hardwareFilter checks only properties of a worker that never change.
type hardwareFilter struct {
	rule   string
	admits func(*Request, *taskmsg.Size) bool
}

// hardwareFilters in the order of evaluation. A worker counts for the first rule that rejects
// it.
var hardwareFilters = []hardwareFilter{
	{RuleAcceleratorKind, admitsAcceleratorKind},
	{RuleGeneration, admitsGeneration},
	{RuleLabels, admitsLabels},
}

func admitsAcceleratorKind(a *Request, s *taskmsg.Size) bool {
	t := &a.Shape.Task
	return t.Size.Accelerators == 0 || t.AcceleratorKind == "" || t.AcceleratorKind == s.AcceleratorKind
}

func admitsGeneration(a *Request, s *taskmsg.Size) bool {
	return s.Generation >= a.Shape.Task.MinGeneration
}

func admitsLabels(a *Request, s *taskmsg.Size) bool {
	for name, value := range a.Shape.Task.Labels {
		if have, ok := s.Labels[name]; !ok || have != value {
			return false
		}
	}
	return true
}

// capacityFilter checks the current state of a worker against one request.
type capacityFilter struct {
	rule   string
	admits func(*Request, *record) bool
}

// capacityFilters in the order of evaluation, after the status and hardware filters.
var capacityFilters = []capacityFilter{
	{RuleAvoid, admitsAvoid},
	{RuleAccelerators, admitsAccelerators},
	{RuleMemory, admitsMemory},
	{RuleProcessors, admitsProcessors},
}

func admitsAvoid(a *Request, w *record) bool {
	return !slices.Contains(a.Shape.Avoid, w.Info.Name)
}

func admitsAccelerators(a *Request, w *record) bool {
	return a.size().Accelerators <= w.free().Accelerators
}

func admitsMemory(a *Request, w *record) bool {
	return a.size().MemoryMiB <= w.free().MemoryMiB
}

func admitsProcessors(a *Request, w *record) bool {
	return a.size().MilliCPU <= w.free().MilliCPU
}

// machineTypeOf returns the properties of a worker that the hardware filters check.
func machineTypeOf(w *record) taskmsg.Size {
	i := &w.Info
	return taskmsg.Size{Size: i.Size, AcceleratorKind: i.AcceleratorKind, Generation: i.Generation, Labels: i.Labels}
}

// hardwareMatches reports whether every hardware filter admits the machine type.
func hardwareMatches(a *Request, m *taskmsg.Size) bool { return rejectingHardwareRule(a, m) == "" }

// rejectingHardwareRule returns the first hardware rule that rejects the machine type, or "".
func rejectingHardwareRule(a *Request, m *taskmsg.Size) string {
	for _, f := range hardwareFilters {
		if !f.admits(a, m) {
			return f.rule
		}
	}
	return ""
}

// rejectingRule returns the first rule that rejects the worker, or "".
func rejectingRule(a *Request, w *record) string {
	if w.Status != StatusReady {
		return RuleStatus
	}
	if w.dedicatedTo != "" && w.dedicatedTo != a.Shape.Job {
		return RuleDedicated
	}
	if rule := rejectingHardwareRule(a, &w.group.size); rule != "" {
		return rule
	}
	for _, f := range capacityFilters {
		if !f.admits(a, w) {
			return f.rule
		}
	}
	return ""
}
