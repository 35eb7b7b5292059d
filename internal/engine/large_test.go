package engine

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// The accelerator load runs on 13 hosts of 64 cores and 8 accelerators: jobs whose tasks take 2, 4 or all
// 8 accelerators of a host, may run on 30% of the hosts, and wait half a second for each reply of the
// policy service, beside tasks of one accelerator that fit anywhere and can wait. 80% of the accelerators
// are in use. The figures are those of a production site.
const (
	accelHosts = 13
	largeKind  = "whole"
	smallKind  = "single"
)

var (
	largeRules = catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 1000,
		PolicyQuery: &catalog.PolicyQuery{DecideMillis: 490, PerHostMillis: 7, ValidMillis: 2000}}
	smallRules = catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000,
		PolicyQuery: &catalog.PolicyQuery{DecideMillis: 140, PerHostMillis: 2, ValidMillis: 2000}}
)

// accelLoad records the submitted jobs of the load.
type accelLoad struct {
	w         *world
	rnd       *rand.Rand
	submitted map[string]time.Time
	target    map[string]time.Duration
}

// newAccelLoad submits the load for a duration, with random sizes and times.
func newAccelLoad(t testing.TB, seed uint64, d time.Duration) *accelLoad {
	w := newWorld(t, seed)
	w.fleet.Add(accelHosts, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 131072, Accelerators: 8})
	w.failOver()
	share := map[string]uint32{largeKind: 30, smallKind: 45}
	w.permitted = func(step spec.StepID, h host.ID) bool {
		f := fnv.New32a()
		fmt.Fprint(f, step, h, seed)
		kind, _, _ := strings.Cut(step.Job, "-")
		return f.Sum32()%100 < share[kind]
	}
	w.policyDelay = func(o QueryOrder) time.Duration {
		return w.jobs[o.Step.Job].Rules.PolicyQuery.QueryDuration(len(o.Hosts))
	}
	l := &accelLoad{w: w, rnd: rand.New(rand.NewPCG(seed, 2)), submitted: map[string]time.Time{}, target: map[string]time.Duration{}}
	sizes := []int64{2, 4, 8, 8}
	l.arrive(largeKind, 1.84, d, largeRules, func() spec.Step {
		return spec.Step{Count: 1 + l.rnd.IntN(2), Size: spec.Resources{MilliCPU: 31000, MemoryMiB: 45000, Accelerators: sizes[l.rnd.IntN(4)]},
			EstimateMillis: l.runTimeMillis(3600), Checkpointing: true}
	})
	l.arrive(smallKind, 1.9, d, smallRules, func() spec.Step {
		return spec.Step{Count: 2 + l.rnd.IntN(5), Size: spec.Resources{MilliCPU: 5600, MemoryMiB: 11000, Accelerators: 1},
			EstimateMillis: l.runTimeMillis(3800), Checkpointing: true}
	})
	return l
}

// runTimeMillis draws a run time in milliseconds, with a spread of about a half around the mean.
func (l *accelLoad) runTimeMillis(mean float64) int64 {
	const spread = 0.45
	return int64(min(mean*math.Exp(spread*l.rnd.NormFloat64()-spread*spread/2), 2.5*mean))
}

// arrive submits jobs of a kind at random intervals.
func (l *accelLoad) arrive(kind string, perSecond float64, d time.Duration, rules catalog.Rules, draw func() spec.Step) {
	n := 0
	for at := time.Duration(0); at < d; at += time.Duration(l.rnd.ExpFloat64() / perSecond * float64(time.Second)) {
		id, s := fmt.Sprintf("%s-%d", kind, n), draw()
		n++
		l.w.after(at, func() {
			l.submitted[id] = l.w.now()
			l.target[id] = time.Duration(rules.CriticalPathFactor*float64(s.Estimate())) + time.Duration(rules.TargetMillis)*time.Millisecond
			l.w.submit(id, rules, s)
		})
	}
}

// onTimeShare returns the share of the jobs of a kind that completed within the target duration of their
// queue.
func (l *accelLoad) onTimeShare(kind string) float64 {
	onTime, all := 0, 0
	for id, at := range l.submitted {
		if !strings.HasPrefix(id, kind) {
			continue
		}
		all++
		if l.w.reported[id] == record.StateCompleted && l.w.finalSince[id].Sub(at) <= l.target[id] {
			onTime++
		}
	}
	return float64(onTime) / float64(all)
}

// TestHostsAreReservedForLargeTasks runs the accelerator load. It guards against large tasks that use
// only capacity that is free at the moment: small tasks refill each host first, and the large ones end
// late.
func TestHostsAreReservedForLargeTasks(t *testing.T) {
	const seeds = 8
	var whole, single float64
	for seed := uint64(1); seed <= seeds; seed++ {
		l := newAccelLoad(t, seed, 40*time.Second)
		l.w.run(100 * time.Second)
		l.w.checkInvariants()
		whole += l.onTimeShare(largeKind) / seeds
		single += l.onTimeShare(smallKind) / seeds
		t.Logf("seed %d: on time %.3f of the jobs of large tasks, %.3f of the others", seed, l.onTimeShare(largeKind), l.onTimeShare(smallKind))
	}
	t.Logf("on time: %.3f of the jobs of large tasks, %.3f of the others", whole, single)
	is := is.New(t)
	is.True(whole >= 0.88)
	is.True(single >= 0.93)
}

// TestReservationsYieldToMoreUrgentSteps guards against reservations of large tasks of a less urgent queue
// that block the reservations of gangs.
func TestReservationsYieldToMoreUrgentSteps(t *testing.T) {
	of := func(priority int) *group {
		rec := &record.Job{Rules: catalog.Rules{Priority: priority}}
		return &group{job: &job{rec: rec}, step: &spec.Step{Size: size(18, 26)}}
	}
	h := &hostState{reserved: []reservation{{group: of(1), n: 2}}}
	is := is.New(t)
	is.Equal(h.reservedAheadOf(of(0)), spec.Resources{})
	is.Equal(h.reservedAheadOf(of(1)), size(18, 26).Times(2))
	is.Equal(h.reservedAheadOf(of(2)), size(18, 26).Times(2))
	is.Equal(h.reservedAheadOf(h.reserved[0].group), spec.Resources{})
}
