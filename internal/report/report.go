// Package report works out from saved logs where the time of jobs goes: until they
// are stored, until their steps start, and until they end, by queue.
//
// Each figure is a length of time that one process has measured by its own steady
// clock, so that clocks which differ from host to host do not matter. Only the
// curves over time need the processes' clocks to agree to about a second.
package report

import (
	"sort"
	"strings"
	"time"
)

// Line is one line of a log, as far as a report needs it.
type Line struct {
	Time  time.Time
	Msg   string
	Job   string
	Queue string
	Why   string
	// Took is how long the store took, on the line that tells of a job's acceptance.
	Took time.Duration
	// Age is since when the job was accepted, or its step's turn had come.
	Age time.Duration
}

// The messages that a report reads.
const (
	msgAccepted = "job accepted"
	msgRefused  = "job not accepted"
	msgStarted  = "step started"
	msgEnded    = "job ended"
)

// Stage is a part of a job's time.
type Stage string

// The stages of a job, in their order.
const (
	// Stored is from a job's arrival until the store has it.
	Stored Stage = "stored"
	// Waited is from a step's turn until its first tasks are ordered to start.
	Waited Stage = "waited"
	// Ended is from a job's acceptance until its last task has ended.
	Ended Stage = "ended"
)

// Stages lists the stages in their order.
var Stages = []Stage{Stored, Waited, Ended}

// Sample is one length of time, at the moment when it was known.
type Sample struct {
	At   time.Time
	Took time.Duration
}

// Queue is what became of the jobs of one queue.
type Queue struct {
	Name     string
	Accepted int
	// Refused counts tries that were turned away; a job may be tried again.
	Refused int
	// Outcomes counts ended jobs by their final state, and the code of its reason where
	// there is one.
	Outcomes map[string]int
	Samples  map[Stage][]Sample
}

// Of works a report out. The queues come by name; jobs whose acceptance no line tells
// of stand under the empty name.
func Of(lines []Line) []*Queue {
	queueOf := map[string]string{}
	for _, l := range lines {
		if l.Queue != "" && l.Job != "" {
			queueOf[l.Job] = l.Queue
		}
	}
	queues := map[string]*Queue{}
	accepted, ended, begun := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		q := queues[queueOf[l.Job]]
		if q == nil && l.Job != "" {
			q = &Queue{Name: queueOf[l.Job], Outcomes: map[string]int{}, Samples: map[Stage][]Sample{}}
			queues[q.Name] = q
		}
		switch {
		case l.Msg == msgAccepted && first(accepted, l.Job):
			q.Accepted++
			q.add(Stored, l.Time, l.Took)
		case l.Msg == msgRefused:
			q.Refused++
		case l.Msg == msgStarted && first(begun, l.Job):
			q.add(Waited, l.Time, l.Age)
		case l.Msg == msgEnded && first(ended, l.Job):
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

// outcome is what a job's end has in common with others: not which task or host it was.
func outcome(why string) string {
	state, _, _ := strings.Cut(why, ":")
	return state
}

func first(seen map[string]bool, job string) bool {
	if job == "" || seen[job] {
		return false
	}
	seen[job] = true
	return true
}

func (q *Queue) add(s Stage, at time.Time, took time.Duration) {
	q.Samples[s] = append(q.Samples[s], Sample{at, took})
}

// Quantile is the length of time that a share p of the stage's samples, 0 to 1, does
// not exceed; zero when there are none.
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

// Point is a quantile of the samples of one span of time.
type Point struct {
	// Since is the middle of the span, from the first line on.
	Since time.Duration
	Took  time.Duration
}

// Curve is a quantile of a stage over time, in spans of that length that begin at
// from; spans without samples have no point.
func (q *Queue) Curve(s Stage, p float64, from time.Time, span time.Duration) []Point {
	spans := map[int64][]Sample{}
	for _, x := range q.Samples[s] {
		spans[int64(x.At.Sub(from)/span)] = append(spans[int64(x.At.Sub(from)/span)], x)
	}
	out := make([]Point, 0, len(spans))
	for i, samples := range spans {
		out = append(out, Point{Since: time.Duration(i)*span + span/2, Took: quantile(samples, p)})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Since < out[b].Since })
	return out
}
