package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

// TestUrgentWorkGoesToFastHosts: a third of the hosts take 1.3 times as long, and the engine is not told
// which. The test checks that the engine places little urgent work, whose slack is half of its run time, on
// the slow hosts. The slow hosts should run work that can wait.
func TestUrgentWorkGoesToFastHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	slow := map[string]bool{}
	for i, h := range w.fleet.Add(30, "s", size(64, 256)) {
		if i%3 == 0 {
			h.SetSlowdown(1.3)
			slow[string(h.Info().ID)] = true
		}
	}
	w.failOver()
	placed := map[string][2]int{} // tasks on fast and on slow hosts, by kind
	counting := false
	w.engine.cfg.Log = func(Event) {}
	submit := func(kind string, n int, rules catalog.Rules, s spec.Step) {
		w.submit(fmt.Sprint(kind, n), rules, s)
	}
	for i := range 200 {
		w.after(time.Duration(i)*50*time.Millisecond, func() {
			submit("tight-", i, catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250}, step(3, 16, 32, 400))
			if i%4 == 0 {
				submit("loose-", i, catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000}, step(4, 8, 16, 600))
			}
		})
	}
	w.after(6*time.Second, func() { counting = true })
	seen := map[spec.StepTask]bool{}
	for range 100 {
		w.run(100 * time.Millisecond)
		if !counting {
			continue
		}
		for _, h := range w.fleet.Hosts() {
			for _, r := range h.Running() {
				if seen[r.Task] {
					continue
				}
				seen[r.Task] = true
				n := placed[r.Task.Job[:5]]
				if slow[string(h.Info().ID)] {
					n[1]++
				} else {
					n[0]++
				}
				placed[r.Task.Job[:5]] = n
			}
		}
	}
	w.checkInvariants()
	share := func(kind string) float64 { return float64(placed[kind][1]) / float64(placed[kind][0]+placed[kind][1]) }
	t.Logf("on slow hosts: %.2f of the urgent tasks, %.2f of the others", share("tight"), share("loose"))
	is.True(share("tight") < 0.15)
	is.True(share("loose") > 0.4)
}

// TestHostSpeedIsEstimated checks that the mean over tasks whose run times differ by a sixth identifies
// hosts that are slower by a third.
func TestHostSpeedIsEstimated(t *testing.T) {
	is := is.New(t)
	fast, slow := &hostState{}, &hostState{}
	is.Equal(fast.relativeRunTime(), 1.0) // no observation yet
	for i := range 40 {
		uneven := 1 + 0.16*float64(i%3-1)
		fast.speed.observe(0.92 * uneven)
		slow.speed.observe(1.2 * uneven)
	}
	is.True(!fast.slow())
	is.True(slow.slow())
	is.True(slow.relativeRunTime()-fast.relativeRunTime() > 0.2)
}
