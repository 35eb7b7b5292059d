package engine

import (
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
)

// Views were under way for some hundred milliseconds. A task was done, its host ended while the
// view that listed the end was under way, and an earlier view had come a moment before: what it
// showed counted as there at the end of the host, two times out of three:
//
//	task job/0/0/0: 3 hosts crashed under it: h02 under run 3 (there at its end, after 301 ms, just started), h01 under run 2 (there at its end, after 301 ms, just started), h00 under run 1 (seen there, maybe not at its end, after 301 ms, just started)
//
// The run was done at 202 ms; the view that showed it last had been drawn up at 102 ms at the latest.
//
// TestEndsInLateViews guards against verdicts on what views show that come late, or before the
// answer that is still awaited.
func TestEndsInLateViews(t *testing.T) {
	for name, tc := range map[string]struct {
		late  float64       // share of the views
		works time.Duration // the task; its host ends a tenth of a second later
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
			unheard := func(w *world, h *hostsim.Host) {
				w.faults.lateViews, w.faults.lostAnswer = tc.late, tc.lost
				if id := h.Info().ID; tc.stop > 0 {
					w.after(tc.stop, func() { w.stopRunsOn(id) })
				}
				w.after(tc.works+100*time.Millisecond, func() {
					h.Restart()
					w.faults = faults{}
				})
			}
			for seed := uint64(1000); seed < 1150; seed++ {
				w := strikeWorldOf(t, seed, 16, false, unheard, unheard, unheard)
				w.submit("job", catalog.Rules{}, step(1, 6, 10, tc.works.Milliseconds()))
				w.neverGivenUp(t, 20*time.Second)
				if t.Failed() {
					t.Fatal("seed ", seed)
				}
			}
		})
	}
}

// stopRunsOn has the present holder stop what is in the books of a host.
func (w *world) stopRunsOn(id host.ID) {
	w.tell(w.engine, func() {
		if h := w.engine.hosts[id]; h != nil {
			for _, r := range h.runs {
				w.engine.unwant(r, "to make room")
			}
		}
	})
}

// TestDrawnUp: an answer is no older than its question, and as old as the readings of the host's
// clock tell; readings of another life's clock say nothing of this one's.
func TestDrawnUp(t *testing.T) {
	const drift = 0.02
	at := func(ms int) time.Time { return worldBegins.Add(time.Duration(ms) * time.Millisecond) }
	for name, tc := range map[string]struct {
		first, clock host.Millis // readings
		sent, now    int         // of the second answer, in milliseconds; the first was sent at 0
		want         int         // when it was drawn up, at the earliest
	}{
		"answered at once":          {5000, 5010, 10, 12, 10},
		"held back":                 {5000, 5100, 10, 112, 98}, // 100 less the drift of 112 ms
		"came late":                 {5000, 5010, 10, 900, 10},
		"held back, and came late":  {5000, 5100, 10, 900, 82},
		"without a reading":         {5000, 0, 10, 112, 10},
		"the first one was slow":    {5000, 5010, 100, 102, 100},
		"another clock, begun anew": {900000, 50, 1000, 1002, 1000},
		"another clock, far ahead":  {50, 900000, 1000, 1002, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			e, h := New(Config{Tuning: DefaultTuning()}), &hostState{}
			e.hear(h, tc.first, at(2))
			h.drawnUp(tc.first, at(0), at(2), drift)
			e.hear(h, tc.clock, at(tc.now))
			got := h.drawnUp(tc.clock, at(tc.sent), at(tc.now), drift)
			if want := at(tc.want); got.Sub(want).Abs() >= time.Millisecond {
				t.Errorf("drawn up at %v, not %v", got.Sub(worldBegins), want.Sub(worldBegins))
			}
		})
	}
}
