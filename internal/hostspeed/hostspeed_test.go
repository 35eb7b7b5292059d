package hostspeed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// TestHostSpeedIsEstimated checks that the mean over tasks whose run times differ by a sixth identifies
// hosts that are slower by a third.
func TestHostSpeedIsEstimated(t *testing.T) {
	is := is.New(t)
	var fast, slow Estimate
	is.Equal(fast.RelativeRunTime(), 1.0) // no observation yet
	for i := range 40 {
		uneven := 1 + 0.16*float64(i%3-1)
		fast.Observe(0.92*uneven, start)
		slow.Observe(1.2*uneven, start)
	}
	is.True(!fast.Slow())
	is.True(slow.Slow())
	is.True(slow.RelativeRunTime()-fast.RelativeRunTime() > 0.2)
}

// TestSpeedExpires guards against a host that was slow once and is taken for slow for as long as it gets no
// work, and against an estimate that fades while the host has work.
func TestSpeedExpires(t *testing.T) {
	is := is.New(t)
	var e Estimate
	now := start
	for range 600 { // a run every 5 s for 50 minutes
		now = now.Add(5 * time.Second)
		e.Expire(now)
		e.Observe(1.3, now)
	}
	is.True(e.RelativeRunTime() > 1.29)
	for range 35 { // often or seldom, with the same result
		now = now.Add(time.Second)
		e.Expire(now)
	}
	once := e
	for range 20 {
		now = now.Add(time.Second)
		e.Expire(now)
	}
	once.Expire(now)
	is.True(e.RelativeRunTime()-once.RelativeRunTime() < 1e-9 && once.RelativeRunTime()-e.RelativeRunTime() < 1e-9)
	is.True(!e.Slow()) // after 55 s
	e.Expire(now.Add(time.Hour))
	is.Equal(e, Estimate{})
}

// TestUnansweredCallExpires: an unanswered call counts for seconds only.
func TestUnansweredCallExpires(t *testing.T) {
	is := is.New(t)
	is.Equal(UnansweredWeight(time.Time{}, start), 0.0)
	is.Equal(UnansweredWeight(start, start), 1.0)
	is.Equal(UnansweredWeight(start, start.Add(1500*time.Millisecond)), 0.5)
	is.Equal(UnansweredWeight(start, start.Add(time.Minute)), 0.0)
}
