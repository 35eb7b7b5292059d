package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
)

// TestOneFaultOfHostExcludesItOnce guards against long-running tasks that wait for half a minute beside a
// host with capacity. All runs on a host stalled at the same time, runs of several jobs failed there at the
// same time, or it refused several starts of one scheduling pass. The host was excluded once for each of
// them, each time for twice as long as before.
func TestOneFaultOfHostExcludesItOnce(t *testing.T) {
	const faultLasts = 8 * time.Second
	const unhealthyFor = 2 * time.Second
	tests := map[string]func(w *world){
		"all its runs stall": func(w *world) {
			w.host("h00").SetStalled(true)
			w.after(faultLasts, func() { w.host("h00").SetStalled(false) })
		},
		"it refuses many starts": func(w *world) {
			w.host("h00").SetUnhealthy(true)
			w.submit("refused", catalog.Rules{}, step(8, 2, 2, 200))
			w.after(unhealthyFor, func() { w.host("h00").SetUnhealthy(false) })
		},
		"runs of many jobs fail": func(w *world) {
			w.host("h00").SetFailTasks(true)
			for i := range 8 {
				w.submit(fmt.Sprint("short-", i), catalog.Rules{MaxAttempts: 1}, step(1, 2, 2, 200))
			}
			w.after(faultLasts, func() { w.host("h00").SetFailTasks(false) })
		},
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			w := idleWorld(t, 1)
			w.submit("web", catalog.Rules{}, longRunningStep(3, 4, 4))
			w.run(time.Second)
			is := is.New(t)
			is.Equal(w.running("web"), 3)
			inject(w)
			w.run(faultLasts)
			w.submit("web-2", catalog.Rules{}, longRunningStep(3, 4, 4))
			w.run(w.engine.cfg.Tuning.ExcludeFor + time.Second)
			is.Equal(w.running("web"), 3)
			is.Equal(w.running("web-2"), 3)
			w.checkInvariants()
		})
	}
}
