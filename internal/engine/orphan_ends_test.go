package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
)

// TestOrphanEndKeepsItsHostInTheRoster guards against tasks that are started again although they have ended as done: a
// holder that did not know their job yet, and therefore could not store their ends, left their host out of the roster or
// closed it there without them.
func TestOrphanEndKeepsItsHostInTheRoster(t *testing.T) {
	for name, leave := range map[string]func(*hostsim.Host){
		"its entry expires": func(h *hostsim.Host) { h.SetListed(false) },
		"it is cut off":     func(h *hostsim.Host) { h.SetDisconnected(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const tasks = 6
			w := newWorld(t, 1)
			w.followsHosts = true
			w.fleet.Add(8, "s", size(64, 128))
			w.failOver()
			w.run(time.Second)
			s := step(tasks, 6, 10, 600)
			s.Label, s.MaxPerHost = "r0", 2
			w.submit("job", catalog.Rules{}, s)
			w.run(100 * time.Millisecond)
			is.Equal(w.fleet.Checker().Starts(), tasks)

			key := record.JobKey(0, "job")
			value := w.store[key]
			delete(w.store, key) // it is accepted while the next holder reads the jobs
			w.failOver()
			w.run(time.Second)
			is.Equal(len(w.engine.orphanEndRecords["job"]), tasks)
			away := w.fleet.Hosts()[:3]
			for _, h := range away {
				leave(h)
			}
			w.run(1500 * time.Millisecond)
			w.store[key] = value
			w.failOver()
			w.after(time.Second, func() {
				for _, h := range away {
					h.SetListed(true)
					h.SetDisconnected(false)
				}
			})
			w.run(20 * time.Second)
			is.Equal(w.completed(), 1)
			is.Equal(w.fleet.Checker().Starts(), tasks) // none is started again
			w.checkInvariants()
		})
	}
}
