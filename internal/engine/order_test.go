package engine

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// completedIn counts the jobs named kind-N that completed within a duration.
func (w *world) completedIn(kind string, from, to int, within time.Duration) (n int) {
	for i := from; i < to; i++ {
		j := w.engine.jobs[fmt.Sprint(kind, "-", i)]
		if j == nil || !j.state.Final() {
			continue
		}
		if w.finalSince[j.id()].Sub(j.accepted) <= within {
			n++
		}
	}
	return n
}

// TestExpiredJobsDoNotDelayOthers guards against expired jobs that precede all jobs of less urgent queues.
// A burst of urgent jobs exceeds the capacity of the cell, and less urgent jobs arrive all the while.
// Steps of the urgent queue waited up to 20 s, and the capacity that expired jobs used was lost to jobs
// that could still meet their target.
func TestExpiredJobsDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 29)
	w.fleet.Add(4, "s", size(16, 64))
	w.failOver()
	w.run(time.Second)
	urgent := catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 1000}
	lessUrgent := catalog.Rules{Priority: 2, CriticalPathFactor: 4, TargetMillis: 3000}
	const burst, others = 40, 60
	gang := step(8, 4, 1, 2000)
	gang.Gang = true
	survey := step(8, 3, 1, 2000)
	survey.Checkpointing = true
	for i := range burst {
		w.submit(fmt.Sprint("burst-", i), urgent, gang)
	}
	for i := range others {
		w.after(time.Duration(i)*time.Second, func() { w.submit(fmt.Sprint("less-", i), lessUrgent, survey) })
	}
	w.run(150 * time.Second)
	w.checkInvariants()
	is.Equal(w.completed(), burst+others)
	// From 17 s on every job of the burst has expired: three times 5.4 s have passed. The other jobs take
	// three quarters of the cell, in addition to their backlog at that time.
	is.True(3*w.completedIn("less", 17, others, 11*time.Second) >= 2*(others-17))
}

// TestSmallTasksLeaveQuotaForUrgentSteps guards against small tasks that use up the quota of their account
// as it comes free, while urgent work of the same account needs more at once and waits for the quota: 53
// steps waited, the last of them 9.8 s. Free quota has to be withheld for steps earlier in the queue.
func TestSmallTasksLeaveQuotaForUrgentSteps(t *testing.T) {
	for name, gang := range map[string]bool{"a gang": true, "independent tasks": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := accountWorld(t, 31, 4)
			w.setQuota("crew", cores(32))
			w.failOver()
			w.run(time.Second)
			for i := range 32 {
				w.after(time.Duration(i)*60*time.Millisecond, func() {
					w.submit(fmt.Sprint("crew-small-", i), catalog.Rules{Priority: 2}, step(30, 1, 1, 2000))
				})
			}
			w.run(5 * time.Second)
			urgent := step(3, 10, 1, 500)
			urgent.Gang = gang
			w.submit("crew-urgent", catalog.Rules{}, urgent)
			w.run(3 * time.Second) // all tasks that were running have ended by then
			is.True(w.reported["crew-urgent"].Final())
			w.checkInvariants()
		})
	}
}

// TestGangsDoNotExhaustThePolicyService guards against gangs that use up the policy service's time. On a
// cell of small hosts a gang without known permitted hosts queried every host, as only all of them
// together hold twenty times its slots. The cost of a query grows with its hosts, and the queries of later
// gangs waited: 26 to 29 queries were open at any moment, and 31 steps waited with 28% of the processors
// free. The load is gangs for half of a cell, a quarter of whose hosts are permitted for each.
func TestGangsDoNotExhaustThePolicyService(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 37)
	w.members = nil
	for i := range 7 {
		w.members = append(w.members, fmt.Sprintf("m%02d", i))
	}
	w.permitted = func(step spec.StepID, h host.ID) bool { return hashOf(step.String()+string(h))%4 == 0 }
	advice := &catalog.PolicyQuery{DecideMillis: 455, PerHostMillis: 6.5, ValidMillis: 1500}
	answeredAt := map[string]time.Time{} // when a member's queries are answered
	w.policyDelay = func(o QueryOrder) time.Duration {
		answeredAt[o.Member] = later(answeredAt[o.Member], w.now()).Add(advice.QueryDuration(len(o.Hosts)))
		return answeredAt[o.Member].Sub(w.now())
	}
	w.fleet.Add(96, "s", size(16, 64))
	w.failOver()
	w.run(time.Second)
	rules := catalog.Rules{Priority: 1, CriticalPathFactor: 2.2, TargetMillis: 1000, PolicyQuery: advice}
	gang := step(6, 4, 1, 4000)
	gang.Gang = true
	const gangs, target = 200, 11200 * time.Millisecond // 2.2 times the work and one query, plus 1 s
	for i := range gangs {
		w.after(time.Duration(i)*125*time.Millisecond, func() { w.submit(fmt.Sprint("gang-", i), rules, gang) })
	}
	w.run(60 * time.Second)
	w.checkInvariants()
	t.Logf("%d of %d gangs on time", w.completedIn("gang", 0, gangs, target), gangs)
	is.True(10*w.completedIn("gang", 0, gangs, target) >= 9*gangs)
}

func hashOf(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // a hash never returns an error
	return h.Sum32()
}
