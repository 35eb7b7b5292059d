package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

// TestChoice checks the choice between two workers of which the second is better.
func TestChoice(t *testing.T) {
	big := resources(1000, 1000, 0)
	cases := []struct {
		name          string
		first, second spec.Resources // resources in use
		change        func(req *Request, first, second *Worker)
	}{
		{"packing prefers the fuller worker", resources(0, 0, 0), resources(500, 500, 0), func(*Request, *Worker, *Worker) {}},
		{"waiting prefers the emptier worker", resources(500, 500, 0), resources(0, 0, 0), func(req *Request, _, _ *Worker) {
			req.Shape.Policy.Name = settings.PolicyWaiting
		}},
		{"balance before fit", resources(700, 100, 0), resources(0, 0, 0), func(*Request, *Worker, *Worker) {}},
		{"accelerators are preserved", resources(500, 500, 0), resources(0, 0, 0), func(_ *Request, first, _ *Worker) { first.Info.Size.Accelerators = 8 }},
		{"no accelerators needed, where most are in use", resources(0, 0, 0), resources(0, 0, 6), func(_ *Request, first, second *Worker) {
			first.Info.Size.Accelerators, second.Info.Size.Accelerators = 8, 8
		}},
		{"few accelerators before many", resources(0, 0, 0), resources(0, 0, 6), func(req *Request, first, second *Worker) {
			first.Info.Size.Accelerators, second.Info.Size.Accelerators = 8, 8
			req.Shape.Task.Size.Accelerators = 2
		}},
		{"new processors are preserved", resources(0, 0, 0), resources(0, 0, 0), func(_ *Request, first, second *Worker) {
			first.Info.Generation, second.Info.Generation = 3, 1
		}},
		{"zones before fit", resources(500, 500, 0), resources(0, 0, 0), func(req *Request, _, second *Worker) {
			req.Shape.Policy.SpreadZones = true
			req.Shape.RunningByZone = map[string]int{"a": 1}
			second.Info.Zone = "b"
		}},
		{"fit if zones have equally many runs", resources(0, 0, 0), resources(500, 500, 0), func(req *Request, _, second *Worker) {
			req.Shape.Policy.SpreadZones = true
			req.Shape.RunningByZone = map[string]int{"a": 1, "b": 1}
			second.Info.Zone = "b"
		}},
		{"racks before fit", resources(500, 500, 0), resources(0, 0, 0), func(req *Request, _, _ *Worker) { req.Shape.Policy.SpreadRacks = true }},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			for _, choose := range []func(*Cell, Request) string{byIndex, byScan} {
				is := is.New(t)
				c := NewCell(1)
				first, second, request := readyWorker("first", "a", big), readyWorker("second", "a", big), requestFor(resources(100, 100, 0))
				tt.change(&request, &first, &second)
				c.Upsert(first)
				c.Upsert(second)
				is.NoErr(c.Reserve("first", run("job", 1, tt.first), start))
				is.NoErr(c.Reserve("second", run("other", 2, tt.second), start))
				is.Equal(choose(c, request), "second")
			}
		})
	}
}

func byIndex(c *Cell, req Request) string {
	choice, _ := c.Select(req)
	return choice.Worker
}

func byScan(c *Cell, req Request) string {
	choice, _ := c.selectByScan(&req)
	return choice.Worker
}

// TestPlaceSpreads checks that the replicas of a service placed in one call are spread evenly
// over the zones.
func TestPlaceSpreads(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i := range 9 {
		c.Upsert(readyWorker(workerName(i), string(rune('a'+i%3)), resources(1000, 1000, 0)))
	}
	req := requestFor(resources(100, 100, 0))
	req.Shape.Policy.SpreadZones = true
	req.Shape.RunningByZone = map[string]int{"a": 2}
	var runs []Run
	for i := range 7 {
		runs = append(runs, run("job", i, req.size()))
	}
	placed, refusal := c.Place(req, runs, start)
	is.True(refusal == nil)
	zones := map[string]int{"a": 2}
	for _, p := range placed {
		zones[c.workers[p.Worker].Info.Zone]++
	}
	is.Equal(zones, map[string]int{"a": 3, "b": 3, "c": 3})
	is.Equal(req.Shape.RunningByZone, map[string]int{"a": 2}) // the caller's map is not modified
}
