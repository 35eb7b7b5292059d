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

// weighed has lines weighed as in a process that holds jobs.
func weighed(e *logrus.Entry) Weight {
	return map[string]Weight{"run lost": Notable, "crash held against task": Final, "job ended": Final}[e.Message]
}

// logTo returns a daemon whose log goes to out.
func logTo(t *testing.T, out io.Writer) *Daemon {
	t.Helper()
	d, err := New("test", "info")
	is.New(t).NoErr(err)
	d.Weigh(weighed)
	d.Log.Logger.SetOutput(out)
	return d
}

func logged(out *bytes.Buffer, msg string) int {
	return strings.Count(out.String(), fmt.Sprintf("{%q:%q", fieldMsg, msg))
}

// A holder lost a host with many runs in a second in which it also started a lot. A job was
// given up in that moment, and neither what was held against its task nor its end was
// logged: the second's lines had been spent on starts. Of the lines below the log kept the
// first thousand starts, and said of the others only
//
//	{"level":"warning","msg":"log lines left out","lines":402,"why":"over the budget of a second","time":"2000-01-01T00:00:01Z"}
func TestFinalWordsOutlastABurst(t *testing.T) {
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

// TestLeftOutIsToldAtTheEnd: a process that stops within the second of a burst still tells.
func TestLeftOutIsToldAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for range infoPerSecond + 1 {
			d.Log.Info("step started")
		}
		for range 2 {
			d.budget.logRest(d.Log)
			is.Equal(logged(&out, msgLeftOut), 1) // once
		}
		is.True(strings.Contains(out.String(), `"kinds":{"step started":1},"lines":1,`))
	})
}

func TestEachWeightIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for range 3 * infoPerSecond {
			for _, msg := range []string{"job ended", "step started", "run lost", "crash held against task"} {
				d.Log.Info(msg)
			}
		}
		is.Equal(strings.Count(out.String(), "\n"), int(weights)*infoPerSecond)
		is.Equal(logged(&out, "job ended"), infoPerSecond/2) // half of what is final
		time.Sleep(time.Second)
		d.Log.Info("step started")
		is.True(strings.Contains(out.String(), `"kinds":{"crash held against task":2500,"job ended":2500,"run lost":2000,"step started":2000},"lines":9000`))
	})
}

func TestKindsThatAreToldAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		for i := range infoPerSecond + 2*mostKinds {
			d.Log.Info("kind ", i)
		}
		time.Sleep(time.Second)
		d.Log.Info("kind ", 0)
		is.True(strings.Contains(out.String(), fmt.Sprintf(`"others":%d`, mostKinds)))
	})
}

// TestFinalWordsWhileTheOutputBlocks: starts leave room for what matters more, warnings
// too, and what waits stays bounded.
func TestFinalWordsWhileTheOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		d := logTo(t, &out)
		d.lines = &Lines{out: &out} // it is flushed below only
		d.budget.lines = d.lines
		d.Log.Logger.SetOutput(d.lines)
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
		is.True(d.lines.size() <= mostGathered)
		d.lines.Flush()
		time.Sleep(time.Second)
		d.Log.Info("job ended")
		d.lines.Flush()
		is.True(logged(&out, "job ended") > 1) // more than the one after the flush
		is.True(logged(&out, "store lost") > 0)
		told := 0
		for _, l := range strings.Split(out.String(), "\n") {
			var line struct {
				Msg   string
				Lines int
			}
			if strings.HasPrefix(l, "{") {
				is.NoErr(json.Unmarshal([]byte(l), &line))
			}
			told += line.Lines
		}
		written := logged(&out, "step started") + logged(&out, "job ended") + logged(&out, "store lost")
		is.Equal(written+told, 2*20*infoPerSecond+1+1+20+1) // none is missing without being told
	})
}
