package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
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

// TestHostThatIsNoLongerSlow guards against a host that was slow for a while and counts as slow ever after:
// urgent work avoids it, so that no run corrects the estimate.
func TestHostThatIsNoLongerSlow(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	hosts := w.fleet.Add(12, "s", size(64, 256))
	for _, h := range hosts[:4] {
		h.SetSlowdown(1.6)
	}
	w.failOver()
	rules := catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250}
	for i := range 800 {
		count := 3
		if i < 100 {
			count = 5 // needs all hosts
		}
		w.after(time.Duration(i)*100*time.Millisecond, func() { w.submit(fmt.Sprint("tight-", i), rules, step(count, 16, 32, 800)) })
	}
	countSlow := func() (n int) {
		for _, h := range hosts[:4] {
			if w.engine.hosts[h.Info().ID].speed.Slow() {
				n++
			}
		}
		return n
	}
	w.run(10 * time.Second)
	is.True(countSlow() >= 2)
	for _, h := range hosts[:4] {
		h.SetSlowdown(1)
	}
	w.run(70 * time.Second) // the slow hosts get no work
	is.Equal(countSlow(), 0)
}

// TestUrgentWorkAvoidsHostsThatDoNotAnswer: a host that has just left a call unanswered gets urgent work again
// a few seconds later.
func TestUrgentWorkAvoidsHostsThatDoNotAnswer(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 4)
	w.run(time.Second)
	g := newGroup(newJob(&record.Job{ID: "x", Rules: catalog.Rules{CriticalPathFactor: 1.5}, Graph: spec.Graph{Steps: []spec.Step{step(1, 4, 4, 400)}}}, w.now()), 0, 0)
	h, other := w.engine.hostsByID[0], w.engine.hostsByID[1]
	is.Equal(w.engine.cost(g, h), w.engine.cost(g, other))
	h.recordFailedCall(host.ErrLost, w.now())
	h.recordContact(w.now())
	is.True(w.engine.cost(g, h) > w.engine.cost(g, other)+1)
	w.run(4 * time.Second)
	is.Equal(w.engine.cost(g, h), w.engine.cost(g, other))
	g.job.rec.Rules.CriticalPathFactor = 4
	h.recordFailedCall(host.ErrLost, w.now())
	is.Equal(w.engine.cost(g, h), w.engine.cost(g, other)) // work that can wait
}
