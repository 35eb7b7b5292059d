// Package saturate converts numbers of other writers to durations: one beyond the range of the result becomes the
// nearest value in it. The conversions of the language overflow, and those of a float64 depend on the processor.
package saturate

import (
	"math"
	"time"
)

// Millis converts whole milliseconds.
func Millis(n int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	switch {
	case n > most:
		return math.MaxInt64
	case n < -most:
		return math.MinInt64
	}
	return time.Duration(n) * time.Millisecond
}

// FloatMillis converts milliseconds. NaN becomes zero.
func FloatMillis(ms float64) time.Duration { return nanoseconds(ms * float64(time.Millisecond)) }

// Seconds converts seconds. NaN becomes zero.
func Seconds(s float64) time.Duration { return nanoseconds(s * float64(time.Second)) }

func nanoseconds(ns float64) time.Duration {
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64: // as a float64, this is one more than the largest int64
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}

// Float returns the number in [least, most] that is nearest to f. NaN becomes least.
func Float(f, least, most float64) float64 {
	if math.IsNaN(f) {
		return least
	}
	return min(max(f, least), most)
}
