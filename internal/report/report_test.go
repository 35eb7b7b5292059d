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

var start = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

// exampleLog has jobs of two queues. In each queue, one job ends per second. Each job of "slow" takes a
// second longer than the job before it.
func exampleLog() []Line {
	var out []Line
	for i := range 20 {
		at := start.Add(time.Duration(i) * time.Second)
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
	return append(out, Line{Time: start, Msg: msgRefused, Job: "x", Queue: "quick"}, Line{Time: start, Msg: "store lost"})
}

func TestStagesByQueue(t *testing.T) {
	is := is.New(t)
	queues := ByQueue(exampleLog())
	is.Equal(len(queues), 2)
	quick, slow := queues[0], queues[1]
	is.Equal(quick.Name, "quick")
	is.Equal(quick.Accepted, 20)
	is.Equal(quick.Refused, 1)
	is.Equal(quick.Outcomes["completed"], 20)
	is.Equal(quick.Quantile(Stored, 0.99), 8*ms) // only the first acceptance counts
	is.Equal(quick.Quantile(Waited, 0.5), 20*ms) // only the first step counts
	is.Equal(quick.Quantile(Ended, 0.95), 300*ms)
	is.Equal(slow.Quantile(Ended, 0.5), 11*time.Second)
	is.Equal(slow.Quantile(Ended, 1), 20*time.Second)
	is.Equal(slow.Quantile("unknown", 0.5), time.Duration(0))
	is.Equal(len(ByQueue(nil)), 0)
}

// TestJobsOfUnknownQueues checks that a job whose acceptance is missing in the log still counts.
func TestJobsOfUnknownQueues(t *testing.T) {
	is := is.New(t)
	queues := ByQueue([]Line{{Time: start, Msg: msgEnded, Job: "a", Why: "failed", Age: ms}})
	is.Equal(len(queues), 1)
	is.Equal(queues[0].Name, "")
	is.Equal(queues[0].Outcomes["failed"], 1)
}

func TestCurve(t *testing.T) {
	is := is.New(t)
	points := ByQueue(exampleLog())[1].TimeSeries(Ended, 0.95, start, 4*time.Second)
	is.Equal(len(points), 5)
	is.Equal(points[0], Point{Offset: 2 * time.Second, Took: 4 * time.Second})
	is.Equal(points[4], Point{Offset: 18 * time.Second, Took: 20 * time.Second})
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Plot(&out, ByQueue(exampleLog()), start))
	is.True(strings.Contains(out.String(), "<svg"))
	is.True(strings.Contains(out.String(), "slow"))
	is.True(errors.Is(Plot(&out, ByQueue(exampleLog()[:5]), start), ErrTooFewPoints))
}

// Jobs that fail with the same code have different reasons, which name the task. Counting each reason
// as an outcome of its own would list every failed job in the report.
func TestJobsFailedWithOneCodeAreOneOutcome(t *testing.T) {
	is := is.New(t)
	var lines []Line
	for i, why := range []string{
		"completed", "failed", "failed 5212 job-crashes-hosts: task a/0/0/0: 2 hosts crashed under it", "failed 5212 job-crashes-hosts: task b/0/0/0: 3 hosts crashed under it",
	} {
		lines = append(lines, Line{Time: start, Msg: msgEnded, Job: fmt.Sprint("job", i), Queue: "q", Why: why})
	}
	is.Equal(ByQueue(lines)[0].Outcomes, map[string]int{"completed": 1, "failed": 1, "failed 5212 job-crashes-hosts": 2})
}
