package scheduler

import (
	"testing"

	"github.com/matryer/is"
)

func TestFilters(t *testing.T) {
	base := func() (Worker, Request) {
		w := readyWorker("w", "a", resources(4000, 8000, 2))
		w.Info.AcceleratorKind, w.Info.Generation = "a100", 3
		w.Info.Labels = map[string]string{"disk": "fast"}
		a := requestFor(resources(4000, 8000, 2))
		a.Shape.Task.AcceleratorKind, a.Shape.Task.MinGeneration = "a100", 3
		a.Shape.Task.Labels = map[string]string{"disk": "fast"}
		return w, a
	}
	cases := []struct {
		rule   string
		change func(*Worker, *Request)
	}{
		{"", func(*Worker, *Request) {}},
		{RuleStatus, func(w *Worker, _ *Request) { w.Status = StatusDraining }},
		{RuleStatus, func(w *Worker, _ *Request) { w.Status = StatusUnclaimed }},
		{RuleAvoid, func(_ *Worker, a *Request) { a.Shape.Avoid = []string{"x", "w"} }},
		{RuleAcceleratorKind, func(_ *Worker, a *Request) { a.Shape.Task.AcceleratorKind = "h100" }},
		{"", func(_ *Worker, a *Request) { a.Shape.Task.AcceleratorKind = "" }},
		{"", func(_ *Worker, a *Request) { a.Shape.Task.AcceleratorKind, a.Shape.Task.Size.Accelerators = "h100", 0 }},
		{RuleGeneration, func(_ *Worker, a *Request) { a.Shape.Task.MinGeneration = 4 }},
		{RuleLabels, func(_ *Worker, a *Request) { a.Shape.Task.Labels = map[string]string{"disk": "slow"} }},
		{RuleLabels, func(_ *Worker, a *Request) { a.Shape.Task.Labels = map[string]string{"net": ""} }},
		{RuleProcessors, func(_ *Worker, a *Request) { a.Shape.Task.Size.MilliCPU++ }},
		{RuleMemory, func(_ *Worker, a *Request) { a.Shape.Task.Size.MemoryMiB++ }},
		{RuleAccelerators, func(_ *Worker, a *Request) { a.Shape.Task.Size.Accelerators++ }},
	}
	for _, tt := range cases {
		is := is.New(t)
		w, a := base()
		tt.change(&w, &a)
		c := NewCell(1)
		c.Upsert(w)
		choice, refusal := c.Select(a)
		if tt.rule == "" {
			is.Equal(choice.Worker, "w")
			continue
		}
		is.True(refusal != nil)
		is.Equal(refusal.ByRule, map[string]int{tt.rule: 1})
	}
}
