package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// testPriority returns priorities like those of a holder's log lines.
func testPriority(e *logrus.Entry) Priority {
	return map[string]Priority{"run lost": PriorityNotable, "crash held against task": PriorityFinal, "job ended": PriorityFinal}[e.Message]
}

// logTo returns a daemon whose log goes to out.
func logTo(t *testing.T, out io.Writer) *Daemon {
	t.Helper()
	d, err := New("test", "info")
	is.New(t).NoErr(err)
	d.SetPriorityFunc(testPriority)
	d.Log.Logger.SetOutput(out)
	return d
}

func logged(out *bytes.Buffer, msg string) int {
	return strings.Count(out.String(), fmt.Sprintf("{%q:%q", fieldMsg, msg))
}

// With one limit for all lines, a second with many starts used it up: when a host with many runs was
// lost in that second and a job failed, neither the crash attributed to its task nor its end was
// logged. Each priority therefore has a limit of its own, and dropped lines are counted by kind.
func TestFinalLinesSurviveBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for range infoPerSecond {
			d.Log.Info("step started")
		}
		for range 300 {
			d.Log.Info("run lost")
		}
		d.Log.Info("crash held against task")
		d.Log.Info("job ended")
		for range 100 {
			d.Log.Info("step started")
		}
		is.Equal(logged(&out, "run lost"), 300)
		is.Equal(logged(&out, "crash held against task"), 1)
		is.Equal(logged(&out, "job ended"), 1)
		time.Sleep(time.Second)
		d.Log.Info("step started")
		is.True(strings.Contains(out.String(), `{"msg":"log lines left out","why":"over the budget of a second","kinds":{"step started":100},"lines":100,"time":`))
	})
}

// TestDroppedLinesReportedAtExit checks that a process which stops within the second of a burst still
// reports the dropped lines.
func TestDroppedLinesReportedAtExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for range infoPerSecond + 1 {
			d.Log.Info("step started")
		}
		for range 2 {
			d.limiter.logDropped(d.Log)
			is.Equal(logged(&out, msgDropped), 1) // once
		}
		is.True(strings.Contains(out.String(), `"kinds":{"step started":1},"lines":1,`))
	})
}

func TestEachPriorityIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for range 3 * infoPerSecond {
			for _, msg := range []string{"job ended", "step started", "run lost", "crash held against task"} {
				d.Log.Info(msg)
			}
		}
		is.Equal(strings.Count(out.String(), "\n"), int(priorityCount)*infoPerSecond)
		is.Equal(logged(&out, "job ended"), infoPerSecond/2) // half of the Final lines
		time.Sleep(time.Second)
		d.Log.Info("step started")
		is.True(strings.Contains(out.String(), `"kinds":{"crash held against task":2500,"job ended":2500,"run lost":2000,"step started":2000},"lines":9000`))
	})
}

func TestReportedKindsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for i := range infoPerSecond + 2*maxKinds {
			d.Log.Info("kind ", i)
		}
		time.Sleep(time.Second)
		d.Log.Info("kind ", 0)
		is.True(strings.Contains(out.String(), fmt.Sprintf(`"others":%d`, maxKinds)))
	})
}

// TestFinalLinesWhileOutputBlocks checks that lines of low priority leave buffer space for final lines
// and warnings, and that the buffer stays bounded.
func TestFinalLinesWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		d.buffer = &Lines{out: &out} // flushed only below
		d.limiter.buffer = d.buffer
		d.Log.Logger.SetOutput(d.buffer)
		long := strings.Repeat("x", 1000)
		for range 20 { // seconds
			for range infoPerSecond {
				d.Log.WithField("why", long).Info("step started")
			}
			time.Sleep(time.Second)
		}
		d.Log.Info("job ended")
		d.Log.Warn("store lost")
		for range 20 {
			for range infoPerSecond {
				d.Log.WithField("why", long).Info("job ended")
			}
			d.Log.WithField("why", long).Warn("store lost")
			time.Sleep(time.Second)
		}
		is.True(d.buffer.size() <= maxBufferedBytes)
		d.buffer.Flush()
		time.Sleep(time.Second)
		d.Log.Info("job ended")
		d.buffer.Flush()
		is.True(logged(&out, "job ended") > 1) // more than the one after the flush
		is.True(logged(&out, "store lost") > 0)
		reported := 0
		for _, l := range strings.Split(out.String(), "\n") {
			var line struct {
				Msg   string
				Lines int
			}
			if strings.HasPrefix(l, "{") {
				is.NoErr(json.Unmarshal([]byte(l), &line))
			}
			reported += line.Lines
		}
		written := logged(&out, "step started") + logged(&out, "job ended") + logged(&out, "store lost")
		is.Equal(written+reported, 2*20*infoPerSecond+1+1+20+1) // every line is written or counted as dropped
	})
}
