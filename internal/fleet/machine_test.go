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

// TestMain fixes the seed of the random tests, so that the verdict is the same
// in every run; -rapid.seed tries others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// network breaks or mends the way to a worker, or its place in the host list.
func (tr *trial) network(o op, w string) {
	sim := tr.b.sim
	switch o {
	case opCut:
		sim.Cut(tr.holder.cfg.Name, w, workersim.CutBefore)
	case opCutAnswers:
		sim.Cut(tr.holder.cfg.Name, w, workersim.CutAnswer)
	case opCutNext:
		sim.Cut(fmt.Sprintf("m%d", tr.members+1), w, workersim.CutBefore)
	case opCutNextAnswers:
		sim.Cut(fmt.Sprintf("m%d", tr.members+1), w, workersim.CutAnswer)
	case opSlow:
		sim.Worker(w).SetFaults(workersim.Faults{Slow: 2500 * time.Millisecond})
	case opHeal:
		tr.heal()
	case opUnlist, opRelist:
		tr.b.mu.Lock()
		defer tr.b.mu.Unlock()
		hosts := unlisted(tr.b.hosts, w)
		if o == opRelist {
			hosts = append(hosts, tr.b.all[w])
		}
		tr.b.hosts = hosts
	}
}

// heal mends everything.
func (tr *trial) heal() {
	tr.resumeAll()
	for i := range trialWorkers {
		w := fmt.Sprintf("w%d", i)
		tr.b.sim.Worker(w).SetFaults(workersim.Faults{})
		for n := range tr.members + 1 {
			tr.b.sim.Cut(fmt.Sprintf("m%d", n+1), w, workersim.CutNone)
		}
		tr.network(opRelist, w)
	}
	tr.d.mu.Lock()
	tr.d.deaf = false
	tr.d.mu.Unlock()
}

// runTrial carries the actions out and returns every breach: what the judge
// saw, and tasks that do not run exactly once a while after all was mended.
func runTrial(t *testing.T, f fault, actions []action) []string {
	t.Helper()
	var breaches []string
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, trialWorkers)
		tr := newTrial(b, f)
		ctx, cancel := context.WithCancel(context.Background())
		tr.join(func(t *hold.Takeover) { t.Fresh = true })
		go tr.d.run(ctx)
		time.Sleep(20 * time.Second)
		for _, a := range actions {
			tr.do(a)
		}
		tr.heal()
		time.Sleep(2 * time.Minute)
		breaches = tr.verdict()
		cancel()
		<-tr.d.done
		for _, m := range append(tr.old, tr.holder) {
			m.stop()
		}
	})
	return breaches
}

func (tr *trial) verdict() []string {
	tr.b.sim.Settle()
	out := tr.breaches
	for _, v := range tr.b.judge.Violations(time.Now()) {
		out = append(out, fmt.Sprintf("%s on %s: %s", v.Rule, v.On, v.Detail))
	}
	running := map[int]int{}
	for i := range trialWorkers {
		for _, r := range tr.b.sim.Worker(fmt.Sprintf("w%d", i)).Runs() {
			if r.State == worker.StateRunning && r.Task.Job == driverJob {
				running[r.Task.Index]++
			}
		}
	}
	for i := range trialTasks {
		if running[i] != 1 {
			out = append(out, fmt.Sprintf("task %d runs %d times in the end", i, running[i]))
		}
	}
	return out
}

const second = time.Second

// faultTable is what may happen, one thing or two together, by interface.
var faultTable = []struct {
	name    string
	actions []action
}{
	{"nothing", nil},
	{"holder killed", []action{{opKill, 0, 0}}},
	{"holder killed twice", []action{{opKill, 0, 2 * second}, {opKill, 0, 0}}},
	{"holder paused in an order, resumed after the takeover", []action{
		{opPause, 0, 6 * second}, {opTakeover, 0, 3 * second}, {opResume, 0, 0}}},
	{"holder paused in an order with starts, resumed after the takeover", []action{
		{opRestartWorker, 0, 0}, {opPause, 0, 20 * second}, {opTakeover, 0, 3 * second}, {opResume, 0, 0}}},
	{"holder paused, resumed after takeover, worker cut from the new one", []action{
		{opPause, 0, 6 * second}, {opTakeover, 0, 0}, {opCut, 1, 20 * second}, {opResume, 0, 20 * second}}},
	{"holder paused and resumed without a takeover", []action{{opPause, 0, 40 * second}, {opResume, 0, 0}}},
	{"order answers lost", []action{{opCutAnswers, 0, 10 * second}, {opHeal, 0, 0}}},
	{"order answers lost, then killed", []action{{opCutAnswers, 0, 3 * second}, {opKill, 0, 0}}},
	{"answers to starts lost", []action{{opRestartWorker, 0, 0}, {opCutAnswers, 1, 30 * second}, {opHeal, 0, 0}}},
	{"claim answers lost", []action{{opCutNextAnswers, 0, 0}, {opCutNextAnswers, 1, 0}, {opKill, 0, 20 * second}, {opHeal, 0, 0}}},
	{"worker not reached by the new holder", []action{{opCutNext, 1, 0}, {opTakeover, 0, 40 * second}, {opHeal, 0, 0}}},
	{"holder dead in an outage, deputy renews", []action{{opDeputy, 0, 0}}},
	{"holder cut from a worker that an unseen deputy renews", []action{{opCut, 1, 0}, {opDeputyOfLive, 0, 0}}},
	{"deputy renews a worker that the new holder never reached", []action{
		{opCutNext, 0, 0}, {opTakeover, 1, 0}, {opDeputyOfLive, 0, 0}}},
	{"worker restarted and claimed by an unseen deputy", []action{
		{opNothing, 0, 60 * second}, {opRestartWorker, 0, 0}, {opPause, 0, second}, {opDeputyOfLive, 0, 0}}},
	{"deputy renews, worker not reached by the new holder", []action{{opCutNext, 1, 0}, {opDeputy, 0, 40 * second}, {opHeal, 0, 0}}},
	{"orders arrive late", []action{{opRestartWorker, 0, 0}, {opSlow, 1, 20 * second}, {opHeal, 0, 0}}},
	{"orders arrive late over a takeover", []action{{opRestartWorker, 0, 0}, {opSlow, 1, 3 * second}, {opTakeover, 0, 0}}},
	{"worker restarted", []action{{opRestartWorker, 0, 0}}},
	{"worker restarted and cut", []action{{opRestartWorker, 0, 0}, {opCut, 0, 30 * second}, {opHeal, 0, 0}}},
	{"worker unreachable for less than a lease", []action{{opCut, 0, 10 * second}, {opHeal, 0, 0}}},
	{"worker unreachable for longer than a lease", []action{{opCut, 0, 40 * second}, {opHeal, 0, 0}}},
	{"all workers unreachable", []action{{opCut, 0, 0}, {opCut, 1, 0}, {opCut, 2, 40 * second}, {opHeal, 0, 0}}},
	{"worker unreachable over a takeover", []action{{opCut, 0, 5 * second}, {opTakeover, 0, 0}, {opCut, 0, 30 * second}, {opHeal, 0, 0}}},
	{"worker not listed over a takeover", []action{{opUnlist, 0, 0}, {opTakeover, 0, 40 * second}, {opRelist, 0, 0}}},
	{"worker listed late after a takeover", []action{{opUnlist, 0, 0}, {opTakeover, 0, 8 * second}, {opRelist, 0, 0}}},
	{"planned hand-over", []action{{opHandOver, 0, 0}}},
	{"planned hand-over with a worker cut", []action{{opCut, 0, 3 * second}, {opHandOver, 0, 0}}},
	{"planned hand-over with answers lost", []action{{opRestartWorker, 1, 0}, {opCutAnswers, 0, second}, {opHandOver, 0, 0}}},
	{"planned hand-over soon after a takeover that missed a worker", []action{
		{opUnlist, 0, 0}, {opKill, 0, 2 * second}, {opHandOver, 0, 0}}},
	{"home taken over", []action{{opHomeTakeover, 0, second}, {opStaleHome, 0, second}}},
	{"home and holder taken over", []action{{opHomeTakeover, 0, 0}, {opKill, 0, 0}, {opStaleHome, 1, second}}},
	{"home deaf while a worker restarts", []action{{opDeaf, 0, 0}, {opRestartWorker, 0, 30 * second}, {opHearing, 0, 0}}},
	{"hand-over given back", []action{{opGiveBack, 0, 0}}},
	{"hand-over given back, worker restarted", []action{{opGiveBack, 0, second}, {opRestartWorker, 1, 0}}},
	{"hand-over given back, answers to starts lost", []action{
		{opRestartWorker, 0, 15 * second}, {opCutAnswers, 1, second}, {opGiveBack, 0, second}, {opHeal, 0, 0}}},
	{"hand-over given back while a worker is lost and the home deaf", []action{
		{opDeaf, 0, 0}, {opCut, 0, 30 * second}, {opGiveBack, 0, second}, {opHeal, 0, 0}}},
	{"urgent work and a gang", []action{{opUrgent, 0, second}, {opGang, 0, second}, {opUrgent, 0, 0}}},
	{"urgent work over a takeover", []action{{opUrgent, 0, second / 2}, {opTakeover, 0, 0}, {opUrgent, 0, second}, {opKill, 0, 0}}},
	{"gang over a takeover", []action{{opGang, 0, 0}, {opTakeover, 0, 0}, {opGang, 0, second / 2}, {opHandOver, 0, 0}}},
	{"urgent work, answers lost", []action{{opCutAnswers, 0, 0}, {opUrgent, 0, 4 * second}, {opHeal, 0, 0}}},
	{"right lost late", []action{{opTakeover, 0, second}, {opDropOld, 0, second}, {opTakeover, 0, 0}, {opDropOld, 0, 0}}},
}

func TestFaultTable(t *testing.T) {
	for _, c := range faultTable {
		t.Run(c.name, func(t *testing.T) {
			for _, breach := range runTrial(t, fault{}, c.actions) {
				t.Error(breach)
			}
		})
	}
}

// anyActions draws what happens in a random trial.
func anyActions() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Op:     op(rapid.IntRange(0, int(opCount)-1).Draw(t, "op")),
			Worker: rapid.IntRange(0, trialWorkers-1).Draw(t, "worker"),
			Wait:   time.Duration(rapid.IntRange(0, 60).Draw(t, "wait")) * 200 * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 14)
}

// TestRandomTrials lets anything happen in any order.
func TestRandomTrials(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := anyActions().Draw(rt, "actions")
		if breaches := runTrial(t, fault{}, actions); len(breaches) > 0 {
			rt.Fatalf("%v", breaches)
		}
	})
}

// plantedFaults are mistakes that the trials have to catch.
var plantedFaults = map[string]fault{
	"orders without a real expiry": {spoil: func(o *worker.Order) { o.Expires += 3_600_000 }},
	"leases not waited out":        {fleet: func(f *Fleet) { f.times.margin = -f.times.lease }},
	"right not checked":            {eternal: true},
	"losses declared in an outage": {config: func(c *Config) { c.StoreUp = nil }},
}

// TestPlantedFaultsAreCaught: each mistake shows in the fault table or in a
// random trial.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, f := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(caughtInTable(t, f) || caughtAtRandom(t, f))
		})
	}
}

func caughtInTable(t *testing.T, f fault) bool {
	for _, c := range faultTable {
		if breaches := runTrial(t, f, c.actions); len(breaches) > 0 {
			t.Logf("%s: %s", c.name, breaches[0])
			return true
		}
	}
	return false
}

func caughtAtRandom(t *testing.T, f fault) bool {
	for seed := range 300 {
		actions := anyActions().Example(seed)
		if breaches := runTrial(t, f, actions); len(breaches) > 0 {
			t.Logf("seed %d: %v: %s", seed, actions, breaches[0])
			return true
		}
	}
	return false
}
