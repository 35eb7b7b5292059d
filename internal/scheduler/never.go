package scheduler

import (
	"fmt"
	"strings"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Never tells whether no worker of the given makes could hold the task even if
// empty: it returns a NeverFits error with the reason per resource, or nil.
// With no makes known it returns nil, since then nothing is known.
func Never(makes []taskmsg.Size, task *spec.Task) *result.Error {
	if len(makes) == 0 {
		return nil
	}
	ask := &Ask{Shape: taskmsg.Shape{Task: *task}}
	var left []taskmsg.Size
	for _, m := range makes {
		if hardwareAdmits(ask, &m) {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		return result.New(result.NeverFits, result.RanNo, "no make of worker of %d has %s", len(makes), wanted(task))
	}
	var most spec.Resources
	for _, m := range left {
		if task.Size.Fits(m.Size) {
			return nil
		}
		most = most.Max(m.Size)
	}
	return result.New(result.NeverFits, result.RanNo, "%s", shortfall(task.Size, most))
}

// Never applies the function Never to the workers of the cell.
func (c *Cell) Never(task *spec.Task) *result.Error {
	return Never(c.index.makes(), task)
}

// wanted names what the hardware filters looked for.
func wanted(task *spec.Task) string {
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

// shortfall compares what is needed with the largest worker, per resource.
func shortfall(need, most spec.Resources) string {
	var parts []string
	add := func(name string, need, most int64) {
		if need > most {
			parts = append(parts, fmt.Sprintf("%s: needs %d, the largest worker has %d", name, need, most))
		}
	}
	add("milli_cpu", need.MilliCPU, most.MilliCPU)
	add("memory_mib", need.MemoryMiB, most.MemoryMiB)
	add("accelerators", need.Accelerators, most.Accelerators)
	if len(parts) == 0 {
		return "no single worker has as much of every resource at once"
	}
	return strings.Join(parts, "; ")
}
