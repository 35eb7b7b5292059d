package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
)

// TestPartialBatchHidesNoEnd guards against tasks that the next holder starts again although they have ended as done:
// the stored roster told that their host had nothing to report, and the records of the ends were not stored yet.
func TestPartialBatchHidesNoEnd(t *testing.T) {
	const tasks = 24
	for name, leave := range map[string]func(*world, *hostsim.Host){
		"its entry expires": func(w *world, h *hostsim.Host) { h.SetListed(false) },
		"it is cut off":     func(w *world, h *hostsim.Host) { h.SetDisconnected(true) },
		"it drains":         func(w *world, h *hostsim.Host) { h.Drain(10 * time.Second) },
		"it drains and is cut off": func(w *world, h *hostsim.Host) {
			h.Drain(10 * time.Second)
			h.SetDisconnected(true)
		},
		"it drains and its entry expires": func(w *world, h *hostsim.Host) {
			h.Drain(10 * time.Second)
			w.after(200*time.Millisecond, func() { h.SetListed(false) })
		},
	} {
		for part := range tasks + 1 {
			t.Run(fmt.Sprintf("%s, part %d", name, part), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 1)
				w.followsHosts = true
				w.fleet.Add(6, "s", size(64, 128))
				w.failOver()
				w.run(2 * time.Second)
				w.commitTakes = 3 * time.Second
				for i := range tasks {
					w.submit(fmt.Sprint("job-", i), catalog.Rules{}, step(1, 6, 10, 600))
				}
				w.run(1500 * time.Millisecond) // all have ended, and the batch that is being written lacks some of the ends
				is.Equal(w.fleet.Checker().Starts(), tasks)
				first := w.engine.commits
				away := w.fleet.Hosts()[:4] // the tasks of which could be started again on the others
				for _, h := range away {
					leave(w, h)
				}
				for w.engine.commits == first {
					w.run(time.Millisecond)
				}
				if groups := w.unstored.Groups; part < len(groups) {
					w.applyWrites(groups[part])
				}
				w.commitTakes = 0
				w.failOver()
				w.after(700*time.Millisecond, func() {
					for _, h := range away {
						h.SetListed(true)
						h.SetDisconnected(false)
					}
				})
				w.run(20 * time.Second)
				is.Equal(w.completed(), tasks)
				is.Equal(w.fleet.Checker().Starts(), tasks) // none is started again
				w.checkInvariants()
			})
		}
	}
}
