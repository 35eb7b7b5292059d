package holder

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/result"
)

func TestFailedJobsAreCountedByCode(t *testing.T) {
	for name, tc := range map[string]struct{ why, code string }{
		"done":           {"completed", ""},
		"failed often":   {"failed", "none"},
		"given up":       {"failed " + result.New(result.JobCrashesHosts, result.RanUnknown, "task 1").Error(), "5212"},
		"no such code":   {"failed 17 times", "none"},
		"another reason": {"failed for another reason", "none"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMetrics(prometheus.NewRegistry())
			m.count(engine.Event{What: eventEnded, Why: tc.why})
			if tc.code == "" {
				is.Equal(testutil.CollectAndCount(m.failed), 0)
				return
			}
			is.Equal(testutil.ToFloat64(m.failed.WithLabelValues(tc.code)), 1.0)
			is.Equal(testutil.CollectAndCount(m.failed), 1)
		})
	}
}

// TestCrashesAreCountedByHowTheyWereSeen reads the text that histories have in the log: the
// last crash is the one that was added.
func TestCrashesAreCountedByHowTheyWereSeen(t *testing.T) {
	first := crashloop.Crash{Run: 1, Host: "a", Excused: true}
	for want, last := range map[string]crashloop.Crash{
		"plain":          {Run: 2, Host: "b"},
		"just started":   {Run: 2, Host: "b", Recent: true},
		"not seen there": {Run: 2, Host: "b", Unsure: true},
		"excused":        {Run: 2, Host: "b", Excused: true},
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			m := NewMetrics(prometheus.NewRegistry())
			for _, h := range []crashloop.History{{last}, {first, last}} {
				m.count(engine.Event{What: eventCrash, Why: fmt.Sprintf("task 3: %s", h)})
			}
			is.Equal(testutil.ToFloat64(m.crashes.WithLabelValues(want)), 2.0)
			is.Equal(testutil.CollectAndCount(m.crashes), 1)
		})
	}
	is := is.New(t)
	is.Equal(howSeen("task 3: 1 hosts crashed under it: a under run 1 (seen for 12 ms)"), "other")
	is.Equal(howSeen(""), "plain")
}
