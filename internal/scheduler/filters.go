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

func admitsAcceleratorKind(req *Request, s *taskmsg.Size) bool {
	t := &req.Shape.Task
	return t.Size.Accelerators == 0 || t.AcceleratorKind == "" || t.AcceleratorKind == s.AcceleratorKind
}

func admitsGeneration(req *Request, s *taskmsg.Size) bool {
	return s.Generation >= req.Shape.Task.MinGeneration
}

func admitsLabels(req *Request, s *taskmsg.Size) bool {
	for name, value := range req.Shape.Task.Labels {
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

func admitsAvoid(req *Request, w *record) bool {
	return !slices.Contains(req.Shape.Avoid, w.Info.Name)
}

func admitsAccelerators(req *Request, w *record) bool {
	return req.size().Accelerators <= w.free().Accelerators
}

func admitsMemory(req *Request, w *record) bool {
	return req.size().MemoryMiB <= w.free().MemoryMiB
}

func admitsProcessors(req *Request, w *record) bool {
	return req.size().MilliCPU <= w.free().MilliCPU
}

// machineTypeOf returns the properties of a worker that the hardware filters check.
func machineTypeOf(w *record) taskmsg.Size {
	i := &w.Info
	return taskmsg.Size{Size: i.Size, AcceleratorKind: i.AcceleratorKind, Generation: i.Generation, Labels: i.Labels}
}

// hardwareMatches reports whether every hardware filter admits the machine type.
func hardwareMatches(req *Request, m *taskmsg.Size) bool { return rejectingHardwareRule(req, m) == "" }

// rejectingHardwareRule returns the first hardware rule that rejects the machine type, or "".
func rejectingHardwareRule(req *Request, m *taskmsg.Size) string {
	for _, f := range hardwareFilters {
		if !f.admits(req, m) {
			return f.rule
		}
	}
	return ""
}

// rejectingRule returns the first rule that rejects the worker, or "".
func rejectingRule(req *Request, w *record) string {
	if w.Status != StatusReady {
		return RuleStatus
	}
	if w.dedicatedTo != "" && w.dedicatedTo != req.Shape.Job {
		return RuleDedicated
	}
	if rule := rejectingHardwareRule(req, &w.group.machineType); rule != "" {
		return rule
	}
	for _, f := range capacityFilters {
		if !f.admits(req, w) {
			return f.rule
		}
	}
	return ""
}
