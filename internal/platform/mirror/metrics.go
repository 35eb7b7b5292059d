package mirror

import "github.com/prometheus/client_golang/prometheus"

// Metrics count what the mirrors of a process see, by prefix.
type Metrics struct {
	listed    *prometheus.CounterVec
	rewatched *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	missed    *prometheus.CounterVec
}

// NewMetrics returns counters for all mirrors of a process; it fails when the
// registry already has them.
func NewMetrics(registry prometheus.Registerer) (*Metrics, error) {
	m := newMetrics()
	for _, c := range []prometheus.Collector{m.listed, m.rewatched, m.dropped, m.missed} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// newMetrics returns counters that are not registered.
func newMetrics() *Metrics {
	return &Metrics{
		listed:    counter("lists_total", "Lists of the store's records."),
		rewatched: counter("watches_ended_total", "Watches that broke or were given up."),
		dropped:   counter("dropped_total", "Lists and changes that were older than what was known.", "kind"),
		missed:    counter("missed_total", "Watches given up because they missed changes."),
	}
}

// counter makes a counter by prefix and the further labels.
func counter(name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Name: "pulleyquay_mirror_" + name, Help: help}
	return prometheus.NewCounterVec(opts, append([]string{"prefix"}, labels...))
}
