package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulate draws n tasks of a queue. spread and estimateError are the standard deviations of the
// logarithms of run times and of the errors of declared run times, bias is the mean factor of the
// latter. It returns the mean absolute errors of the declared and of the estimated run times of the
// second half of the tasks, as logarithms.
func simulate(spread, estimateError, bias float64, n int) (declaredError, expectedError float64) {
	rnd := rand.New(rand.NewPCG(1, 2))
	l := NewEstimator()
	for i := range n {
		took := math.Exp(1 + spread*rnd.NormFloat64())
		declared := time.Duration(took * math.Exp(estimateError*rnd.NormFloat64()) * bias * float64(time.Second))
		if i >= n/2 {
			declaredError += math.Abs(math.Log(declared.Seconds()/took)) / float64(n/2)
			expectedError += math.Abs(math.Log(l.ExpectedRunTime("q", declared).Seconds()/took)) / float64(n/2)
		}
		l.AddSample("q", declared, time.Duration(took*float64(time.Second)))
	}
	return declaredError, expectedError
}

func TestExpectations(t *testing.T) {
	tests := map[string]struct {
		spread, estimateError, bias float64
		// maxRatio is the maximum of the estimate's error divided by the declared one's.
		maxRatio float64
	}{
		"accurate declarations":            {0.5, 0.05, 1, 1.02},
		"inaccurate declarations":          {0.5, 0.9, 1, 0.6},
		"moderately accurate declarations": {0.5, 0.5, 1, 0.85},
		"declarations twice too long":      {0.5, 0.2, 2, 0.4},
		"equal run times":                  {0, 0.9, 1, 0.1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			declared, expected := simulate(tc.spread, tc.estimateError, tc.bias, 2000)
			if expected > tc.maxRatio*declared {
				t.Errorf("error %.3f, declared %.3f", expected, declared)
			}
		})
	}
}

func TestTooFewSamples(t *testing.T) {
	is := is.New(t)
	l := NewEstimator()
	is.Equal(l.ExpectedRunTime("q", time.Second), time.Second)
	for range minSamples - 1 {
		l.AddSample("q", time.Second, 3*time.Second)
	}
	is.Equal(l.ExpectedRunTime("q", time.Second), time.Second)
	l.AddSample("q", time.Second, 3*time.Second)
	is.True(math.Abs(l.ExpectedRunTime("q", time.Second).Seconds()-3) < 0.001)
	is.Equal(l.ExpectedRunTime("other", time.Second), time.Second)
	l.AddSample("q", 0, time.Second) // ignored
	is.Equal(l.ExpectedRunTime("q", 0), time.Duration(0))
}

// TestQuantile checks that the quantile covers the share of the run times that it names, whatever
// the accuracy of the declared run times. Too low a quantile would make ordinary runs count as late.
func TestQuantile(t *testing.T) {
	tests := map[string]struct{ spread, estimateError, bias float64 }{
		"accurate declarations":       {0.5, 0.05, 1},
		"inaccurate declarations":     {0.3, 0.9, 1},
		"equal declarations":          {0.2, 0, 1},
		"declarations twice too long": {0.5, 0.2, 2},
	}
	const p, n = 0.98, 20_000
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(3, 4))
			l := NewEstimator()
			above, asked := 0, 0
			for range n {
				took := time.Duration(math.Exp(tc.spread*rnd.NormFloat64()) * float64(time.Second))
				declared := time.Duration(tc.bias * float64(took) * math.Exp(tc.estimateError*rnd.NormFloat64()))
				if tc.estimateError == 0 {
					declared = time.Second // the same for all tasks
				}
				if q, ok := l.Quantile("q", declared, p); ok {
					asked++
					if took > q {
						above++
					}
				}
				l.AddSample("q", declared, took)
			}
			if share := float64(above) / float64(asked); share > 2*(1-p) || share < (1-p)/8 {
				t.Errorf("%.4f of the run times exceed the quantile, want about %.2f", share, 1-p)
			}
		})
	}
}

func TestQuantileNeedsSamples(t *testing.T) {
	is := is.New(t)
	l := NewEstimator()
	for range minSamples + minResiduals - 1 {
		l.AddSample("q", time.Second, 2*time.Second)
	}
	_, ok := l.Quantile("q", time.Second, 0.98)
	is.True(!ok)
	l.AddSample("q", time.Second, 2*time.Second)
	d, ok := l.Quantile("q", time.Second, 0.98)
	is.True(ok)
	is.True(math.Abs(d.Seconds()-2) < 0.001) // run times without spread
	_, ok = l.Quantile("q", 0, 0.98)
	is.True(!ok)
}
