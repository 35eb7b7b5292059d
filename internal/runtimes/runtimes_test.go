package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// play draws tasks of a queue whose times are spread, and estimates that are off,
// by these factors (as standard deviations of logarithms). It returns the mean
// error of what callers declare and of what is expected, as logarithms.
func play(spread, off, bias float64, n int) (declaredError, expectedError float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	l := NewLearner()
	for i := range n {
		took := math.Exp(1 + spread*rnd.NormFloat64())
		declared := time.Duration(took * math.Exp(off*rnd.NormFloat64()) * bias * float64(time.Second))
		if i >= n/2 {
			declaredError += math.Abs(math.Log(declared.Seconds()/took)) / float64(n/2)
			expectedError += math.Abs(math.Log(l.Expect("q", declared).Seconds()/took)) / float64(n/2)
		}
		l.Ended("q", declared, time.Duration(took*float64(time.Second)))
	}
	return declaredError, expectedError
}

func TestExpectations(t *testing.T) {
	tests := map[string]struct {
		spread, off, bias float64
		// most is how large the error may be, as a share of the declared one.
		most float64
	}{
		"good estimates stay":            {0.5, 0.05, 1, 1.02},
		"wild estimates are mended":      {0.5, 0.9, 1, 0.6},
		"fair estimates are mended some": {0.5, 0.5, 1, 0.85},
		"estimates are twice too long":   {0.5, 0.2, 2, 0.4},
		"times do not differ":            {0, 0.9, 1, 0.1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			declared, expected := play(tc.spread, tc.off, tc.bias, 2000)
			if expected > tc.most*declared {
				t.Errorf("error %.3f, declared %.3f", expected, declared)
			}
		})
	}
}

func TestNothingLearnedYet(t *testing.T) {
	is := is.New(t)
	l := NewLearner()
	is.Equal(l.Expect("q", time.Second), time.Second)
	for range enough - 1 {
		l.Ended("q", time.Second, 3*time.Second)
	}
	is.Equal(l.Expect("q", time.Second), time.Second)
	l.Ended("q", time.Second, 3*time.Second)
	is.True(math.Abs(l.Expect("q", time.Second).Seconds()-3) < 0.001)
	is.Equal(l.Expect("other", time.Second), time.Second)
	l.Ended("q", 0, time.Second) // says nothing
	is.Equal(l.Expect("q", 0), time.Duration(0))
}
