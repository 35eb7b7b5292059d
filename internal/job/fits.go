package job

import (
	"fmt"
	"sort"
	"strings"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// machineTypes returns the distinct machine types of the hosts that the live members report. If a
// member has not reported, complete is false and no job can be called infeasible.
func (m *Manager) machineTypes() (machineTypes []taskmsg.Size, complete bool) {
	table := m.cfg.Source.Table()
	if table == nil || len(table.Members) == 0 {
		return nil, false
	}
	digests := m.cfg.Digests()
	complete = true
	for _, member := range table.Members {
		d, ok := digests[member.Name]
		if !ok {
			complete = false
			continue
		}
		machineTypes = append(machineTypes, d.Sizes...)
	}
	return machineTypes, complete
}

// checkFits refuses a job whose task fits no host even if that is empty, or a gang that exceeds the
// capacity of all empty hosts together.
func checkFits(j spec.Job, machineTypes []taskmsg.Size, complete bool) error {
	if !complete || len(machineTypes) == 0 {
		return nil
	}
	capacity, feasible := int64(0), false
	for _, s := range machineTypes {
		if !fitsMachine(j.Task, s) {
			continue
		}
		feasible = true
		capacity += int64(s.Workers) * maxFits(j.Task.Size, s.Size)
	}
	if !feasible {
		return result.New(result.JobNeverFits, result.RanNo, "%s", explainInfeasible(j.Task, machineTypes)).AtField("task")
	}
	if j.Kind == spec.KindGang && capacity < int64(j.Tasks) {
		return result.New(result.JobNeverFits, result.RanNo, "all %d tasks must start together, but all workers, empty, hold %d", j.Tasks, capacity).AtField("tasks")
	}
	return nil
}

// unmetRequirements lists the requirements of a task that a machine type does not meet.
func unmetRequirements(t spec.Task, s taskmsg.Size) []string {
	var out []string
	check := func(rule string, lacks bool) {
		if lacks {
			out = append(out, rule)
		}
	}
	check("milli_cpu", t.Size.MilliCPU > s.Size.MilliCPU)
	check("memory_mib", t.Size.MemoryMiB > s.Size.MemoryMiB)
	check("accelerators", t.Size.Accelerators > s.Size.Accelerators)
	check("accelerator_kind", t.Size.Accelerators > 0 && t.AcceleratorKind != "" && t.AcceleratorKind != s.AcceleratorKind)
	check("min_generation", t.MinGeneration > s.Generation)
	check("labels", !hasLabels(t.Labels, s.Labels))
	return out
}

// fitsMachine reports whether a task fits an empty host of a machine type.
func fitsMachine(t spec.Task, s taskmsg.Size) bool {
	return t.Size.Fits(s.Size) && t.MinGeneration <= s.Generation && hasLabels(t.Labels, s.Labels) &&
		(t.Size.Accelerators == 0 || t.AcceleratorKind == "" || t.AcceleratorKind == s.AcceleratorKind)
}

func hasLabels(want, have map[string]string) bool {
	for k, v := range want {
		if have[k] != v {
			return false
		}
	}
	return true
}

// explainInfeasible states, for each resource or rule that excludes hosts, what the task needs and
// the maximum available.
func explainInfeasible(t spec.Task, machineTypes []taskmsg.Size) string {
	largest := spec.Resources{}
	generation, workers := 0, 0
	refused := map[string]int{}
	for _, s := range machineTypes {
		largest = largest.Max(s.Size)
		generation = max(generation, s.Generation)
		workers += s.Workers
		for _, rule := range unmetRequirements(t, s) {
			refused[rule] += s.Workers
		}
	}
	detail := map[string]string{
		"milli_cpu":        fmt.Sprintf("needs %d, the largest worker has %d", t.Size.MilliCPU, largest.MilliCPU),
		"memory_mib":       fmt.Sprintf("needs %d, the largest worker has %d", t.Size.MemoryMiB, largest.MemoryMiB),
		"accelerators":     fmt.Sprintf("needs %d, the largest worker has %d", t.Size.Accelerators, largest.Accelerators),
		"accelerator_kind": fmt.Sprintf("needs %q", t.AcceleratorKind),
		"min_generation":   fmt.Sprintf("needs %d, the newest worker is %d", t.MinGeneration, generation),
		"labels":           fmt.Sprintf("needs %v", t.Labels),
	}
	var rules []string
	for rule := range refused {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	parts := make([]string, 0, len(rules))
	for _, rule := range rules {
		parts = append(parts, fmt.Sprintf("%s turns down %d (%s)", rule, refused[rule], detail[rule]))
	}
	return fmt.Sprintf("none of %d workers could hold a task even empty: %s", workers, strings.Join(parts, "; "))
}

// maxFits returns how many times need fits into capacity.
func maxFits(need, capacity spec.Resources) int64 {
	n := int64(maxTasks)
	for _, c := range [][2]int64{{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMiB, capacity.MemoryMiB}, {need.Accelerators, capacity.Accelerators}} {
		if c[0] > 0 {
			n = min(n, max(c[1], 0)/c[0])
		}
	}
	return n
}
