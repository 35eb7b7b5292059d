package fairshare

import "time"

// burstFor is how many seconds of an allowance may come at once: callers come unevenly.
const burstFor = 5

// Allowance tells which jobs of a client account are within the number a second that it
// is promised, and which are surplus. A surplus job takes nothing of the allowance. The
// zero value promises nothing.
type Allowance struct {
	perSecond float64
	left      float64 // jobs
	at        time.Time
}

// Set changes the promised number of jobs a second.
func (a *Allowance) Set(perSecond float64, now time.Time) {
	if a.perSecond == perSecond {
		return
	}
	if a.at.IsZero() {
		a.left, a.at = burstFor*perSecond, now
	}
	a.refill(now)
	a.perSecond = perSecond
	a.left = min(a.left, burstFor*perSecond)
}

func (a *Allowance) refill(now time.Time) {
	if since := now.Sub(a.at); since > 0 {
		a.left = min(a.left+since.Seconds()*a.perSecond, burstFor*a.perSecond)
		a.at = now
	}
}

// Take counts a job that came at now, and reports whether it is within the allowance.
func (a *Allowance) Take(now time.Time) bool {
	a.refill(now)
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
