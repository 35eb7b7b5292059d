package holder

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// Metrics are the counters and latencies of all holders of a process.
type Metrics struct {
	commits *prometheus.HistogramVec
	writes  prometheus.Counter
	// events counts what engines decided or came to believe, by the name of the event.
	events *prometheus.CounterVec
	// failed counts jobs that ended as failed, by the code of their reason; crashes counts
	// those that were held against tasks, by how they were seen.
	failed, crashes *prometheus.CounterVec
	// decisions is how long one decision takes, waits how long what happened waits to be
	// taken in, jobAge how old an accepted job is when the engine knows it.
	decisions, waits, jobAge prometheus.Histogram

	// accounts is what client accounts have and wait for, of a bounded number of them.
	accounts *prometheus.GaugeVec

	mu   sync.Mutex
	load Load
}

// mostAccounts bounds how many client accounts have metrics, those of which most waits.
const mostAccounts = 32

// What the metric of client accounts tells.
const (
	accountShare    = "share"
	accountFull     = "full"
	accountSteps    = "steps_waiting"
	accountForQuota = "steps_waiting_for_quota"
)

// tellAccounts sets what client accounts have and wait for.
func (m *Metrics) tellAccounts(loads []engine.AccountLoad) {
	m.accounts.Reset()
	for _, l := range loads[:min(len(loads), mostAccounts)] {
		m.accounts.WithLabelValues(l.Account, accountShare).Set(l.Share)
		m.accounts.WithLabelValues(l.Account, accountFull).Set(l.Full)
		m.accounts.WithLabelValues(l.Account, accountSteps).Set(float64(l.Steps))
		m.accounts.WithLabelValues(l.Account, accountForQuota).Set(float64(l.ForQuota))
	}
}

// Load is what holders of this process did since the last reading.
type Load struct {
	// Deciding is the time that decisions took.
	Deciding time.Duration
	// LongestWait is the longest time for which something waited to be taken in,
	// OldestJob the age of the oldest job when the engine knew of it.
	LongestWait, OldestJob time.Duration
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		commits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pulleyquay_holder_commit_seconds", Help: "Transactions of the holder, until settled.",
			Buckets: prometheus.ExponentialBuckets(0.002, 3, 8),
		}, []string{"outcome"}),
		writes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pulleyquay_holder_records_written_total", Help: "Records written with the transactions.",
		}),
	}
	m.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_holder_events_total", Help: "Decisions and changes of belief of the holder, by name as in the log.",
	}, []string{"event"})
	m.failed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_holder_jobs_failed_total", Help: "Jobs that ended as failed, by the code of the reason; none where a task has failed as often as it may.",
	}, []string{"code"})
	m.crashes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_holder_crashes_held_total", Help: "Crashes of hosts that were held against tasks, by how they were seen, as in the log.",
	}, []string{"seen"})
	moments := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.00005, 4, 9)})
	}
	m.decisions = moments("pulleyquay_holder_decision_seconds", "Decisions: all that is due at a moment.")
	m.waits = moments("pulleyquay_holder_wait_seconds", "Waits of what happened until it is taken in.")
	m.jobAge = moments("pulleyquay_holder_job_age_seconds", "Ages of accepted jobs when the holder knows of them.")
	m.accounts = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pulleyquay_holder_account", Help: "Client accounts of which most waits: their share of the cell, how full their quotas are (1: full), and the steps that wait, also for the quota alone.",
	}, []string{"account", "what"})
	reg.MustRegister(m.accounts, m.commits, m.writes, m.events, m.failed, m.crashes, m.decisions, m.waits, m.jobAge)
	return m
}

// TakeLoad returns the load since it was last taken.
func (m *Metrics) TakeLoad() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.load
	m.load = Load{}
	return l
}

// count counts an event of an engine.
func (m *Metrics) count(e engine.Event) {
	m.events.WithLabelValues(e.What).Inc()
	switch e.What {
	case eventEnded:
		if reason, failed := strings.CutPrefix(e.Why, string(record.StateFailed)); failed {
			m.failed.WithLabelValues(codeIn(reason)).Inc()
		}
	case eventCrash:
		m.crashes.WithLabelValues(e.Kind).Inc()
	}
}

// Events that are counted by their reason as well.
const (
	eventEnded = "job ended"
	eventCrash = "crash held against task"
)

// codeIn is the result code that a reason begins with, or "none".
func codeIn(reason string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(reason), " ")
	n, err := strconv.Atoi(word)
	if _, known := result.Lookup(result.Code(n)); err != nil || !known {
		return "none"
	}
	return word
}

func (m *Metrics) decided(took time.Duration) {
	m.decisions.Observe(took.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load.Deciding += took
}

func (m *Metrics) waited(d time.Duration) {
	m.waits.Observe(d.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load.LongestWait = max(m.load.LongestWait, d)
}

func (m *Metrics) known(age time.Duration) {
	m.jobAge.Observe(age.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load.OldestJob = max(m.load.OldestJob, age)
}

func (m *Metrics) commit(begun time.Time, records int, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.commits.WithLabelValues(outcome).Observe(time.Since(begun).Seconds())
	m.writes.Add(float64(records))
}
