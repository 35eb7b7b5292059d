package daemon

import "time"

// Limits of the wait for callers that have stopped sending requests.
const (
	// arrivalsKept is the number of requests from which the usual gap between two is taken.
	arrivalsKept = 8
	// quietGaps is how many usual gaps without a request tell that no more are sent: between independent
	// callers a pause of that length is rare.
	quietGaps = 5
	// minQuiet covers callers that are delayed for a moment.
	minQuiet = 300 * time.Millisecond
	// maxQuiet is how long after its last request a server counts as left in any case.
	maxQuiet = 2 * time.Second
	// checksToNotice is how many readiness checks a load balancer has made when it has acted on the first:
	// some need two failed checks, and those that check hosts in turn begin anew once all are known.
	checksToNotice = 2
)

// arrivals are the times at which the latest requests arrived at a server.
type arrivals struct {
	count  int                     // number of all requests
	latest [arrivalsKept]time.Time // ring; request number i is at i modulo the length
}

// add records a request. Requests are added in the order of their arrival.
func (a *arrivals) add(at time.Time) {
	a.latest[a.count%arrivalsKept] = at
	a.count++
}

// last returns when the last request arrived; zero if none has.
func (a *arrivals) last() time.Time {
	if a.count == 0 {
		return time.Time{}
	}
	return a.latest[(a.count-1)%arrivalsKept]
}

// first returns when the oldest of the latest requests arrived; zero if none has.
func (a *arrivals) first() time.Time {
	if a.count < arrivalsKept {
		return a.latest[0]
	}
	return a.latest[a.count%arrivalsKept]
}

// quietPeriod returns the length of a pause which tells that no more requests are sent.
func (a *arrivals) quietPeriod() time.Duration {
	gaps := min(a.count, arrivalsKept) - 1
	if gaps < 1 {
		return minQuiet
	}
	gap := a.last().Sub(a.first()) / time.Duration(gaps)
	return min(max(quietGaps*gap, minQuiet), maxQuiet)
}

// readinessChecks are the readiness checks that a process has answered.
type readinessChecks struct {
	ready     int       // before the planned stop
	stopping  int       // since its start
	noticedAt time.Time // when the load balancer had noticed the stop; zero if it has not
}

// add records a check.
func (c *readinessChecks) add(at time.Time, stopping bool) {
	if !stopping {
		c.ready++
		return
	}
	if c.stopping++; c.stopping == checksToNotice {
		c.noticedAt = at
	}
}

// pending reports whether a load balancer checks the process and has not noticed the stop.
func (c readinessChecks) pending() bool { return c.ready > 0 && c.noticedAt.IsZero() }

// callersGoneAt returns the time from which the callers of a stopping process count as gone if no more
// requests arrive. It is past if there were none lately.
func callersGoneAt(requests arrivals, checks readinessChecks) time.Time {
	latest := requests.last().Add(maxQuiet)
	if checks.pending() {
		return latest
	}
	from := requests.last()
	if checks.noticedAt.After(from) {
		from = checks.noticedAt
	}
	gone := from.Add(requests.quietPeriod())
	if gone.After(latest) {
		return latest
	}
	return gone
}
