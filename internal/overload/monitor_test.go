package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// constantly returns a rate that does not change.
func constantly(jobs float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return jobs }
}

// during returns a rate that differs between two times.
func during(from, to time.Duration, jobs, otherwise float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return jobs
		}
		return otherwise
	}
}

func slots(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// newReplay returns a replay of 20 accounts of equal weight, each of which sends 3 jobs per second into a queue that
// completes 179 per second (1,000 tasks of 0.56 s at once).
func newReplay() *replay {
	r := &replay{slots: slots(1000)}
	for i := range 20 {
		r.accounts = append(r.accounts, &replayAccount{name: fmt.Sprintf("account-%02d", i), weight: 5, jobsPerSecond: constantly(3)})
	}
	return r
}

const second = time.Second

// orders are the orders in which a replay can take jobs; the decisions must not depend on it.
var orders = map[string]bool{"urgent first": false, "by age": true}

// largestRise returns the largest rise of the admitted fraction between two samples while the account sends more
// than completes.
func largestRise(admits []float64) (rise float64) {
	for i := 1; i < len(admits); i++ {
		rise = max(rise, admits[i]-admits[i-1])
	}
	return rise
}

// TestBurstOfOneAccount replays the load of row a of HARD-LOAD.md: for 20 s, one account among twenty sends 300 jobs
// per second and the queue completes 122 of them. Without limits, most of what is accepted has no value.
func TestBurstOfOneAccount(t *testing.T) {
	for name, fifo := range orders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReplay()
			r.fifo = fifo
			burst := r.accounts[0]
			burst.jobsPerSecond = during(5*second, 25*second, 300, 20)
			r.run(25 * second)
			is.True(burst.refused > 2500)                     // of 6,000; 2,440 of them can be served
			is.True(burst.inTime > 2440*9/10)                 // the capacity stays in use
			is.True(burst.accepted-burst.inTime < 800)        // 3,000 without limits
			is.True(burst.refusedAt[0] > 6*second)            // not before there is evidence
			is.True(largestRise(burst.admits[50:100]) < 0.05) // no jumps while the burst lasts
			for _, a := range r.accounts[1:] {
				is.Equal(a.refused, 0)
			}
			r.run(45 * second)
			is.True(burst.refusedAt[len(burst.refusedAt)-1] < 30*second) // accepted again within 5 s
			is.True(largestRise(burst.admits) <= recoveryFactor)
			is.Equal(len(r.events), 2) // one begin and one end
			is.True(r.events[0].Began && !r.events[1].Began)
			is.True(r.events[0].Wait > r.events[0].MaxWait)
		})
	}
}

// TestBurstOfAllAccounts: all accounts together send twice of what completes. Each is limited by its own wait, and all
// alike.
func TestBurstOfAllAccounts(t *testing.T) {
	for name, fifo := range orders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReplay()
			r.fifo = fifo
			for _, a := range r.accounts {
				a.jobsPerSecond = during(5*second, 35*second, 18, 3)
			}
			r.run(60 * second)
			accepted, inTime := 0, 0
			for _, a := range r.accounts {
				is.True(a.refused > 60)  // of 540, half of which can be served
				is.True(a.refused < 400) // no account carries the load of the others
				is.True(a.refusedAt[len(a.refusedAt)-1] < 40*second)
				accepted += a.accepted
				inTime += a.inTime
			}
			is.True(inTime > 179*30*8/10)
			is.True(accepted-inTime < accepted*3/10)
		})
	}
}

// TestSlowRecovery: half of the capacity is lost and returns over 20 s, with one account that sends 110 jobs per
// second. The admitted fraction rises with the capacity and does not oscillate.
func TestSlowRecovery(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	r.slots = func(at time.Duration) int {
		switch {
		case at < 5*second:
			return 1000
		case at < 15*second:
			return 500
		}
		return min(500+int(25*(at-15*second).Seconds()), 1000)
	}
	a := r.accounts[0]
	a.jobsPerSecond = constantly(110)
	r.run(60 * second)
	is.True(a.refused > 300)
	is.True(a.refusedAt[len(a.refusedAt)-1] < 38*second)
	is.True(len(r.events) <= 4) // two limits at the most
	is.Equal(a.admits[len(a.admits)-1], 1.0)
	for _, other := range r.accounts[1:] {
		is.Equal(other.refused, 0)
	}
}

// TestBurstThatFits: a burst of 15 times the usual load that the capacity holds. Jobs wait for their tickets, and few
// completions have been seen when the burst begins: the completion rate of before would give a wait of 4 s.
func TestBurstThatFits(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	r.slots, r.ticketWait = slots(3000), 300*time.Millisecond
	a := r.accounts[0]
	a.jobsPerSecond = during(5*second, 10*second, 300, 20)
	r.run(15 * second)
	is.Equal(a.refused, 0)
	is.Equal(len(r.events), 0)
}

// TestExpiredWorkDelaysNoNewJob: after a burst, much of what waits has no value any more, and the account
// then sends slightly less than completes, so that this work stays. New jobs start before it.
func TestExpiredWorkDelaysNoNewJob(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	a := r.accounts[0]
	a.jobsPerSecond = during(5*second, 15*second, 800, 119)
	r.run(45 * second)
	is.True(a.refused > 1000)
	is.True(a.refusedAt[len(a.refusedAt)-1] < 20*second) // 21.6 s if expired work counted always
}

// TestAccountWithinItsShare: one account sends so much that jobs of the others, taken by age, wait for longer than
// their limit. The others send less than their share, so they are not limited.
func TestAccountWithinItsShare(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	r.fifo = true
	r.accounts[0].weight = 0.001 // no limit is applied to it in this test
	r.accounts[0].jobsPerSecond = constantly(600)
	r.ignoreLimits = true
	r.run(30 * second)
	for _, limit := range r.monitor.Limits() {
		is.Equal(limit.Account, r.accounts[0].name)
	}
	is.True(r.longestWait(r.accounts[1]) > replayMaxWait) // they do wait for too long
}

// TestWorkThatWaitsForItsQuota: the account's share is larger than its quota, so that its wait is not caused by others,
// and the capacity is free.
func TestWorkThatWaitsForItsQuota(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	a := r.accounts[0]
	a.weight, a.quota = 500, 100 // completes 18 jobs per second at the most
	a.jobsPerSecond = during(0, 20*second, 40, 5)
	r.run(20 * second)
	is.True(a.refused > 200)
	is.True(a.accepted-a.inTime < 150)
}

// TestQuotaThatLetsNothingEnd: the account's quota is used up by runs that do not end. Nothing completes, so the wait
// is only known to be long after a whole limit of waiting.
func TestQuotaThatLetsNothingEnd(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	a := r.accounts[0]
	a.quota, a.running = 100, 100
	a.jobsPerSecond = constantly(20)
	r.run(20 * second)
	is.True(a.refused > 200)
	is.True(a.refusedAt[0] > replayMaxWait)
}

// TestFewCompletions: a few slow ends are no evidence, and neither are the first seconds of a holder.
func TestFewCompletions(t *testing.T) {
	is := is.New(t)
	m, now := NewMonitor(), replayStart
	k := Key{"q", "a"}
	m.Accepted(k, 1, 100, 10*second)
	waiting := Waiting{Work: 1000, Steps: 100, Age: 2 * second, RunTime: second}
	sample := func(steps float64) {
		m.Accepted(k, 1, 100, 10*second)
		m.Completed(k, 1, steps*10, steps)
		m.Waiting(k, 1, waiting)
		now = now.Add(SampleInterval)
		m.Sample(now)
	}
	m.Sample(now)
	for range 28 { // 7 s and 7 steps
		sample(0.25)
		is.Equal(len(m.Limits()), 0)
	}
	row, known := m.Row(k)
	is.True(known && !row.Evidence)
	for range 8 {
		sample(0.25)
	}
	is.Equal(len(m.Limits()), 1) // 100 steps wait, of which one ends per second
}

// TestHolderThatFallsBehind: a sample that comes late ends the limits and discards the evidence.
func TestHolderThatFallsBehind(t *testing.T) {
	is := is.New(t)
	r := newReplay()
	r.accounts[0].jobsPerSecond = constantly(300)
	r.run(15 * second)
	is.Equal(len(r.monitor.Limits()), 1)
	changes := r.monitor.Sample(r.at().Add(maxSampleGap + SampleInterval))
	is.Equal(len(changes), 1)
	is.True(!changes[0].Began)
	is.Equal(len(r.monitor.Limits()), 0)
	is.Equal(len(r.monitor.Rows()), 0)
}

// TestStarvedQueueOfLowPriority: work that waits for 20 s within a limit of 108 s is not limited, whereas that of a queue
// with a limit of 2.7 s is.
func TestStarvedQueueOfLowPriority(t *testing.T) {
	is := is.New(t)
	m, now := NewMonitor(), replayStart
	mosaics, previews := Key{"mosaics", "a"}, Key{"previews", "a"}
	m.Sample(now)
	for range 80 {
		for k, maxWait := range map[Key]time.Duration{mosaics: 108 * second, previews: 2700 * time.Millisecond} {
			m.Accepted(k, 1, 100, maxWait)
			m.Completed(k, 1, 50, 1)
			m.Waiting(k, 1, Waiting{Work: 50 * 4 * 20, Steps: 80, Age: 10 * second, RunTime: second})
		}
		now = now.Add(SampleInterval)
		m.Sample(now)
	}
	is.Equal(len(m.Limits()), 1)
	is.Equal(m.Limits()[0].Key, previews)
	is.True(m.Limits()[0].RetryAfter >= 15*second)
}

// TestLongestWaitsComeFirst: of more than 64 limits, those with the longest waits are sent.
func TestLongestWaitsComeFirst(t *testing.T) {
	is := is.New(t)
	m, now := NewMonitor(), replayStart
	m.Sample(now)
	for range 40 {
		for i := range 100 {
			k := Key{"q", fmt.Sprint(i)}
			m.Accepted(k, 1, 100, second)
			m.Completed(k, 1, 50, 1)
			m.Waiting(k, 1, Waiting{Work: 200 * float64(20+i), Steps: 80, Age: second, RunTime: second})
		}
		now = now.Add(SampleInterval)
		m.Sample(now)
	}
	limits := m.Limits()
	is.Equal(len(limits), MaxLimits)
	is.Equal(limits[0].Account, "99")
	is.Equal(limits[MaxLimits-1].Account, "36")
}

// TestIdleAccountsAreForgotten guards against state that grows with each account that ever sent a job.
func TestIdleAccountsAreForgotten(t *testing.T) {
	is := is.New(t)
	m, now := NewMonitor(), replayStart
	m.Sample(now)
	m.Accepted(Key{"q", "a"}, 1, 100, second)
	for range 60 {
		now = now.Add(SampleInterval)
		m.Sample(now)
	}
	is.Equal(len(m.accounts), 0)
	is.Equal(len(m.queues), 0)
}

// TestAnyFigures checks, for arbitrary figures, that fractions stay within their range, that no limit exists without work
// that has waited for longer than a run takes at some time, and that all limits end once nothing waits.
func TestAnyFigures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := NewMonitor(), replayStart
		k := Key{"q", "a"}
		backlogged := false
		m.Sample(now)
		for range rapid.IntRange(1, 100).Draw(t, "samples") {
			for range rapid.IntRange(0, 3).Draw(t, "jobs") {
				m.Accepted(k, 1, rapid.Float64Range(0, 1e12).Draw(t, "work"), time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "max wait")))
			}
			m.Completed(k, 1, rapid.Float64Range(0, 1e12).Draw(t, "done"), rapid.Float64Range(0, 100).Draw(t, "steps"))
			w := Waiting{
				Work: rapid.Float64Range(0, 1e15).Draw(t, "waiting"), Steps: rapid.Float64Range(0, 1000).Draw(t, "waiting steps"),
				Age: time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "age")), RunTime: time.Duration(rapid.Int64Range(0, 1e11).Draw(t, "run time")),
			}
			m.Waiting(k, 1, w)
			backlogged = backlogged || w.Work > 0 && 2*w.Age >= w.RunTime
			now = now.Add(time.Duration(rapid.Int64Range(int64(SampleInterval), int64(maxSampleGap)).Draw(t, "interval")))
			m.Sample(now)
			for _, l := range m.Limits() {
				if !backlogged || math.IsNaN(l.Admit) || l.Admit < minAdmit || l.Admit >= 1 || l.Wait < 0 || l.RetryAfter < 0 {
					t.Fatalf("limit %+v, backlogged %v", l, backlogged)
				}
			}
		}
		for range 60 { // a rise of 0.02 a sample at least
			now = now.Add(SampleInterval)
			m.Sample(now)
		}
		if len(m.Limits()) > 0 {
			t.Fatalf("still limited: %+v", m.Limits())
		}
	})
}

// TestAnyAccountWithinItsShare checks, for random loads, weights and orders, that an account which sends at most its share by
// weight of what the queue completes, without a quota, is never refused.
func TestAnyAccountWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &replay{slots: slots(100), fifo: rapid.Bool().Draw(t, "fifo")}
		const jobsPerSecond = 100 / replayTasks / 0.56 // that complete
		small := &replayAccount{name: "small", weight: rapid.Float64Range(1, 10).Draw(t, "weight")}
		weights := small.weight
		for i := range rapid.IntRange(1, 4).Draw(t, "others") {
			a := &replayAccount{name: fmt.Sprint("other-", i), weight: rapid.Float64Range(1, 10).Draw(t, "other weight")}
			rate := rapid.Float64Range(0, 60).Draw(t, "other rate")
			from := time.Duration(rapid.IntRange(0, 10).Draw(t, "from")) * second
			a.jobsPerSecond = during(from, from+10*second, rate, 0)
			weights += a.weight
			r.accounts = append(r.accounts, a)
		}
		share := small.weight / weights * jobsPerSecond
		small.jobsPerSecond = constantly(share * rapid.Float64Range(0, 0.8).Draw(t, "part of its share"))
		r.accounts = append(r.accounts, small)
		r.run(25 * second)
		if small.refused > 0 {
			t.Fatalf("%d of %d refused, the first at %v", small.refused, small.sent, small.refusedAt[0])
		}
	})
}
