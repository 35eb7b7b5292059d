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
	usualWork, slowWork := 15*us, 120*us
	tests := map[string]struct {
		timers   []Sample
		slowWork bool
		busy     bool
	}{
		"in time":                     {[]Sample{{ms, usualWork}, {0, usualWork}, {2 * ms, usualWork}}, false, false},
		"one long pause":              {[]Sample{{4 * time.Second, slowWork}, {ms, usualWork}, {ms, usualWork}}, false, true},
		"slow":                        {[]Sample{{30 * ms, slowWork}, {20 * ms, slowWork}, {60 * ms, slowWork}, {ms, slowWork}}, true, true},
		"much to do on a sound host":  {[]Sample{{30 * ms, slowWork}, {20 * ms, usualWork}, {60 * ms, slowWork}, {90 * ms, slowWork}}, false, true},
		"slow, but with little to do": {[]Sample{{ms, slowWork}, {ms, slowWork}, {ms, slowWork}, {ms, slowWork}, {ms, slowWork}}, false, false},
		"a little slower":             {[]Sample{{30 * ms, 2 * usualWork}, {20 * ms, 2 * usualWork}, {60 * ms, 2 * usualWork}}, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var l Timers
			l.Observe(Sample{0, usualWork}) // at its best
			for range SampleCount {
				l.Observe(Sample{0, slowWork})
			}
			for i := range SampleCount {
				l.Observe(tc.timers[i%len(tc.timers)])
			}
			is.New(t).Equal(l.Slow(), tc.slowWork)
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
		l.Observe(Sample{time.Millisecond, usual})
	}
	l.Observe(Sample{0, usual / 5})
	for range SampleCount {
		l.Observe(Sample{20 * time.Millisecond, usual})
	}
	is.New(t).True(!l.Slow())
	is.New(t).True(l.Busy())
	for range SampleCount {
		l.Observe(Sample{20 * time.Millisecond, 5 * usual})
	}
	is.New(t).True(l.Slow())
}
