package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
)

// TestAnswersAcquit: a host was taken for one that has ended, and answers in the same life
// after all. What was held against its tasks is taken back, also by a next holder that had
// no part in it.
func TestAnswersAcquit(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"one holder":            func(*world) {},
		"the next holder hears": func(w *world) { w.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 3, 4)
			w.submit("job", catalog.Rules{}, step(8, 6, 10, 20000))
			w.run(time.Second)
			h := w.engine.hosts["h00"]
			is.True(len(h.runs) > 0)
			h.viewed = w.now()
			h.unanswered(host.ErrRefused, w.now())
			w.host("h00").Cut(true)
			w.run(400 * time.Millisecond)
			is.Equal(w.engine.jobs["job"].groups[0].standing, crashloop.Suspect)
			change(w)
			w.host("h00").Cut(false)
			w.run(6 * time.Second)
			is.Equal(w.engine.jobs["job"].groups[0].standing, crashloop.Unsuspected)
			w.crashAt(0)
			w.run(8 * time.Second)
			for i := range w.engine.jobs["job"].groups[0].tasks {
				is.True(len(w.engine.jobs["job"].groups[0].tasks[i].crashes) <= 1) // the crash that was one
			}
			w.check()
		})
	}
}

// TestBrokenConnectionsAccuseNobody: connections to a host break while it lives, and it is not
// heard for a while. Nothing is held against its tasks then, nor by a next holder, nor when it
// answers again.
func TestBrokenConnectionsAccuseNobody(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"one holder":            func(*world) {},
		"the next holder hears": func(w *world) { w.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 3, 4)
			w.submit("job", catalog.Rules{}, step(8, 6, 10, 20000))
			w.run(time.Second)
			standing := func() crashloop.Standing { return w.engine.jobs["job"].groups[0].standing }
			h := w.engine.hosts["h00"]
			is.True(len(h.runs) > 0)
			h.viewed = w.now()
			h.unanswered(host.ErrBroken, w.now())
			w.host("h00").Cut(true)
			w.run(400 * time.Millisecond)
			is.Equal(standing(), crashloop.Unsuspected)
			change(w)
			w.run(400 * time.Millisecond)
			is.Equal(standing(), crashloop.Unsuspected)
			w.host("h00").Cut(false)
			w.run(6 * time.Second)
			is.Equal(standing(), crashloop.Unsuspected)
			w.check()
		})
	}
}
