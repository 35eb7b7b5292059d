package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// TestSilentHostsDoNotHoldATakeoverUp: after a power loss of the whole cell, one host of
// hundreds that had terminated long before delayed every start for seconds. Only tasks that may run
// on hosts that were unresponsive have to wait.
func TestSilentHostsDoNotHoldATakeoverUp(t *testing.T) {
	tests := map[string]func(w *world){
		"gone from the list": func(w *world) {
			w.host("h02").Crash()
			w.host("h02").SetListed(false)
			w.engine.DropHost("h02", w.now())
			w.run(12 * time.Second)
		},
		"crashed, still listed":       func(w *world) { w.host("h02").Crash(); w.run(3 * time.Second) },
		"disconnected, runs continue": func(w *world) { w.host("h02").SetDisconnected(true); w.run(3 * time.Second) },
		"disconnected, over two failovers": func(w *world) {
			w.host("h02").SetDisconnected(true)
			w.run(3 * time.Second)
			w.failOver()
			w.run(time.Second)
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := idleWorld(t, 4)
			w.submit("wide", catalog.Rules{}, step(16, 14, 8, 60000))
			w.run(time.Second)
			injectFault(w)
			w.submit("new", catalog.Rules{}, step(2, 4, 4, 300))
			w.paused = true // the previous holder gives no more orders
			w.run(100 * time.Millisecond)
			w.paused = false
			w.failOver()
			w.run(1500 * time.Millisecond)
			is.Equal(w.reported["new"], record.StateCompleted)
			w.checkInvariants()
			w.run(150 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["wide"], record.StateCompleted)
		})
	}
}

// TestDrainedHostHoldsATakeoverUp guards against a host that drains, leaves, and had not been missed yet when
// the holder changed: all tasks of all jobs waited until its lease was over.
func TestDrainedHostHoldsATakeoverUp(t *testing.T) {
	tests := map[string]func(w *world){
		"with runs": func(w *world) {},
		"idle":      func(w *world) { w.run(2 * time.Second) }, // they have been stopped
		"never claimed": func(w *world) {
			w.fleet.Add(1, "s", size(64, 128))
			w.host("h04").SetDisconnected(true)
			w.host("h04").Drain(time.Minute)
			w.run(time.Second)
		},
	}
	for name, drained := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := idleWorld(t, 4)
			w.followsHosts = true
			w.submit("wide", catalog.Rules{}, step(16, 14, 8, 60000))
			w.run(time.Second)
			w.host("h02").Drain(time.Minute)
			w.run(time.Second)
			drained(w)
			w.submit("new", catalog.Rules{}, step(2, 4, 4, 300))
			w.host("h02").SetDisconnected(true)
			w.paused = true // the previous holder gives no more orders
			w.run(100 * time.Millisecond)
			w.paused = false
			w.failOver()
			w.run(1500 * time.Millisecond)
			is.Equal(w.reported["new"], record.StateCompleted)
			w.run(150 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["wide"], record.StateCompleted)
		})
	}
}

// TestTasksOfAReplacedHostStartAgain: a host was disconnected, closed in the roster
// with its possible runs, and answered the next holder as a new incarnation. Its tasks
// were held back forever, as only hosts that had reported released their tasks.
func TestTasksOfAReplacedHostStartAgain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, tc := range []struct{ cut, after time.Duration }{
			{1500 * time.Millisecond, 0},
			{1500 * time.Millisecond, 2 * time.Second},
			{3 * time.Second, 0},
			{3 * time.Second, 2 * time.Second},
		} {
			t.Run(fmt.Sprint("gang ", gang, ", disconnected for ", tc.cut, ", restarted after ", tc.after), func(t *testing.T) {
				is := is.New(t)
				w := idleWorld(t, 5) // a gang needs four of them
				s := step(4, 40, 8, 5000)
				s.Gang = gang
				w.submit("a", catalog.Rules{}, s)
				w.run(time.Second)
				w.host("h02").SetDisconnected(true)
				w.run(tc.cut)
				w.failOver()
				w.run(tc.after)
				w.host("h02").ReplaceIncarnation()
				w.run(20 * time.Second)
				w.checkInvariants()
				is.Equal(w.reported["a"], record.StateCompleted)
			})
		}
	}
}

// TestCheckpointsOutliveAHolder: all hosts are disconnected until their leases have expired
// and their runs have stopped; the next holder resumes from the checkpoints in the end records.
func TestCheckpointsOutliveAHolder(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			is := is.New(t)
			w := idleWorld(t, 2)
			s := step(3, 14, 8, 20000)
			s.Checkpointing, s.Gang = true, gang
			w.submit("a", catalog.Rules{}, s)
			w.run(3 * time.Second)
			for _, h := range w.fleet.Hosts() {
				h.SetDisconnected(true)
			}
			w.run(9 * time.Second)
			for _, h := range w.fleet.Hosts() {
				is.Equal(len(h.Running()), 0)
				h.SetDisconnected(false)
			}
			w.failOver()
			w.run(time.Second)
			g := w.engine.jobs["a"].groups[0]
			for i := range g.tasks {
				if gang {
					is.Equal(g.checkpoint, "c")
				} else {
					is.Equal(g.tasks[i].checkpoint, "c")
				}
				is.Equal(g.tasks[i].state, taskActive)
			}
			w.run(30 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["a"], record.StateCompleted)
		})
	}
}

// TestJobFoundAfterItsRuns: a job was submitted during a failover and started by the
// previous holder. The next holder, which had read the records just before, saw its runs
// first and stopped them; once it found the record, it started the job again beside the
// runs that were still stopping. Likewise it acknowledged the end records of runs that had ended,
// as no known job needed them.
func TestJobFoundAfterItsRuns(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second} {
		for _, tc := range []struct {
			gang  bool
			works int64 // milliseconds
		}{{false, 3000}, {true, 3000}, {false, 10}, {true, 10}, {false, 400}} {
			t.Run(fmt.Sprint(after, ", gang ", tc.gang, ", works ", tc.works), func(t *testing.T) {
				is := is.New(t)
				w := idleWorld(t, 4)
				w.fleet.Bounds.MaxStopTime = 1800 * time.Millisecond // stops take half of it
				w.run(time.Second)
				s := step(4, 8, 8, tc.works)
				s.Gang = tc.gang
				rec := &record.Job{ID: "a", Service: "s", Queue: "q", Rules: catalog.Rules{MaxAttempts: 3}, Graph: spec.Graph{Steps: []spec.Step{s}}}
				w.fleet.AddJob(rec)
				w.jobs["a"] = rec
				w.engine.Accept(rec, true, w.now(), w.now())
				w.decide()
				w.run(10 * time.Millisecond)
				w.failOver() // the record is not in the store yet
				w.run(after)
				value, err := record.Encode(rec)
				is.NoErr(err)
				w.store[record.JobKey(0, "a")] = value
				e := w.engine
				w.deliver(e, func() { e.Accept(rec, false, w.now(), w.now()) })
				w.run(20 * time.Second)
				w.checkInvariants()
				is.Equal(w.reported["a"], record.StateCompleted)
				if after < orphanGracePeriod || tc.works < orphanGracePeriod.Milliseconds() {
					is.Equal(w.fleet.Checker().Starts(), 4) // no task was started twice
				}
			})
		}
	}
}

// TestHostClaimsAreBounded: a holder claims a bounded number of hosts at the same time, and
// soon has all that answer, also when many do not.
func TestHostClaimsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.fleet.Add(700, "s", size(64, 128))
	w.failOver()
	w.run(200 * time.Millisecond)
	w.submit("a", catalog.Rules{}, step(20, 60, 8, 2000))
	w.run(time.Second)
	for i, h := range w.fleet.Hosts() {
		if i%5 == 0 && len(h.Running()) == 0 {
			h.Crash()
		}
	}
	w.failOver()
	most := 0
	for range 300 {
		w.run(5 * time.Millisecond)
		most = max(most, len(w.engine.claiming))
	}
	is.True(most > 0 && most <= maxClaiming)
	claimed := 0
	for _, h := range w.engine.hosts {
		if h.claimed {
			claimed++
		}
	}
	is.True(claimed >= 560)
	w.run(30 * time.Second)
	w.checkInvariants()
	is.Equal(w.reported["a"], record.StateCompleted)
	is.Equal(len(w.engine.claiming) <= 140, true)
}

// TestAllPowerIsLost: repeated power losses of every member and every host at once, after a
// host has crashed under tasks. Accepted jobs are completed, states returned to callers stay
// valid, and no job is held responsible for the power losses.
func TestAllPowerIsLost(t *testing.T) {
	for _, outage := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 31, 16)
			w.submitUnrelated(20 * time.Second)
			gang := step(8, 18, 26, 5000)
			gang.Gang = true
			w.submit("gang", catalog.Rules{}, gang)
			service := step(4, 6, 10, 0)
			service.LongRunning = true
			w.submit("service", catalog.Rules{}, service)
			w.run(700 * time.Millisecond)
			w.crashAt(3)
			for range 5 {
				w.run(4 * time.Second)
				for i := range 16 {
					w.crashAt(i)
				}
				w.paused = true // there is no holder
				w.run(outage)
				w.paused = false
				w.failOver()
			}
			w.run(60 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["service"], record.StateRunning)
			delete(w.jobs, "service")
			is.Equal(w.unrelatedNotCompleted(), nil)
		})
	}
}
