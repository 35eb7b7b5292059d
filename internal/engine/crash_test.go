package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Jobs of one task each crash every host that starts the task, some ten milliseconds after the start.
// The tests guard against attributing the loss of a run to its host alone: the
// task went back to the waiting ones within a millisecond of the loss, nothing was counted by the holder
// or in the store, and of 48 hosts two were lost per second in the end, with all that ran there, while
// urgent work was late.

// crashingJob is the name prefix of jobs whose first task crashes each host that starts it,
// allCrashingJob that of jobs all of whose tasks do.
const (
	crashingJob    = "culprit-"
	allCrashingJob = "culprits-"
	// crashesAfter is how soon after its start such a task crashes its host.
	crashesAfter = 10 * time.Millisecond
)

// crashWorld has hosts that restart after a crash, in racks of four.
func crashWorld(t testing.TB, seed uint64, hosts int) *world {
	w := newWorld(t, seed)
	w.followsHosts = true
	w.fleet.Add(hosts, "s", size(64, 128))
	w.fleet.CrashAfter = func(task spec.StepTask) time.Duration {
		if strings.HasPrefix(task.Job, allCrashingJob) || strings.HasPrefix(task.Job, crashingJob) && task.Index == 0 {
			return crashesAfter
		}
		return 0
	}
	w.failOver()
	w.run(time.Second)
	return w
}

// submitUnrelated submits jobs that crash nothing for a while: two urgent tasks of 6 cores every 50 ms,
// and ten of 4 cores that take longer every 500 ms. They use about a third of the hosts.
func (w *world) submitUnrelated(d time.Duration) {
	for at, n := time.Duration(0), 0; at < d; at, n = at+50*time.Millisecond, n+1 {
		w.after(at, func() {
			w.submit(fmt.Sprint("urgent-", n), catalog.Rules{}, step(2, 6, 10, 640))
			if n%10 == 0 {
				w.submit(fmt.Sprint("survey-", n), catalog.Rules{Priority: 2}, step(10, 4, 7, 2200))
			}
		})
	}
}

// unrelatedNotCompleted lists the jobs without crashing tasks that were not completed.
func (w *world) unrelatedNotCompleted() (lost []string) {
	for id := range w.jobs {
		if !strings.HasPrefix(id, "culprit") && w.reported[id] != record.StateCompleted {
			lost = append(lost, id+" "+string(w.reported[id]))
		}
	}
	return lost
}

// TestTasksThatCrashTheirHosts checks that a job that crashes its hosts is failed after few hosts, and
// no other job is.
func TestTasksThatCrashTheirHosts(t *testing.T) {
	for name, tc := range crashCases() {
		t.Run(name, func(t *testing.T) { tc.execute(t) })
	}
}

// crashCases are jobs that crash their hosts, by their kind and by what happens meanwhile.
func crashCases() map[string]crashCase {
	single := step(1, 6, 10, 640)
	gang := step(6, 18, 26, 4000)
	gang.Gang = true
	service := step(3, 6, 10, 0)
	service.LongRunning = true
	saving := step(4, 4, 7, 3000)
	saving.Checkpointing = true
	return map[string]crashCase{
		"one task":                {id: crashingJob, steps: []spec.Step{single}, maxHostsLost: 3},
		"a task of many":          {id: crashingJob, steps: []spec.Step{step(12, 6, 10, 2000)}, maxHostsLost: 3},
		"all tasks of a job":      {id: allCrashingJob, steps: []spec.Step{step(8, 6, 10, 2000)}, maxHostsLost: 6},
		"a member of a gang":      {id: crashingJob, steps: []spec.Step{gang}, maxHostsLost: 3},
		"a long-running task":     {id: crashingJob, steps: []spec.Step{service}, maxHostsLost: 3},
		"a checkpointing task":    {id: crashingJob, steps: []spec.Step{saving}, maxHostsLost: 3},
		"with a placement policy": {id: crashingJob, steps: []spec.Step{single}, rules: catalog.Rules{PolicyQuery: &catalog.PolicyQuery{DecideMillis: 6, ValidMillis: 1500}}, maxHostsLost: 3},
		"orders come late":        {id: crashingJob, steps: []spec.Step{single}, inject: func(w *world) { w.faults = faults{delayedRequest: 0.3} }, maxHostsLost: 3},
		"holders change": {id: crashingJob, steps: []spec.Step{single}, maxHostsLost: 4, inject: func(w *world) {
			for i := 1; i < 8; i++ {
				w.after(time.Duration(i)*1700*time.Millisecond, w.failOver)
			}
		}},
		"holders change, unresponsive hosts in the roster": {id: crashingJob, steps: []spec.Step{single}, maxHostsLost: 4, inject: func(w *world) {
			for i := 1; i < 8; i++ {
				w.after(time.Duration(i)*3300*time.Millisecond, w.failOver)
			}
		}},
		"the store is unavailable": {id: crashingJob, steps: []spec.Step{single}, maxHostsLost: 3, inject: func(w *world) {
			w.after(200*time.Millisecond, func() { w.storeUnavailable = true })
			w.after(6*time.Second, func() { w.storeUnavailable = false; w.failOver() })
		}},
	}
}

// TestCrashingJobWithLostAnswers is the same while a fifth of the requests and a third of the answers
// get lost.
func TestCrashingJobWithLostAnswers(t *testing.T) {
	crashCase{
		id: crashingJob, steps: []spec.Step{step(1, 6, 10, 640)}, maxHostsLost: 3,
		inject: func(w *world) { w.faults = faults{lostRequest: 0.2, lostReply: 0.3} },
	}.execute(t)
}

// crashCase is a job that crashes its hosts, and what else happens while it is started.
type crashCase struct {
	id           string
	steps        []spec.Step
	rules        catalog.Rules
	inject       func(w *world)
	maxHostsLost int // hosts that the job may cost
	// keepsID has the hosts restart under the same ids.
	keepsID bool
}

func (tc crashCase) execute(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 7, 16)
	w.fleet.KeepID = tc.keepsID
	w.submitUnrelated(20 * time.Second)
	w.run(2 * time.Second)
	w.submit(tc.id+"0", tc.rules, tc.steps...)
	if tc.inject != nil {
		tc.inject(w)
	}
	w.run(30 * time.Second)
	w.faults = faults{}
	w.run(30 * time.Second)
	w.checkInvariants()
	lost := w.fleet.Checker().HostsCrashed()
	t.Logf("%d hosts lost", lost)
	is.Equal(w.reported[tc.id+"0"], record.StateFailed)
	is.Equal(w.unrelatedNotCompleted(), nil)
	is.True(lost <= tc.maxHostsLost)
}

// TestManyTasksThatCrashTheirHosts checks that twenty such jobs at once cost few hosts each, and that no
// unrelated job fails.
func TestManyTasksThatCrashTheirHosts(t *testing.T) {
	is := is.New(t)
	const jobs = 20
	w := crashWorld(t, 8, 48)
	w.submitUnrelated(20 * time.Second)
	w.run(2 * time.Second)
	for i := range jobs {
		w.submit(fmt.Sprint(crashingJob, i), catalog.Rules{}, step(2, 6, 10, 640))
	}
	w.run(60 * time.Second)
	w.checkInvariants()
	t.Logf("%d hosts lost to %d jobs", w.fleet.Checker().HostsCrashed(), jobs)
	for i := range jobs {
		is.Equal(w.reported[fmt.Sprint(crashingJob, i)], record.StateFailed)
	}
	is.Equal(w.unrelatedNotCompleted(), nil)
	is.True(w.fleet.Checker().HostsCrashed() <= 3*jobs)
}

// TestHostsThatCrashByThemselves checks that no job is failed for hosts that crash, lose power, are
// disconnected or leave without its doing, even if that happens to it repeatedly.
func TestHostsThatCrashByThemselves(t *testing.T) {
	each := func(every, d time.Duration, inject func(w *world, n int)) func(w *world) {
		return func(w *world) {
			n := 0
			for at := every; at < d; at += every {
				w.after(at, func() { inject(w, n); n++ })
			}
		}
	}
	rack := func(w *world, n int, inject func(i int)) {
		for i := range 4 {
			inject(4*(n%4) + i)
		}
	}
	for name, inject := range map[string]func(w *world){
		"one host after the other": each(700*time.Millisecond, 20*time.Second, func(w *world, n int) { w.crashAt(n % 16) }),
		"rack after rack": each(4*time.Second, 20*time.Second, func(w *world, n int) {
			rack(w, n, w.crashAt)
		}),
		"racks disconnected for a while": each(9*time.Second, 30*time.Second, func(w *world, n int) {
			rack(w, n, func(i int) {
				h := w.fleet.Hosts()[i]
				h.SetDisconnected(true)
				w.after(8*time.Second, func() { h.SetDisconnected(false) })
			})
		}),
		"all at once": each(8*time.Second, 20*time.Second, func(w *world, _ int) {
			for i := range 16 {
				w.crashAt(i)
			}
		}),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 9, 16)
			w.submitUnrelated(20 * time.Second)
			service := step(6, 6, 10, 0)
			service.LongRunning = true
			w.submit("service", catalog.Rules{}, service)
			inject(w)
			w.run(70 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["service"], record.StateRunning)
			w.engine.Cancel("service", w.now())
			delete(w.jobs, "service")
			is.Equal(w.unrelatedNotCompleted(), nil)
		})
	}
}

// crashAt crashes the current incarnation of the i-th of the first hosts.
func (w *world) crashAt(i int) {
	name := fmt.Sprintf("h%02d", i)
	for _, h := range w.fleet.Hosts() {
		id, _, _ := strings.Cut(string(h.Info().ID), ".")
		if id == name && h.Reachable() {
			h.Restart()
		}
	}
}

// TestDeparturesAreNotCrashes checks that nothing is attributed to the tasks of a host that drains, is
// taken down for maintenance, or is disconnected and returns.
func TestDeparturesAreNotCrashes(t *testing.T) {
	for name, inject := range map[string]func(w *world){
		"drained":                func(w *world) { w.host("h00").Drain(0); w.run(500 * time.Millisecond); w.crashAt(0) },
		"cordoned":               func(w *world) { w.engine.hosts["h00"].cordoned = true; w.crashAt(0) },
		"disconnected, listed":   func(w *world) { w.disconnectFor("h00", 9*time.Second, true) },
		"disconnected, unlisted": func(w *world) { w.disconnectFor("h00", 9*time.Second, false) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := crashWorld(t, 10, 3)
			long := step(6, 20, 10, 60000)
			w.submit("a", catalog.Rules{}, long)
			w.run(time.Second)
			inject(w)
			w.run(15 * time.Second)
			w.checkInvariants()
			is.Equal(w.engine.jobs["a"].groups[0].suspicion, crashloop.Unsuspected)
			w.run(70 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["a"], record.StateCompleted)
		})
	}
}

// disconnectFor disconnects a host for a while, with or without its entry in the list.
func (w *world) disconnectFor(id host.ID, d time.Duration, listed bool) {
	h := w.host(id)
	h.SetDisconnected(true)
	w.after(4500*time.Millisecond, func() { h.SetListed(listed) })
	w.after(d, func() { h.SetDisconnected(false); h.SetListed(true) })
}

// TestFailedJobStaysFailed checks that a job that was failed for its crashes is reported as failed by
// every later holder, that its record names the code, hosts and runs, and that nothing of it starts
// again.
func TestFailedJobStaysFailed(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 11, 16)
	w.submit(crashingJob+"0", catalog.Rules{}, step(3, 6, 10, 640))
	w.run(12 * time.Second)
	is.Equal(w.reported[crashingJob+"0"], record.StateFailed)
	starts := w.fleet.Checker().Starts()
	rec, err := record.DecodeJob(w.store[record.JobKey(0, crashingJob+"0")])
	is.NoErr(err)
	for _, part := range []string{"5212", "job-crashes-hosts", "2 hosts crashed under it", "under run 1", "under run 2"} {
		is.True(strings.Contains(rec.Why, part)) // the reason names it
	}
	for range 3 {
		w.failOver()
		w.run(12 * time.Second)
	}
	s, known := w.engine.State(crashingJob + "0")
	is.True(known)
	is.Equal(s, record.StateFailed)
	is.Equal(w.fleet.Checker().Starts(), starts)
	w.checkInvariants()
}

// TestStableServiceIsCleared checks that a long-running task is cleared once it has run long enough
// without a crash, and that the next holder finds this in the store.
func TestStableServiceIsCleared(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 12, 8)
	service := step(2, 6, 10, 0)
	service.LongRunning = true
	w.submit("service", catalog.Rules{}, service)
	w.run(4 * time.Second)
	for i, h := range w.fleet.Hosts() {
		if len(h.Running()) > 0 {
			w.crashAt(i)
		}
	}
	w.run(10 * time.Second)
	is.Equal(w.engine.jobs["service"].groups[0].suspicion, crashloop.Suspect)
	w.failOver()
	w.run(10 * time.Second)
	is.Equal(w.engine.jobs["service"].groups[0].suspicion, crashloop.Suspect)
	w.run(crashloop.HistoryResetAfter)
	is.Equal(w.engine.jobs["service"].groups[0].suspicion, crashloop.Unsuspected)
	w.failOver()
	is.Equal(w.engine.jobs["service"].groups[0].suspicion, crashloop.Unsuspected)
	w.checkInvariants()
}

// TestOrdersToEndedIncarnations sends a job's first tasks to hosts that have just ended and restarted.
// Their answers are no evidence against the job. It guards against counting every task of one round as lost
// with such a host, though none had started there: two hosts that restarted while disconnected were then
// enough to fail a job.
func TestOrdersToEndedIncarnations(t *testing.T) {
	for name, keepsID := range map[string]bool{"other ids": false, "their own ids": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5)
			w.fleet.KeepID, w.fleet.RestartDelay = keepsID, 20*time.Millisecond
			w.fleet.Add(12, "s", size(64, 128))
			w.failOver()
			w.run(5 * time.Second) // nothing runs, so the hosts are not polled for seconds
			for i, h := range w.fleet.Hosts() {
				if i%4 == 0 { // one of each rack
					h.RestartAfterPowerLoss()
				} else {
					h.Drain(time.Minute)
				}
			}
			w.engine.SetHosts(w.fleet.Listed(), w.now())
			w.run(100 * time.Millisecond)
			w.submit("job", catalog.Rules{}, step(5, 12, 10, 640))
			w.run(100 * time.Millisecond)
			is.New(t).Equal(w.engine.jobs["job"].groups[0].suspicion, crashloop.Unsuspected)
			w.followsHosts = true
			w.run(20 * time.Second)
			w.checkInvariants()
			is.New(t).Equal(w.unrelatedNotCompleted(), nil)
		})
	}
}
