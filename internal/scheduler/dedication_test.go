package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
)

// roundsUntilPlaced keeps a cell of n workers full of small tasks: each one that ends is
// replaced before the large task is requested again. It returns the number of rounds until the
// large task was placed, or limit.
func roundsUntilPlaced(t *testing.T, large Request, n, limit int) int {
	is := is.New(t)
	c := NewCell(1)
	c.UsageLag = 0
	for i := range n {
		c.Upsert(readyWorker(workerName(i), "a", resources(1000, 1000, 0)))
	}
	small, now, next := requestFor(resources(100, 100, 0)), start, 0
	small.Shape.Job = "small"
	fill := func() {
		for {
			next++
			if placed, _ := c.Place(small, []Run{run("small", next, small.size())}, now); len(placed) == 0 {
				return
			}
		}
	}
	fill()
	for round := range limit {
		now = now.Add(time.Second)
		for i := range n { // one task ends on each worker
			if runs := c.Runs(workerName(i)); len(runs) > 0 {
				c.Unreserve(runs[0].Attempt)
			}
			c.Observe(workerName(i), resources(0, 0, 0), now)
		}
		fill()
		placed, _ := c.Place(large, []Run{run("large", 1, large.size())}, now)
		if len(placed) == 1 {
			fill() // the worker is available to other jobs again
			is.Equal(len(c.dedicated), 0)
			return round
		}
		is.True(len(c.dedicated) <= 1+n/workersPerDedicated)
	}
	return limit
}

func TestAgedWorkFindsRoom(t *testing.T) {
	is := is.New(t)
	large := requestFor(resources(900, 900, 0))
	large.Shape.Job = "large"
	is.Equal(roundsUntilPlaced(t, large, 4, 200), 200) // without ageing it starves
	large.Shape.Aged = true
	is.True(roundsUntilPlaced(t, large, 4, 200) <= 10) // enough small tasks have ended by then
}

func TestDedicate(t *testing.T) {
	full := func() (*Cell, Request) {
		c := NewCell(1)
		c.Upsert(readyWorker("w", "a", resources(1000, 1000, 0)))
		_ = c.Reserve("w", run("job", 1, resources(600, 600, 0)), start)
		large := requestFor(resources(900, 900, 0))
		large.Shape.Job, large.Shape.Aged = "large", true
		return c, large
	}
	other := requestFor(resources(100, 100, 0))
	cases := []struct {
		name      string
		change    func(c *Cell, large *Request)
		after     time.Duration
		dedicated bool
	}{
		{"dedicated", func(*Cell, *Request) {}, dedicationTimeout - 1, true},
		{"not for work that is not aged", func(_ *Cell, large *Request) { large.Shape.Aged = false }, 0, false},
		{"not for an infeasible task", func(_ *Cell, large *Request) { large.Shape.Task.Size = resources(1001, 0, 0) }, 0, false},
		{"after the time-out", func(*Cell, *Request) {}, dedicationTimeout, false},
		{"not where services leave too little", func(c *Cell, _ *Request) {
			s := run("service", 2, resources(200, 200, 0))
			s.Kind = spec.KindService
			_ = c.Reserve("w", s, start)
		}, 0, false},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, large := full()
			tt.change(c, &large)
			_, refusal := c.Place(large, []Run{run("large", 1, large.size())}, start)
			is.True(refusal != nil)
			c.Observe("w", resources(0, 0, 0), start.Add(tt.after))
			_, refusal = c.Select(other)
			is.Equal(refusal != nil, tt.dedicated)
			if tt.dedicated {
				is.Equal(refusal.ByRule, map[string]int{RuleDedicated: 1})
			}
		})
	}
}

func TestDedicatedWorkerRemoved(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	c.Upsert(readyWorker("w", "a", resources(1000, 1000, 0)))
	is.NoErr(c.Reserve("w", run("job", 1, resources(600, 600, 0)), start))
	large := requestFor(resources(900, 900, 0))
	large.Shape.Aged = true
	_, _ = c.Place(large, []Run{run("large", 1, large.size())}, start)
	is.Equal(len(c.dedicated), 1)
	c.Remove("w")
	is.Equal(len(c.dedicated), 0)
	c.Upsert(readyWorker("w", "a", resources(1000, 1000, 0)))
	choice, _ := c.Select(requestFor(resources(100, 100, 0)))
	is.Equal(choice.Worker, "w")
}

// TestDedicatedWorkersBounded checks the bound on dedicated workers with many aged jobs, and
// that preemption for an urgent job does not choose a dedicated worker.
func TestDedicatedWorkersBounded(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i := range 40 {
		c.Upsert(readyWorker(workerName(i), "a", resources(1000, 1000, 0)))
		is.NoErr(c.Reserve(workerName(i), run("small", i, resources(600, 600, 0)), start))
	}
	large := requestFor(resources(900, 900, 0))
	large.Shape.Aged = true
	for i := range 10 {
		large.Shape.Job = workerName(i)
		_, refusal := c.Place(large, []Run{run(large.Shape.Job, i, large.size())}, start)
		is.True(refusal != nil)
	}
	is.Equal(len(c.dedicated), 3) // one in twenty, plus one
	urgent := large
	urgent.Shape.Job, urgent.Shape.Urgent = "urgent", true
	for range 50 {
		w, _ := c.Victims(urgent)
		is.Equal(c.workers[w].dedicatedTo, "")
	}
}
