package engine

import (
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
)

// TestEndsInLateViews guards against decisions based on views that arrive late, or before an answer that
// is still awaited. Views took some hundred milliseconds. A task was done, and its host terminated while
// the view that listed the end was in transit; an earlier view had arrived a moment before, and the run
// that it listed counted as present at the host's end, in two of three cases. The run was done 202 ms
// after its start; the last view that listed it was produced 102 ms after the start at the latest.
func TestEndsInLateViews(t *testing.T) {
	for name, tc := range map[string]struct {
		late  float64       // share of the views
		works time.Duration // duration of the task; its host terminates 100 ms later
		lost  float64       // share of the answers
		stop  time.Duration // when the run is stopped; zero for never
	}{
		"all late":                         {late: 1, works: 200 * time.Millisecond},
		"half of them":                     {late: 0.5, works: 200 * time.Millisecond},
		"half of them, shorter":            {late: 0.5, works: 60 * time.Millisecond},
		"all late, and answers lost":       {late: 1, works: 200 * time.Millisecond, lost: 0.7},
		"all late, and a stop is answered": {late: 1, works: 200 * time.Millisecond, stop: 240 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			fault := func(w *world, h *hostsim.Host) {
				w.faults.lateViews, w.faults.lostReply = tc.late, tc.lost
				if id := h.Info().ID; tc.stop > 0 {
					w.after(tc.stop, func() { w.stopRunsOn(id) })
				}
				w.after(tc.works+100*time.Millisecond, func() {
					h.Restart()
					w.faults = faults{}
				})
			}
			for seed := uint64(1000); seed < 1150; seed++ {
				w := newSeededInjectionWorld(t, seed, 16, false, fault, fault, fault)
				w.submit("job", catalog.Rules{}, step(1, 6, 10, tc.works.Milliseconds()))
				w.mustNotFail(t, 20*time.Second)
				if t.Failed() {
					t.Fatal("seed ", seed)
				}
			}
		})
	}
}

// stopRunsOn has the current holder stop the runs recorded on a host.
func (w *world) stopRunsOn(id host.ID) {
	w.deliver(w.engine, func() {
		if h := w.engine.hosts[id]; h != nil {
			for _, r := range h.runs {
				w.engine.requestStop(r, "to make room")
			}
		}
	})
}

// TestProducedAt checks that an answer is no older than its request, and as old as the readings of the
// host's clock show; readings of another incarnation's clock are ignored.
func TestProducedAt(t *testing.T) {
	const drift = 0.02
	at := func(ms int) time.Time { return simulationStart.Add(time.Duration(ms) * time.Millisecond) }
	for name, tc := range map[string]struct {
		first, clock host.Millis // readings
		sent, now    int         // of the second answer, in milliseconds; the first was sent at 0
		want         int         // earliest time at which it was produced
	}{
		"answered at once":            {5000, 5010, 10, 12, 10},
		"held back":                   {5000, 5100, 10, 112, 98}, // 100 less the drift of 112 ms
		"arrived late":                {5000, 5010, 10, 900, 10},
		"held back, and arrived late": {5000, 5100, 10, 900, 82},
		"without a reading":           {5000, 0, 10, 112, 10},
		"the first one was slow":      {5000, 5010, 100, 102, 100},
		"another clock, restarted":    {900000, 50, 1000, 1002, 1000},
		"another clock, far ahead":    {50, 900000, 1000, 1002, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			e, h := New(Config{Tuning: DefaultTuning()}), &hostState{}
			e.updateClock(h, tc.first, at(2))
			h.producedAt(tc.first, at(0), at(2), drift)
			e.updateClock(h, tc.clock, at(tc.now))
			got := h.producedAt(tc.clock, at(tc.sent), at(tc.now), drift)
			if want := at(tc.want); got.Sub(want).Abs() >= time.Millisecond {
				t.Errorf("produced at %v, want %v", got.Sub(simulationStart), want.Sub(simulationStart))
			}
		})
	}
}
