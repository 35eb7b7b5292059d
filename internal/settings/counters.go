package settings

import (
	"github.com/prometheus/client_golang/prometheus"
)

// counters are the metrics of one Manager.
type counters struct {
	reads, writes, watches, staleHeads, fetchedFromPeers prometheus.Counter
	changes                                              *prometheus.CounterVec
}

func newCounters(reg prometheus.Registerer, r *replica) *counters {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_settings_" + name, Help: help})
	}
	c := &counters{
		reads:            counter("store_reads_total", "Reads of the store for settings."),
		writes:           counter("store_writes_total", "Transactions against the store for settings."),
		watches:          counter("watches_ended_total", "Watches of the head that ended."),
		staleHeads:       counter("behind_total", "Heads seen that are older than the one in force."),
		fetchedFromPeers: counter("learned_total", "Revisions learned from peers."),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_settings_changes_total", Help: "Operators' changes by result code; 0 is accepted.",
		}, []string{"code"}),
	}
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pulleyquay_settings_revision", Help: "Settings revision in force; -1 before the first.",
	}, func() float64 { return float64(r.revision()) })
	if reg != nil {
		reg.MustRegister(c.reads, c.writes, c.watches, c.staleHeads, c.fetchedFromPeers, c.changes, revision)
	}
	return c
}
