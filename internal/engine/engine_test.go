package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

func size(cores, gib int64) spec.Resources {
	return spec.Resources{MilliCPU: cores * 1000, MemoryMiB: gib * 1024}
}

func step(count int, cores, gib, ms int64) spec.Step {
	return spec.Step{Count: count, Size: size(cores, gib), EstimateMillis: ms}
}

// idleWorld is a cell without load: hosts of 64 cores and 128 GiB and an engine that holds the partition.
func idleWorld(t testing.TB, hosts int) *world {
	w := newWorld(t, 7)
	w.fleet.Add(hosts, "s", size(64, 128))
	w.failOver()
	return w
}

func TestTasksRunAndComplete(t *testing.T) {
	w := idleWorld(t, 4)
	w.submit("a", catalog.Rules{}, step(10, 8, 8, 500))
	w.run(3 * time.Second)
	w.checkInvariants()
	is := is.New(t)
	is.Equal(w.reported["a"], record.StateCompleted)
	is.Equal(w.fleet.Checker().Starts(), 10)
}

func TestStepsRunInOrder(t *testing.T) {
	w := idleWorld(t, 4)
	second := step(3, 8, 8, 300)
	second.After = []int{0}
	third := step(4, 8, 8, 300)
	third.After = []int{0, 1}
	w.submit("a", catalog.Rules{}, step(5, 8, 8, 500), second, third)
	w.run(5 * time.Second)
	w.checkInvariants()
	is.New(t).Equal(w.reported["a"], record.StateCompleted)
}

// TestGangStepEndsOnce guards against counting the end of each gang member as the end of its step: a job
// with two steps then completes before the second step has run.
func TestGangStepEndsOnce(t *testing.T) {
	w := idleWorld(t, 8)
	first := step(6, 18, 26, 700)
	first.Gang = true
	second := step(4, 18, 26, 700)
	second.Gang, second.After = true, []int{0}
	w.submit("a", catalog.Rules{}, first, second)
	w.run(4 * time.Second)
	w.checkInvariants()
	is := is.New(t)
	is.Equal(w.reported["a"], record.StateCompleted)
	is.Equal(w.fleet.Checker().Starts(), 10)
}

// TestFailureCountsOnce guards against counting a failure twice: a next holder receives a failure that the
// previous holder had stored but not acknowledged to the host, and a job fails before a task has used up
// its attempts.
func TestFailureCountsOnce(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			w := idleWorld(t, 3)
			s := step(1, 8, 8, 400)
			if gang {
				s = step(3, 40, 8, 400)
			}
			s.Gang = gang
			w.fleet.FailNext(1)
			w.submit("a", catalog.Rules{MaxAttempts: 2}, s)
			for len(w.store["progress/0/a"]) == 0 {
				w.run(time.Millisecond)
			}
			w.failOver() // before the failure is acknowledged to the hosts
			w.run(6 * time.Second)
			w.checkInvariants()
			is.New(t).Equal(w.reported["a"], record.StateCompleted)
		})
	}
}

// TestGangMembersWaitForTheSlowest guards against treating gang members that have completed their work and
// wait for the others as stalled: the gang is stopped and its work is lost.
func TestGangMembersWaitForTheSlowest(t *testing.T) {
	w := idleWorld(t, 4)
	w.fleet.SpreadOfWork = 0.5
	gang := step(6, 18, 26, 2000)
	gang.Gang = true
	w.submit("a", catalog.Rules{}, gang)
	w.run(9 * time.Second)
	w.checkInvariants()
	is := is.New(t)
	is.Equal(w.reported["a"], record.StateCompleted)
	is.Equal(w.fleet.Checker().Starts(), 6)
}

func TestFailedAsOftenAsAllowed(t *testing.T) {
	w := idleWorld(t, 8)
	w.submit("hopeless", catalog.Rules{MaxAttempts: 3}, step(2, 8, 8, 200))
	w.submit("b", catalog.Rules{}, step(2, 8, 8, 200))
	w.run(20 * time.Second)
	w.checkInvariants()
	is := is.New(t)
	is.Equal(w.reported["hopeless"], record.StateFailed)
	is.Equal(w.reported["b"], record.StateCompleted)
}

func TestCancelStopsWhatRuns(t *testing.T) {
	w := idleWorld(t, 2)
	w.submit("a", catalog.Rules{}, step(4, 8, 8, 60_000))
	w.run(time.Second)
	_, known := w.engine.Cancel("a", w.now())
	w.run(time.Second)
	w.checkInvariants()
	is := is.New(t)
	is.True(known)
	is.Equal(w.reported["a"], record.StateCancelled)
	for _, h := range w.fleet.Hosts() {
		is.Equal(len(h.Running()), 0)
	}
	_, known = w.engine.Cancel("nobody", w.now())
	is.True(!known)
}

// TestTakeover checks that a next holder finds the runs on the hosts and starts none of them again.
func TestTakeover(t *testing.T) {
	w := idleWorld(t, 4)
	gang := step(6, 18, 20, 3000)
	gang.Gang = true
	w.submit("a", catalog.Rules{}, step(10, 4, 4, 3000))
	w.submit("b", catalog.Rules{}, gang)
	w.run(time.Second)
	w.failOver()
	w.run(5 * time.Second)
	w.checkInvariants()
	is := is.New(t)
	is.Equal(w.completed(), 2)
	is.Equal(w.fleet.Checker().Starts(), 16)
}

// TestFailoverWaitsForUnresponsiveHosts checks that tasks which may run on a host that the next holder can not
// reach are restarted only after the host's lease must have expired.
func TestFailoverWaitsForUnresponsiveHosts(t *testing.T) {
	w := idleWorld(t, 4)
	w.submit("a", catalog.Rules{}, step(12, 16, 4, 20_000))
	w.run(time.Second)
	w.host("h01").SetDisconnected(true)
	w.failOver()
	w.submit("fresh", catalog.Rules{}, step(2, 4, 4, 300)) // submitted after the failover, so no other holder can have started it
	w.run(2 * time.Second)
	is := is.New(t)
	is.Equal(w.reported["fresh"], record.StateCompleted)
	is.Equal(w.fleet.Checker().Starts(), 14)
	w.run(28 * time.Second)
	w.checkInvariants()
	is.Equal(w.reported["a"], record.StateCompleted)
}

// Each row injects one or more faults, which must violate no invariant and lose no job.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults faults
		inject func(w *world)
	}{
		"none":                   {},
		"requests lost":          {faults: faults{lostRequest: 0.1}},
		"answers lost":           {faults: faults{lostReply: 0.1}},
		"orders late":            {faults: faults{delayedRequest: 0.1}},
		"all of the above":       {faults: faults{lostRequest: 0.05, lostReply: 0.05, delayedRequest: 0.05}},
		"a host crashes":         {inject: func(w *world) { w.host("h01").Crash() }},
		"a host is disconnected": {inject: func(w *world) { w.host("h01").SetDisconnected(true) }},
		"a host is disconnected for 3 s": {inject: func(w *world) {
			w.host("h01").SetDisconnected(true)
			w.after(3*time.Second, func() { w.host("h01").SetDisconnected(false) })
		}},
		"a host is disconnected for 9 s": {inject: func(w *world) {
			w.host("h01").SetDisconnected(true)
			w.after(9*time.Second, func() { w.host("h01").SetDisconnected(false) })
		}},
		"a host fails all tasks": {inject: func(w *world) { w.host("h02").SetFailTasks(true) }},
		"a host stalls":          {inject: func(w *world) { w.host("h02").SetStalled(true) }},
		"a host is slow":         {inject: func(w *world) { w.host("h02").SetSlowdown(6) }},
		"failover":               {inject: func(w *world) { w.failOver() }},
		"two failovers":          {inject: func(w *world) { w.failOver(); w.after(50*time.Millisecond, w.failOver) }},
		"failover, late orders": {faults: faults{delayedRequest: 0.1}, inject: func(w *world) {
			w.failOver()
			w.after(700*time.Millisecond, w.failOver)
		}},
		"failover, a host crashes": {inject: func(w *world) { w.host("h03").Crash(); w.failOver() }},
		"failover, answers lost":   {faults: faults{lostReply: 0.1}, inject: func(w *world) { w.failOver() }},
		"clock drift, failover": {inject: func(w *world) {
			w.host("h01").SetRate(0.98)
			w.host("h01").SetDisconnected(true)
			w.failOver()
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newWorld(t, seed)
				w.fleet.Add(8, "s", size(64, 128))
				w.failOver()
				w.faults = tc.faults
				mixedWork(w, 12)
				w.after(2*time.Second, func() {
					if tc.inject != nil {
						tc.inject(w)
					}
				})
				w.run(12 * time.Second)
				w.faults = faults{}
				w.run(60 * time.Second)
				w.checkInvariants()
				for id := range w.jobs {
					if !w.reported[id].Final() {
						t.Errorf("seed %d: job %s is %s at the end: %s", seed, id, w.reported[id], w.describe(id))
					}
				}
			}
		})
	}
}

// mixedWork submits jobs of different kinds over several seconds.
func mixedWork(w *world, n int) {
	for i := range n {
		w.after(time.Duration(i*400)*time.Millisecond, func() {
			id := fmt.Sprint("job", i)
			switch i % 4 {
			case 0:
				gang := step(6, 18, 26, 2500)
				gang.Gang, gang.Checkpointing = true, true
				w.submit(id, catalog.Rules{Priority: 1, PolicyQuery: testAdvice}, gang)
			case 1:
				second := step(3, 6, 4, 700)
				second.After = []int{0}
				w.submit(id, catalog.Rules{Priority: 2}, step(8, 4, 8, 1500), second)
			default:
				w.submit(id, catalog.Rules{PolicyQuery: testAdvice}, step(2, 6, 10, 600))
			}
		})
	}
}

var testAdvice = &catalog.PolicyQuery{DecideMillis: 6, PerHostMillis: 0.1, ValidMillis: 1500}

// TestNothingStartsWithoutAuthority checks that a process which can not prove that it is the holder issues
// no orders.
func TestNothingStartsWithoutAuthority(t *testing.T) {
	w := idleWorld(t, 2)
	w.run(time.Second)
	w.engine.Accept(&record.Job{ID: "a", Service: "s", Rules: catalog.Rules{MaxAttempts: 1}, Graph: spec.Graph{Steps: []spec.Step{step(1, 1, 1, 100)}}}, true, w.now(), w.now())
	w.engine.SetAuthority(w.now())
	o, _ := w.engine.Next(w.now())
	is := is.New(t)
	is.Equal(len(o.Starts), 0)
	for _, l := range o.Polls {
		is.Equal(l.Poll.Lease, host.Millis(0)) // lease not renewed
	}
}

func TestDrainingHostGetsNothingNew(t *testing.T) {
	w := idleWorld(t, 2)
	w.submit("a", catalog.Rules{}, step(8, 8, 8, 400))
	w.run(100 * time.Millisecond)
	w.host("h00").Drain(10 * time.Second)
	w.engine.SetHost(w.host("h00").Info(), w.now())
	w.submit("b", catalog.Rules{}, step(8, 8, 8, 400))
	w.run(50 * time.Millisecond)
	for _, run := range w.host("h00").Running() {
		is.New(t).True(run.Task.Job != "b")
	}
	w.run(3 * time.Second)
	w.checkInvariants()
	is.New(t).Equal(w.completed(), 2)
}

// TestFencedHolderStops guards against a holder that is disconnected from the store and keeps polling
// every host after they have reported a later holder.
func TestFencedHolderStops(t *testing.T) {
	w := idleWorld(t, 4)
	w.submit("a", catalog.Rules{}, step(4, 8, 8, 5000))
	w.run(time.Second)
	old := w.engine
	w.failOver()
	w.run(100 * time.Millisecond)
	is := is.New(t)
	old.Polled(PollOrder{To: w.host("h00").Info()}, w.now(), host.View{Fenced: true}, nil, w.now())
	old.SetAuthority(w.now().Add(time.Second))
	o, _ := old.Next(w.now())
	is.True(o.Deposed)
	is.Equal(len(o.Polls)+len(o.Starts)+len(o.Stops), 0)
}

// TestLostStartIsResolvedSoon guards against late urgent work: a lost start is resolved by a stop, but its
// task waits until the poll that is held at the host returns.
func TestLostStartIsResolvedSoon(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 1)
	w.submit("long", catalog.Rules{}, step(1, 8, 8, 30000))
	w.run(300 * time.Millisecond) // a poll waits at the host
	w.faults.lostRequest = 1
	w.submit("a", catalog.Rules{}, step(1, 8, 8, 100))
	w.run(20 * time.Millisecond)
	w.faults.lostRequest = 0
	w.run(callTimeout + 300*time.Millisecond)
	w.checkInvariants()
	is.Equal(w.reported["a"], record.StateCompleted)
}
