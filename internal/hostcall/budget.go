package hostcall

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pulleyquay/internal/host"
	"pulleyquay/internal/linkshard"
)

// Limits of repeated calls, as shares of the processor time of this process. A process whose usual
// calls take most of its time must not repeat any: answers that are late after a burst would be
// taken for lost, and the repeated calls would keep them late.
const (
	// usualCallShare is the share that the usual calls to hosts may take for calls to be repeated. It
	// is above the share that a link shard is given, as hosts of a failed shard are added.
	usualCallShare = 0.25
	// repeatShare is the share that repeated calls may take: two a second for each host at the most
	// hosts, which is what polls of lossyPollWait need.
	repeatShare = 0.15
	// coresPerCall is the processor time in seconds that one call takes.
	coresPerCall = 0.00015
	// repeatBurst is the time for which the budget accumulates.
	repeatBurst = 500 * time.Millisecond
)

// repeatBudget limits the calls that are repeated, by the processor time of this process. It is
// safe for concurrent use.
type repeatBudget struct {
	maxHosts int
	calls    *rate.Limiter
	active   activeHosts
}

// newRepeatBudget returns the budget of a process with the given number of cores.
func newRepeatBudget(cores float64) *repeatBudget {
	perSecond := cores * repeatShare / coresPerCall
	return &repeatBudget{
		maxHosts: int(cores * usualCallShare / linkshard.CoresPerHost),
		calls:    rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond*repeatBurst.Seconds()), 1)),
	}
}

// repeatDecision says whether a call is repeated, and why not.
type repeatDecision string

const (
	repeatAllowed   repeatDecision = "repeated"
	repeatLate      repeatDecision = "timers late"
	repeatManyHosts repeatDecision = "many hosts"
	repeatExceeded  repeatDecision = "budget exceeded"
)

// fewHosts reports whether this process calls so few hosts that it has processor time for additional
// calls.
func (b *repeatBudget) fewHosts(now time.Time) bool { return b.active.count(now) <= b.maxHosts }

// budgetUse is what a repeated call is for.
type budgetUse bool

const (
	forUnanswered budgetUse = false // a call got no answer
	forShortPoll  budgetUse = true  // the next poll of a sequence whose polls are answered
)

// unansweredReserve is the part of the burst that is kept for calls without an answer: one that is not
// repeated is reported as lost.
const unansweredReserve = 0.25

// tryWithdraw withdraws one repeated call. It reports whether the budget sufficed.
func (b *repeatBudget) tryWithdraw(now time.Time, use budgetUse) bool {
	if use == forShortPoll && b.calls.TokensAt(now) < unansweredReserve*float64(b.calls.Burst()) {
		return false
	}
	return b.calls.AllowN(now, 1)
}

// activePeriod is how long after its last call a host counts as called by this process. It exceeds
// the pauses between the calls to a host in use, of 0.25 s at the most, and is below the interval of
// the polls of an idle host. A host that another process calls now is no longer counted soon.
const activePeriod = time.Second

// activeHosts counts the hosts that this process calls. The zero value is empty.
type activeHosts struct {
	mu       sync.Mutex
	hosts    map[host.ID]hostCalls
	prunedAt time.Time
}

// hostCalls are the calls to one host.
type hostCalls struct {
	inFlight int
	endedAt  time.Time // when the last call ended
}

// begin records that a call to a host begins.
func (a *activeHosts) begin(id host.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = map[host.ID]hostCalls{}
	}
	calls := a.hosts[id]
	calls.inFlight++
	a.hosts[id] = calls
}

// end records that a call to a host has ended.
func (a *activeHosts) end(id host.ID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls := a.hosts[id]
	calls.inFlight--
	calls.endedAt = now
	a.hosts[id] = calls
	a.prune(now)
}

// prune removes the hosts that are not called any more, at most once in activePeriod. The lock is
// held.
func (a *activeHosts) prune(now time.Time) {
	if now.Sub(a.prunedAt) < activePeriod {
		return
	}
	a.prunedAt = now
	for id, calls := range a.hosts {
		if calls.inFlight == 0 && now.Sub(calls.endedAt) >= activePeriod {
			delete(a.hosts, id)
		}
	}
}

// count returns the number of hosts that are called, which may include hosts whose last call was up
// to twice activePeriod ago.
func (a *activeHosts) count(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prune(now)
	return len(a.hosts)
}
