package job

import (
	"fmt"
	"sort"
	"strings"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// sizes returns the distinct makes of workers that the live members report;
// complete is false when a member has not reported, so that nothing can be said
// to be impossible.
func (m *Manager) sizes() (sizes []taskmsg.Size, complete bool) {
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
		sizes = append(sizes, d.Sizes...)
	}
	return sizes, complete
}

// checkFits refuses a job whose task no worker could hold even if it were empty,
// or a gang that all workers together could not.
func checkFits(j spec.Job, sizes []taskmsg.Size, complete bool) error {
	if !complete || len(sizes) == 0 {
		return nil
	}
	room, fit := int64(0), false
	for _, s := range sizes {
		if !couldHold(j.Task, s) {
			continue
		}
		fit = true
		room += int64(s.Workers) * times(j.Task.Size, s.Size)
	}
	if !fit {
		return result.New(result.JobNeverFits, result.RanNo, "%s", whyNever(j.Task, sizes)).At("task")
	}
	if j.Kind == spec.KindGang && room < int64(j.Tasks) {
		return result.New(result.JobNeverFits, result.RanNo, "all %d tasks must start together, but all workers, empty, hold %d", j.Tasks, room).At("tasks")
	}
	return nil
}

// mismatches names what a make of worker lacks for a task.
func mismatches(t spec.Task, s taskmsg.Size) []string {
	var out []string
	lack := func(rule string, lacks bool) {
		if lacks {
			out = append(out, rule)
		}
	}
	lack("milli_cpu", t.Size.MilliCPU > s.Size.MilliCPU)
	lack("memory_mib", t.Size.MemoryMiB > s.Size.MemoryMiB)
	lack("accelerators", t.Size.Accelerators > s.Size.Accelerators)
	lack("accelerator_kind", t.Size.Accelerators > 0 && t.AcceleratorKind != "" && t.AcceleratorKind != s.AcceleratorKind)
	lack("min_generation", t.MinGeneration > s.Generation)
	lack("labels", !hasLabels(t.Labels, s.Labels))
	return out
}

// couldHold reports whether a make of worker could hold a task, if empty.
func couldHold(t spec.Task, s taskmsg.Size) bool {
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

// whyNever gives, for each resource or rule that turns down some worker, the
// need against the best there is.
func whyNever(t spec.Task, sizes []taskmsg.Size) string {
	best := spec.Resources{}
	generation, workers := 0, 0
	refused := map[string]int{}
	for _, s := range sizes {
		best = best.Max(s.Size)
		generation = max(generation, s.Generation)
		workers += s.Workers
		for _, rule := range mismatches(t, s) {
			refused[rule] += s.Workers
		}
	}
	detail := map[string]string{
		"milli_cpu":        fmt.Sprintf("needs %d, the largest worker has %d", t.Size.MilliCPU, best.MilliCPU),
		"memory_mib":       fmt.Sprintf("needs %d, the largest worker has %d", t.Size.MemoryMiB, best.MemoryMiB),
		"accelerators":     fmt.Sprintf("needs %d, the largest worker has %d", t.Size.Accelerators, best.Accelerators),
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

// times returns how often need fits into room.
func times(need, room spec.Resources) int64 {
	n := int64(maxTasks)
	for _, c := range [][2]int64{{need.MilliCPU, room.MilliCPU}, {need.MemoryMiB, room.MemoryMiB}, {need.Accelerators, room.Accelerators}} {
		if c[0] > 0 {
			n = min(n, max(c[1], 0)/c[0])
		}
	}
	return n
}
