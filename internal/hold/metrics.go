package hold

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of partition ownership.
type metrics struct {
	held          prometheus.Gauge
	claims        prometheus.Counter
	handOvers     prometheus.Counter
	drops         prometheus.Counter
	expired       prometheus.Counter
	promises      prometheus.Counter
	storeErrors   prometheus.Counter
	unknown       prometheus.Counter
	watchFailures prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pulley", Subsystem: "hold", Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	held := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "pulley", Subsystem: "hold", Name: "partitions", Help: "Partitions held by this process."})
	reg.MustRegister(held)
	return &metrics{
		held:          held,
		claims:        counter("claims_total", "Claims of partitions tried."),
		handOvers:     counter("handovers_total", "Partitions handed over in order."),
		drops:         counter("drops_total", "Partitions lost to another member."),
		expired:       counter("right_lapsed_total", "Orders refused because the right had lapsed."),
		promises:      counter("promises_total", "Promises made to members while the store was down."),
		storeErrors:   counter("store_errors_total", "Calls to the store that failed."),
		unknown:       counter("store_unknown_total", "Writes to the store of unknown outcome."),
		watchFailures: counter("watch_breaks_total", "Watches that broke."),
	}
}
