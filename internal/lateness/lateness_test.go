package lateness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateness: with late timers alone the holder of 3,000 hosts gave its partition
// away every five seconds, to a member that had as much to do then (sweep at 300
// members: served 0.034).
func TestLateness(t *testing.T) {
	const ms, us = time.Millisecond, time.Microsecond
	usual, slow := 15*us, 120*us
	tests := map[string]struct {
		timers []Timing
		slow   bool
		busy   bool
	}{
		"in time":                     {[]Timing{{ms, usual}, {0, usual}, {2 * ms, usual}}, false, false},
		"one long pause":              {[]Timing{{4 * time.Second, slow}, {ms, usual}, {ms, usual}}, false, true},
		"slow":                        {[]Timing{{30 * ms, slow}, {20 * ms, slow}, {60 * ms, slow}, {ms, slow}}, true, true},
		"much to do on a sound host":  {[]Timing{{30 * ms, slow}, {20 * ms, usual}, {60 * ms, slow}, {90 * ms, slow}}, false, true},
		"slow, but with little to do": {[]Timing{{ms, slow}, {ms, slow}, {ms, slow}, {ms, slow}, {ms, slow}}, false, false},
		"a little slower":             {[]Timing{{30 * ms, 2 * usual}, {20 * ms, 2 * usual}, {60 * ms, 2 * usual}}, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var l Timers
			l.Observe(Timing{0, usual}) // at its best
			for range Kept {
				l.Observe(Timing{0, slow})
			}
			for i := range Kept {
				l.Observe(tc.timers[i%len(tc.timers)])
			}
			is.New(t).Equal(l.Slow(), tc.slow)
			is.New(t).Equal(l.Busy(), tc.busy)
		})
	}
}

// TestOneMeasurementFarBelow: a piece of work that was measured at a fifth of its time,
// once, made a sound holder with much to do give its partition away.
func TestOneMeasurementFarBelow(t *testing.T) {
	const usual = 5 * time.Microsecond
	var l Timers
	for range 100 {
		l.Observe(Timing{time.Millisecond, usual})
	}
	l.Observe(Timing{0, usual / 5})
	for range Kept {
		l.Observe(Timing{20 * time.Millisecond, usual})
	}
	is.New(t).True(!l.Slow())
	is.New(t).True(l.Busy())
	for range Kept {
		l.Observe(Timing{20 * time.Millisecond, 5 * usual})
	}
	is.New(t).True(l.Slow())
}
