package unreadable

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
)

func newReporter() (*Reporter, *bytes.Buffer) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	return &Reporter{
		Log: logrus.NewEntry(log), Message: "unreadable", List: "list", Level: logrus.WarnLevel, Counters: NewCounters(prometheus.NewRegistry()),
		Content: func(value []byte) []byte { content, _, _ := bytes.Cut(value, []byte("#")); return content },
	}, &out
}

// TestOneLineForEachChange guards against a log that one bad record fills: it is read with each list, and written anew
// with each heartbeat, in turn with the sound one of the host.
func TestOneLineForEachChange(t *testing.T) {
	is := is.New(t)
	r, out := newReporter()
	report := func(key, value string) {
		r.Report(platform.Record{Key: key, Value: []byte(value)}, errors.New(strings.Repeat("x", 1<<20)))
	}
	lines := func() int { return strings.Count(out.String(), "msg=unreadable") }
	for i := range 5 {
		report("a", fmt.Sprint("bad#", i)) // only the heartbeat number changes
	}
	is.Equal(lines(), 1)
	report("b", "bad#0") // another key
	is.Equal(lines(), 2)
	report("a", "worse#0")
	is.Equal(lines(), 3)
	r.Forget("a")
	report("a", "worse#0") // deleted and written again
	is.Equal(lines(), 4)
	is.Equal(testutil.ToFloat64(r.Counters.records.WithLabelValues("list")), 4.0)
	is.True(out.Len() < 4*2*maxReasonBytes)
}

// TestManyUnreadableRecords: the memory and the lines are bounded whatever another writer leaves; the count tells.
func TestManyUnreadableRecords(t *testing.T) {
	is := is.New(t)
	r, out := newReporter()
	for range 3 {
		for i := range 2 * maxKeys {
			r.Report(platform.Record{Key: fmt.Sprint(i), Value: []byte("bad")}, errors.New("bad"))
		}
	}
	is.Equal(len(r.reported), maxKeys)
	is.Equal(strings.Count(out.String(), "msg=unreadable"), maxKeys)
	is.True(testutil.ToFloat64(r.Counters.records.WithLabelValues("list")) >= 2*maxKeys)
}

// TestUncounted: a reporter without counters logs alone.
func TestUncounted(t *testing.T) {
	r, out := newReporter()
	r.Counters, r.Content = nil, nil
	r.Report(platform.Record{Key: "a"}, errors.New("bad"))
	is.New(t).Equal(strings.Count(out.String(), "msg=unreadable"), 1)
}
