package job

import "github.com/prometheus/client_golang/prometheus"

// metrics counts events of the job owners of a process.
type metrics struct {
	accepted      prometheus.Counter
	refused       *prometheus.CounterVec // by code
	ended         *prometheus.CounterVec // by final state
	ordered       prometheus.Counter     // slots requested from holders
	started       prometheus.Counter
	rejected      prometheus.Counter // slots refused by holders
	unackedStarts prometheus.Counter // slots whose outcome was unknown at first
	failures      prometheus.Counter // runs that ended with an exit code other than zero
	runLost       prometheus.Counter // runs lost with their host
	preempted     prometheus.Counter
	orphans       prometheus.Counter
	messages      *prometheus.CounterVec // to holders, by kind
	gangs         *prometheus.CounterVec // by outcome of a try
	inventories   prometheus.Counter
	records       prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "pulleyquay_job_" + name + "_total", Help: help})
		reg.MustRegister(c)
		return c
	}
	vector := func(name, label, help string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pulleyquay_job_" + name + "_total", Help: help}, []string{label})
		reg.MustRegister(c)
		return c
	}
	return &metrics{
		accepted:      counter("accepted", "Jobs accepted."),
		refused:       vector("refused", "code", "Jobs refused, by result code."),
		ended:         vector("ended", "state", "Jobs ended, by final state."),
		ordered:       counter("slots_ordered", "Task slots that holders were asked to start."),
		started:       counter("slots_started", "Task slots that holders started."),
		rejected:      counter("slots_refused", "Task slots that holders refused."),
		unackedStarts: counter("slots_in_doubt", "Task slots whose outcome was unknown at first."),
		failures:      counter("run_failures", "Runs that ended with an exit code other than zero."),
		runLost:       counter("runs_lost", "Runs that were gone with their worker."),
		preempted:     counter("runs_preempted", "Runs stopped to make room for others."),
		orphans:       counter("orphans", "Runs reported that belong to no task of a job here."),
		messages:      vector("messages", "kind", "Messages sent to holders of workers, by kind."),
		gangs:         vector("gang_tries", "outcome", "Tries to start a gang, by outcome."),
		inventories:   counter("inventories", "Inventories asked of holders."),
		records:       counter("records_written", "Job records written to the store."),
	}
}
