package front

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/result"
)

// Metrics are the counters and latencies of callers' requests.
type Metrics struct {
	submits *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{submits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pulleyquay_front_submit_seconds", Help: "Jobs handed in, until stored or refused, by result code (0: stored).",
		Buckets: prometheus.ExponentialBuckets(0.002, 3, 8),
	}, []string{"code"})}
	reg.MustRegister(m.submits)
	return m
}

func (m *Metrics) submit(begun time.Time, err error) {
	code := 0
	if err != nil {
		code = int(result.CodeOf(err))
	}
	m.submits.WithLabelValues(strconv.Itoa(code)).Observe(time.Since(begun).Seconds())
}
