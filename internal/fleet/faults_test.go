package fleet

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// TestMain sets a fixed seed for the random tests, so that their results are
// reproducible; -rapid.seed selects another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// network breaks or restores the connection to a worker, or its entry in the host list.
func (s *simulation) network(o op, w string) {
	sim := s.b.sim
	switch o {
	case opDisconnect:
		sim.Cut(s.holder.cfg.Name, w, workersim.DropRequest)
	case opDropReplies:
		sim.Cut(s.holder.cfg.Name, w, workersim.DropReply)
	case opDisconnectNext:
		sim.Cut(fmt.Sprintf("m%d", s.members+1), w, workersim.DropRequest)
	case opDropNextReplies:
		sim.Cut(fmt.Sprintf("m%d", s.members+1), w, workersim.DropReply)
	case opSlow:
		sim.Worker(w).SetFaults(workersim.Faults{Delay: 2500 * time.Millisecond})
	case opHeal:
		s.heal()
	case opUnlist, opRelist:
		s.b.mu.Lock()
		defer s.b.mu.Unlock()
		hosts := unlisted(s.b.hosts, w)
		if o == opRelist {
			hosts = append(hosts, s.b.all[w])
		}
		s.b.hosts = hosts
	}
}

// heal removes all faults.
func (s *simulation) heal() {
	s.resumeAll()
	for i := range simWorkers {
		w := fmt.Sprintf("w%d", i)
		s.b.sim.Worker(w).SetFaults(workersim.Faults{})
		for n := range s.members + 1 {
			s.b.sim.Cut(fmt.Sprintf("m%d", n+1), w, workersim.NetworkOK)
		}
		s.network(opRelist, w)
	}
	s.workload.mu.Lock()
	s.workload.unavailable = false
	s.workload.mu.Unlock()
}

// runSimulation carries out the actions and returns every violation: those found by
// the checker, and tasks that do not run exactly once two minutes after all faults
// were removed.
func runSimulation(t *testing.T, f fault, actions []action) []string {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, simWorkers)
		s := newSimulation(b, f)
		ctx, cancel := context.WithCancel(context.Background())
		s.join(func(t *hold.Acquisition) { t.NeverHeld = true })
		go s.workload.run(ctx)
		time.Sleep(20 * time.Second)
		for _, a := range actions {
			s.do(a)
		}
		s.heal()
		time.Sleep(2 * time.Minute)
		violations = s.collectViolations()
		cancel()
		<-s.workload.done
		for _, m := range append(s.old, s.holder) {
			m.stop()
		}
	})
	return violations
}

func (s *simulation) collectViolations() []string {
	s.b.sim.Settle()
	out := s.violations
	for _, v := range s.b.checker.Violations(time.Now()) {
		out = append(out, fmt.Sprintf("%s on %s: %s", v.Rule, v.On, v.Detail))
	}
	running := map[int]int{}
	for i := range simWorkers {
		for _, r := range s.b.sim.Worker(fmt.Sprintf("w%d", i)).Runs() {
			if r.State == worker.StateRunning && r.Task.Job == driverJob {
				running[r.Task.Index]++
			}
		}
	}
	for i := range simTasks {
		if running[i] != 1 {
			out = append(out, fmt.Sprintf("task %d runs %d times at the end", i, running[i]))
		}
	}
	return out
}

const second = time.Second

// faultTable lists single faults and combinations of two or more, by interface.
var faultTable = []struct {
	name    string
	actions []action
}{
	{"nothing", nil},
	{"holder killed", []action{{opKill, 0, 0}}},
	{"holder killed twice", []action{{opKill, 0, 2 * second}, {opKill, 0, 0}}},
	{"holder paused in an order, resumed after the failover", []action{
		{opPause, 0, 6 * second}, {opFailover, 0, 3 * second}, {opResume, 0, 0}}},
	{"holder paused in an order with starts, resumed after the failover", []action{
		{opRestartWorker, 0, 0}, {opPause, 0, 20 * second}, {opFailover, 0, 3 * second}, {opResume, 0, 0}}},
	{"holder paused, resumed after failover, worker disconnected from the new one", []action{
		{opPause, 0, 6 * second}, {opFailover, 0, 0}, {opDisconnect, 1, 20 * second}, {opResume, 0, 20 * second}}},
	{"holder paused and resumed without a failover", []action{{opPause, 0, 40 * second}, {opResume, 0, 0}}},
	{"replies to orders lost", []action{{opDropReplies, 0, 10 * second}, {opHeal, 0, 0}}},
	{"replies to orders lost, then killed", []action{{opDropReplies, 0, 3 * second}, {opKill, 0, 0}}},
	{"replies to starts lost", []action{{opRestartWorker, 0, 0}, {opDropReplies, 1, 30 * second}, {opHeal, 0, 0}}},
	{"replies to claims lost", []action{{opDropNextReplies, 0, 0}, {opDropNextReplies, 1, 0}, {opKill, 0, 20 * second}, {opHeal, 0, 0}}},
	{"worker not reached by the new holder", []action{{opDisconnectNext, 1, 0}, {opFailover, 0, 40 * second}, {opHeal, 0, 0}}},
	{"holder dead in an outage, delegate renews", []action{{opDelegate, 0, 0}}},
	{"holder disconnected from a worker that a delegate unknown to it renews", []action{{opDisconnect, 1, 0}, {opDelegateForLive, 0, 0}}},
	{"delegate renews a worker that the new holder never reached", []action{
		{opDisconnectNext, 0, 0}, {opFailover, 1, 0}, {opDelegateForLive, 0, 0}}},
	{"worker restarted and claimed by a delegate unknown to the holder", []action{
		{opNothing, 0, 60 * second}, {opRestartWorker, 0, 0}, {opPause, 0, second}, {opDelegateForLive, 0, 0}}},
	{"delegate renews, worker not reached by the new holder", []action{{opDisconnectNext, 1, 0}, {opDelegate, 0, 40 * second}, {opHeal, 0, 0}}},
	{"orders arrive late", []action{{opRestartWorker, 0, 0}, {opSlow, 1, 20 * second}, {opHeal, 0, 0}}},
	{"orders arrive late during a failover", []action{{opRestartWorker, 0, 0}, {opSlow, 1, 3 * second}, {opFailover, 0, 0}}},
	{"worker restarted", []action{{opRestartWorker, 0, 0}}},
	{"worker restarted and disconnected", []action{{opRestartWorker, 0, 0}, {opDisconnect, 0, 30 * second}, {opHeal, 0, 0}}},
	{"worker unreachable for less than a lease", []action{{opDisconnect, 0, 10 * second}, {opHeal, 0, 0}}},
	{"worker unreachable for longer than a lease", []action{{opDisconnect, 0, 40 * second}, {opHeal, 0, 0}}},
	{"all workers unreachable", []action{{opDisconnect, 0, 0}, {opDisconnect, 1, 0}, {opDisconnect, 2, 40 * second}, {opHeal, 0, 0}}},
	{"worker unreachable during a failover", []action{{opDisconnect, 0, 5 * second}, {opFailover, 0, 0}, {opDisconnect, 0, 30 * second}, {opHeal, 0, 0}}},
	{"worker not listed during a failover", []action{{opUnlist, 0, 0}, {opFailover, 0, 40 * second}, {opRelist, 0, 0}}},
	{"worker listed late after a failover", []action{{opUnlist, 0, 0}, {opFailover, 0, 8 * second}, {opRelist, 0, 0}}},
	{"planned handover", []action{{opHandover, 0, 0}}},
	{"planned handover with a worker disconnected", []action{{opDisconnect, 0, 3 * second}, {opHandover, 0, 0}}},
	{"planned handover with replies lost", []action{{opRestartWorker, 1, 0}, {opDropReplies, 0, second}, {opHandover, 0, 0}}},
	{"planned handover soon after a failover that missed a worker", []action{
		{opUnlist, 0, 0}, {opKill, 0, 2 * second}, {opHandover, 0, 0}}},
	{"home failover", []action{{opHomeFailover, 0, second}, {opStaleHome, 0, second}}},
	{"home and holder failover", []action{{opHomeFailover, 0, 0}, {opKill, 0, 0}, {opStaleHome, 1, second}}},
	{"home unavailable while a worker restarts", []action{{opHomeUnavailable, 0, 0}, {opRestartWorker, 0, 30 * second}, {opHomeAvailable, 0, 0}}},
	{"handover failed", []action{{opFailedHandover, 0, 0}}},
	{"handover failed, worker restarted", []action{{opFailedHandover, 0, second}, {opRestartWorker, 1, 0}}},
	{"handover failed, replies to starts lost", []action{
		{opRestartWorker, 0, 15 * second}, {opDropReplies, 1, second}, {opFailedHandover, 0, second}, {opHeal, 0, 0}}},
	{"handover failed while a worker is lost and the home unavailable", []action{
		{opHomeUnavailable, 0, 0}, {opDisconnect, 0, 30 * second}, {opFailedHandover, 0, second}, {opHeal, 0, 0}}},
	{"urgent tasks and a gang", []action{{opUrgent, 0, second}, {opGang, 0, second}, {opUrgent, 0, 0}}},
	{"urgent tasks during a failover", []action{{opUrgent, 0, second / 2}, {opFailover, 0, 0}, {opUrgent, 0, second}, {opKill, 0, 0}}},
	{"gang during a failover", []action{{opGang, 0, 0}, {opFailover, 0, 0}, {opGang, 0, second / 2}, {opHandover, 0, 0}}},
	{"urgent tasks, replies lost", []action{{opDropReplies, 0, 0}, {opUrgent, 0, 4 * second}, {opHeal, 0, 0}}},
	{"authority loss noticed late", []action{{opFailover, 0, second}, {opDropOld, 0, second}, {opFailover, 0, 0}, {opDropOld, 0, 0}}},
}

func TestFaultTable(t *testing.T) {
	for _, c := range faultTable {
		t.Run(c.name, func(t *testing.T) {
			for _, violation := range runSimulation(t, fault{}, c.actions) {
				t.Error(violation)
			}
		})
	}
}

// randomActions returns a generator for the actions of a random simulation.
func randomActions() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Op:     op(rapid.IntRange(0, int(opCount)-1).Draw(t, "op")),
			Worker: rapid.IntRange(0, simWorkers-1).Draw(t, "worker"),
			Wait:   time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * 200 * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 14)
}

// TestRandomSimulations runs random actions in random order.
func TestRandomSimulations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := randomActions().Draw(rt, "actions")
		if violations := runSimulation(t, fault{}, actions); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// injectedFaults are defects that the simulations have to detect.
var injectedFaults = map[string]fault{
	"orders without a real expiry": {corrupt: func(o *worker.Order) { o.Expires += 3_600_000 }},
	"leases not waited out":        {fleet: func(f *Fleet) { f.timings.margin = -f.timings.lease }},
	"authority not checked":        {neverExpires: true},
	"losses declared in an outage": {config: func(c *Config) { c.StoreUp = nil }},
}

// TestPlantedFaultsAreCaught checks that each defect is detected by the fault table
// or by a random simulation.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, f := range injectedFaults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(detectedInTable(t, f) || detectedAtRandom(t, f))
		})
	}
}

func detectedInTable(t *testing.T, f fault) bool {
	for _, c := range faultTable {
		if violations := runSimulation(t, f, c.actions); len(violations) > 0 {
			t.Logf("%s: %s", c.name, violations[0])
			return true
		}
	}
	return false
}

func detectedAtRandom(t *testing.T, f fault) bool {
	for seed := range 300 {
		actions := randomActions().Example(seed)
		if violations := runSimulation(t, f, actions); len(violations) > 0 {
			t.Logf("seed %d: %v: %s", seed, actions, violations[0])
			return true
		}
	}
	return false
}
