package engine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/speculation"
)

// shortTask is the run time of a task of short work; shortRules are the rules of its queue without the fixed
// allowance of its target.
const shortTask = 560 * time.Millisecond

var shortRules = catalog.Rules{CriticalPathFactor: 1.5, MaxAttempts: 3, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 16, PerHostMillis: 0.22, ValidMillis: 1500}}

func speculativeStep(count int) spec.Step {
	s := step(count, 11, 4, shortTask.Milliseconds())
	s.Speculative = true
	return s
}

// copyWorld is a cell whose learned run times cover the queue of short work.
func copyWorld(t testing.TB, seed uint64, hosts int) *world {
	w := newWorld(t, seed)
	w.keepEvents = true
	w.fleet.Add(hosts, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.submit("learn", shortRules, step(60, 4, 1, shortTask.Milliseconds()))
	w.run(5 * time.Second)
	return w
}

// took returns how long a job took until its end was reported.
func (w *world) took(id string, submitted time.Time) time.Duration {
	return w.finalSince[id].Sub(submitted)
}

// eventsNamed returns the logged events of a name.
func (w *world) eventsNamed(name string) (out []loggedEvent) {
	for _, ev := range w.events {
		if ev.What == name {
			out = append(out, ev)
		}
	}
	return out
}

// hangFirst makes the first n start orders of a job get lost.
func (w *world) hangFirst(job string, n int) {
	w.hangs = func(s StartOrder) bool {
		if s.Start.Task.Job != job || n == 0 {
			return false
		}
		n--
		return true
	}
}

// TestHungOrderIsCopied guards against a lost start order that makes a job miss its target: the call times
// out after 500 ms, and the restart ends after 1.1 s. With the copy, the job meets 1.5 times its critical
// path. A step that is not speculative is restarted after the time-out, as before.
func TestHungOrderIsCopied(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		t.Run(fmt.Sprint(speculative), func(t *testing.T) {
			is := is.New(t)
			w := copyWorld(t, 1, 12)
			w.hangFirst("job", 1)
			submitted := w.now()
			s := speculativeStep(6)
			s.Speculative = speculative
			w.submit("job", shortRules, s)
			w.run(4 * time.Second)
			is.Equal(w.reported["job"], record.StateCompleted)
			is.Equal(w.took("job", submitted) < 3*shortTask/2, speculative)
			is.Equal(len(w.eventsNamed("copy started")) == 1, speculative)
			w.checkInvariants()
			is.Equal(len(w.engine.copies.held), 0)
			if speculative {
				is.Equal(w.eventsNamed("copy started")[0].Kind, string(speculation.Unacknowledged))
				is.Equal(w.eventsNamed("copy ended")[0].Kind, copyWon)
				is.Equal(w.engine.TakeCopyTotals(), []CopyTotals{{Queue: "q", Started: 1, Won: 1}})
			}
		})
	}
}

// TestDumpShowsCopies: the dump and the explanation show the late run, its copy, and why there is none.
func TestDumpShowsCopies(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 1, 12)
	w.hangFirst("job", 1)
	w.submit("job", shortRules, speculativeStep(3))
	w.run(60 * time.Millisecond)
	is.Equal(w.engine.Dump(w.now()).Copies, nil)
	w.run(200 * time.Millisecond)
	rows := w.engine.Dump(w.now()).Copies
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Task, "job/0/0/0")
	is.Equal(rows[0].Late, string(speculation.Unacknowledged))
	is.True(rows[0].SecondRun == 2 && rows[0].SecondHost != rows[0].Host)
	x, _ := w.engine.Explain("job", w.now())
	is.True(strings.Contains(x.Steps[0].Copies, "run 2 on "+rows[0].SecondHost+" beside it (running)"))

	w.hangFirst("one-attempt", 1)
	w.submit("one-attempt", catalog.Rules{CriticalPathFactor: 1.5, MaxAttempts: 1}, speculativeStep(1))
	w.run(200 * time.Millisecond)
	x, _ = w.engine.Explain("one-attempt", w.now())
	is.True(strings.Contains(x.Steps[0].Copies, "no copy: "+string(speculation.FewAttempts)))
}

// TestCopyOfSlowRun guards against a host that has become slow and holds up a job: the run is copied when it
// has taken longer than nearly all, on a host in another rack, and stopped when the copy is done.
func TestCopyOfSlowRun(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 1, 12)
	slow := host.ID("")
	w.onStart = func(s StartOrder) {
		if s.Start.Task.Job == "job" && slow == "" {
			slow = s.To.ID
			w.host(slow).SetSlowdown(20)
		}
	}
	submitted := w.now()
	s := speculativeStep(6)
	s.MaxPerHost = 1
	before, _ := w.engine.runtimes.Quantile("q", shortTask, speculation.LateQuantile)
	w.submit("job", shortRules, s)
	w.run(4 * time.Second)
	after, _ := w.engine.runtimes.Quantile("q", shortTask, speculation.LateQuantile)
	is.True(after > before+shortTask/10) // the time that the late run took counts as a sample
	is.Equal(w.reported["job"], record.StateCompleted)
	is.True(w.took("job", submitted) < 3*shortTask)
	started := w.eventsNamed("copy started")
	is.Equal(len(started), 1)
	is.Equal(started[0].Kind, string(speculation.Slow))
	is.True(w.engine.hosts[host.ID(started[0].Host)].info.Rack != w.engine.hosts[slow].info.Rack)
	totals := w.engine.TakeCopyTotals()
	is.Equal(totals[0].Won, 1)
	is.True(totals[0].WastedCPUSeconds > 11*shortTask.Seconds()) // the first run had worked for longer than a usual run takes
	is.Equal(len(w.host(slow).Running()), 0)
	w.checkInvariants()
}

// TestCopyOnSilentHost guards against a job that waits until the lease of an unresponsive host is over.
func TestCopyOnSilentHost(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 1, 12)
	w.queueOf = func(string) string { return "batch" } // whose run times are not learned
	w.submit("job", catalog.Rules{CriticalPathFactor: 4, MaxAttempts: 3}, func() spec.Step {
		s := speculativeStep(3)
		s.EstimateMillis, s.MaxPerHost = 4500, 1
		return s
	}())
	w.run(100 * time.Millisecond)
	silent := w.engine.jobs["job"].groups[0].tasks[0].cur.placedOn
	w.host(silent.info.ID).SetDisconnected(true)
	w.run(4 * time.Second)
	started := w.eventsNamed("copy started")
	is.Equal(len(started), 1)
	is.Equal(started[0].Kind, string(speculation.Unresponsive))
	w.run(5 * time.Second)
	is.Equal(w.reported["job"], record.StateCompleted)
	w.checkInvariants()
}

// TestShortWorkWithHungOrders replays short work of which 5% of the orders get no answer. Nearly all of the
// jobs meet 1.5 times their critical path. Without copies a third of them are late, as a job has ten tasks.
func TestShortWorkWithHungOrders(t *testing.T) {
	const jobs = 300
	inTime := map[bool]int{}
	for _, speculative := range []bool{true, false} {
		w := copyWorld(t, 3, 60)
		w.hangs = func(StartOrder) bool { return w.rnd.Float64() < 0.05 }
		submitted := map[string]time.Time{}
		for i := range jobs {
			w.after(time.Duration(i)*50*time.Millisecond, func() {
				id := fmt.Sprint("short-", i)
				submitted[id] = w.now()
				s := speculativeStep(10)
				s.Speculative = speculative
				w.submit(id, shortRules, s)
			})
		}
		w.run(jobs*50*time.Millisecond + 5*time.Second)
		for id, at := range submitted {
			if w.took(id, at) <= 3*shortTask/2 {
				inTime[speculative]++
			}
		}
		w.checkInvariants()
		totals := w.engine.TakeCopyTotals()
		t.Logf("speculative %t: %d of %d in time, %+v", speculative, inTime[speculative], jobs, totals)
	}
	if inTime[true] < jobs*95/100 {
		t.Errorf("%d of %d jobs met their target", inTime[true], jobs)
	}
	if inTime[false] > jobs*3/4 {
		t.Errorf("%d of %d jobs met their target without copies", inTime[false], jobs)
	}
}

// TestHalfOfTheHostsSlow guards against a storm of copies: half of the hosts become four times as slow at
// once, so that many runs are late and the cause is not the task.
func TestHalfOfTheHostsSlow(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 4, 60)
	for i := range 200 {
		w.after(time.Duration(i)*60*time.Millisecond, func() { w.submit(fmt.Sprint("short-", i), shortRules, speculativeStep(10)) })
	}
	w.after(3*time.Second, func() {
		for i, h := range w.fleet.Hosts() {
			if i%2 == 0 {
				h.SetSlowdown(4)
			}
		}
	})
	starts := w.fleet.Checker().Starts()
	most := 0
	for range 400 {
		w.run(50 * time.Millisecond)
		pairs, runs := w.countPairs()
		is.True(pairs <= max(1, runs/10))
		most = max(most, pairs)
	}
	copies := len(w.eventsNamed("copy started"))
	t.Logf("%d copies, %d at once, of %d starts", copies, most, w.fleet.Checker().Starts()-starts)
	is.True(copies < 2000/20)
	is.Equal(w.completed(), 201)
	w.checkInvariants()
}

// countPairs counts the tasks with two runs and all runs.
func (w *world) countPairs() (pairs, runs int) {
	for _, j := range w.engine.live {
		for _, g := range j.groups {
			for i := range g.tasks {
				if g.tasks[i].second != nil {
					pairs++
				}
			}
		}
	}
	return pairs, w.engine.countRuns()
}

// TestNoCopyWhileStepsWait: the capacity that comes free goes to waiting steps and not to copies.
func TestNoCopyWhileStepsWait(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 5, 4)
	w.hangFirst("job", 1)
	w.submit("job", shortRules, speculativeStep(20)) // all of the capacity
	w.submit("waits", shortRules, step(20, 11, 4, 300))
	w.run(450 * time.Millisecond) // the call has not timed out yet
	is.Equal(len(w.eventsNamed("copy started")), 0)
	is.Equal(w.engine.jobs["job"].groups[0].tasks[0].refusal, speculation.StepsWait)
	w.run(5 * time.Second)
	is.Equal(w.completed(), 3)
	w.checkInvariants()
}

// TestCopiesRespectTheQuota: a copy needs quota like any run.
func TestCopiesRespectTheQuota(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 6, 12)
	w.accountOf = func(string) string { return "a" }
	w.setQuota("a", cores(6*11))
	w.hangFirst("job", 1)
	w.submit("job", shortRules, speculativeStep(6))
	w.run(400 * time.Millisecond)
	is.Equal(len(w.eventsNamed("copy started")), 0)
	is.Equal(w.engine.jobs["job"].groups[0].tasks[0].refusal, speculation.NoQuota)
	w.run(3 * time.Second)
	is.Equal(w.reported["job"], record.StateCompleted)
	w.checkInvariants()
}

// TestTicketForCopy: a copy is started only on a host that the policy service permits, with a query if the step
// holds no ticket for another host.
func TestTicketForCopy(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 7, 30)
	asked := map[host.ID]bool{}
	var first host.ID // the only host of the first answer
	w.permitted = func(s spec.StepID, h host.ID) bool {
		if first == "" {
			first = h
		}
		asked[h] = true
		return len(asked) > minQueryHosts || h == first
	}
	w.hangFirst("job", 1)
	submitted := w.now()
	w.submit("job", shortRules, speculativeStep(1))
	w.run(2 * time.Second)
	started := w.eventsNamed("copy started")
	is.Equal(len(started), 1)
	is.True(host.ID(started[0].Host) != first)
	is.Equal(w.reported["job"], record.StateCompleted)
	is.True(w.took("job", submitted) < 3*shortTask/2)
	w.checkInvariants()
}

// TestStepsThatAreNeverCopied: gangs, long-running and backfill steps, and steps that are not declared
// speculative, get no copies and no state of copies, whatever their hosts do.
func TestStepsThatAreNeverCopied(t *testing.T) {
	tests := map[string]func(s *spec.Step){
		"not speculative": func(s *spec.Step) { s.Speculative = false },
		"gang":            func(s *spec.Step) { s.Gang = true },
		"long-running":    func(s *spec.Step) { s.LongRunning = true },
		"backfill":        func(s *spec.Step) { s.Backfill = true },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := copyWorld(t, 8, 12)
			s := speculativeStep(6)
			change(&s)
			w.hangFirst("job", 2)
			w.submit("job", catalog.Rules{CriticalPathFactor: 1.5}, s)
			w.run(300 * time.Millisecond)
			w.fleet.Hosts()[0].SetDisconnected(true)
			w.failOver()
			for range 50 {
				w.run(100 * time.Millisecond)
				is.Equal(len(w.engine.copies.groups), 0)
				is.Equal(len(w.engine.copies.held), 0)
				for i := range w.engine.jobs["job"].groups[0].tasks {
					is.Equal(w.engine.jobs["job"].groups[0].tasks[i].taskCopies, taskCopies{})
				}
			}
			is.Equal(len(w.eventsNamed("copy started"))+len(w.eventsNamed("copy adopted"))+len(w.eventsNamed("late run not copied")), 0)
			w.checkInvariants()
		})
	}
}

// pairedTask returns a cell with a task that has two long runs.
func pairedTask(t *testing.T, maxAttempts int) (w *world, g *group) {
	return pairedTaskOf(t, maxAttempts, "")
}

// pairedTaskOf is pairedTask with a job of a client account.
func pairedTaskOf(t *testing.T, maxAttempts int, account string) (w *world, g *group) {
	w = newWorld(t, 9)
	w.accountOf = func(string) string { return account }
	w.keepEvents = true
	w.fleet.Add(8, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	s := speculativeStep(1)
	s.EstimateMillis, s.Checkpointing = 60_000, true
	w.submit("job", catalog.Rules{MaxAttempts: maxAttempts}, s)
	w.run(100 * time.Millisecond)
	g = w.engine.jobs["job"].groups[0]
	w.forceCopy(g, 0)
	w.run(100 * time.Millisecond)
	return w, g
}

// forceCopy starts a copy of the current run of a task.
func (w *world) forceCopy(g *group, i int) {
	cur := g.tasks[i].cur
	w.deliver(w.engine, func() {
		for _, h := range w.engine.hostsByID {
			if h != cur.placedOn && h.unresponsiveSince.IsZero() {
				w.engine.out = Orders{}
				w.engine.startCopy(lateRun{cur, w.now(), speculation.Slow}, h, w.now())
				for _, s := range w.engine.out.Starts {
					w.start(w.engine, s)
				}
				return
			}
		}
	})
}

// TestEndOrders goes through the ends of the two runs of a task in either order.
func TestEndOrders(t *testing.T) {
	const lost = host.EndReason("lost")
	type outcome struct {
		state    taskState
		job      record.State
		failures int
		totals   CopyTotals
	}
	totals := func(won, lost, both, ended int) CopyTotals {
		return CopyTotals{Queue: "q", Started: 1, Won: won, Lost: lost, Both: both, Ended: ended}
	}
	tests := []struct {
		first, copied host.EndReason
		copyEndsFirst bool
		maxAttempts   int
		want          outcome
	}{
		{host.EndDone, host.EndStopped, false, 2, outcome{taskDone, record.StateCompleted, 0, totals(0, 1, 0, 0)}},
		{host.EndDone, host.EndDone, false, 2, outcome{taskDone, record.StateCompleted, 0, totals(0, 1, 1, 0)}},
		{host.EndDone, host.EndFailed, false, 2, outcome{taskDone, record.StateCompleted, 0, totals(0, 1, 0, 0)}},
		{host.EndDone, lost, false, 2, outcome{taskDone, record.StateCompleted, 0, totals(0, 1, 0, 0)}},
		{host.EndStopped, host.EndDone, true, 2, outcome{taskDone, record.StateCompleted, 0, totals(1, 0, 0, 0)}},
		{host.EndDone, host.EndDone, true, 2, outcome{taskDone, record.StateCompleted, 0, totals(1, 0, 1, 0)}},
		{lost, host.EndDone, true, 2, outcome{taskDone, record.StateCompleted, 0, totals(1, 0, 0, 0)}},
		{host.EndFailed, host.EndDone, true, 2, outcome{taskDone, record.StateCompleted, 0, totals(1, 0, 0, 0)}},
		{host.EndFailed, host.EndDone, false, 2, outcome{taskDone, record.StateCompleted, 1, totals(1, 0, 0, 0)}},
		{host.EndDone, host.EndFailed, true, 2, outcome{taskDone, record.StateCompleted, 1, totals(0, 0, 0, 1)}},
		{lost, host.EndDone, false, 2, outcome{taskDone, record.StateCompleted, 0, totals(1, 0, 0, 0)}},
		{host.EndDone, lost, true, 2, outcome{taskDone, record.StateCompleted, 0, totals(0, 0, 0, 1)}},
		{host.EndFailed, host.EndFailed, false, 3, outcome{taskWaiting, record.StateQueued, 2, totals(0, 0, 0, 1)}},
		{host.EndFailed, host.EndFailed, true, 3, outcome{taskWaiting, record.StateQueued, 2, totals(0, 0, 0, 1)}},
		{host.EndFailed, host.EndFailed, false, 2, outcome{taskActive, record.StateFailed, 2, totals(0, 0, 0, 1)}},
		{host.EndFailed, host.EndFailed, true, 2, outcome{taskActive, record.StateFailed, 2, totals(0, 0, 0, 1)}},
		{lost, host.EndFailed, false, 2, outcome{taskWaiting, record.StateQueued, 1, totals(0, 0, 0, 1)}},
		{lost, lost, true, 2, outcome{taskWaiting, record.StateQueued, 0, totals(0, 0, 0, 1)}},
		{host.EndStopped, host.EndStopped, false, 2, outcome{taskWaiting, record.StateQueued, 0, totals(0, 0, 0, 1)}},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprintf("first %s, copy %s, copy first %t, %d attempts", tc.first, tc.copied, tc.copyEndsFirst, tc.maxAttempts), func(t *testing.T) {
			is := is.New(t)
			w, g := pairedTask(t, tc.maxAttempts)
			e, task := w.engine, &g.tasks[0]
			first, second := task.cur, task.second
			is.True(second != nil && second.No > first.No && second.copyOf == first.No)
			end := func(r *run, reason host.EndReason) {
				if reason == lost {
					e.dropLostRun(r, "test", w.now())
					return
				}
				h := r.placedOn
				h.endsProcessed++
				e.processEnd(h, host.End{Number: h.endsProcessed, Run: r.Run, EndReason: reason, Checkpoint: fmt.Sprint("c", r.No)}, w.now())
			}
			ends := []func(){func() { end(first, tc.first) }, func() { end(second, tc.copied) }}
			if tc.copyEndsFirst {
				slices.Reverse(ends)
			}
			ends[0]()
			is.True(task.second == nil || g.job.state.Final())
			if task.state == taskActive {
				is.True(task.cur == first || task.cur == second) // the remaining run is the current one
				is.True(!task.cur.stopRequested)
				is.Equal(g.waiting, 0)
			}
			if task.state == taskDone {
				for _, r := range []*run{first, second} {
					is.True(!r.recorded() || r.stopRequested) // the loser is stopped
				}
			}
			ends[1]()
			is.True(task.cur == nil && task.second == nil || g.job.state.Final())
			is.Equal(task.state, tc.want.state)
			is.Equal(g.job.state, tc.want.job)
			is.Equal(len(task.failed), tc.want.failures)
			got := e.TakeCopyTotals()[0]
			got.WastedCPUSeconds = 0
			is.Equal(got, tc.want.totals)
			is.Equal(e.countRuns(), 0)
		})
	}
}

// TestLastCheckpointIsKept: the task resumes from the checkpoint of the run that ended last.
func TestLastCheckpointIsKept(t *testing.T) {
	is := is.New(t)
	w, g := pairedTask(t, 3)
	e, task := w.engine, &g.tasks[0]
	for _, r := range []*run{task.second, task.cur} {
		r.placedOn.endsProcessed++
		e.processEnd(r.placedOn, host.End{Number: r.placedOn.endsProcessed, Run: r.Run, EndReason: host.EndStopped, Checkpoint: fmt.Sprint("c", r.No)}, w.now())
	}
	is.Equal(task.state, taskWaiting)
	is.Equal(task.checkpoint, "c1")
	is.Equal(task.run, 2) // the next run has a higher number than both
}

// TestCancelStopsBothRuns guards against a second run that goes on after its job was cancelled.
func TestCancelStopsBothRuns(t *testing.T) {
	is := is.New(t)
	w, g := pairedTask(t, 3)
	hosts := []host.ID{g.tasks[0].cur.placedOn.info.ID, g.tasks[0].second.placedOn.info.ID}
	w.deliver(w.engine, func() { w.engine.Cancel("job", w.now()) })
	w.run(time.Second)
	for _, id := range hosts {
		is.Equal(len(w.host(id).Running()), 0)
	}
	is.Equal(w.reported["job"], record.StateCancelled)
}

// TestDrainOfOneRun: the drain of the host of one run leaves the other as the current one.
func TestDrainOfOneRun(t *testing.T) {
	is := is.New(t)
	w, g := pairedTask(t, 3)
	second := g.tasks[0].second
	w.followsHosts = true
	w.host(g.tasks[0].cur.placedOn.info.ID).Drain(5 * time.Second)
	w.run(3 * time.Second)
	is.True(g.tasks[0].cur == second && g.tasks[0].second == nil)
	is.Equal(w.engine.countRuns(), 1)
	w.run(60 * time.Second)
	is.Equal(w.reported["job"], record.StateCompleted)
	w.checkInvariants()
}

// TestAcknowledgementWaitsForTheOtherStart guards against a start order that takes effect after the completion
// of its task was acknowledged: the order of the first run is on its way, and its host answers nothing. After
// a failover the holder does not know of that order.
func TestAcknowledgementWaitsForTheOtherStart(t *testing.T) {
	for _, failover := range []bool{false, true} {
		t.Run(fmt.Sprintf("failover %t", failover), func(t *testing.T) { testAcknowledgementWaits(t, failover) })
	}
}

func testAcknowledgementWaits(t *testing.T, failover bool) {
	is := is.New(t)
	w := copyWorld(t, 10, 12)
	if failover {
		w.after(500*time.Millisecond, w.failOver)
	}
	var late host.ID
	w.hangs = func(s StartOrder) bool {
		if s.Start.Task.Job != "job" || late != "" {
			return false
		}
		late = s.To.ID
		h, e := w.host(late), w.engine
		w.after(time.Millisecond, func() { h.SetDisconnected(true) })
		w.after(1150*time.Millisecond, func() { h.Start(e.cfg.Epoch, s.Start) }) // just before its deadline
		return true
	}
	w.submit("job", shortRules, speculativeStep(1))
	w.run(time.Second)
	is.Equal(w.reported["job"], record.StateCompleted) // callers do not wait
	is.True(len(w.engine.copies.held) > 0)
	w.run(1200 * time.Millisecond)
	is.Equal(len(w.engine.copies.held), 0)
	w.run(10 * time.Second)
	w.checkInvariants()
}

// TestFailoverAtEachMoment replaces the holder at each moment between the order of a run and the end of its
// copy, with either host cut off or not. Both runs are adopted, no third one is started while one of them may
// exist, and the job completes within its quota.
func TestFailoverAtEachMoment(t *testing.T) {
	cut := map[string]func(first, second host.ID) host.ID{
		"no host cut off":          func(host.ID, host.ID) host.ID { return "" },
		"host of first cut off":    func(first, _ host.ID) host.ID { return first },
		"host of the copy cut off": func(_, second host.ID) host.ID { return second },
	}
	for _, name := range slices.Sorted(maps.Keys(cut)) {
		t.Run(name, func(t *testing.T) {
			for moment := time.Duration(0); moment < 1500*time.Millisecond; moment += 23 * time.Millisecond {
				w := copyWorld(t, uint64(moment), 12)
				w.accountOf = func(string) string { return "a" }
				w.setQuota("a", cores(8*11))
				var hosts []host.ID
				w.onStart = func(s StartOrder) {
					if s.Start.Task.Job != "job" || s.Start.Task.Index != 0 {
						return
					}
					hosts = append(hosts, s.To.ID)
					if len(hosts) == 1 {
						w.host(s.To.ID).SetSlowdown(6)
					}
				}
				s := speculativeStep(5)
				s.MaxPerHost = 1
				w.submit("job", shortRules, s)
				w.run(200*time.Millisecond + moment)
				copied := len(hosts) > 1
				running := 0
				for _, id := range hosts {
					running += len(w.host(id).Running())
				}
				paired := len(hosts) == 2 && running == 2
				if id := cut[name](hosts[0], hosts[len(hosts)-1]); id != "" && copied {
					w.host(id).SetDisconnected(true)
					w.after(4*time.Second, func() { w.host(id).SetDisconnected(false) })
				}
				w.failOver()
				for range 150 {
					w.run(100 * time.Millisecond)
					w.checkPairs()
				}
				if w.reported["job"] != record.StateCompleted {
					t.Errorf("moment %v: %s: %s", moment, w.reported["job"], w.describe("job"))
				}
				if adopted := len(w.eventsNamed("copy adopted")) > 0; paired && !adopted && name == "no host cut off" {
					t.Errorf("moment %v: two runs existed, one was adopted", moment)
				}
				if copied && moment < 900*time.Millisecond && len(hosts) > 2 {
					t.Errorf("moment %v: %d runs of the task were started", moment, len(hosts))
				}
				w.checkInvariants()
			}
		})
	}
}

// cutOffAndFailOver cuts off the host of the first run of a paired task and replaces the holder, which knows of
// the copy alone.
func (w *world) cutOffAndFailOver(g *group) (first, second *run) {
	first, second = g.tasks[0].cur, g.tasks[0].second
	w.host(first.placedOn.info.ID).SetDisconnected(true)
	w.run(10 * time.Millisecond)
	w.failOver()
	w.run(500 * time.Millisecond)
	return first, second
}

// TestNoThirdRunAfterFailover guards against a third run of a task: after a failover the copy is adopted and
// stopped, while the first run may still be on a host that has not reported. When that host reports, its run
// is the current one, although the copy had a higher number.
func TestNoThirdRunAfterFailover(t *testing.T) {
	is := is.New(t)
	w, g := pairedTask(t, 3)
	first, second := w.cutOffAndFailOver(g)
	task := &w.engine.jobs["job"].groups[0].tasks[0]
	is.Equal(task.cur.Run, second.Run)
	w.deliver(w.engine, func() { w.engine.requestStop(task.cur, "test") })
	starts := w.fleet.Checker().Starts()
	w.run(2 * time.Second)
	is.Equal(w.fleet.Checker().Starts(), starts)
	is.Equal(task.state, taskUnconfirmed)
	w.host(first.placedOn.info.ID).SetDisconnected(false)
	w.run(2 * time.Second)
	is.Equal(task.cur.Run, first.Run)
	is.Equal(w.fleet.Checker().Starts(), starts)
	w.checkPairs()
	w.run(70 * time.Second)
	is.Equal(w.reported["job"], record.StateCompleted)
	w.checkInvariants()
}

// TestQuotaCountsPossibleSecondRun guards against an account that exceeds its quota after a failover: one of two
// runs is on a host that has not reported, and another job of the account is submitted, or the job with
// the two runs has been cancelled just before.
func TestQuotaCountsPossibleSecondRun(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancelled %t", cancelled), func(t *testing.T) {
			is := is.New(t)
			w, g := pairedTaskOf(t, 3, "a")
			w.setQuota("a", cores(2*11))
			if cancelled {
				w.host(g.tasks[0].cur.placedOn.info.ID).SetDisconnected(true)
				w.host(g.tasks[0].second.placedOn.info.ID).SetDisconnected(true)
				w.deliver(w.engine, func() { w.engine.Cancel("job", w.now()) })
				w.run(100 * time.Millisecond)
			}
			w.cutOffAndFailOver(g)
			w.submit("more", catalog.Rules{MaxAttempts: 3}, step(2, 11, 4, 500))
			w.run(90 * time.Second)
			is.Equal(w.reported["more"], record.StateCompleted)
			w.checkInvariants()
		})
	}
}

// TestCopyNeedsTwoAttempts guards against a job that fails because its copy has failed while its first run
// would have succeeded.
func TestCopyNeedsTwoAttempts(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 11, 12)
	rules := shortRules
	rules.MaxAttempts = 2
	w.fleet.FailNext(1)
	w.hangs = func(s StartOrder) bool { return s.Start.Task.Job == "job" && s.Start.No == 2 }
	w.submit("job", rules, speculativeStep(1))
	w.run(800 * time.Millisecond) // the first run has failed, the second has hung for longer than the patience
	task := &w.engine.jobs["job"].groups[0].tasks[0]
	is.Equal(len(task.failed), 1)
	is.Equal(task.refusal, speculation.FewAttempts)
	w.run(3 * time.Second)
	is.Equal(w.reported["job"], record.StateCompleted)
	is.Equal(len(w.eventsNamed("copy started")), 0)
	w.checkInvariants()
}

// checkPairs checks the engine's records of second runs.
func (w *world) checkPairs() {
	w.t.Helper()
	counts := map[spec.StepTask]int{}
	for _, h := range w.engine.hostsByID {
		for _, r := range h.runs {
			if r.group != nil && !r.superseded {
				counts[r.Task]++
			}
		}
	}
	for _, j := range w.engine.live {
		for _, g := range j.groups {
			for i := range g.tasks {
				t := &g.tasks[i]
				if counts[g.task(i)] > 2 || t.state == taskWaiting && counts[g.task(i)] > 0 {
					w.fleet.Checker().RecordViolation("PAIR %v is in state %d and has %d runs", g.task(i), t.state, counts[g.task(i)])
				}
				if t.second != nil && (t.cur == nil || t.cur == t.second || t.state == taskWaiting || t.cur.placedOn == t.second.placedOn) {
					w.fleet.Checker().RecordViolation("PAIR %v in state %d has second run %v beside %v", g.task(i), t.state, t.second, t.cur)
				}
				if t.possible && !w.engine.reconciling && w.engine.possibleHosts[g.task(i)] == 0 {
					w.fleet.Checker().RecordViolation("PAIR %v may have a run on no host", g.task(i))
				}
			}
		}
	}
}

// TestCopiesDoNotSpreadCrashes guards against copies of tasks that crash their hosts: a host that crashes is
// silent at first, as is one that merely lost a call. With power losses no connection is reset, and the
// engine learns of the crash only from the next incarnation.
func TestCopiesDoNotSpreadCrashes(t *testing.T) {
	for _, powerLoss := range []bool{false, true} {
		t.Run(fmt.Sprintf("power loss %t", powerLoss), func(t *testing.T) {
			lost := map[bool]int{}
			for _, speculative := range []bool{false, true} {
				w := crashWorld(t, 1, 48)
				w.fleet.PowerLossCrashes = powerLoss
				w.keepEvents = true
				for i := range 400 {
					w.after(time.Duration(i)*40*time.Millisecond, func() { w.submitCrashLoad(i, speculative) })
				}
				w.run(60 * time.Second)
				w.checkInvariants()
				lost[speculative] += w.fleet.Checker().HostsCrashedByTasks()
				for id, reported := range w.reported {
					if failed := reported == record.StateFailed; failed != strings.HasPrefix(id, crashingJob) {
						t.Errorf("speculative %t: %s is %s", speculative, id, reported)
					}
				}
			}
			t.Logf("%d hosts crashed under speculative tasks, %d under others", lost[true], lost[false])
			if lost[true] > lost[false]*11/10 {
				t.Errorf("%d hosts crashed under speculative tasks, %d under others", lost[true], lost[false])
			}
		})
	}
}

// submitCrashLoad submits short work and, at times, a job of which one task crashes its hosts.
func (w *world) submitCrashLoad(i int, speculative bool) {
	s := step(3, 11, 10, 560) // so that each host has a small share of the runs
	s.Speculative = speculative
	w.submit(fmt.Sprint("short-", i), shortRules, s)
	if i%20 == 5 {
		w.submit(fmt.Sprint(crashingJob, i), shortRules, s)
	}
}

// TestSlowAcknowledgementsAreNoCause guards against copies of ordinary runs in a cell whose acknowledgements
// usually take longer than the patience for short work.
func TestSlowAcknowledgementsAreNoCause(t *testing.T) {
	is := is.New(t)
	w := copyWorld(t, 12, 24)
	w.replyDelay = 100 * time.Millisecond
	for i := range 100 {
		w.after(time.Duration(i)*50*time.Millisecond, func() { w.submit(fmt.Sprint("short-", i), shortRules, speculativeStep(6)) })
	}
	w.run(2 * time.Second) // the time is learned
	before := len(w.eventsNamed("copy started"))
	w.run(8 * time.Second)
	copies := len(w.eventsNamed("copy started"))
	t.Logf("%d copies until the time is learned, %d later", before, copies-before)
	is.True(copies-before <= 4) // of 400
	is.Equal(w.completed(), 101)
	w.checkInvariants()
}
