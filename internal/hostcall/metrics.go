package hostcall

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/host"
)

// Metrics are the latencies of a process's calls to hosts.
type Metrics struct {
	calls *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pulleyquay_host_call_seconds", Help: "Calls to hosts by kind and outcome, copies included.",
		Buckets: prometheus.ExponentialBuckets(0.001, 3, 8),
	}, []string{"call", "outcome"})}
	reg.MustRegister(m.calls)
	return m
}

func (m *Metrics) called(kind string, started time.Time, r host.Reply, err error) {
	m.calls.WithLabelValues(kind, outcome(r, err)).Observe(time.Since(started).Seconds())
}
