package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// TestLateAnswerOfSupersededRunKeepsJobEnd guards against a job that a caller sees as completed and then
// as running. A task whose first host had crashed was started again, the first run turned out to be
// done, and the answer to the second start arrived after the job's end had been stored. It caused the
// record to be written once more, and while that was in flight the end counted as not stored.
func TestLateAnswerOfSupersededRunKeepsJobEnd(t *testing.T) {
	late := map[string]func(e *Engine, r *run, now time.Time){
		"its start is answered": func(e *Engine, r *run, now time.Time) {
			e.Started(StartOrder{To: r.placedOn.info, Start: host.Start{Run: r.Run}}, host.Reply{Clock: r.placedOn.estimateClock(now)}, nil, now)
		},
		"its host shows it": func(e *Engine, r *run, now time.Time) {
			v := host.View{Incarnation: r.placedOn.incarnation, Clock: r.placedOn.estimateClock(now), Running: []host.Running{{Run: r.Run}}}
			e.Polled(PollOrder{To: r.placedOn.info, Probe: true}, now, v, nil, now)
		},
	}
	for name, answer := range late {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 117)
			w.followsHosts = true
			w.fleet.Add(2, "s", size(64, 128))
			w.failOver()
			w.run(time.Second)
			w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
			w.run(500 * time.Millisecond)
			g := w.engine.jobs["job"].groups[0]
			r := g.tasks[0].cur
			r.suspect, r.acknowledged, r.state = true, false, runUnacknowledged // as if its start had not been answered
			w.engine.taskDone(g, 0, w.now())                                    // as an earlier run of it has ended
			w.run(500 * time.Millisecond)
			s, _ := w.engine.State("job")
			is.Equal(s, record.StateCompleted)
			r.placedOn.addRun(r) // it has been stopped by now; the answer was in transit
			r.state, r.acknowledged = runUnacknowledged, false
			answer(w.engine, r, w.now())
			s, _ = w.engine.State("job")
			is.Equal(s, record.StateCompleted)
		})
	}
}
