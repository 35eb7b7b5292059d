package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Load of the tests of truncated views: short tasks that end faster than 500 a second on each host.
const (
	backlogHosts    = 2
	backlogJobs     = 48
	backlogTasks    = 100 // of each job
	backlogMilliCPU = 500
)

// backlogWorld is a cell with short tasks whose end records can not be stored for a while, so that its hosts keep
// more of them than they list in a view.
func backlogWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	w.keepEvents = true
	w.fleet.Add(backlogHosts, "s", size(64, 128))
	w.fleet.RunTime = func(task spec.StepTask) time.Duration {
		return time.Duration(200+task.Index*37%400) * time.Millisecond
	}
	w.failOver()
	w.run(500 * time.Millisecond)
	for i := range backlogJobs {
		short := spec.Step{Count: backlogTasks, Size: spec.Resources{MilliCPU: backlogMilliCPU, MemoryMiB: 128}, EstimateMillis: 400}
		w.submit(fmt.Sprintf("job%d", i), catalog.Rules{}, short)
	}
	w.run(300 * time.Millisecond)
	return w
}

// mustStartOnce completes all jobs and checks that each task was started once.
func (w *world) mustStartOnce(is *is.I) {
	w.t.Helper()
	w.run(20 * time.Second)
	w.checkInvariants()
	is.Equal(w.fleet.Checker().Starts(), backlogJobs*backlogTasks)
	for id, state := range w.reported {
		if state != record.StateCompleted {
			w.t.Errorf("job %s is %s", id, state)
		}
	}
	is.Equal(len(w.reported), backlogJobs)
}

// TestEndsBeyondTheListedOnesAreNotLost guards against done tasks that are started again because a host kept more
// end records than it lists in a view: the store was unavailable, so that no end could be acknowledged, and runs
// whose ends were not among the listed ones counted as lost. The backlog of a host is bounded by the ends of one
// view and the runs that fit on it.
func TestEndsBeyondTheListedOnesAreNotLost(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 7 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			is := is.New(t)
			w := backlogWorld(t, 1)
			longest := 0
			w.storeUnavailable = true
			for range int(outage / (100 * time.Millisecond)) {
				w.run(100 * time.Millisecond)
				longest = max(longest, w.longestBacklog())
			}
			w.storeUnavailable = false
			is.True(longest > hostsim.MaxListedEnds) // otherwise the test shows nothing
			is.True(longest <= hostsim.MaxListedEnds+64000/backlogMilliCPU)
			w.mustStartOnce(is)
		})
	}
}

// longestBacklog returns the most end records that a host keeps.
func (w *world) longestBacklog() (n int) {
	for _, h := range w.fleet.Hosts() {
		n = max(n, h.KeptEnds())
	}
	return n
}

// TestTakeOverWithTruncatedViews guards against done tasks that are started again by a holder that has just taken
// over: its first view of a host lists the oldest end records only, and the task of each other end seemed to be
// nowhere.
func TestTakeOverWithTruncatedViews(t *testing.T) {
	for name, prepare := range map[string]func(w *world){
		"open hosts": func(*world) {},
		"closed hosts": func(w *world) {
			for _, h := range w.fleet.Hosts() {
				h.Drain(time.Minute)
			}
			w.run(time.Second) // the roster lists the runs on hosts that drain
		},
		"two holders": func(w *world) {
			w.failOver()
			w.run(3 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := backlogWorld(t, 2)
			w.followsHosts = true
			w.storeUnavailable = true
			w.run(3 * time.Second)
			is.True(w.longestBacklog() > hostsim.MaxListedEnds)
			prepare(w)
			w.storeUnavailable = false
			w.failOver()
			w.run(2 * time.Second)
			for _, h := range w.fleet.Hosts() {
				h.StopDraining()
			}
			w.mustStartOnce(is)
		})
	}
}

// TestRunsWithUnlistedEndsAreNoEvidence guards against a crash that counts against a task whose run had ended on the
// host: its end was not among the listed ones, and the view was taken to show that the run was still there.
func TestRunsWithUnlistedEndsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.keepEvents, w.fleet.ListedEnds, w.fleet.KeepID = true, 1, true
	h := w.fleet.Add(1, "s", size(64, 128))[0]
	w.failOver()
	w.run(500 * time.Millisecond)
	w.submit("done", catalog.Rules{}, step(4, 4, 4, 100))
	w.submit("running", catalog.Rules{}, step(1, 4, 4, 5000))
	w.run(20 * time.Millisecond)
	w.storeUnavailable = true
	w.run(time.Second)
	is.Equal(h.KeptEnds(), 4)
	h.Restart()
	w.run(8 * time.Second)
	for _, ev := range w.eventsNamed("crash held against task") {
		is.Equal(ev.Job, "running")
	}
	is.Equal(len(w.eventsNamed("crash held against task")), 1)
}
