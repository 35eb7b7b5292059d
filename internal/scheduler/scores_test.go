package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

// TestChoice gives two workers of which the second is the better one.
func TestChoice(t *testing.T) {
	big := res(1000, 1000, 0)
	cases := []struct {
		name          string
		first, second spec.Resources // what is used of them
		change        func(a *Ask, first, second *Worker)
	}{
		{"packing fills the fuller", res(0, 0, 0), res(500, 500, 0), func(*Ask, *Worker, *Worker) {}},
		{"waiting takes the emptier", res(500, 500, 0), res(0, 0, 0), func(a *Ask, _, _ *Worker) {
			a.Shape.Policy.Name = settings.PolicyWaiting
		}},
		{"balance before fit", res(700, 100, 0), res(0, 0, 0), func(*Ask, *Worker, *Worker) {}},
		{"accelerators are kept", res(500, 500, 0), res(0, 0, 0), func(_ *Ask, first, _ *Worker) { first.Info.Size.Accelerators = 8 }},
		{"guests go where accelerators are in use", res(0, 0, 0), res(0, 0, 6), func(_ *Ask, first, second *Worker) {
			first.Info.Size.Accelerators, second.Info.Size.Accelerators = 8, 8
		}},
		{"few accelerators before many", res(0, 0, 0), res(0, 0, 6), func(a *Ask, first, second *Worker) {
			first.Info.Size.Accelerators, second.Info.Size.Accelerators = 8, 8
			a.Shape.Task.Size.Accelerators = 2
		}},
		{"new processors are kept", res(0, 0, 0), res(0, 0, 0), func(_ *Ask, first, second *Worker) {
			first.Info.Generation, second.Info.Generation = 3, 1
		}},
		{"zones before fit", res(500, 500, 0), res(0, 0, 0), func(a *Ask, _, second *Worker) {
			a.Shape.Policy.SpreadZones = true
			a.Shape.Zones = map[string]int{"a": 1}
			second.Info.Zone = "b"
		}},
		{"fit where zones are even", res(0, 0, 0), res(500, 500, 0), func(a *Ask, _, second *Worker) {
			a.Shape.Policy.SpreadZones = true
			a.Shape.Zones = map[string]int{"a": 1, "b": 1}
			second.Info.Zone = "b"
		}},
		{"racks before fit", res(500, 500, 0), res(0, 0, 0), func(a *Ask, _, _ *Worker) { a.Shape.Policy.SpreadRacks = true }},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			for _, way := range []func(*Cell, Ask) string{byIndex, byScan} {
				is := is.New(t)
				c := NewCell(1)
				first, second, ask := ready("first", "a", big), ready("second", "a", big), askFor(res(100, 100, 0))
				tt.change(&ask, &first, &second)
				c.Upsert(first)
				c.Upsert(second)
				is.NoErr(c.Reserve("first", run("job", 1, tt.first), start))
				is.NoErr(c.Reserve("second", run("other", 2, tt.second), start))
				is.Equal(way(c, ask), "second")
			}
		})
	}
}

func byIndex(c *Cell, a Ask) string {
	choice, _ := c.Select(a)
	return choice.Worker
}

func byScan(c *Cell, a Ask) string {
	choice, _ := c.selectByScan(&a)
	return choice.Worker
}

// TestPlaceSpreads places a service's replicas together and counts their zones.
func TestPlaceSpreads(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i := range 9 {
		c.Upsert(ready(name(i), string(rune('a'+i%3)), res(1000, 1000, 0)))
	}
	a := askFor(res(100, 100, 0))
	a.Shape.Policy.SpreadZones = true
	a.Shape.Zones = map[string]int{"a": 2}
	var runs []Run
	for i := range 7 {
		runs = append(runs, run("job", i, a.size()))
	}
	placed, refusal := c.Place(a, runs, start)
	is.True(refusal == nil)
	zones := map[string]int{"a": 2}
	for _, p := range placed {
		zones[c.books[p.Worker].Info.Zone]++
	}
	is.Equal(zones, map[string]int{"a": 3, "b": 3, "c": 3})
	is.Equal(a.Shape.Zones, map[string]int{"a": 2}) // the caller's is left alone
}
