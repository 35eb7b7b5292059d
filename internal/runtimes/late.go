package runtimes

import (
	"math"
	"time"
)

const (
	// lateDeviations is the number of standard deviations above its prediction from which on a run is
	// late: one run in 25, where the logarithms of run times are distributed normally.
	lateDeviations = 1.75
	// maxResidual limits the residual of one sample, in standard deviations, so that a few ends that were
	// known late do not make all runs seem to vary.
	maxResidual = 3
	// minDeviation is the least standard deviation of the logarithms, below which the time that messages
	// take matters more.
	minDeviation = 0.03
)

// residuals are running means of the logarithm of the run time divided by its prediction.
type residuals struct {
	n            int
	mean, square float64
}

// deviation returns the standard deviation.
func (r *residuals) deviation() float64 {
	return max(math.Sqrt(max(r.square-r.mean*r.mean, 0)), minDeviation)
}

// AddResidual adds the sample of a task whose run time was predicted, for LateRunTime.
func (l *Estimator) AddResidual(queue string, predicted, runTime time.Duration) {
	if predicted <= 0 || runTime <= 0 {
		return
	}
	r := l.residuals[queue]
	if r == nil {
		r = &residuals{}
		l.residuals[queue] = r
	}
	x := math.Log(float64(runTime) / float64(predicted))
	if r.n >= minSamples {
		limit := maxResidual * r.deviation()
		x = min(max(x, r.mean-limit), r.mean+limit)
	}
	r.n++
	step := 1 / float64(min(r.n, sampleWindow))
	r.mean += step * (x - r.mean)
	r.square += step * (x*x - r.square)
}

// LateRunTime returns the time after which a task with a predicted run time is late, by how far the run
// times of its queue differ from their predictions. It reports false while too few are known.
func (l *Estimator) LateRunTime(queue string, predicted time.Duration) (time.Duration, bool) {
	r := l.residuals[queue]
	if r == nil || r.n < minSamples || predicted <= 0 {
		return 0, false
	}
	return time.Duration(float64(predicted) * math.Exp(r.mean+lateDeviations*r.deviation())), true
}
