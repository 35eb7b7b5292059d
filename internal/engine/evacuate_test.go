package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/platform"
)

// evacuationBound is the time after which nothing starts in an evacuated zone: the propagation bound of settings.
const evacuationBound = 4 * time.Second

// evacuate makes zones the evacuated ones for this and the following engines.
func (w *world) evacuate(revision platform.Revision, zones ...string) {
	w.evacuations = &evacuation.Set{Revision: revision, Zones: zones}
}

// startsByZone counts the start orders by zone from now on.
func (w *world) startsByZone() map[string]int {
	counts := map[string]int{}
	w.onStart = func(s StartOrder) { counts[s.To.Zone]++ }
	return counts
}

// TestNothingStartsInAnEvacuatedZone guards against tasks that start in a zone after operators have evacuated it,
// also while a holder is replaced and the store is unavailable, and against zones that stay closed once the
// evacuation is withdrawn.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	tests := map[string]func(w *world){
		"calm":             func(*world) {},
		"failover":         func(w *world) { w.failOver() },
		"failovers in row": func(w *world) { w.failOver(); w.run(300 * time.Millisecond); w.failOver() },
		"store unavailable, then a failover": func(w *world) {
			w.storeUnavailable = true
			w.run(time.Second)
			w.storeUnavailable = false
			w.failOver()
		},
		"hosts restart": func(w *world) {
			for i, h := range w.fleet.Hosts() {
				if i%2 == 0 {
					h.Restart()
				}
			}
		},
		"lost answers": func(w *world) { w.faults.lostReply, w.faults.delayedRequest = 0.2, 0.1 },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := idleWorld(t, 12)
			w.followsHosts = true
			for i := range 200 {
				w.after(time.Duration(i)*100*time.Millisecond, func() {
					rules := catalog.Rules{PolicyQuery: &catalog.PolicyQuery{DecideMillis: 10, ValidMillis: 1500}}
					s := step(4, 4, 4, 400)
					s.Gang = i%3 == 0
					w.submit(fmt.Sprint("j", i), rules, s)
				})
			}
			w.run(3 * time.Second)
			w.evacuate(7, "z1")
			disturb(w)
			w.run(evacuationBound)
			counts := w.startsByZone()
			w.run(6 * time.Second)
			is.Equal(counts["z1"], 0)
			is.True(counts["z0"] > 0 && counts["z2"] > 0)
			w.faults = faults{}
			w.evacuate(9)
			counts = w.startsByZone()
			w.run(6 * time.Second)
			is.True(counts["z1"] > 0)
			w.run(30 * time.Second)
			w.checkInvariants()
			is.Equal(w.completed(), 200)
		})
	}
}

// TestLongRunningTasksLeaveAnEvacuatedZone: long-running tasks would stay in an evacuated zone for good. They move
// one at a time; other work there is left to end.
func TestLongRunningTasksLeaveAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 9)
	service := longRunningStep(6, 20, 8)
	service.MaxUnavailable = 1
	w.submit("service", catalog.Rules{}, service)
	w.submit("batch", catalog.Rules{}, step(9, 30, 8, 5000))
	w.run(5 * time.Second)
	is.Equal(w.readyTasks("service"), 6)
	started := w.fleet.Checker().Starts()
	w.evacuate(3, "z0")
	fewest := 6
	for range 150 {
		w.run(100 * time.Millisecond)
		fewest = min(fewest, w.running("service"))
	}
	is.True(fewest >= 5) // at most MaxUnavailable were away
	is.Equal(w.readyTasks("service"), 6)
	is.Equal(w.reported["batch"].Final(), true)
	for r := range w.engine.live["service"].groups[0].perHost {
		is.True(r.info.Zone != "z0")
	}
	is.True(w.fleet.Checker().Starts()-started <= 6) // tasks of the other job were not started again
	w.checkInvariants()
}
