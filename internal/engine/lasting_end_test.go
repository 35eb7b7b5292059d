package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// A caller was shown that its job had completed, and a moment later that it was running: "job
// wide-6.4s was shown as completed and is shown as running", seed 117 of hosts that are cut off
// while their answers get lost. A task whose first host had crashed was started again, the first
// run turned out to be done, and the answer of the second start came after the job's end had been
// stored. It had the record written once more, and as long as that was under way the end counted
// as not stored.
func TestNewsOfALeftOverRunTakesNoEndBack(t *testing.T) {
	late := map[string]func(e *Engine, r *run, now time.Time){
		"its start is answered": func(e *Engine, r *run, now time.Time) {
			e.Started(StartOrder{To: r.on.info, Start: host.Start{Run: r.Run}}, host.Reply{Clock: r.on.now(now)}, nil, now)
		},
		"its host shows it": func(e *Engine, r *run, now time.Time) {
			v := host.View{Life: r.on.life, Clock: r.on.now(now), Running: []host.Running{{Run: r.Run}}}
			e.Viewed(LookOrder{To: r.on.info, Probe: true}, now, v, nil, now)
		},
	}
	for name, news := range late {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 117)
			w.follows = true
			w.fleet.Add(2, "s", size(64, 128))
			w.takeOver()
			w.run(time.Second)
			w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
			w.run(500 * time.Millisecond)
			g := w.engine.jobs["job"].groups[0]
			r := g.tasks[0].cur
			r.suspect, r.begun, r.state = true, false, runDoubt // as if its start had not been answered
			w.engine.taskDone(g, 0, w.now())                    // as an earlier run of it has ended
			w.run(500 * time.Millisecond)
			s, _ := w.engine.State("job")
			is.Equal(s, record.StateCompleted)
			r.on.add(r) // it was stopped by now; the news had been under way
			r.state, r.begun = runDoubt, false
			news(w.engine, r, w.now())
			s, _ = w.engine.State("job")
			is.Equal(s, record.StateCompleted)
		})
	}
}
