package report

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

// day has jobs of two queues, ended one a second; those of "slow" take ever longer.
func day() []Line {
	var out []Line
	for i := range 20 {
		at := begin.Add(time.Duration(i) * time.Second)
		for _, queue := range []string{"quick", "slow"} {
			job := fmt.Sprint(queue, i)
			took := 300 * ms
			if queue == "slow" {
				took = time.Duration(i+1) * time.Second
			}
			out = append(out,
				Line{Time: at, Msg: msgAccepted, Job: job, Queue: queue, Took: 8 * ms, Why: "stored"},
				Line{Time: at, Msg: msgAccepted, Job: job, Queue: queue, Took: 900 * ms, Why: "it was there before"},
				Line{Time: at, Msg: msgStarted, Job: job, Age: 20 * ms},
				Line{Time: at, Msg: msgStarted, Job: job, Age: 5000 * ms}, // its second step
				Line{Time: at, Msg: msgEnded, Job: job, Why: "completed", Age: took},
			)
		}
	}
	return append(out, Line{Time: begin, Msg: msgRefused, Job: "x", Queue: "quick"}, Line{Time: begin, Msg: "store lost"})
}

func TestStagesByQueue(t *testing.T) {
	is := is.New(t)
	queues := Of(day())
	is.Equal(len(queues), 2)
	quick, slow := queues[0], queues[1]
	is.Equal(quick.Name, "quick")
	is.Equal(quick.Accepted, 20)
	is.Equal(quick.Refused, 1)
	is.Equal(quick.Outcomes["completed"], 20)
	is.Equal(quick.Quantile(Stored, 0.99), 8*ms) // the first try counts
	is.Equal(quick.Quantile(Waited, 0.5), 20*ms) // the first step counts
	is.Equal(quick.Quantile(Ended, 0.95), 300*ms)
	is.Equal(slow.Quantile(Ended, 0.5), 11*time.Second)
	is.Equal(slow.Quantile(Ended, 1), 20*time.Second)
	is.Equal(slow.Quantile("unknown", 0.5), time.Duration(0))
	is.Equal(len(Of(nil)), 0)
}

// TestJobsOfUnknownQueues: a log that lacks the acceptance still counts.
func TestJobsOfUnknownQueues(t *testing.T) {
	is := is.New(t)
	queues := Of([]Line{{Time: begin, Msg: msgEnded, Job: "a", Why: "failed", Age: ms}})
	is.Equal(len(queues), 1)
	is.Equal(queues[0].Name, "")
	is.Equal(queues[0].Outcomes["failed"], 1)
}

func TestCurve(t *testing.T) {
	is := is.New(t)
	points := Of(day())[1].Curve(Ended, 0.95, begin, 4*time.Second)
	is.Equal(len(points), 5)
	is.Equal(points[0], Point{Since: 2 * time.Second, Took: 4 * time.Second})
	is.Equal(points[4], Point{Since: 18 * time.Second, Took: 20 * time.Second})
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Plot(&out, Of(day()), begin))
	is.True(strings.Contains(out.String(), "<svg"))
	is.True(strings.Contains(out.String(), "slow"))
	is.True(errors.Is(Plot(&out, Of(day()[:5]), begin), ErrNothing))
}

// TestJobsGivenUpAreOneOutcome: each has its own reason, and a report of a cell in which
// many are given up had a column of them all.
func TestJobsGivenUpAreOneOutcome(t *testing.T) {
	is := is.New(t)
	var lines []Line
	for i, why := range []string{
		"completed", "failed", "failed 5212 job-crashes-hosts: task a/0/0/0: 2 hosts crashed under it", "failed 5212 job-crashes-hosts: task b/0/0/0: 3 hosts crashed under it",
	} {
		lines = append(lines, Line{Time: begin, Msg: msgEnded, Job: fmt.Sprint("job", i), Queue: "q", Why: why})
	}
	is.Equal(Of(lines)[0].Outcomes, map[string]int{"completed": 1, "failed": 1, "failed 5212 job-crashes-hosts": 2})
}
