package hostcall

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/host"
)

// Metrics are the latencies of a process's calls to hosts, and the counts of its repeated calls.
type Metrics struct {
	calls   *prometheus.HistogramVec
	repeats *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pulleyquay_host_call_seconds", Help: "Calls to hosts by kind and outcome, copies included.",
		Buckets: prometheus.ExponentialBuckets(0.001, 3, 8),
	}, []string{"call", "outcome"})}
	m.repeats = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_host_call_repeats_total", Help: "Calls to hosts that lacked an answer in time, by kind and by whether and why not they were repeated.",
	}, []string{"call", "decision"})
	reg.MustRegister(m.calls, m.repeats)
	return m
}

func (m *Metrics) repeatDecided(kind string, d repeatDecision) {
	m.repeats.WithLabelValues(kind, string(d)).Inc()
}

func (m *Metrics) called(kind string, started time.Time, r host.Reply, err error) {
	m.calls.WithLabelValues(kind, outcome(r, err)).Observe(time.Since(started).Seconds())
}
