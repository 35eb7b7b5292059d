package holder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters and latencies of all holders of a process.
type Metrics struct {
	commits *prometheus.HistogramVec
	writes  prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pulleyquay_holder_commit_seconds", Help: "Transactions of the holder, until settled.",
			Buckets: prometheus.ExponentialBuckets(0.002, 3, 8),
		}, []string{"outcome"}),
		writes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pulleyquay_holder_records_written_total", Help: "Records written with the transactions.",
		}),
	}
	reg.MustRegister(m.commits, m.writes)
	return m
}

func (m *Metrics) commit(begun time.Time, records int, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.commits.WithLabelValues(outcome).Observe(time.Since(begun).Seconds())
	m.writes.Add(float64(records))
}
