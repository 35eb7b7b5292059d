package experiment

import (
	"math/rand/v2"
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/settings"
)

// policy is a placement policy.
type policy struct {
	name  string
	place func(c *scheduler.Cell, names []string, a scheduler.Request, runs []scheduler.Run, now time.Time) []scheduler.Placement
}

// policies returns the product's two policies and two baselines.
func policies() []policy {
	return []policy{
		{settings.PolicyPacking, byCell(settings.PolicyPacking)},
		{settings.PolicyWaiting, byCell(settings.PolicyWaiting)},
		{"first-fit", byProbing(func(n int) (first, step int) { return 0, 1 })},
		{"random-feasible", byRandom(rand.New(rand.NewPCG(7, 7)))},
	}
}

func byCell(name string) func(*scheduler.Cell, []string, scheduler.Request, []scheduler.Run, time.Time) []scheduler.Placement {
	return func(c *scheduler.Cell, _ []string, a scheduler.Request, runs []scheduler.Run, now time.Time) []scheduler.Placement {
		a.Shape.Policy.Name = name
		placed, _ := c.Place(a, runs, now)
		return placed
	}
}

// byRandom tries the workers from a random one on, with a random stride.
func byRandom(r *rand.Rand) func(*scheduler.Cell, []string, scheduler.Request, []scheduler.Run, time.Time) []scheduler.Placement {
	return byProbing(func(n int) (int, int) {
		step := 1 + r.IntN(n)
		for gcd(step, n) != 1 {
			step = 1 + r.IntN(n)
		}
		return r.IntN(n), step
	})
}

// byProbing reserves each run on the first worker that it fits on, in the order given by
// walk. The cell refuses reservations that do not fit.
func byProbing(walk func(n int) (first, step int)) func(*scheduler.Cell, []string, scheduler.Request, []scheduler.Run, time.Time) []scheduler.Placement {
	return func(c *scheduler.Cell, names []string, _ scheduler.Request, runs []scheduler.Run, now time.Time) []scheduler.Placement {
		var out []scheduler.Placement
		for _, r := range runs {
			n := len(names)
			at, step := walk(n)
			found := false
			for range n {
				if free, _ := c.Free(names[at]); r.Size.Fits(free) && c.Reserve(names[at], r, now) == nil {
					out = append(out, scheduler.Placement{Run: r, Choice: scheduler.Choice{Worker: names[at]}})
					found = true
					break
				}
				at = (at + step) % n
			}
			if !found {
				return out
			}
		}
		return out
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
