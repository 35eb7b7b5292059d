package saturate

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLimits(t *testing.T) {
	is := is.New(t)
	is.Equal(Millis(math.MaxInt64), time.Duration(math.MaxInt64))
	is.Equal(Millis(math.MinInt64), time.Duration(math.MinInt64))
	is.Equal(Millis(-1500), -1500*time.Millisecond)
	for _, f := range []float64{1e300, math.MaxFloat64, math.Inf(1), 9223372036854.775807 * 1e6} {
		is.Equal(Seconds(f), time.Duration(math.MaxInt64))
		is.Equal(FloatMillis(f), time.Duration(math.MaxInt64))
		is.Equal(Seconds(-f), time.Duration(math.MinInt64))
	}
	is.Equal(Seconds(math.NaN()), time.Duration(0))
	is.Equal(FloatMillis(1.5), 1500*time.Microsecond)
	is.Equal(Seconds(20), 20*time.Second)
	is.Equal(Float(math.NaN(), 1, 2), 1.0)
	is.Equal(Float(math.Inf(-1), 1, 2), 1.0)
	is.Equal(Float(math.Inf(1), 1, 2), 2.0)
}

// TestOrderIsKept: a longer time never becomes a shorter one, in particular not one below zero.
func TestOrderIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Int64().Draw(t, "a"), rapid.Int64().Draw(t, "b")
		if a <= b && Millis(a) > Millis(b) {
			t.Fatalf("%d ms is %v, %d ms is %v", a, Millis(a), b, Millis(b))
		}
		x, y := rapid.Float64().Draw(t, "x"), rapid.Float64().Draw(t, "y")
		if x <= y && FloatMillis(x) > FloatMillis(y) {
			t.Fatalf("%g ms is %v, %g ms is %v", x, FloatMillis(x), y, FloatMillis(y))
		}
	})
}
