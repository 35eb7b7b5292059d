package front

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/result"
)

// Metrics counts callers' requests and measures the latency of submissions.
type Metrics struct {
	submits *prometheus.HistogramVec
	refused *prometheus.CounterVec
	// limited counts the jobs refused for a limit, by queue.
	limited *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{submits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pulleyquay_front_submit_seconds", Help: "Jobs handed in, until stored or refused, by result code (0: stored).",
		Buckets: prometheus.ExponentialBuckets(0.002, 3, 8),
	}, []string{"code"})}
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_front_refused_total", Help: "Calls that were not served, by result code; keys that are not in force among them.",
	}, []string{"code"})
	m.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_front_limited_total", Help: "Jobs refused because they would have ended too late, by queue.",
	}, []string{"queue"})
	reg.MustRegister(m.submits, m.refused, m.limited)
	return m
}

// Refused counts a call that was not served, by result code.
func (m *Metrics) Refused(c result.Code) { m.refused.WithLabelValues(strconv.Itoa(int(c))).Inc() }

func (m *Metrics) observeSubmit(start time.Time, err error) {
	code := 0
	if err != nil {
		code = int(result.CodeOf(err))
	}
	m.submits.WithLabelValues(strconv.Itoa(code)).Observe(time.Since(start).Seconds())
}
