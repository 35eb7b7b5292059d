package engine

import (
	"testing"
	"time"

	"pulleyquay/internal/catalog"
)

// A host was silent while holders changed, and the next one had taken it over as closed: nothing
// but what the roster names may run there. It came back, and tasks were started on it six
// milliseconds after it had shown what it runs, though the store still held it as closed. The
// holder changed again while the host was cut off, and its successor, which saw no task of it in
// the roster, started them all elsewhere while they ran on:
//
//	host claimed   h10   07:13:45.241, epoch 3
//	start answered h10   07:13:45.247, task 20, run 2001
//	start answered h02   07:13:48.945, task 20, run 3001, epoch 4
//	host claimed   h10   07:13:52.080, epoch 4
func TestStartsWaitUntilAClosedHostIsStoredAsOpen(t *testing.T) {
	w := newWorld(t, 4)
	w.fleet.Add(2, "s", size(64, 128))
	w.takeOver()
	w.run(3 * time.Second)
	away := w.host("h01")
	away.Cut(true)
	w.submit("before", catalog.Rules{}, step(2, 40, 60, 1000)) // has the silence noticed
	w.run(8 * time.Second)
	w.submit("beside", catalog.Rules{}, step(1, 64, 60, 4000)) // keeps the other host full
	w.run(100 * time.Millisecond)
	w.takeOver()
	w.submit("job", catalog.Rules{}, step(2, 30, 60, 20000))
	w.run(600 * time.Millisecond) // the roster is stored, and the silence is too short for the host to be closed
	away.Cut(false)
	for len(away.Running()) == 0 {
		w.run(time.Millisecond)
	}
	away.Cut(true)
	w.takeOver()
	w.run(15 * time.Second)
	away.Cut(false)
	w.run(60 * time.Second)
	w.check()
}
