package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
)

// TestAnswerRetractsCrashes checks that crashes attributed for a host that was presumed ended are
// retracted when it answers in the same incarnation, also by a next holder that did not attribute them.
func TestAnswerRetractsCrashes(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"one holder":            func(*world) {},
		"the next holder hears": func(w *world) { w.failOver() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 3, 4)
			w.submit("job", catalog.Rules{}, step(8, 6, 10, 20000))
			w.run(time.Second)
			h := w.engine.hosts["h00"]
			is.True(len(h.runs) > 0)
			h.viewProducedAt = w.now()
			h.recordFailedCall(host.ErrConnectionRefused, w.now())
			w.host("h00").SetDisconnected(true)
			w.run(400 * time.Millisecond)
			is.Equal(w.engine.jobs["job"].groups[0].suspicion, crashloop.Suspect)
			change(w)
			w.host("h00").SetDisconnected(false)
			w.run(6 * time.Second)
			is.Equal(w.engine.jobs["job"].groups[0].suspicion, crashloop.Unsuspected)
			w.crashAt(0)
			w.run(8 * time.Second)
			for i := range w.engine.jobs["job"].groups[0].tasks {
				is.True(len(w.engine.jobs["job"].groups[0].tasks[i].crashes) <= 1) // the real crash
			}
			w.checkInvariants()
		})
	}
}

// TestBrokenConnectionsAreNotCrashes checks that nothing is attributed to the tasks of a host whose
// connections break while it is up and which does not answer for a while: not at that time, not by a next
// holder, and not when the host answers again.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"one holder":            func(*world) {},
		"the next holder hears": func(w *world) { w.failOver() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 3, 4)
			w.submit("job", catalog.Rules{}, step(8, 6, 10, 20000))
			w.run(time.Second)
			suspicion := func() crashloop.Suspicion { return w.engine.jobs["job"].groups[0].suspicion }
			h := w.engine.hosts["h00"]
			is.True(len(h.runs) > 0)
			h.viewProducedAt = w.now()
			h.recordFailedCall(host.ErrConnectionBroken, w.now())
			w.host("h00").SetDisconnected(true)
			w.run(400 * time.Millisecond)
			is.Equal(suspicion(), crashloop.Unsuspected)
			change(w)
			w.run(400 * time.Millisecond)
			is.Equal(suspicion(), crashloop.Unsuspected)
			w.host("h00").SetDisconnected(false)
			w.run(6 * time.Second)
			is.Equal(suspicion(), crashloop.Unsuspected)
			w.checkInvariants()
		})
	}
}
