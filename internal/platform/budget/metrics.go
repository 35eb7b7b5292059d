package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// Kinds of calls; values of the metric label "call".
const (
	callList      = "list"
	callCommit    = "commit"
	callWatch     = "watch"
	callGrant     = "grant"
	callKeepAlive = "keepalive"
	callRevoke    = "revoke"
)

// Results of calls; values of the metric label "result".
const (
	resultOK          = "ok"
	resultConflict    = "conflict" // a condition of the transaction did not hold
	resultUnavailable = "unavailable"
	resultUnknown     = "unknown"
	resultLeaseGone   = "lease_gone"
	resultCompacted   = "compacted"
	resultRefused     = "refused"
	resultBudget      = "budget"
	resultEnded       = "ended" // cancelled by the caller
)

// metrics are the metrics of one process's calls.
type metrics struct {
	calls    *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	waited   *prometheus.HistogramVec
	watches  prometheus.Gauge
	mu       sync.Mutex
	totals   map[string]int64
	reached  time.Time
	lastFail string
}

// latencyBuckets cover the service's usual latency of milliseconds up to an outage.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// newMetrics creates and registers the metrics.
func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_store_calls_total", Help: "Calls to the platform's store by kind and result.",
		}, []string{"call", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pulleyquay_store_call_seconds", Help: "Time from sending a call to the platform's store to its end.",
			Buckets: latencyBuckets,
		}, []string{"call"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pulleyquay_store_budget_wait_seconds", Help: "Time that calls waited for this process's share.",
			Buckets: latencyBuckets,
		}, []string{"class"}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pulleyquay_store_watches", Help: "Watches that wait at the platform's store.",
		}),
		totals: map[string]int64{},
	}
	for _, c := range []prometheus.Collector{m.calls, m.seconds, m.waited, m.watches} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// recordCall counts a finished call. A negative duration is not observed.
func (m *metrics) recordCall(call, outcome string, duration time.Duration, err error) {
	m.calls.WithLabelValues(call, outcome).Inc()
	if duration >= 0 {
		m.seconds.WithLabelValues(call).Observe(duration.Seconds())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[call+" "+outcome]++
	switch outcome {
	case resultOK, resultConflict, resultLeaseGone, resultCompacted, resultRefused:
		m.reached = time.Now()
	case resultUnavailable, resultUnknown:
		m.lastFail = err.Error()
	}
}

// outcomeOf returns the value of the label "result" for an error. A call cancelled by its caller is
// no evidence of a store failure; a call whose deadline passed is.
func outcomeOf(err error) string {
	switch {
	case errors.Is(err, context.Canceled):
		return resultEnded
	case err == nil:
		return resultOK
	case errors.Is(err, result.New(result.StoreBudget, "", "")):
		return resultBudget
	case errors.Is(err, platform.ErrRefused):
		return resultRefused
	case errors.Is(err, platform.ErrUnavailable):
		return resultUnavailable
	case errors.Is(err, platform.ErrLeaseGone):
		return resultLeaseGone
	case errors.Is(err, platform.ErrCompacted):
		return resultCompacted
	default:
		return resultUnknown
	}
}
