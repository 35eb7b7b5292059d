package engine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// maxCheckedSteps bounds the ready steps of a cell whose steps are checked after each decision.
const maxCheckedSteps = 200

// checkReadySteps checks, for all live jobs, that the ready steps are those whose turn has come and that have a task to
// start, and no others. It derives that from the states of the tasks alone.
func (w *world) checkReadySteps() {
	e := w.engine
	if w.benchmark || len(e.live) > maxCheckedSteps {
		return
	}
	ready := 0
	for _, j := range e.live {
		for _, g := range j.groups {
			w.checkReadyStep(g)
			if g.ready {
				ready++
			}
		}
	}
	if len(e.ready) != ready {
		w.fleet.Checker().RecordViolation("READY %d steps are in the ready set, %d of live jobs are ready", len(e.ready), ready)
	}
}

func (w *world) checkReadyStep(g *group) {
	waiting, undone, open := 0, 0, 0
	for i := range g.tasks {
		switch g.tasks[i].state {
		case taskWaiting:
			waiting++
			undone++
		case taskDone:
		default:
			undone++
		}
	}
	for _, before := range g.step.After {
		if slices.ContainsFunc(g.job.group(g.id.Occurrence, before).tasks, func(t task) bool { return t.state != taskDone }) {
			open++
		}
	}
	want := open == 0 && waiting > 0 && (!g.step.Gang || waiting == undone)
	if is := g.ready && w.engine.ready[g.id] == g && (g.queued || g.incoming); is != want {
		w.fleet.Checker().RecordViolation("READY %v: %d tasks wait, %d are not done, %d preceding steps are not; ready %t, queued %t, incoming %t",
			g.id, waiting, undone, open, g.ready, g.queued, g.incoming)
	}
	if due := open == 0 && !w.now().Before(g.due); waiting > 0 && due == g.dueSince.IsZero() {
		w.fleet.Checker().RecordViolation("READY %v: due %t, since %v", g.id, due, g.dueSince)
	}
}

// TestStepStartsAfterItsAdoptedRunFailed guards against a step that is never started again: its adopted run failed while
// the step before it, the end of which was lost, ran again.
func TestStepStartsAfterItsAdoptedRunFailed(t *testing.T) {
	for name, second := range map[string]spec.Step{
		"task": step(1, 6, 10, 6000),
		"gang": {Count: 3, Size: size(6, 10), EstimateMillis: 6000, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := step(1, 6, 10, 4000)
			first.Label = "r0"
			second.Label, second.After = "r1", []int{0}
			w := newWorld(t, 1)
			w.followsHosts = true
			w.fleet.KeepID, w.fleet.RestartDelay = true, 300*time.Millisecond
			w.fleet.Add(8, "s", size(64, 128)) // four to a rack
			w.failOver()
			w.run(time.Second)
			w.commitTakes = time.Minute // the end of the first step is not stored
			w.submit("job", catalog.Rules{MaxAttempts: 3}, first, second)
			racks := slices.Chunk(w.fleet.Hosts(), 4)
			setFailing := func(failing bool) {
				for _, h := range slices.Collect(racks)[1] {
					h.SetFailTasks(failing)
				}
			}
			setFailing(true)
			for w.fleet.Checker().Starts() < 1+second.Count {
				w.run(10 * time.Millisecond)
			}
			setFailing(false)
			for _, h := range slices.Collect(racks)[0] {
				h.Restart() // and have lost their ends
			}
			w.commitTakes = 0
			w.failOver()
			w.run(2 * time.Second)
			is.Equal(w.fleet.Checker().Starts(), 2+second.Count) // the first step runs again, and the second one still runs
			w.run(30 * time.Second)
			is.Equal(w.reported["job"], record.StateCompleted)
			is.Equal(w.fleet.Checker().Starts(), 2*(1+second.Count)) // each step twice
			w.checkInvariants()
		})
	}
}

// TestStepNamedTwiceCountsOnce guards against a job that is shown as completed before its last step has run, since its
// progress record names the step before twice.
func TestStepNamedTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	last := step(1, 6, 10, 400)
	last.After = []int{0}
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 400), last)
	done := record.StepProgress{Step: 0, Done: record.NewBitmap(1)}
	done.Done.Set(0)
	w.engine.applyProgress(w.engine.jobs["job"], &record.Progress{Steps: []record.StepProgress{done, done}}, w.now())
	state, _ := w.engine.State("job")
	is.Equal(state, record.StateRunning)
	is.Equal(w.engine.jobs["job"].undoneGroups, 1)
}
