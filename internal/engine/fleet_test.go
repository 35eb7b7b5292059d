package engine

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// The load of the large fleet: 1,100 hosts of 64 cores and 256 GB, a third of them slower,
// with gangs of 40 tasks of 18 cores that may run on a quarter of the hosts, batch work
// of 50 tasks of 11 cores, and urgent work of a few tasks of 16 cores that may wait half
// a second. The load requests 0.8 of the processors. The figures are from the users'
// workload specification.
const (
	fleetSize    = 1100
	fleetMembers = 146
)

// fleetKind is one class of jobs of the load.
type fleetKind struct {
	name      string
	perSecond float64
	steps     float64 // mean number per job
	rules     catalog.Rules
	permitted uint32 // percent of hosts that the policy service permits

	width, widthSpread, widthMost float64
	cores, coresSpread, coresMost float64
	gib, gibSpread, gibMost       float64
	work, workSpread, workMost    float64 // milliseconds
	taskSpread                    float64 // spread of the work among the tasks of one step
	estimateSpread                float64 // spread of the estimate around the work
	gang, checkpointing           float64 // shares of the steps that are gangs, or checkpointing
	value                         float64
}

var fleetKinds = []fleetKind{
	{
		name: "review", perSecond: 5.42, steps: 1.2, permitted: 25, value: 11.8,
		rules: catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 1000, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 600, PerHostMillis: 8.6, ValidMillis: 1500}},
		width: 40, widthSpread: 0.8, widthMost: 240, cores: 18, coresSpread: 0.4, coresMost: 30, gib: 52, gibSpread: 0.5, gibMost: 100,
		work: 6200, workSpread: 0.5, workMost: 16000, taskSpread: 0.15, estimateSpread: 0.5, gang: 1, checkpointing: 0.5,
	},
	{
		name: "survey", perSecond: 11.2, steps: 1.5, permitted: 45, value: 3.56,
		rules: catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 140, PerHostMillis: 2, ValidMillis: 1500}},
		width: 50, widthSpread: 0.8, widthMost: 300, cores: 11, coresSpread: 0.45, coresMost: 33, gib: 31, gibSpread: 0.6, gibMost: 94,
		work: 2200, workSpread: 0.5, workMost: 5400, taskSpread: 0.3, estimateSpread: 0.2, checkpointing: 0.8,
	},
	{
		name: "ticket", perSecond: 142, steps: 1, permitted: 70, value: 0.394,
		rules: catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 11, PerHostMillis: 0.16, ValidMillis: 1500}},
		width: 4.5, widthSpread: 0.8, widthMost: 27, cores: 16, coresSpread: 0.45, coresMost: 47, gib: 45, gibSpread: 0.6, gibMost: 130,
		work: 800, workSpread: 0.5, workMost: 2000, taskSpread: 0.15, estimateSpread: 0.5, gang: 0.3,
	},
}

// burst multiplies the arrival rate of a kind from at until ends.
type burst struct {
	kind     string
	at, ends time.Duration
	times    float64
}

// fleetLoad submits the jobs of the load to a simulation and keeps a record of them.
type fleetLoad struct {
	w    *world
	rnd  *rand.Rand
	jobs map[string]*fleetJob
	work map[spec.StepTask]time.Duration
}

type fleetJob struct {
	kind   *fleetKind
	at     time.Time
	target time.Duration
	weight float64 // core-seconds
}

// newFleetLoad returns a load that arrives for d at a share of the specified rate.
func newFleetLoad(t testing.TB, seed uint64, share float64, d time.Duration, bursts ...burst) *fleetLoad {
	w := newWorld(t, seed)
	w.bounds.MaxLease, w.bounds.MaxStopTime, w.bounds.GangTimeout = 10*time.Second, 900*time.Millisecond, 5*time.Second
	w.bounds.CheckpointInterval, w.bounds.RestoreTime = 2*time.Second, 600*time.Millisecond
	w.fleet.Bounds.MaxLease, w.fleet.Bounds.MaxStopTime, w.fleet.Bounds.GangTimeout = w.bounds.MaxLease, w.bounds.MaxStopTime, w.bounds.GangTimeout
	w.members = nil
	for i := range fleetMembers {
		w.members = append(w.members, fmt.Sprint("m", i))
	}
	for i, h := range w.fleet.Add(fleetSize, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 262144}) {
		if i%3 == 2 {
			h.SetSlowdown(1.3)
		}
	}
	l := &fleetLoad{w: w, rnd: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*fleetJob{}, work: map[spec.StepTask]time.Duration{}}
	w.fleet.RunTime = func(task spec.StepTask) time.Duration { return l.work[task] }
	w.permitted = func(step spec.StepID, h host.ID) bool {
		f := fnv.New32a()
		fmt.Fprint(f, step, h, seed)
		return f.Sum32()%100 < l.jobs[step.Job].kind.permitted
	}
	w.queueOf = func(id string) string { return l.jobs[id].kind.name }
	w.policyDelay = func(o QueryOrder) time.Duration {
		return w.jobs[o.Step.Job].Rules.PolicyQuery.QueryDuration(len(o.Hosts))
	}
	w.failOver()
	w.run(5 * time.Second)
	for i := range fleetKinds {
		l.scheduleArrivals(&fleetKinds[i], share, d, bursts)
	}
	return l
}

// draw returns a sample of a log-normal distribution with the given mean, capped at most.
func (l *fleetLoad) draw(mean, spread, most float64) float64 {
	return min(mean*math.Exp(spread*l.rnd.NormFloat64()-spread*spread/2), most)
}

func (l *fleetLoad) scheduleArrivals(k *fleetKind, share float64, d time.Duration, bursts []burst) {
	n := 0
	for at := time.Duration(0); at < d; {
		rate := share * k.perSecond
		for _, b := range bursts {
			if b.kind == k.name && at >= b.at && at < b.ends {
				rate *= b.times
			}
		}
		at += time.Duration(l.rnd.ExpFloat64() / rate * float64(time.Second))
		id := fmt.Sprintf("%s-%d", k.name, n)
		n++
		l.w.after(at, func() { l.submit(k, id) })
	}
}

func (l *fleetLoad) submit(k *fleetKind, id string) {
	j := &fleetJob{kind: k, at: l.w.now()}
	l.jobs[id] = j
	n := 1
	if l.rnd.Float64() < k.steps-1 {
		n = 2
	}
	var steps []spec.Step
	criticalPath := time.Duration(0)
	for i := range n {
		work := l.draw(k.work, k.workSpread, k.workMost)
		s := spec.Step{
			Count:          max(int(l.draw(k.width, k.widthSpread, k.widthMost)), 1),
			Size:           spec.Resources{MilliCPU: int64(1000 * l.draw(k.cores, k.coresSpread, k.coresMost)), MemoryMiB: int64(1024 * l.draw(k.gib, k.gibSpread, k.gibMost))},
			EstimateMillis: int64(work * math.Exp(k.estimateSpread*l.rnd.NormFloat64())),
			Gang:           l.rnd.Float64() < k.gang, Checkpointing: l.rnd.Float64() < k.checkpointing,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		longest := 0.0
		for t := range s.Count {
			took := work * math.Exp(k.taskSpread*l.rnd.NormFloat64())
			longest = max(longest, took)
			l.work[spec.StepTask{StepID: spec.StepID{Job: id, Step: i}, Index: t}] = time.Duration(took * float64(time.Millisecond))
			j.weight += took * float64(s.Size.MilliCPU) / 1e6
		}
		criticalPath += time.Duration(longest * float64(time.Millisecond))
		steps = append(steps, s)
	}
	j.target = time.Duration(k.rules.CriticalPathFactor*float64(criticalPath)) + time.Duration(k.rules.TargetMillis)*time.Millisecond
	l.w.submit(id, k.rules, steps...)
}

// value returns the share of the value of a kind's jobs that was earned, of the jobs
// submitted in the interval [from, until). As in the users' measure, a job that completes
// within its target duration earns its whole value, one within three times that duration
// a fifth, and larger jobs have a higher value.
func (l *fleetLoad) value(kind string, from, until time.Time) float64 {
	var sum, n float64
	for _, j := range l.jobs {
		if j.kind.name == kind {
			sum += j.weight
			n++
		}
	}
	mean := sum / n
	var earned, total float64
	for id, j := range l.jobs {
		if j.kind.name != kind || j.at.Before(from) || !j.at.Before(until) {
			continue
		}
		value := min(0.3+0.7*j.weight/mean, 4)
		total += value
		if l.w.reported[id] != record.StateCompleted {
			continue
		}
		switch took := l.w.finalSince[id].Sub(j.at); {
		case took <= j.target:
			earned += value
		case took <= 3*j.target:
			earned += 0.2 * value
		}
	}
	return earned / total
}

// summary formats the earned value of each kind for the log of a test.
func (l *fleetLoad) summary(from, until time.Time) string {
	var parts []string
	for _, k := range fleetKinds {
		parts = append(parts, fmt.Sprintf("%s %.3f", k.name, l.value(k.name, from, until)))
	}
	return strings.Join(parts, ", ")
}

// TestGangsInALargeFleet replays the users' reference load at full size, with its two bursts
// closer together. Gangs ended late when their queries named no more hosts than they needed
// slots, and when gangs blocked slots for each other.
func TestGangsInALargeFleet(t *testing.T) {
	const (
		seeds = 3
		lasts = 20 * time.Second
	)
	var mu sync.Mutex
	mean := map[string]float64{}
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				l := newFleetLoad(t, seed, 0.87, lasts,
					burst{"ticket", 6 * time.Second, 10 * time.Second, 2}, burst{"review", 11 * time.Second, 15 * time.Second, 1.7})
				at := l.w.now()
				l.w.run(lasts + 16*time.Second)
				l.w.checkInvariants()
				mu.Lock()
				defer mu.Unlock()
				t.Logf("seed %d: %s", seed, l.summary(at, at.Add(lasts)))
				for _, k := range fleetKinds {
					mean[k.name] += l.value(k.name, at, at.Add(lasts)) / seeds
				}
			})
		}
	})
	t.Logf("value earned: reviews %.3f, surveys %.3f, tickets %.3f", mean["review"], mean["survey"], mean["ticket"])
	is := is.New(t)
	is.True(mean["review"] >= 0.74)
	is.True(mean["survey"] >= 0.93)
	is.True(mean["ticket"] >= 0.97)
}

// TestTakeoverAtSize: after a failover with 1,100 hosts at full load, urgent jobs that are
// submitted in the first second start within a second.
func TestTakeoverAtSize(t *testing.T) {
	is := is.New(t)
	l := newFleetLoad(t, 1, 0.87, 12*time.Second)
	l.w.run(6 * time.Second)
	at := l.w.now()
	l.w.failOver()
	started := map[string]time.Duration{}
	settled := time.Duration(0)
	l.w.engine.cfg.Log = func(e Event) {
		switch e.What {
		case "step started":
			if _, seen := started[e.Job]; !seen {
				started[e.Job] = l.w.now().Sub(at)
			}
		case "takeover settled":
			settled = l.w.now().Sub(at)
		}
	}
	l.w.run(3 * time.Second)
	l.w.checkInvariants()
	first, late, all := time.Hour, 0, 0
	for id, j := range l.jobs {
		since := j.at.Sub(at)
		if j.kind.name != "ticket" || since < 0 || since > time.Second {
			continue
		}
		all++
		begun, ok := started[id]
		if !ok || begun-since > time.Second {
			late++
		}
		if ok {
			first = min(first, begun)
		}
	}
	t.Logf("reconciled after %v, first urgent job started after %v; %d of %d took over a second", settled, first, late, all)
	is.True(first < 300*time.Millisecond)
	is.True(settled > 0 && settled < time.Second)
	is.True(all > 100)
	is.True(late <= all/50)
}
