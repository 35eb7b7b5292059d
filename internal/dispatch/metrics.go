package dispatch

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the dispatcher's counters.
type metrics struct {
	dispatched *prometheus.CounterVec
	queued     *prometheus.CounterVec
	refused    *prometheus.CounterVec
	ejections  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		dispatched: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_dispatches_total", Help: "Requests sent to executors, by outcome.",
		}, []string{"service", "outcome"}),
		queued: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_requests_queued_total", Help: "Requests that waited for a slot.",
		}, []string{"service"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_requests_refused_total", Help: "Requests refused by the queue.",
		}, []string{"service"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_executor_ejections_total", Help: "Times an executor was set aside for failures.",
		}, []string{"service"}),
	}
	reg.MustRegister(m.dispatched, m.queued, m.refused, m.ejections)
	return m
}

// outcomeLabel returns the metric label of an executor call's outcome.
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}
