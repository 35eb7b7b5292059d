package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// SampleInterval is the time between two samples: about that between two heartbeats of a member, so that each
	// figure reaches the members once.
	SampleInterval = 250 * time.Millisecond
	// maxSampleGap is the longest time between two samples of which the figures are used. A holder that takes longer has
	// fallen behind, and what completes meanwhile shows its own delay. It is a third of the 3 s that a caller waits.
	maxSampleGap = time.Second
	// idleRetention is how long an account is remembered that neither sends nor completes nor waits.
	idleRetention = 10 * time.Second
	// minAveraging and maxAveraging bound the time over which rates are averaged, which is a third of the limit (about
	// one target): shorter times hold too few jobs, longer ones react later than a caller retries (4 times 3 s).
	minAveraging = time.Second
	maxAveraging = 12 * time.Second
	// minSteps is the number of steps' worth of tasks that have to complete before their rate counts. Its standard
	// error is 35%.
	minSteps = 8
	// quotaShare is the share of the waiting work that has to wait for the account's quota for the account's own quota to
	// be the cause of its wait.
	quotaShare = 0.5
)

// Bounds of the admitted fraction and of its changes.
const (
	// minAdmit keeps some jobs coming, so that completions of new work remain visible.
	minAdmit = 0.01
	// maxFall is the factor by which the fraction falls at most in one sample.
	maxFall = 0.5
	// minDrain is the least share of the completed work that is admitted, as far as the wait alone decides.
	minDrain = 0.125
	// recoverBelow is the share of the limit below which the fraction rises; between it and the limit it stays.
	recoverBelow = 0.8
	// recoveryFactor is the share of itself by which the fraction rises in a sample, minRecovery the least rise: from
	// minAdmit to 1 in 5 s, which is longer than members take to see the effect of a rise (a sample and a heartbeat).
	recoveryFactor = 0.25
	minRecovery    = 0.02
	// maxDrainTime bounds RetryAfter as a multiple of the time by which the wait exceeds the limit.
	maxDrainTime = 4
)

// Waiting is the waiting work of one queue and account at the time of a sample.
type Waiting struct {
	// Work is ready and has no run, Expired has no value any more and is not part of Work.
	Work, Expired float64
	// ForQuota is the part of Work that waits for the account's quota.
	ForQuota float64
	// Steps is the number of steps in Work, in steps' worth of tasks.
	Steps float64
	// Age is the mean wait of Work so far, RunTime the mean time in which a run of it ends in nearly all cases.
	Age, RunTime time.Duration
}

// Monitor derives the limits of one partition. It is not safe for concurrent use.
type Monitor struct {
	accounts  map[Key]*accountLoad
	queues    map[string]*queueLoad
	sampledAt time.Time
	limits    []Limit
}

// NewMonitor returns a monitor without evidence.
func NewMonitor() *Monitor {
	return &Monitor{accounts: map[Key]*accountLoad{}, queues: map[string]*queueLoad{}}
}

// queueLoad is what completes in a queue for all its accounts.
type queueLoad struct {
	completed decayingRate
	// weights is the sum of the weights of the accounts that are active, limit the longest of their limits, and done
	// the work that completed since the last sample.
	weights, done float64
	limit         time.Duration
}

// accountLoad is the load of one queue and account.
type accountLoad struct {
	weight     float64
	lastActive time.Time
	// accepted, done and doneSteps are counted since the last sample; nextWaiting is the waiting work for the next one.
	accepted, done, doneSteps float64
	nextWaiting               Waiting
	// maxWait is the running mean of the accepted jobs' longest waits with value; jobs counts them.
	maxWait time.Duration
	jobs    int

	acceptedRate decayingRate // accepted work
	admitted     decayingRate // admitted fraction
	applied      float64      // fraction that members have applied since the last sample
	// served is the work that completed while work had waited for more than a run's time, servedSteps counts its
	// steps' worth of tasks.
	served, servedSteps decayingRate

	// The following fields are results of the last sample. rate is the work per second that the wait is based on,
	// and zero, like the wait, without evidence.
	waiting  Waiting
	admit    float64
	wait     time.Duration
	rate     float64
	evidence bool
	// lastRate is the last rate with evidence. It tells how fast the fraction may rise after the backlog has gone.
	lastRate float64
}

// decayingRate is a sum over time of which older parts count less.
type decayingRate struct{ sum, seconds float64 }

func (r *decayingRate) add(amount, seconds, keep float64) {
	r.sum = r.sum*keep + amount
	r.seconds = r.seconds*keep + seconds
}

// perSecond returns the mean, or zero without samples.
func (r decayingRate) perSecond() float64 {
	if r.seconds == 0 {
		return 0
	}
	return r.sum / r.seconds
}

func (m *Monitor) account(k Key, weight float64) *accountLoad {
	a := m.accounts[k]
	if a == nil {
		a = &accountLoad{admit: 1, applied: 1}
		m.accounts[k] = a
	}
	a.weight = weight
	return a
}

// maxWaitSamples is about how many of the latest jobs the mean of their longest waits covers.
const maxWaitSamples = 50

// Accepted counts an accepted job. maxWait is how long it can wait until its completion has no value.
func (m *Monitor) Accepted(k Key, weight, work float64, maxWait time.Duration) {
	a := m.account(k, weight)
	a.accepted += work
	a.jobs = min(a.jobs+1, maxWaitSamples)
	a.maxWait += (maxWait - a.maxWait) / time.Duration(a.jobs)
}

// Completed counts completed tasks; steps is their part of their step.
func (m *Monitor) Completed(k Key, weight, work, steps float64) {
	a := m.account(k, weight)
	a.done += work
	a.doneSteps += steps
}

// Waiting sets the waiting work of a queue and account. It is called before each Sample for all that have some.
func (m *Monitor) Waiting(k Key, weight float64, w Waiting) { m.account(k, weight).nextWaiting = w }

// Discard drops all evidence and all limits, and returns the limits that end: what completes or waits now does not
// depend on the accounts, as after a failover, or while the holder may give no orders.
func (m *Monitor) Discard() []Change {
	var changes []Change
	for k, a := range m.accounts {
		if a.admit < 1 {
			a.admit = 1
			changes = append(changes, a.change(k))
		}
	}
	sortChanges(changes)
	clear(m.accounts)
	clear(m.queues)
	m.sampledAt, m.limits = time.Time{}, nil
	return changes
}

// SampleDue reports whether the time of the next sample has come.
func (m *Monitor) SampleDue(now time.Time) bool { return now.Sub(m.sampledAt) >= SampleInterval }

// SampledAt returns the time of the last sample, zero if there is none.
func (m *Monitor) SampledAt() time.Time { return m.sampledAt }

// Change is the begin or the end of a limit.
type Change struct {
	Limit
	// Began is true if the limit began, false if it ended.
	Began bool
	// MaxWait is the wait from which on jobs are limited.
	MaxWait time.Duration
	// Waiting is the waiting work, Rate the work per second that the wait is based on, Offered the work per second that
	// callers send, by estimate.
	Waiting       Waiting
	Rate, Offered float64
}

// Sample takes the figures of the time since the last sample and derives the limits. It returns what began and what
// ended. The first sample, and one that comes late, only starts the measurement.
func (m *Monitor) Sample(now time.Time) []Change {
	elapsed := now.Sub(m.sampledAt)
	if m.sampledAt.IsZero() || elapsed > maxSampleGap {
		changes := m.Discard()
		m.sampledAt = now
		return changes
	}
	m.sampledAt = now
	for _, a := range m.accounts {
		a.waiting, a.nextWaiting = a.nextWaiting, Waiting{}
	}
	m.sampleQueues(elapsed, now)
	return m.sampleAccounts(elapsed)
}

// sampleAccounts updates the limits, and returns what began and what ended.
func (m *Monitor) sampleAccounts(elapsed time.Duration) (changes []Change) {
	m.limits = nil // the former list may be on its way to members
	for k, a := range m.accounts {
		limited := a.admit < 1
		a.sample(elapsed, m.entitled(k, a))
		if (a.admit < 1) != limited {
			changes = append(changes, a.change(k))
		}
		if a.admit < 1 {
			m.limits = append(m.limits, a.limit(k))
		}
	}
	sortLimits(m.limits)
	m.limits = m.limits[:min(len(m.limits), MaxLimits)]
	sortChanges(changes)
	return changes
}

// sampleQueues updates what the queues complete and the weights of their active accounts, and forgets idle accounts.
func (m *Monitor) sampleQueues(elapsed time.Duration, now time.Time) {
	for name, q := range m.queues {
		if q.weights == 0 {
			delete(m.queues, name) // none of its accounts is known any more
		}
		q.weights, q.limit, q.done = 0, 0, 0
	}
	for k, a := range m.accounts {
		if a.active() || a.lastActive.IsZero() {
			a.lastActive = now
		}
		if now.Sub(a.lastActive) > idleRetention && a.admit == 1 {
			delete(m.accounts, k)
			continue
		}
		m.queue(k.Queue).add(a)
	}
	for _, q := range m.queues {
		q.completed.add(q.done, elapsed.Seconds(), keep(elapsed, averaging(q.limit)))
	}
}

// active reports whether anything of the account was accepted, has completed or waits.
func (a *accountLoad) active() bool {
	return a.accepted > 0 || a.done > 0 || a.waiting.Work > 0 || a.waiting.Expired > 0
}

func (m *Monitor) queue(name string) *queueLoad {
	q := m.queues[name]
	if q == nil {
		q = &queueLoad{}
		m.queues[name] = q
	}
	return q
}

// add adds the figures of one account since the last sample.
func (q *queueLoad) add(a *accountLoad) {
	q.weights += a.weight
	q.done += a.done
	q.limit = max(q.limit, a.maxWait)
}

// entitled returns the work per second that an account would complete in its queue with its share by weight.
func (m *Monitor) entitled(k Key, a *accountLoad) float64 {
	q := m.queues[k.Queue]
	if q == nil || q.weights == 0 {
		return 0
	}
	return q.completed.perSecond() * a.weight / q.weights
}

// averaging returns the time over which the rates of an account with this limit are averaged.
func averaging(limit time.Duration) time.Duration {
	return min(max(limit/ExpiryFactor, minAveraging), maxAveraging)
}

// keep returns the factor by which former samples count less after elapsed.
func keep(elapsed, averaging time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / averaging.Seconds())
}

// sample updates the figures of an account and its admitted fraction.
func (a *accountLoad) sample(elapsed time.Duration, entitled float64) {
	k := keep(elapsed, averaging(a.maxWait))
	a.acceptedRate.add(a.accepted, elapsed.Seconds(), k)
	a.admitted.add(a.applied*elapsed.Seconds(), elapsed.Seconds(), k)
	a.applied = a.admit // by members, from about now on
	a.measureServed(elapsed)
	a.accepted, a.done, a.doneSteps = 0, 0, 0
	a.rate, a.evidence = a.servedRate()
	a.wait = 0
	if !a.evidence {
		a.recover()
		return
	}
	if a.waiting.ForQuota <= quotaShare*a.waiting.Work {
		a.rate = max(a.rate, entitled)
	}
	a.wait, a.lastRate = a.expectedWait(), a.rate
	switch {
	case a.wait > a.maxWait:
		a.reduce()
	case float64(a.wait) < recoverBelow*float64(a.maxWait):
		a.recover()
	}
}

// backlogged reports whether work has waited for longer than a run takes, so that what completes shows what the account
// can get. The mean age of a queue that grows evenly is half of the age of its oldest part.
func (a *accountLoad) backlogged() bool {
	return a.waiting.Work > 0 && 2*a.waiting.Age >= a.waiting.RunTime
}

// measureServed counts what completed while work had been waiting. While too few steps have completed, nothing is
// forgotten. It is averaged over two run times at least: runs that started together end together.
func (a *accountLoad) measureServed(elapsed time.Duration) {
	if !a.backlogged() {
		a.served, a.servedSteps = decayingRate{}, decayingRate{}
		return
	}
	k := keep(elapsed, max(averaging(a.maxWait), 2*a.waiting.RunTime))
	if a.servedSteps.sum*k < minSteps {
		k = 1
	}
	a.served.add(a.done, elapsed.Seconds(), k)
	a.servedSteps.add(a.doneSteps, elapsed.Seconds(), k)
}

// servedRate returns the work per second that completes while work waits, raised by its standard error; ok is false
// as long as there is too little evidence.
func (a *accountLoad) servedRate() (rate float64, ok bool) {
	seconds, steps := a.served.seconds, a.servedSteps.sum
	if a.jobs == 0 || seconds == 0 || seconds < a.waiting.RunTime.Seconds() {
		return 0, false
	}
	if steps >= minSteps {
		return a.served.perSecond() * (1 + 1/math.Sqrt(steps)), true
	}
	if seconds < a.maxWait.Seconds() || a.waiting.Steps == 0 {
		return 0, false
	}
	return max(a.served.perSecond(), minSteps*a.waiting.Work/a.waiting.Steps/seconds), true
}

// expectedWait returns the expected wait of the next job. Expired work comes last and delays the next job only while at
// least as much is accepted as completes.
func (a *accountLoad) expectedWait() time.Duration {
	work := a.waiting.Work
	if a.acceptedRate.perSecond() >= a.rate {
		work += a.waiting.Expired
	}
	return a.timeFor(work)
}

// timeFor returns the time in which this much work completes.
func (a *accountLoad) timeFor(work float64) time.Duration {
	return time.Duration(min(work/a.rate, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds bounds the expected wait, so that it can be represented as a duration.
const maxWaitSeconds = 24 * 3600

// offeredRate estimates the work per second that callers send, refused jobs included.
func (a *accountLoad) offeredRate() float64 {
	return a.acceptedRate.perSecond() / max(a.admitted.perSecond(), minAdmit)
}

// reduce lowers the admitted fraction to what completes. If the wait is over the limit without expired work, it is
// lowered further, so that the wait falls.
func (a *accountLoad) reduce() {
	drain := min(max(2-float64(a.timeFor(a.waiting.Work))/float64(a.maxWait), minDrain), 1)
	share := 1.0
	if offered := a.offeredRate(); offered > a.rate {
		share = a.rate / offered
	}
	target := max(drain*share, maxFall*a.admit, minAdmit)
	a.admit = min(a.admit, target)
}

// recover raises the admitted fraction, slowly while callers send more than completes.
func (a *accountLoad) recover() {
	step := max(recoveryFactor*a.admit, minRecovery)
	if a.offeredRate() > a.lastRate {
		step = minRecovery
	}
	a.admit = min(a.admit+step, 1)
}

// limit returns the limit for the members. Its wait is at least the limit of the account, also while the fraction rises
// again: that is the wait to which all of the offered jobs would lead.
func (a *accountLoad) limit(k Key) Limit {
	return Limit{Key: k, Admit: a.admit, Wait: max(a.wait, a.maxWait), RetryAfter: a.retryAfter()}
}

// retryAfter returns the time until the wait has fallen below the limit at the present rates.
func (a *accountLoad) retryAfter() time.Duration {
	excess := a.wait - a.maxWait
	if excess <= 0 || a.rate == 0 {
		return 0
	}
	drain := max(1-a.acceptedRate.perSecond()/a.rate, 1/float64(maxDrainTime))
	return time.Duration(float64(excess) / drain)
}

func (a *accountLoad) change(k Key) Change {
	return Change{
		Limit: Limit{Key: k, Admit: a.admit, Wait: a.wait, RetryAfter: a.retryAfter()}, Began: a.admit < 1, MaxWait: a.maxWait,
		Waiting: a.waiting, Rate: a.rate, Offered: a.offeredRate(),
	}
}

// Limits returns the limits of the last sample, those with the longest waits first.
func (m *Monitor) Limits() []Limit { return m.limits }

func sortLimits(limits []Limit) {
	slices.SortFunc(limits, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(b.Wait, a.Wait), compareKeys(a.Key, b.Key))
	})
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Account, b.Account))
}
