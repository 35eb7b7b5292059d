package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/taskmsg"
)

// metrics are the Prometheus counters of a Fleet.
type metrics struct {
	claims           *prometheus.CounterVec
	orders           *prometheus.CounterVec
	starts           *prometheus.CounterVec
	ends             *prometheus.CounterVec
	stops            *prometheus.CounterVec
	updates          *prometheus.CounterVec
	health           *prometheus.CounterVec
	delegateRenewals *prometheus.CounterVec
	denied           prometheus.Counter
	// holdsExpired counts gang holds released without a request: expired, or of a fenced job owner.
	holdsExpired prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		claims:           newCounterVec("claims_total", "Claims of workers by outcome.", "outcome"),
		orders:           newCounterVec("orders_total", "Orders to workers by outcome.", "outcome"),
		starts:           newCounterVec("starts_total", "Task starts by outcome.", "outcome"),
		ends:             newCounterVec("ends_total", "Ends of runs by state.", "state"),
		stops:            newCounterVec("stops_total", "Stops asked for by mode.", "mode"),
		updates:          newCounterVec("news_total", "Messages to job homes by outcome.", "outcome"),
		health:           newCounterVec("worker_health_total", "Changes of workers' health by new state.", "state"),
		delegateRenewals: newCounterVec("cover_renewals_total", "Renewals for dead holders by outcome.", "outcome"),
		denied:           newCounter("denied_total", "Calls to workers not made for want of the right to act."),

		holdsExpired: newCounter("gang_holds_lapsed_total", "Gang holds that lapsed."),
	}
	if reg != nil {
		reg.MustRegister(m.claims, m.orders, m.starts, m.ends, m.stops, m.updates, m.health, m.delegateRenewals, m.denied, m.holdsExpired)
	}
	return m
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pulley", Subsystem: "fleet", Name: name, Help: help}, []string{label})
}

func newCounter(name, help string) prometheus.Counter {
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
