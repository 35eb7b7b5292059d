package engine

import (
	"testing"
	"time"

	"pulleyquay/internal/catalog"
)

// TestStartsWaitUntilAClosedHostIsStoredAsOpen: an unresponsive host was inherited as closed, so that
// only the runs listed in the roster could be on it. It answered, and tasks were started on it a
// few milliseconds after its first view, while the stored roster still had it as closed. The host
// was disconnected again and the partition changed hands: the next holder, whose roster listed
// no run on the host, started the same tasks elsewhere while they were still running.
func TestStartsWaitUntilAClosedHostIsStoredAsOpen(t *testing.T) {
	w := newWorld(t, 4)
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(3 * time.Second)
	disconnected := w.host("h01")
	disconnected.SetDisconnected(true)
	w.submit("before", catalog.Rules{}, step(2, 40, 60, 1000)) // a start there goes unanswered
	w.run(8 * time.Second)
	w.submit("beside", catalog.Rules{}, step(1, 64, 60, 4000)) // keeps the other host full
	w.run(100 * time.Millisecond)
	w.failOver()
	w.submit("job", catalog.Rules{}, step(2, 30, 60, 20000))
	w.run(600 * time.Millisecond) // the roster is stored, and the silence is too short for the host to be closed
	disconnected.SetDisconnected(false)
	for len(disconnected.Running()) == 0 {
		w.run(time.Millisecond)
	}
	disconnected.SetDisconnected(true)
	w.failOver()
	w.run(15 * time.Second)
	disconnected.SetDisconnected(false)
	w.run(60 * time.Second)
	w.checkInvariants()
}
