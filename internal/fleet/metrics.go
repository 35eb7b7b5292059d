package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/taskmsg"
)

// metrics are the counters of a fleet.
type metrics struct {
	claims *prometheus.CounterVec
	orders *prometheus.CounterVec
	starts *prometheus.CounterVec
	ends   *prometheus.CounterVec
	stops  *prometheus.CounterVec
	news   *prometheus.CounterVec
	health *prometheus.CounterVec
	covers *prometheus.CounterVec
	denied prometheus.Counter
	// holdsLapsed counts gang holds that were neither started nor released.
	holdsLapsed prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		claims: counter("claims_total", "Claims of workers by outcome.", "outcome"),
		orders: counter("orders_total", "Orders to workers by outcome.", "outcome"),
		starts: counter("starts_total", "Task starts by outcome.", "outcome"),
		ends:   counter("ends_total", "Ends of runs by state.", "state"),
		stops:  counter("stops_total", "Stops asked for by mode.", "mode"),
		news:   counter("news_total", "Messages to job homes by outcome.", "outcome"),
		health: counter("worker_health_total", "Changes of workers' health by new state.", "state"),
		covers: counter("cover_renewals_total", "Renewals for dead holders by outcome.", "outcome"),
		denied: single("denied_total", "Calls to workers not made for want of the right to act."),

		holdsLapsed: single("gang_holds_lapsed_total", "Gang holds that lapsed."),
	}
	if reg != nil {
		reg.MustRegister(m.claims, m.orders, m.starts, m.ends, m.stops, m.news, m.health, m.covers, m.denied, m.holdsLapsed)
	}
	return m
}

func counter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pulley", Subsystem: "fleet", Name: name, Help: help}, []string{label})
}

func single(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "pulley", Subsystem: "fleet", Name: name, Help: help})
}

// runStateLabel is the metric label of a run's state.
func runStateLabel(s taskmsg.RunState) string {
	switch s {
	case taskmsg.RunRunning:
		return "running"
	case taskmsg.RunFinished:
		return "finished"
	case taskmsg.RunStopped:
		return "stopped"
	case taskmsg.RunLost:
		return "lost"
	case taskmsg.RunPreempted:
		return "preempted"
	default:
		return "never"
	}
}
