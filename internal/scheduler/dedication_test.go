package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
)

// stream keeps a cell of n workers full of small tasks: each that ends is
// replaced before the large task is asked for again. It returns after how many
// rounds the large task found room, or the limit.
func stream(t *testing.T, large Ask, n, limit int) int {
	is := is.New(t)
	c := NewCell(1)
	c.UsageLag = 0
	for i := range n {
		c.Upsert(ready(name(i), "a", res(1000, 1000, 0)))
	}
	small, now, next := askFor(res(100, 100, 0)), start, 0
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
			if runs := c.Runs(name(i)); len(runs) > 0 {
				c.Unreserve(runs[0].Attempt)
			}
			c.Observe(name(i), res(0, 0, 0), now)
		}
		fill()
		placed, _ := c.Place(large, []Run{run("large", 1, large.size())}, now)
		if len(placed) == 1 {
			fill() // the worker is free for others again
			is.Equal(len(c.kept), 0)
			return round
		}
		is.True(len(c.kept) <= 1+n/keepShare)
	}
	return limit
}

func TestAgedWorkFindsRoom(t *testing.T) {
	is := is.New(t)
	large := askFor(res(900, 900, 0))
	large.Shape.Job = "large"
	is.Equal(stream(t, large, 4, 200), 200) // it starves
	large.Shape.Aged = true
	is.True(stream(t, large, 4, 200) <= 10) // as many as small tasks have to end
}

func TestKeep(t *testing.T) {
	full := func() (*Cell, Ask) {
		c := NewCell(1)
		c.Upsert(ready("w", "a", res(1000, 1000, 0)))
		_ = c.Reserve("w", run("job", 1, res(600, 600, 0)), start)
		large := askFor(res(900, 900, 0))
		large.Shape.Job, large.Shape.Aged = "large", true
		return c, large
	}
	other := askFor(res(100, 100, 0))
	cases := []struct {
		name   string
		change func(c *Cell, large *Ask)
		after  time.Duration
		kept   bool
	}{
		{"kept", func(*Cell, *Ask) {}, keepTime - 1, true},
		{"not for young work", func(_ *Cell, large *Ask) { large.Shape.Aged = false }, 0, false},
		{"not for what never fits", func(_ *Cell, large *Ask) { large.Shape.Task.Size = res(1001, 0, 0) }, 0, false},
		{"time is up", func(*Cell, *Ask) {}, keepTime, false},
		{"not where services stay", func(c *Cell, _ *Ask) {
			s := run("service", 2, res(200, 200, 0))
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
			c.Observe("w", res(0, 0, 0), start.Add(tt.after))
			_, refusal = c.Select(other)
			is.Equal(refusal != nil, tt.kept)
			if tt.kept {
				is.Equal(refusal.ByRule, map[string]int{RuleKept: 1})
			}
		})
	}
}

func TestKeptWorkerRemoved(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	c.Upsert(ready("w", "a", res(1000, 1000, 0)))
	is.NoErr(c.Reserve("w", run("job", 1, res(600, 600, 0)), start))
	large := askFor(res(900, 900, 0))
	large.Shape.Aged = true
	_, _ = c.Place(large, []Run{run("large", 1, large.size())}, start)
	is.Equal(len(c.kept), 1)
	c.Remove("w")
	is.Equal(len(c.kept), 0)
	c.Upsert(ready("w", "a", res(1000, 1000, 0)))
	choice, _ := c.Select(askFor(res(100, 100, 0)))
	is.Equal(choice.Worker, "w")
}

// TestKeepIsBounded asks for many aged jobs, and lets urgent work look for
// victims meanwhile.
func TestKeepIsBounded(t *testing.T) {
	is := is.New(t)
	c := NewCell(1)
	for i := range 40 {
		c.Upsert(ready(name(i), "a", res(1000, 1000, 0)))
		is.NoErr(c.Reserve(name(i), run("small", i, res(600, 600, 0)), start))
	}
	large := askFor(res(900, 900, 0))
	large.Shape.Aged = true
	for i := range 10 {
		large.Shape.Job = name(i)
		_, refusal := c.Place(large, []Run{run(large.Shape.Job, i, large.size())}, start)
		is.True(refusal != nil)
	}
	is.Equal(len(c.kept), 3) // one in twenty, and one
	urgent := large
	urgent.Shape.Job, urgent.Shape.Urgent = "urgent", true
	for range 50 {
		w, _ := c.Victims(urgent)
		is.Equal(c.books[w].keptFor, "")
	}
}
