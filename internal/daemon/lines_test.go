package daemon

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// stuck is an output that blocks until it is let go.
type stuck struct {
	entered chan struct{} // takes one for each write that begins
	free    chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.entered <- struct{}{}
	<-s.free
	return s.got.Write(p)
}

func TestLoggingNeverWaitsForTheOutput(t *testing.T) {
	is := is.New(t)
	out := &stuck{entered: make(chan struct{}, 2), free: make(chan struct{})}
	l := &Lines{out: out}
	flushed := make(chan struct{})
	line := []byte(strings.Repeat("x", 1023) + "\n")
	_, _ = l.Write(line)
	go func() { l.Flush(); close(flushed) }()
	<-out.entered                            // it has the first line and hangs
	for range 2 * mostGathered / len(line) { // returns though nothing is taken
		n, err := l.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	close(out.free)
	<-flushed
	l.Flush()
	is.True(strings.Contains(out.got.String(), "the output is too slow"))
	is.True(out.got.Len() < mostGathered+4096)
}

func TestBudgetOfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		log.SetFormatter(&budget{Formatter: &logrus.JSONFormatter{}})
		for range infoPerSecond + 250 {
			log.Info("decision")
		}
		log.Warn("seen in any case")
		const line = `"msg":"decision"`
		is.Equal(strings.Count(out.String(), line), infoPerSecond)
		is.Equal(strings.Count(out.String(), "seen in any case"), 1)
		time.Sleep(time.Second)
		log.Info("decision")
		is.True(strings.Contains(out.String(), `"lines":250`))
		is.True(strings.Contains(out.String(), `"kinds":{"decision":250}`))
		is.Equal(strings.Count(out.String(), line), infoPerSecond+1)
	})
}
