package fleet

import (
	"time"

	"pulleyquay/internal/worker"
)

// Clocks of workers and placers may run apart by one part in clockDrift.
const clockDrift = 100

// times are the periods that follow from the term of the leases.
type times struct {
	lease time.Duration
	renew time.Duration // between two renewals of a worker
	poll  time.Duration // the least time between two orders without content
	// call bounds a call to a worker; an order expires with it.
	call     time.Duration
	tick     time.Duration
	retry    time.Duration // first wait after a failed claim
	retryMax time.Duration
	margin   time.Duration // added to each bound on the end of a lease
}

func timesOf(lease time.Duration) times {
	return times{
		lease: lease, renew: lease / 3, poll: lease / 30, call: min(lease/6, 2*time.Second),
		tick:  min(max(lease/60, 10*time.Millisecond), 250*time.Millisecond),
		retry: lease / 150, retryMax: lease / 6, margin: lease / 30,
	}
}

// leaseBound is how long after a renewal took effect every lease renewed by it
// is certainly over, for a worker whose clock may be slow by the drift.
func (t times) leaseBound() time.Duration {
	return t.lease + t.lease/clockDrift + t.margin
}

// anchor ties a worker's clock to this process's monotonic clock: the worker
// read its clock before the reply with the reading was received at.
type anchor struct {
	reading worker.Millis
	at      time.Time
}

// expiry gives the reading that the worker's clock shows not later than until,
// even if the clock is slow by the drift. The worker's clock is at or past
// reading at the local time at, so at until it shows at least the result.
func (c anchor) expiry(until time.Time) worker.Millis {
	d := until.Sub(c.at)
	if d > 0 {
		d -= d / clockDrift
	}
	return c.reading + worker.Millis(d.Milliseconds())
}
