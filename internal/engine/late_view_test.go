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
