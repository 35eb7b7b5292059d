// Package report computes from saved logs how long jobs take, by queue: until they
// are stored, until their steps start, and until they end. It also summarizes the
// load of processes.
//
// Each figure is a duration that one process has measured by its own monotonic clock,
// so that clock skew between hosts has no effect. Only the plots over time need the
// processes' clocks to agree to about a second.
package report

import (
	"sort"
	"strings"
	"time"
)

// Line is one log line, with the fields that a report uses.
type Line struct {
	Time  time.Time
	Msg   string
	Job   string
	Queue string
	Why   string
	// Took is how long the submission took, on the line that reports a job's acceptance.
	Took time.Duration
	// Age is the time since the job was accepted, or since its step was due.
	Age time.Duration
}

// Messages of the lines that a report evaluates.
const (
	msgAccepted = "job accepted"
	msgRefused  = "job not accepted"
	msgStarted  = "step started"
	msgEnded    = "job ended"
)

// Stage is a part of a job's lifetime. Stages can overlap.
type Stage string

// The stages of a job, in their order.
const (
	// Stored lasts from a job's arrival until it is stored.
	Stored Stage = "stored"
	// Waited lasts from when a job's first step is due until its first tasks are ordered to
	// start.
	Waited Stage = "waited"
	// Ended lasts from a job's acceptance until its last task has ended.
	Ended Stage = "ended"
)

// Stages lists the stages in their order.
var Stages = []Stage{Stored, Waited, Ended}

// Sample is one duration, with the time at which it was logged.
type Sample struct {
	At   time.Time
	Took time.Duration
}

// Queue summarizes the jobs of one queue.
type Queue struct {
	Name     string
	Accepted int
	// Refused counts refused submissions; the same job may be submitted again.
	Refused int
	// Outcomes counts ended jobs by their final state, with the code of the reason if there
	// is one.
	Outcomes map[string]int
	Samples  map[Stage][]Sample
}

// ByQueue summarizes the lines by queue, in the order of names. Jobs without a line that names
// their queue are counted under the empty name.
func ByQueue(lines []Line) []*Queue {
	queueOf := map[string]string{}
	for _, l := range lines {
		if l.Queue != "" && l.Job != "" {
			queueOf[l.Job] = l.Queue
		}
	}
	queues := map[string]*Queue{}
	accepted, ended, started := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		q := queues[queueOf[l.Job]]
		if q == nil && l.Job != "" {
			q = &Queue{Name: queueOf[l.Job], Outcomes: map[string]int{}, Samples: map[Stage][]Sample{}}
			queues[q.Name] = q
		}
		switch {
		case l.Msg == msgAccepted && firstTime(accepted, l.Job):
			q.Accepted++
			q.add(Stored, l.Time, l.Took)
		case l.Msg == msgRefused:
			q.Refused++
		case l.Msg == msgStarted && firstTime(started, l.Job):
			q.add(Waited, l.Time, l.Age)
		case l.Msg == msgEnded && firstTime(ended, l.Job):
			q.Outcomes[outcome(l.Why)]++
			q.add(Ended, l.Time, l.Age)
		}
	}
	out := make([]*Queue, 0, len(queues))
	for _, q := range queues {
		out = append(out, q)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// outcome returns the part of a job's end reason that other jobs share: without the details after the
// colon, such as the task and host.
func outcome(why string) string {
	state, _, _ := strings.Cut(why, ":")
	return state
}

func firstTime(seen map[string]bool, job string) bool {
	if job == "" || seen[job] {
		return false
	}
	seen[job] = true
	return true
}

func (q *Queue) add(s Stage, at time.Time, took time.Duration) {
	q.Samples[s] = append(q.Samples[s], Sample{at, took})
}

// Quantile returns the p-quantile of the stage's samples, with p from 0 to 1. It is zero if
// there are no samples.
func (q *Queue) Quantile(s Stage, p float64) time.Duration { return quantile(q.Samples[s], p) }

func quantile(samples []Sample, p float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := make([]time.Duration, len(samples))
	for i, x := range samples {
		sorted[i] = x.Took
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// Point is a quantile of the samples of one time interval.
type Point struct {
	// Offset is the middle of the interval, relative to the start of the series.
	Offset time.Duration
	Took   time.Duration
}

// TimeSeries returns a quantile of a stage over time, in intervals of length span that start at
// from. Intervals without samples have no point.
func (q *Queue) TimeSeries(s Stage, p float64, from time.Time, span time.Duration) []Point {
	spans := map[int64][]Sample{}
	for _, x := range q.Samples[s] {
		spans[int64(x.At.Sub(from)/span)] = append(spans[int64(x.At.Sub(from)/span)], x)
	}
	out := make([]Point, 0, len(spans))
	for i, samples := range spans {
		out = append(out, Point{Offset: time.Duration(i)*span + span/2, Took: quantile(samples, p)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Offset < out[b].Offset })
	return out
}
