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
	f.n++
	step := 1 / float64(min(f.n, sampleWindow))
	logTime, logError := math.Log(runTime.Seconds()), math.Log(float64(runTime)/float64(declared))
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
