package scheduler

import (
	"fmt"
	"strings"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Never checks whether the task fits on an idle worker of at least one of the given machine types.
// If the task fits on none, Never returns a NeverFits error with the reason for each resource. If
// the task fits on one, or if no machine types are known, Never returns nil.
func Never(machineTypes []taskmsg.Size, task *spec.Task) *result.Error {
	if len(machineTypes) == 0 {
		return nil
	}
	request := &Request{Shape: taskmsg.Shape{Task: *task}}
	var matching []taskmsg.Size
	for _, m := range machineTypes {
		if hardwareMatches(request, &m) {
			matching = append(matching, m)
		}
	}
	if len(matching) == 0 {
		return result.New(result.NeverFits, result.RanNo, "no make of worker of %d has %s", len(machineTypes), hardwareRequirements(task))
	}
	var largest spec.Resources
	for _, m := range matching {
		if task.Size.Fits(m.Size) {
			return nil
		}
		largest = largest.Max(m.Size)
	}
	return result.New(result.NeverFits, result.RanNo, "%s", shortfall(task.Size, largest))
}

// Never checks the task against the machine types of the cell's workers.
func (c *Cell) Never(task *spec.Task) *result.Error {
	return Never(c.index.machineTypes(), task)
}

// hardwareRequirements describes what the hardware filters require.
func hardwareRequirements(task *spec.Task) string {
	var parts []string
	if task.AcceleratorKind != "" && task.Size.Accelerators > 0 {
		parts = append(parts, "accelerators of kind "+task.AcceleratorKind)
	}
	if task.MinGeneration > 0 {
		parts = append(parts, fmt.Sprintf("processors of generation %d or newer", task.MinGeneration))
	}
	if len(task.Labels) > 0 {
		parts = append(parts, fmt.Sprintf("labels %v", task.Labels))
	}
	return strings.Join(parts, " and ")
}

// shortfall compares the need with the largest worker, by resource.
func shortfall(need, largest spec.Resources) string {
	var parts []string
	add := func(name string, need, largest int64) {
		if need > largest {
			parts = append(parts, fmt.Sprintf("%s: needs %d, the largest worker has %d", name, need, largest))
		}
	}
	add("milli_cpu", need.MilliCPU, largest.MilliCPU)
	add("memory_mib", need.MemoryMiB, largest.MemoryMiB)
	add("accelerators", need.Accelerators, largest.Accelerators)
	if len(parts) == 0 {
		return "no single worker has as much of every resource at once"
	}
	return strings.Join(parts, "; ")
}
