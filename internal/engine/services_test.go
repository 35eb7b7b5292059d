package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// recordTails records how long serving tasks exceed their latency targets.
func (w *world) recordTails() {
	if w.fleet.BackfillImpact == nil {
		return
	}
	now, overTargetSince := w.now(), map[host.Run]time.Time{}
	for _, h := range w.fleet.Hosts() {
		for run, ratio := range h.TailLatencies() {
			if ratio <= 1 {
				continue
			}
			since, before := w.overTargetSince[run]
			if !before {
				since = now
			}
			overTargetSince[run] = since
			w.longestOverTarget = max(w.longestOverTarget, now.Sub(since))
		}
	}
	w.overTargetSince = overTargetSince
}

// longRunningStep returns a step of long-running tasks.
func longRunningStep(count int, cores, gib int64) spec.Step {
	s := step(count, cores, gib, 0)
	s.LongRunning, s.MaxPerHost = true, 3
	return s
}

// servingStep returns a step of serving tasks, which are long-running and have a latency target.
func servingStep(count int, cores, gib int64) spec.Step {
	s := longRunningStep(count, cores, gib)
	s.Image, s.TailLatencyTargetMillis, s.MaxPerHost = "web", 40, 2
	return s
}

// backfillStep returns a step of backfill tasks.
func backfillStep(image string, count int, cores, gib, ms int64) spec.Step {
	s := step(count, cores, gib, ms)
	s.Backfill, s.Image = true, image
	return s
}

// running counts the running tasks of a job.
func (w *world) running(job string) int {
	n := 0
	for _, h := range w.fleet.Hosts() {
		for _, r := range h.Running() {
			if h.Reachable() && r.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// readyTasks counts the tasks of a job that the engine knows to be ready.
func (w *world) readyTasks(job string) int {
	n := 0
	for _, h := range w.engine.hosts {
		for _, r := range h.runs {
			if r.Task.Job == job && r.percent >= readyPercent && h.unresponsiveSince.IsZero() {
				n++
			}
		}
	}
	return n
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	tests := map[string]func(w *world){
		"nothing happens": func(*world) {},
		"a host crashes": func(w *world) {
			w.host("h01").Crash()
			w.host("h01").SetListed(false)
			w.engine.DropHost("h01", w.now())
		},
		"a host drains and leaves": func(w *world) {
			h := w.host("h01")
			h.Drain(2 * time.Second)
			w.engine.SetHost(h.Info(), w.now())
			w.after(2500*time.Millisecond, func() {
				if n := len(h.Running()); n > 0 {
					w.fleet.Checker().RecordViolation("%d tasks still on the departing host", n)
				}
				h.Crash()
				h.SetListed(false)
				w.engine.DropHost("h01", w.now())
			})
		},
		"tasks stall on a host":    func(w *world) { w.host("h01").SetStalled(true) },
		"failover":                 func(w *world) { w.failOver() },
		"failover, a host crashes": func(w *world) { w.host("h01").Crash(); w.failOver() },
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			w := idleWorld(t, 4)
			w.submit("web", catalog.Rules{}, longRunningStep(8, 6, 4))
			w.run(4 * time.Second)
			is := is.New(t)
			is.Equal(w.running("web"), 8)
			is.True(len(w.host("h01").Running()) > 0)
			inject(w)
			w.run(16 * time.Second)
			w.checkInvariants()
			is.Equal(w.readyTasks("web"), 8)
			is.Equal(w.reported["web"].Final(), false)
		})
	}
}

func TestCancelledLongRunningJobEnds(t *testing.T) {
	w := idleWorld(t, 4)
	w.submit("web", catalog.Rules{}, longRunningStep(8, 6, 4))
	w.run(2 * time.Second)
	w.engine.Cancel("web", w.now())
	w.decide()
	w.run(2 * time.Second)
	w.checkInvariants()
	is.New(t).Equal(w.running("web"), 0)
}

// TestCheckpointingTasksLeaveDrainingHosts checks that tasks which checkpoint and would not end in time
// are moved before their host leaves, and that those which end in time stay.
func TestCheckpointingTasksLeaveDrainingHosts(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 2)
	long := step(6, 8, 8, 20000)
	long.Checkpointing = true
	w.submit("long", catalog.Rules{}, long)
	w.submit("short", catalog.Rules{}, step(4, 4, 4, 2500))
	w.run(time.Second)
	short := 0
	for _, r := range w.host("h00").Running() {
		if r.Task.Job == "short" {
			short++
		}
	}
	w.host("h00").Drain(3 * time.Second)
	w.engine.SetHost(w.host("h00").Info(), w.now())
	w.run(time.Second)
	for _, r := range w.host("h00").Running() {
		is.Equal(r.Task.Job, "short")
		short--
	}
	is.Equal(short, 0) // all of them stayed
	w.run(30 * time.Second)
	w.checkInvariants()
	is.Equal(w.completed(), 2)
}

// maxHarm is the longest uninterrupted time for which the platform tolerates that backfill tasks cause a
// target to be missed.
const maxHarm = 4 * time.Second

func TestBackfillKeepsTargets(t *testing.T) {
	tests := map[string]struct {
		harm   float64
		faults faults
		inject func(w *world)
		// slack is how much longer targets may be missed because of the fault.
		slack time.Duration
	}{
		"harmless":               {harm: 0.05},
		"harmful":                {harm: 0.4},
		"very harmful":           {harm: 3},
		"answers lost":           {harm: 0.4, faults: faults{lostReply: 0.1, lostRequest: 0.05}, slack: time.Second},
		"failover":               {harm: 0.4, inject: func(w *world) { w.failOver() }, slack: time.Second},
		"very harmful, failover": {harm: 3, inject: func(w *world) { w.failOver() }, slack: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := idleWorld(t, 3)
			w.fleet.BackfillImpact = map[string]float64{"mill": tc.harm}
			w.submit("web", catalog.Rules{}, servingStep(6, 8, 8))
			w.run(time.Second)
			w.faults = tc.faults
			for i := range 6 {
				w.after(time.Duration(i)*4*time.Second, func() {
					w.submit(fmt.Sprint("mill", i), catalog.Rules{}, backfillStep("mill", 6, 10, 4, 6000))
				})
			}
			w.after(7*time.Second, func() {
				if tc.inject != nil {
					tc.inject(w)
				}
			})
			w.run(150 * time.Second)
			w.checkInvariants()
			is := is.New(t)
			is.True(w.longestOverTarget < maxHarm+tc.slack)
			is.Equal(w.running("web"), 6)
			if tc.harm < 1 {
				is.Equal(w.completed(), 6) // the backfill tasks complete as well
			}
		})
	}
}

// TestBackfillIsSpread checks that backfill tasks are placed where processor time is left over.
func TestBackfillIsSpread(t *testing.T) {
	w := idleWorld(t, 4)
	w.submit("busy", catalog.Rules{}, step(2, 60, 8, 8000))
	w.run(200 * time.Millisecond)
	w.submit("mill", catalog.Rules{}, backfillStep("mill", 8, 10, 4, 3000))
	w.run(200 * time.Millisecond)
	w.checkInvariants()
	is := is.New(t)
	for _, h := range w.fleet.Hosts() {
		busy, backfill := 0, 0
		for _, r := range h.Running() {
			if r.Task.Job == "busy" {
				busy++
			} else {
				backfill++
			}
		}
		is.True(busy == 0 || backfill == 0)
		is.True(backfill <= 4)
	}
}
