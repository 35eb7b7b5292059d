package holder

import (
	"fmt"
	"testing"
	"time"

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
		"crashing task":  {"failed " + result.New(result.JobCrashesHosts, result.RanUnknown, "task 1").Error(), "5212"},
		"no such code":   {"failed 17 times", "none"},
		"another reason": {"failed for another reason", "none"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMetrics(prometheus.NewRegistry())
			m.countEvent(engine.Event{What: eventEnded, Why: tc.why})
			if tc.code == "" {
				is.Equal(testutil.CollectAndCount(m.failed), 0)
				return
			}
			is.Equal(testutil.ToFloat64(m.failed.WithLabelValues(tc.code)), 1.0)
			is.Equal(testutil.CollectAndCount(m.failed), 1)
		})
	}
}

func TestCrashesAreCountedByHowTheyWereSeen(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(prometheus.NewRegistry())
	for _, how := range []string{crashloop.ObservedAtEnd, crashloop.ObservedNever, crashloop.ObservedAtEnd} {
		m.countEvent(engine.Event{What: eventCrash, Kind: how})
	}
	is.Equal(testutil.ToFloat64(m.crashes.WithLabelValues(crashloop.ObservedAtEnd)), 2.0)
	is.Equal(testutil.ToFloat64(m.crashes.WithLabelValues(crashloop.ObservedNever)), 1.0)
}

// TestLongestGapOfLongRunningTasksIsReported guards against a metric that leaves out the queue with the
// longest gap, grows with the number of queues, or keeps the gap of a queue that has none any more.
func TestLongestGapOfLongRunningTasksIsReported(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(prometheus.NewRegistry())
	var gaps []engine.LongRunningGap
	for i := range maxQueueMetrics + 8 {
		gaps = append(gaps, engine.LongRunningGap{Queue: fmt.Sprint("q", i), Gap: time.Duration(100-i) * time.Second})
	}
	m.reportLongRunningGaps(gaps)
	is.Equal(testutil.CollectAndCount(m.longRunningGaps), maxQueueMetrics)
	is.Equal(testutil.ToFloat64(m.longRunningGaps.WithLabelValues("q0")), 100.0)
	m.reportLongRunningGaps([]engine.LongRunningGap{{Queue: "q1"}})
	is.Equal(testutil.CollectAndCount(m.longRunningGaps), 1)
	is.Equal(testutil.ToFloat64(m.longRunningGaps.WithLabelValues("q1")), 0.0)
}

func TestSharesAreReported(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(prometheus.NewRegistry())
	m.reportAccounts([]engine.AccountLoad{{
		Account: "crew", Weight: 2.5,
		Shares: []engine.AccountShare{{Service: "s", Priority: 1, Share: 0.5, Weighted: 0.2, Steps: 3, LongestMS: 1500}},
	}, {Account: "other"}})
	is.Equal(testutil.ToFloat64(m.accounts.WithLabelValues("crew", accountWeight)), 2.5)
	for what, want := range map[string]float64{shareUsed: 0.5, shareWeighted: 0.2, shareStepsWaiting: 3, shareLongestWait: 1.5} {
		is.Equal(testutil.ToFloat64(m.shares.WithLabelValues("crew", "s", "1", what)), want)
	}
	is.Equal(testutil.CollectAndCount(m.shares), 4)
	m.reportAccounts(nil)
	is.Equal(testutil.CollectAndCount(m.shares), 0)
}
