package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateRunTime: guards against too many runs that count as late, which would each be queried, and against
// a few ends that are known seconds late making late runs count as in time.
func TestLateRunTime(t *testing.T) {
	tests := map[string]struct {
		spread, bias, knownLate float64 // standard deviation and factor; part of the ends known 2.5 s late
		maxLate                 float64 // part of the runs that count as late
		within                  float64 // factor of the mean run time after which a run is late
	}{
		"nearly equal run times": {0.01, 1, 0, 0.001, 1.06},
		"run times that differ":  {0.1, 1, 0, 0.06, 1.25},
		"wrong predictions":      {0.1, 3, 0, 0.06, 1.25},
		"some ends known late":   {0.1, 1, 0.05, 0.06, 1.4},
		"very different ones":    {0.5, 1, 0, 0.06, 2.8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(1, 2))
			l := NewEstimator()
			const predicted = 600 * time.Millisecond
			_, ok := l.LateRunTime("q", predicted)
			is.True(!ok)
			draw := func() time.Duration {
				return time.Duration(tc.bias * math.Exp(tc.spread*rnd.NormFloat64()) * float64(predicted))
			}
			for range 1000 {
				took := draw()
				if rnd.Float64() < tc.knownLate {
					took += 2500 * time.Millisecond
				}
				l.AddResidual("q", predicted, took)
			}
			limit, ok := l.LateRunTime("q", predicted)
			is.True(ok)
			is.True(limit <= time.Duration(tc.within*tc.bias*float64(predicted)))
			late := 0
			for range 10000 {
				if draw() > limit {
					late++
				}
			}
			is.True(float64(late) <= tc.maxLate*10000)
		})
	}
}
