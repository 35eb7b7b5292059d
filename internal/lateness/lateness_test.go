package lateness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateness guards against late timers alone being taken for a slow host. By that criterion,
// a holder of 3,000 hosts in a cell of 300 members handed its partition over every five seconds
// to a member that was then as loaded, and 0.034 of the jobs were served.
func TestLateness(t *testing.T) {
	const ms, us = time.Millisecond, time.Microsecond
	usualWork, slowWork := 15*us, 120*us
	tests := map[string]struct {
		timers   []Sample
		slowWork bool
		busy     bool
	}{
		"on time":             {[]Sample{{ms, usualWork}, {0, usualWork}, {2 * ms, usualWork}}, false, false},
		"one long pause":      {[]Sample{{4 * time.Second, slowWork}, {ms, usualWork}, {ms, usualWork}}, false, true},
		"slow":                {[]Sample{{30 * ms, slowWork}, {20 * ms, slowWork}, {60 * ms, slowWork}, {ms, slowWork}}, true, true},
		"loaded healthy host": {[]Sample{{30 * ms, slowWork}, {20 * ms, usualWork}, {60 * ms, slowWork}, {90 * ms, slowWork}}, false, true},
		"slow without load":   {[]Sample{{ms, slowWork}, {ms, slowWork}, {ms, slowWork}, {ms, slowWork}, {ms, slowWork}}, false, false},
		"a little slower":     {[]Sample{{30 * ms, 2 * usualWork}, {20 * ms, 2 * usualWork}, {60 * ms, 2 * usualWork}}, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var l Timers
			l.Observe(Sample{0, usualWork}) // fastest benchmark
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

// TestOneMeasurementFarBelow guards against a single very short benchmark. One measurement of a
// fifth of the usual duration made a loaded holder on a healthy host hand its partition over.
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
