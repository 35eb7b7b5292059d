package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of an entry.
type metrics struct {
	requests *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_requests_total", Help: "Callers' requests, by how they ended.",
		}, []string{"service", "outcome"}),
	}
	reg.MustRegister(m.requests)
	return m
}
