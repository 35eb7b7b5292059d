package scheduler

import (
	"time"

	"pulleyquay/internal/taskmsg"
)

// Placed is one run with the worker that it was booked on.
type Placed struct {
	Run
	Choice
}

// Select chooses the best worker for one task, or tells which rule turned down
// how many workers. Nothing is booked.
func (c *Cell) Select(a Ask) (Choice, *taskmsg.Refusal) {
	return c.selectByScan(&a)
}

// Place chooses a worker for each run of one shape and books it, until one
// finds no room. The refusal is that of the first run not placed.
func (c *Cell) Place(a Ask, runs []Run, now time.Time) ([]Placed, *taskmsg.Refusal) {
	a.Shape.Zones = copyZones(a.Shape.Zones)
	placed := make([]Placed, 0, len(runs))
	for _, r := range runs {
		choice, refusal := c.Select(a)
		if refusal != nil {
			return placed, refusal
		}
		if err := c.Reserve(choice.Worker, r, now); err != nil {
			continue // booked already: the caller sees it missing from placed
		}
		a.Shape.Zones[c.books[choice.Worker].Info.Zone]++
		placed = append(placed, Placed{Run: r, Choice: choice})
	}
	return placed, nil
}

// selectByScan looks at every worker. It is the reference that the index is
// tested against.
func (c *Cell) selectByScan(a *Ask) (Choice, *taskmsg.Refusal) {
	scores := scoresOf(&a.Shape.Policy)
	zones := c.zoneRange(a)
	refusal := &taskmsg.Refusal{Workers: len(c.order), ByRule: map[string]int{}}
	best := Choice{}
	for _, b := range c.order {
		if rule := refusedBy(a, b); rule != "" {
			refusal.ByRule[rule]++
			continue
		}
		size := makeOf(b)
		p := place{size: &size, free: b.free(), zoneLeast: zones.least, zoneMost: zones.most, zoneRuns: a.Shape.Zones[b.Info.Zone]}
		if s := total(scores, a, &p); best.Worker == "" || s > best.Score {
			best = Choice{Worker: b.Info.Name, Score: s}
		}
	}
	if best.Worker != "" {
		return best, nil
	}
	refusal.Never = c.Never(&a.Shape.Task) != nil
	return Choice{}, refusal
}

// zoneRange is the fewest and most runs that the job has in a zone.
type zoneRange struct{ least, most int }

// zoneRange looks at the zones of the workers here, with the counts of the ask.
func (c *Cell) zoneRange(a *Ask) zoneRange {
	r := zoneRange{least: -1}
	if !a.Shape.Policy.SpreadZones {
		return r
	}
	for _, b := range c.order {
		n := a.Shape.Zones[b.Info.Zone]
		r.most = max(r.most, n)
		if r.least < 0 || n < r.least {
			r.least = n
		}
	}
	return r
}

func copyZones(zones map[string]int) map[string]int {
	out := make(map[string]int, len(zones)+1)
	for zone, n := range zones {
		out[zone] = n
	}
	return out
}
