// Package runtimes estimates run times of tasks from those of earlier tasks. Callers'
// declared run times may be wrong by a factor of several, and their accuracy differs
// from queue to queue. Where it is low, the typical run time of the queue's tasks is the
// better estimate.
package runtimes

import (
	"math"
	"time"
)

// sampleWindow is about how many of the latest ended tasks the statistics of a queue cover.
const sampleWindow = 200

// minSamples is the number of ended tasks from which on the statistics are used.
const minSamples = 12

// Estimator estimates run times from the tasks that have ended, by queue. It is not safe for concurrent
// use.
type Estimator struct {
	queues    map[string]*queueStats
	residuals map[string]*residuals
}

// queueStats are running means of logarithms, because run times differ by factors.
type queueStats struct {
	n int
	// runTime and logError are the means of the logarithms of the run time in seconds, and
	// of the run time divided by the declared one. runTimeSq and logErrorSq are the means
	// of their squares.
	runTime, runTimeSq, logError, logErrorSq float64
	// residualSq is the mean of the squared differences between the logarithms of the run times and their
	// estimates, residuals the number of estimates that were compared.
	residualSq float64
	residuals  int
}

// NewEstimator returns a learner without samples, which estimates the declared run times.
func NewEstimator() *Estimator {
	return &Estimator{queues: map[string]*queueStats{}, residuals: map[string]*residuals{}}
}

// AddSample adds the sample of a task that has run at full speed until it finished.
func (l *Estimator) AddSample(queue string, declared, runTime time.Duration) {
	if declared <= 0 || runTime <= 0 {
		return
	}
	f := l.queues[queue]
	if f == nil {
		f = &queueStats{}
		l.queues[queue] = f
	}
	logTime, logError := math.Log(runTime.Seconds()), math.Log(float64(runTime)/float64(declared))
	f.observeResidual(declared, logTime)
	f.n++
	step := 1 / float64(min(f.n, sampleWindow))
	f.runTime += step * (logTime - f.runTime)
	f.runTimeSq += step * (logTime*logTime - f.runTimeSq)
	f.logError += step * (logError - f.logError)
	f.logErrorSq += step * (logError*logError - f.logErrorSq)
}

// ExpectedRunTime estimates the run time of a task: the weighted geometric mean of the declared run time,
// corrected for the queue's mean error, and the typical run time of the queue. The weights follow from
// the accuracy of each in the past.
func (l *Estimator) ExpectedRunTime(queue string, declared time.Duration) time.Duration {
	f := l.queues[queue]
	if f == nil || f.n < minSamples || declared <= 0 {
		return declared
	}
	return f.estimate(declared)
}

// observeResidual compares the estimate for a task with its run time.
func (f *queueStats) observeResidual(declared time.Duration, logTime float64) {
	if f.n < minSamples {
		return
	}
	f.residuals++
	residual := logTime - math.Log(max(f.estimate(declared), time.Nanosecond).Seconds())
	f.residualSq += (residual*residual - f.residualSq) / float64(min(f.residuals, sampleWindow))
}

// minResiduals is the number of compared estimates from which on quantiles are estimated: the relative error
// of a standard deviation from 30 samples is an eighth.
const minResiduals = 30

// Quantile estimates the run time that a task does not exceed with probability p, between 0 and 1. It takes
// the errors of the estimates as normally distributed logarithms. The second result is false while too few
// tasks of the queue have ended.
func (l *Estimator) Quantile(queue string, declared time.Duration, p float64) (time.Duration, bool) {
	f := l.queues[queue]
	if f == nil || f.residuals < minResiduals || declared <= 0 {
		return 0, false
	}
	deviations := math.Sqrt2 * math.Erfinv(2*p-1)
	return time.Duration(float64(f.estimate(declared)) * math.Exp(deviations*math.Sqrt(f.residualSq))), true
}

// estimate returns the estimated run time of a task.
func (f *queueStats) estimate(declared time.Duration) time.Duration {
	timeVariance := max(f.runTimeSq-f.runTime*f.runTime, 0)
	errorVariance := max(f.logErrorSq-f.logError*f.logError, 0)
	if timeVariance+errorVariance == 0 {
		return time.Duration(float64(declared) * math.Exp(f.logError))
	}
	// The declared run time, corrected by the mean error of this queue, is taken as the
	// actual one with an error of variance errorVariance.
	weight := timeVariance / (timeVariance + errorVariance)
	logEstimate := weight*(math.Log(declared.Seconds())+f.logError) + (1-weight)*f.runTime
	return time.Duration(math.Exp(logEstimate) * float64(time.Second))
}
