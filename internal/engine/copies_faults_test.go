package engine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

var (
	copySeeds     = flag.Int("copies.seeds", 6, "seeds for each kind of fault in the random test of copies")
	firstCopySeed = flag.Uint64("copies.seed", 1, "first seed")
	copyFaults    = flag.String("copies.kind", "", "run only this kind of fault; empty runs all")
)

// copyCell is a cell with speculative work of two accounts, of which one is short of quota.
func copyCell(t testing.TB, seed uint64) *world {
	w := newWorld(t, seed)
	w.followsHosts = true
	w.fleet.KeepID = seed%2 == 0
	w.fleet.EnforceCapacity = seed%4 < 2
	w.fleet.RestartDelay = time.Duration(100+w.rnd.IntN(4000)) * time.Millisecond
	w.accountOf = func(id string) string { return "account-" + id[len(id)-1:] }
	w.queueOf = func(id string) string { return id[:5] }
	w.fleet.Add(24, "s", size(64, 128))
	for i, h := range w.fleet.Hosts() {
		h.SetRate([]float64{slowestClock, 1, 2 - slowestClock}[i%3])
	}
	for i := range 10 {
		w.setQuota(fmt.Sprint("account-", i), cores(int64(60+100*(i%2))))
	}
	w.failOver()
	w.run(time.Second)
	return w
}

// randomSpeculativeStep returns a step of short, checkpointing or batch work.
func (w *world) randomSpeculativeStep() spec.Step {
	s := step(1+w.rnd.IntN(8), 6, 4, int64(300+w.rnd.IntN(600)))
	s.Speculative = w.rnd.IntN(4) > 0
	s.Checkpointing = w.rnd.IntN(3) == 0
	s.MaxPerHost = w.rnd.IntN(3)
	return s
}

// TestCopiesUnderRandomFaults submits speculative work while calls get lost or late, hosts are disconnected,
// restart, lose power, drain, become slow and fast again, shrink or fail their tasks, jobs are cancelled and
// holders change. All the time no task has more than two runs, no quota, capacity or budget of attempts is
// exceeded, no task starts after its completion was acknowledged, and all jobs end.
func TestCopiesUnderRandomFaults(t *testing.T) {
	copies, adopted := 0, 0
	for name, kind := range callFaults {
		if *copyFaults != "" && *copyFaults != name {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*copySeeds) {
				seed := *firstCopySeed + i
				w := copyCell(t, seed)
				w.keepEvents = true
				w.runRandomFaults(kind)
				for _, violation := range w.fleet.Checker().Violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: %d jobs are not final, such as %s", seed, len(left), left[0])
				}
				copies += len(w.eventsNamed("copy started"))
				adopted += len(w.eventsNamed("copy adopted"))
			}
		})
	}
	t.Logf("%d copies started, %d adopted", copies, adopted)
	if *copyFaults == "" && (copies == 0 || adopted == 0) {
		t.Error("the faults led to no copies, or to none that was adopted")
	}
}

// Durations of the random test.
const (
	copyFaultPeriod = 14 * time.Second
	copyCalm        = 40 * time.Second
)

func (w *world) runRandomFaults(kind faults) {
	for n, at := 0, time.Duration(0); at < copyFaultPeriod; n, at = n+1, at+150*time.Millisecond {
		w.after(at, func() {
			rules := catalog.Rules{MaxAttempts: 1 + w.rnd.IntN(4), CriticalPathFactor: 1.5}
			if w.rnd.IntN(2) == 0 {
				rules.PolicyQuery = shortRules.PolicyQuery
			}
			first, second := w.randomSpeculativeStep(), w.randomSpeculativeStep()
			second.After = []int{0}
			w.submit(fmt.Sprint("short-", n), rules, first, second)
		})
	}
	w.faults = kind
	hang := 0.05
	w.hangs = func(StartOrder) bool { return w.rnd.Float64() < hang }
	for at := time.Second; at < copyFaultPeriod; at += time.Duration(50+w.rnd.IntN(600)) * time.Millisecond {
		w.after(at, w.injectCopyFault)
	}
	w.runChecked(copyFaultPeriod)
	w.faults, hang = faults{}, 0
	for _, h := range w.fleet.Hosts() {
		h.SetSlowdown(1)
		h.SetFailTasks(false)
		h.StopDraining()
	}
	w.runChecked(copyCalm)
}

// runChecked runs the cell for a while and checks the records of runs all the time.
func (w *world) runChecked(d time.Duration) {
	const interval = 20 * time.Millisecond
	for range d / interval {
		w.run(interval)
		w.checkPairs()
	}
}

// injectCopyFault injects a random fault into a host, cancels a job, or replaces the holder.
func (w *world) injectCopyFault() {
	all := w.fleet.Hosts()
	h := all[w.rnd.IntN(len(all))]
	outage := time.Duration(200+w.rnd.IntN(6000)) * time.Millisecond
	switch n := w.rnd.IntN(20); {
	case n < 2:
		w.failOver()
	case n < 6:
		w.disconnect(h, outage)
	case n < 7:
		w.disconnect(h, outage)
		w.after(time.Duration(w.rnd.IntN(int(outage))), h.RestartAfterPowerLoss)
	case n < 8:
		h.Restart()
	case n < 10:
		h.Drain(outage)
		w.after(outage, h.StopDraining)
	case n < 16:
		h.SetSlowdown(3 + 5*w.rnd.Float64())
		w.after(outage, func() { h.SetSlowdown(1) })
	case n < 18:
		h.SetFailTasks(true)
		w.after(outage, func() { h.SetFailTasks(false) })
	default:
		id := fmt.Sprint("short-", w.rnd.IntN(len(w.jobs)+1))
		w.deliver(w.engine, func() { w.engine.Cancel(id, w.now()) })
	}
}
