package request

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of a Home.
type metrics struct {
	keyed   *prometheus.CounterVec
	notKept prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		keyed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_keyed_requests_total", Help: "Requests with an Idempotency-Key, by what they came to.",
		}, []string{"service", "kind"}),
		notKept: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pulleyquay_answers_not_kept_total", Help: "Answers that did not fit into the memory for retries.",
		}),
	}
	reg.MustRegister(m.keyed, m.notKept)
	return m
}
