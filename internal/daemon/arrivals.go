package daemon

import "time"

// arrivals counts the requests of a server and holds the time of the last one.
type arrivals struct {
	count int
	last  time.Time
}

// add records a request.
func (a *arrivals) add(at time.Time) {
	a.count++
	a.last = at
}
