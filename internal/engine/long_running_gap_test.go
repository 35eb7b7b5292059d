package engine

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// maxGap is the longest time for which a long-running task may be without a run while there is capacity
// for it: 6 s to restart it, and 3 s of tolerance.
const maxGap = 9 * time.Second

// gapRecorder measures how long the tasks of a long-running job are without a run on a reachable host.
type gapRecorder struct {
	w        *world
	job      string
	since    []time.Time // when each task was last seen running, or submitted
	longest  time.Duration
	longestI int
}

// recordGaps submits a long-running job and checks its tasks from then on.
func (w *world) recordGaps(id string, rules catalog.Rules, s spec.Step) *gapRecorder {
	w.submit(id, rules, s)
	r := &gapRecorder{w: w, job: id, since: make([]time.Time, s.Count)}
	for i := range r.since {
		r.since[i] = w.now()
	}
	r.check()
	return r
}

const gapCheckInterval = 50 * time.Millisecond

func (r *gapRecorder) check() {
	now := r.w.now()
	for _, h := range r.w.fleet.Hosts() {
		for _, run := range h.Running() {
			if h.Reachable() && run.Task.Job == r.job {
				r.since[run.Task.Index] = now
			}
		}
	}
	for i, since := range r.since {
		if gap := now.Sub(since); gap > r.longest {
			r.longest, r.longestI = gap, i
		}
	}
	r.w.after(gapCheckInterval, r.check)
}

// missing returns the number of tasks without a run.
func (r *gapRecorder) missing() (n int) {
	for _, since := range r.since {
		if r.w.now().Sub(since) > gapCheckInterval {
			n++
		}
	}
	return n
}

func (r *gapRecorder) mustStayBelow(t *testing.T, limit time.Duration) {
	t.Helper()
	t.Logf("%s: longest gap %v (task %d), %d without a run at the end", r.job, r.longest, r.longestI, r.missing())
	if r.longest > limit || r.missing() > 0 {
		t.Errorf("%s: task %d was without a run for %v, limit %v; %d without a run at the end", r.job, r.longestI, r.longest, limit, r.missing())
	}
}

// TestLongRunningTaskWaitsBehindExpiredJobs guards against a long-running job that counts as expired a few
// seconds after its acceptance: a task that lost its host then waits behind the work of all other jobs.
func TestLongRunningTaskWaitsBehindExpiredJobs(t *testing.T) {
	for name, rules := range map[string]catalog.Rules{
		"no target": {Priority: 1},
		"target":    {Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 2500},
	} {
		t.Run(name, func(t *testing.T) {
			w := idleWorld(t, 4)
			r := w.recordGaps("web", rules, longRunningStep(8, 6, 4))
			w.run(20 * time.Second)
			for i := range 400 {
				w.after(time.Duration(i)*50*time.Millisecond, func() {
					for k := range 3 {
						w.submit(fmt.Sprint("short", i, "-", k), catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 1000}, step(2, 6, 10, 500))
					}
				})
			}
			w.after(3*time.Second, func() { w.loseHost("h01") })
			w.run(20 * time.Second)
			w.checkInvariants()
			r.mustStayBelow(t, maxGap)
		})
	}
}

// loseHost ends a host for good and removes it from the platform's list.
func (w *world) loseHost(id host.ID) {
	w.host(id).Crash()
	w.host(id).SetListed(false)
	w.deliver(w.engine, func() { w.engine.DropHost(id, w.now()) })
}

// The mixed load runs on hosts of 32 cores, in three queues of which the policy service permits a share of
// the hosts: urgent jobs of short tasks, less urgent jobs of wider tasks, and long-running jobs whose
// queries take more than half a second.
const (
	mixedHosts  = 84
	urgentKind  = "urgent"
	batchKind   = "batch"
	lastingKind = "lasting"
)

var (
	urgentRules = catalog.Rules{Priority: 0, CriticalPathFactor: 1.5, TargetMillis: 300,
		PolicyQuery: &catalog.PolicyQuery{DecideMillis: 13, PerHostMillis: 0.18, ValidMillis: 2000}}
	batchRules = catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000,
		PolicyQuery: &catalog.PolicyQuery{DecideMillis: 150, PerHostMillis: 2.2, ValidMillis: 2000}}
	lastingRules = catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 2500,
		PolicyQuery: &catalog.PolicyQuery{DecideMillis: 560, PerHostMillis: 8, ValidMillis: 2000}}
)

// newMixedLoad submits the load for a duration; batch is the number of batch jobs a second.
func newMixedLoad(t testing.TB, seed uint64, batch float64, d time.Duration) *world {
	w := newWorld(t, seed)
	w.members = nil
	for i := range 14 {
		w.members = append(w.members, fmt.Sprintf("m%02d", i))
	}
	w.fleet.Add(mixedHosts, "s", size(32, 128))
	w.queueOf = func(id string) string { kind, _, _ := strings.Cut(id, "-"); return kind }
	w.failOver()
	share := map[string]uint32{urgentKind: 70, batchKind: 45, lastingKind: 30}
	w.permitted = func(step spec.StepID, h host.ID) bool {
		f := fnv.New32a()
		fmt.Fprint(f, step, h, seed)
		return f.Sum32()%100 < share[w.queueOf(step.Job)]
	}
	w.policyDelay = func(o QueryOrder) time.Duration {
		return w.jobs[o.Step.Job].Rules.PolicyQuery.QueryDuration(len(o.Hosts))
	}
	rnd := rand.New(rand.NewPCG(seed, 2))
	arrive := func(kind string, perSecond float64, rules catalog.Rules, draw func() spec.Step) {
		n := 0
		for at := time.Duration(0); at < d; at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)) {
			id, s := fmt.Sprintf("%s-%d", kind, n), draw()
			n++
			w.after(at, func() { w.submit(id, rules, s) })
		}
	}
	arrive(urgentKind, 15, urgentRules, func() spec.Step {
		return step(3+rnd.IntN(14), 3+rnd.Int64N(6), 10+rnd.Int64N(10), 300+rnd.Int64N(500))
	})
	arrive(batchKind, batch, batchRules, func() spec.Step {
		s := step(10+rnd.IntN(36), 6+rnd.Int64N(8), 12+rnd.Int64N(24), 2000+rnd.Int64N(3200))
		s.Checkpointing = true
		return s
	})
	return w
}

// TestWideLongRunningJobBesideRefilledHosts guards against long-running tasks that use only what is free
// when the policy service has answered: smaller tasks refill the hosts until then.
func TestWideLongRunningJobBesideRefilledHosts(t *testing.T) {
	for name, c := range map[string]struct {
		rate  float64 // batch jobs per second
		seed  uint64
		count int
		cores int64
		limit int // tasks per host; zero for no limit
	}{
		"half a host":                     {1.6, 1, 17, 15, 0},
		"half a host, one per host":       {1.4, 6, 17, 15, 1},
		"a third of a host, one per host": {1.4, 1, 24, 9, 1},
		"a third of a host":               {1.7, 5, 24, 9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newMixedLoad(t, c.seed, c.rate, 60*time.Second)
			w.run(12 * time.Second)
			s := longRunningStep(c.count, c.cores, 19)
			s.MaxPerHost = c.limit
			wide := w.recordGaps(lastingKind+"-wide", lastingRules, s)
			w.run(20 * time.Second)
			w.checkInvariants()
			wide.mustStayBelow(t, maxGap)
		})
	}
}

// TestLongRunningTaskWaitsForAHostThatItWasNotOn guards against a long-running task that had no run when the
// holder changed, and waits until the leases of all hosts that do not report to the next holder are over:
// any of them might run it.
func TestLongRunningTaskWaitsForAHostThatItWasNotOn(t *testing.T) {
	for name, loseRun := range map[string]func(w *world) *gapRecorder{
		"its host drained and left": func(w *world) *gapRecorder {
			r := w.recordGaps("web", lastingRules, onePerHost(4))
			w.run(10 * time.Second)
			w.policyDelay = func(QueryOrder) time.Duration { return 5 * time.Second }
			w.host("h00").Drain(time.Minute)
			w.run(time.Second) // the run is stopped
			w.host("h00").Decommission()
			w.run(time.Second) // the policy service has not answered yet
			return r
		},
		"its host drained and vanished": func(w *world) *gapRecorder {
			r := w.recordGaps("web", lastingRules, onePerHost(4))
			w.run(10 * time.Second)
			w.policyDelay = func(QueryOrder) time.Duration { return 5 * time.Second }
			w.host("h00").Drain(time.Minute)
			w.run(time.Second) // the run is stopped
			w.host("h00").SetDisconnected(true)
			return r
		},
		"never started": func(w *world) *gapRecorder {
			w.run(10 * time.Second)
			r := w.recordGaps("web", lastingRules, onePerHost(4))
			w.run(300 * time.Millisecond)
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 7)
			w.followsHosts = true
			regularDelay := func(o QueryOrder) time.Duration { return lastingRules.PolicyQuery.QueryDuration(len(o.Hosts)) }
			w.policyDelay = regularDelay
			w.fleet.Add(8, "s", size(32, 128))
			w.failOver()
			r := loseRun(w)
			w.host("h07").SetDisconnected(true)
			w.paused = true // the previous holder gives no more orders
			w.run(100 * time.Millisecond)
			w.paused, w.policyDelay = false, regularDelay
			w.failOver()
			w.run(20 * time.Second)
			w.checkInvariants()
			r.mustStayBelow(t, maxGap)
		})
	}
}

// onePerHost returns a step of long-running tasks on as many hosts.
func onePerHost(count int) spec.Step {
	s := longRunningStep(count, 15, 19)
	s.MaxPerHost = 1
	return s
}

// TestLongRunningTaskWaitsForFullPermittedHosts guards against a task that waits for the hosts that are known
// to be permitted, although long-running tasks of other jobs fill them, and is not queried elsewhere.
func TestLongRunningTaskWaitsForFullPermittedHosts(t *testing.T) {
	w := newWorld(t, 7)
	w.fleet.Add(40, "s", size(32, 128))
	w.permitted = func(step spec.StepID, h host.ID) bool {
		return step.Job == "web" || w.engine.jobs["web"].groups[0].policy.permission[w.engine.hosts[h]]
	}
	w.followsHosts = true
	w.failOver()
	r := w.recordGaps("web", lastingRules, onePerHost(3))
	w.run(2 * time.Second)
	fill := longRunningStep(40, 16, 19)
	fill.MaxPerHost = 2
	w.submit("fill", lastingRules, fill)
	w.run(10 * time.Second)
	w.host(w.engine.jobs["web"].groups[0].tasks[0].cur.placedOn.info.ID).ReplaceIncarnation()
	w.run(20 * time.Second)
	w.checkInvariants()
	r.mustStayBelow(t, maxGap)
}

// TestStoppedLongRunningRunCountsAsEndless guards against capacity that a stopped long-running run is about to
// free, and that nothing reserves as the run seems to have no end.
func TestStoppedLongRunningRunCountsAsEndless(t *testing.T) {
	w := idleWorld(t, 1)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 60, 19))
	w.run(time.Second)
	h := w.engine.hosts["h00"]
	soon := w.now().Add(time.Second)
	before := h.freeAt(soon, w.now())
	w.engine.requestStop(w.engine.jobs["web"].groups[0].tasks[0].cur, "test")
	if after := h.freeAt(soon, w.now()); before != size(4, 109) || after != size(64, 128) {
		t.Errorf("free in a second: %v before the stop is requested, %v after", before, after)
	}
}
