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

// blockedWriter is an output that blocks until free is closed.
type blockedWriter struct {
	entered chan struct{} // receives a value at the start of each write
	free    chan struct{}
	got     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.entered <- struct{}{}
	<-s.free
	return s.got.Write(p)
}

func TestLoggingNeverWaitsForTheOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{entered: make(chan struct{}, 2), free: make(chan struct{})}
	l := &Lines{out: out}
	flushed := make(chan struct{})
	line := []byte(strings.Repeat("x", 1023) + "\n")
	_, _ = l.Write(line)
	go func() { l.Flush(); close(flushed) }()
	<-out.entered                                // the first line is being written and the output blocks
	for range 2 * maxBufferedBytes / len(line) { // returns although the output blocks
		n, err := l.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	close(out.free)
	<-flushed
	l.Flush()
	is.True(strings.Contains(out.got.String(), "the output is too slow"))
	is.True(out.got.Len() < maxBufferedBytes+4096)
}

func TestBudgetPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		log.SetFormatter(&limiter{Formatter: &logrus.JSONFormatter{}})
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
