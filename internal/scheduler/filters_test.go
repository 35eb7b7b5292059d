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
		req := requestFor(resources(4000, 8000, 2))
		req.Shape.Task.AcceleratorKind, req.Shape.Task.MinGeneration = "a100", 3
		req.Shape.Task.Labels = map[string]string{"disk": "fast"}
		return w, req
	}
	cases := []struct {
		rule   string
		change func(*Worker, *Request)
	}{
		{"", func(*Worker, *Request) {}},
		{RuleStatus, func(w *Worker, _ *Request) { w.Status = StatusDraining }},
		{RuleStatus, func(w *Worker, _ *Request) { w.Status = StatusUnclaimed }},
		{RuleAvoid, func(_ *Worker, req *Request) { req.Shape.Avoid = []string{"x", "w"} }},
		{RuleAcceleratorKind, func(_ *Worker, req *Request) { req.Shape.Task.AcceleratorKind = "h100" }},
		{"", func(_ *Worker, req *Request) { req.Shape.Task.AcceleratorKind = "" }},
		{"", func(_ *Worker, req *Request) {
			req.Shape.Task.AcceleratorKind, req.Shape.Task.Size.Accelerators = "h100", 0
		}},
		{RuleGeneration, func(_ *Worker, req *Request) { req.Shape.Task.MinGeneration = 4 }},
		{RuleLabels, func(_ *Worker, req *Request) { req.Shape.Task.Labels = map[string]string{"disk": "slow"} }},
		{RuleLabels, func(_ *Worker, req *Request) { req.Shape.Task.Labels = map[string]string{"net": ""} }},
		{RuleProcessors, func(_ *Worker, req *Request) { req.Shape.Task.Size.MilliCPU++ }},
		{RuleMemory, func(_ *Worker, req *Request) { req.Shape.Task.Size.MemoryMiB++ }},
		{RuleAccelerators, func(_ *Worker, req *Request) { req.Shape.Task.Size.Accelerators++ }},
	}
	for _, tt := range cases {
		is := is.New(t)
		w, req := base()
		tt.change(&w, &req)
		c := NewCell(1)
		c.Upsert(w)
		choice, refusal := c.Select(req)
		if tt.rule == "" {
			is.Equal(choice.Worker, "w")
			continue
		}
		is.True(refusal != nil)
		is.Equal(refusal.ByRule, map[string]int{tt.rule: 1})
	}
}
