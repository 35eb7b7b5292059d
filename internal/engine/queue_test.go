package engine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// drawnQueue is a queue of random steps of random accounts, in the order of compareSteps, without hosts.
func drawnQueue(t *rapid.T, accounts, services int) []*group {
	e := New(Config{})
	for s := range services {
		e.poolOf(fmt.Sprint("s", s)).total = size(100, 100)
	}
	var queue []*group
	for i := range rapid.IntRange(0, 40).Draw(t, "jobs") {
		rec := &record.Job{
			ID: fmt.Sprint("job-", i), Account: fmt.Sprint("a", rapid.IntRange(0, accounts-1).Draw(t, "account")),
			Service: fmt.Sprint("s", rapid.IntRange(0, services-1).Draw(t, "service")),
			Rules:   catalog.Rules{Priority: rapid.IntRange(0, 1).Draw(t, "priority")},
			Graph:   spec.Graph{Steps: []spec.Step{step(rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.Int64Range(0, 9).Draw(t, "cores"), 1, 1000)}},
		}
		j := newJob(rec, simulationStart.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "accepted"))*time.Second))
		j.urgency, j.flow = urgency(rapid.IntRange(0, 2).Draw(t, "urgency")), e.flowOf(j)
		queue = append(queue, j.groups...)
	}
	for _, f := range e.flows {
		f.used, f.weight = size(rapid.Int64Range(0, 30).Draw(t, "used"), 0), rapid.Float64Range(0.5, 4).Draw(t, "weight")
	}
	slices.SortFunc(queue, compareSteps)
	return queue
}

// takeAll returns the steps of a queue in the order in which a pass takes them.
func (o *stepOrder) takeAll(queue []*group, weighted bool) (out []*group) {
	o.start(queue, weighted, simulationStart)
	for g := o.next(); g != nil; g = o.next() {
		out = append(out, g)
	}
	return out
}

// TestOrderWithoutWeightsIsFixed checks that without weights, and with one account alone, a pass takes the
// steps in the order of compareSteps. Otherwise cells without weights would schedule differently.
func TestOrderWithoutWeightsIsFixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weighted := rapid.Bool().Draw(t, "weighted")
		accounts := 5
		if weighted {
			accounts = 1
		}
		queue := drawnQueue(t, accounts, 3)
		if taken := (&stepOrder{limit: maxOrderedSteps}).takeAll(queue, weighted); !slices.Equal(taken, queue) {
			t.Fatalf("taken in the order %v, want %v", stepIDs(taken), stepIDs(queue))
		}
	})
}

func stepIDs(steps []*group) (out []string) {
	for _, g := range steps {
		out = append(out, g.id.String())
	}
	return out
}

// TestOrderWithWeights checks the order between accounts against a search through all accounts for each
// step: expired steps come last, then the priority counts, then the share; steps of one account for one
// service keep the fixed order. The order of a second pass does not depend on the first.
func TestOrderWithWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := drawnQueue(t, 6, 2)
		o := &stepOrder{limit: rapid.IntRange(0, 40).Draw(t, "limit")}
		for pass := range 2 {
			if taken, want := o.takeAll(queue, true), orderBySearch(queue, o.limit); !slices.Equal(taken, want) {
				t.Fatalf("pass %d takes %v, want %v", pass, stepIDs(taken), stepIDs(want))
			}
		}
	})
}

// orderBySearch orders steps as a pass with weights has to, without a heap: the first limit of each priority
// by shares.
func orderBySearch(queue []*group, limit int) (out []*group) {
	claimed := map[*stepFlow]spec.Resources{}
	rest := slices.Clone(queue)
	for len(rest) > 0 {
		n := slices.IndexFunc(rest, func(g *group) bool { return !samePriority(g, rest[0]) })
		if n < 0 {
			n = len(rest)
		}
		priority := slices.Clone(rest[:n])
		rest = rest[n:]
		for range min(limit, n) {
			next := firstByShare(priority, claimed)
			claimed[next.job.flow] = claimed[next.job.flow].Add(next.step.Allocation().Times(int64(next.waiting)))
			out = append(out, next)
			priority = slices.DeleteFunc(priority, func(g *group) bool { return g == next })
		}
		out = append(out, priority...)
	}
	return out
}

// firstByShare returns the next step of one priority after what has been claimed.
func firstByShare(priority []*group, claimed map[*stepFlow]spec.Resources) (next *group) {
	share := func(g *group) float64 {
		f := g.job.flow
		return fairshare.WeightedShare(f.used.Add(claimed[f]), f.pool.total, f.weight)
	}
	heads := map[string]*group{} // by service
	for _, g := range priority {
		head := heads[g.job.rec.Service]
		if head == nil || share(g) < share(head) {
			heads[g.job.rec.Service] = g
		}
	}
	for _, g := range heads {
		if next == nil || compareSteps(g, next) < 0 {
			next = g
		}
	}
	return next
}

// TestReservationOrderIsTransitive checks that the order in which steps yield to reservations is a total
// order, whatever passes took the steps. Gangs that each yield to the next in a circle would all wait.
func TestReservationOrderIsTransitive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := drawnQueue(t, 6, 2)
		o := &stepOrder{limit: maxOrderedSteps}
		for range 3 {
			taken := o.takeAll(queue, true)
			for _, g := range taken[rapid.IntRange(0, len(taken)).Draw(t, "reached"):] {
				g.taken.pass-- // as if the budget of the pass had been used up before
			}
			for _, g := range queue {
				g.job.flow.used = size(rapid.Int64Range(0, 30).Draw(t, "used"), 0)
			}
		}
		for _, a := range queue {
			for _, b := range queue {
				if cmp.Compare(compareTaken(a, b), 0) != -cmp.Compare(compareTaken(b, a), 0) || (a != b && compareTaken(a, b) == 0) {
					t.Fatalf("%v and %v have no order", a.id, b.id)
				}
				for _, c := range queue {
					if compareTaken(a, b) < 0 && compareTaken(b, c) < 0 && compareTaken(a, c) >= 0 {
						t.Fatalf("%v, %v and %v are in a circle", a.id, b.id, c.id)
					}
				}
			}
		}
	})
}

// TestWeightOfOneAccountChangesNothing runs the same load without weights, and with weights but all jobs of
// one account, and checks that the same tasks start on the same hosts at the same times.
func TestWeightOfOneAccountChangesNothing(t *testing.T) {
	is := is.New(t)
	starts := func(weights map[string]float64) (out []string) {
		w := newWorld(t, 59)
		w.weights, w.quotas["crew"] = weights, fairshare.Unlimited
		w.accountOf = func(string) string { return "crew" }
		w.fleet.Add(smallCell.hosts, "s", size(64, 128))
		w.onStart = func(o StartOrder) {
			out = append(out, fmt.Sprint(w.now().Sub(simulationStart), o.Start.Run, o.To.ID))
		}
		w.failOver()
		w.run(time.Second)
		smallCell.arrive(w, 5*time.Second)
		w.run(8 * time.Second)
		w.checkInvariants()
		return out
	}
	without, with := starts(nil), starts(map[string]float64{"crew": 3})
	is.True(len(without) > 500)
	is.True(slices.Equal(without, with))
}

// TestUsageByFlowMatchesRuns checks the usage that decides the order against the runs of all hosts, while
// calls get lost, a host crashes, jobs are cancelled, and the holder changes and does not know a job.
func TestUsageByFlowMatchesRuns(t *testing.T) {
	for seed := range uint64(12) {
		w := tilesWorld(t, 61+seed, true)
		rnd := rand.New(rand.NewPCG(seed, 2))
		w.faults = faults{lostRequest: 0.03, lostReply: 0.03, delayedRequest: 0.03}
		names := tilesAccountNames()
		w.submitPreviews(names, othersPerSecond, 8*time.Second)
		for i := range 8 {
			w.after(time.Duration(i)*time.Second, func() {
				kinds := []spec.Step{gangOf(3, 20, 8, 2000), longRunningStep(3, 4, 2), step(20, 18, 4, 1500)}
				kinds[2].Backfill = rnd.IntN(2) == 0
				w.submit(fmt.Sprintf("%s-other-%d", names[i], i), catalog.Rules{Priority: 1 + i%2}, kinds[i%3])
				w.engine.Cancel(fmt.Sprintf("%s-preview-%d", names[i], i), w.now())
			})
		}
		w.after(3*time.Second, func() { w.host(host.ID(w.engine.hostsByID[rnd.IntN(tilesHosts)].info.ID)).Crash() })
		w.after(4*time.Second, func() { w.failOverWithout("a03-other-3", 200*time.Millisecond) })
		for range 200 {
			w.run(50 * time.Millisecond)
			w.checkFlows(seed)
		}
	}
}

// failOverWithout replaces the engine by one that learns of a job only after d, when its hosts have reported
// the job's runs.
func (w *world) failOverWithout(id string, d time.Duration) {
	key := record.JobKey(0, id)
	rec := w.store[key]
	delete(w.store, key)
	w.failOver()
	w.store[key] = rec
	e := w.engine
	w.after(d, func() { w.deliver(e, func() { e.Accept(w.jobs[id], false, w.now(), w.now()) }) })
}

// checkFlows compares the usage of each flow with the recorded runs.
func (w *world) checkFlows(seed uint64) {
	w.t.Helper()
	used := map[*stepFlow]spec.Resources{}
	for _, h := range w.engine.hostsByID {
		for _, r := range h.runs {
			if r.group != nil && !r.group.step.LongRunning {
				f := r.group.job.flow
				used[f] = used[f].Add(r.group.step.Allocation())
			}
		}
	}
	for class, f := range w.engine.flows {
		if f.used != used[f] {
			w.t.Fatalf("seed %d: %v uses %v, its runs are %v", seed, class, f.used, used[f])
		}
	}
}

// TestRemovedWeightsRestoreTheFixedOrder guards against positions of earlier passes that still decide which
// step yields to a reservation after the weights were removed from the configuration.
func TestRemovedWeightsRestoreTheFixedOrder(t *testing.T) {
	is := is.New(t)
	names := tilesAccountNames()
	w := tilesWorld(t, 67, true)
	for i := range 60 {
		w.submit(fmt.Sprint(names[i%tilesAccounts], "-", i), catalog.Rules{}, step(10, 11, 8, 60_000))
	}
	w.run(time.Second)
	byPosition := slices.SortedFunc(slices.Values(w.engine.queue), compareTaken)
	is.True(!slices.Equal(byPosition, w.engine.queue))
	w.weights = nil
	w.setQuota(names[0], fairshare.Unlimited)
	w.run(100 * time.Millisecond)
	byPosition = slices.SortedFunc(slices.Values(w.engine.queue), compareTaken)
	is.True(slices.Equal(byPosition, w.engine.queue))
	is.True(len(byPosition) > 10)
}
