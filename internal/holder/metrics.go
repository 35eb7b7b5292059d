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

// Metrics are the metrics of all holders of a process.
type Metrics struct {
	commits *prometheus.HistogramVec
	writes  prometheus.Counter
	// events counts the events of engines by name.
	events *prometheus.CounterVec
	// failed counts failed jobs by the result code of the reason; crashes counts host crashes
	// that were attributed to tasks, by how the task's run was observed on the host.
	failed, crashes *prometheus.CounterVec
	// decisions is the duration of one decision, waits the time that an update waits for the
	// engine's lock, jobAge the age of an accepted job when the engine receives it.
	decisions, waits, jobAge prometheus.Histogram

	// accounts has the usage and the waiting steps of at most maxAccountMetrics client accounts.
	accounts *prometheus.GaugeVec
	// shares has the shares by weight of the same accounts, by service and priority.
	shares *prometheus.GaugeVec
	// longRunningGaps has the longest gaps of at most maxQueueMetrics queues.
	longRunningGaps *prometheus.GaugeVec
	// admission has the figures of at most maxAccountMetrics queues and accounts from which limits on jobs are derived.
	admission *prometheus.GaugeVec

	copyMetrics copyMetrics

	mu   sync.Mutex
	load Load
	// copyQueues are the queues with metrics of their copies.
	copyQueues map[string]struct{}
}

// maxAccountMetrics bounds the number of client accounts with metrics. The accounts with the
// most steps that wait for quota, then with the most waiting steps, are included.
const maxAccountMetrics = 32

// Values of the label "what" of the metric of client accounts.
const (
	accountShare         = "share"
	accountWeight        = "weight"
	accountFull          = "full"
	accountStepsWaiting  = "steps_waiting"
	accountStepsForQuota = "steps_waiting_for_quota"
)

// reportAccounts sets the metrics of client accounts to loads, which are sorted as
// maxAccountMetrics requires.
func (m *Metrics) reportAccounts(loads []engine.AccountLoad) {
	m.accounts.Reset()
	m.shares.Reset()
	for _, l := range loads[:min(len(loads), maxAccountMetrics)] {
		m.accounts.WithLabelValues(l.Account, accountShare).Set(l.Share)
		m.accounts.WithLabelValues(l.Account, accountFull).Set(l.Full)
		m.accounts.WithLabelValues(l.Account, accountStepsWaiting).Set(float64(l.Steps))
		m.accounts.WithLabelValues(l.Account, accountStepsForQuota).Set(float64(l.ForQuota))
		if l.Weight > 0 {
			m.accounts.WithLabelValues(l.Account, accountWeight).Set(l.Weight)
		}
		for _, s := range l.Shares {
			m.reportShare(l.Account, s)
		}
	}
}

// Values of the label "what" of the metric of shares.
const (
	shareUsed         = "share"
	shareWeighted     = "weighted"
	shareStepsWaiting = "steps_waiting"
	shareLongestWait  = "longest_wait_seconds"
)

func (m *Metrics) reportShare(account string, s engine.AccountShare) {
	set := func(what string, value float64) {
		m.shares.WithLabelValues(account, s.Service, strconv.Itoa(s.Priority), what).Set(value)
	}
	set(shareUsed, s.Share)
	set(shareWeighted, s.Weighted)
	set(shareStepsWaiting, float64(s.Steps))
	set(shareLongestWait, (time.Duration(s.LongestMS) * time.Millisecond).Seconds())
}

// maxQueueMetrics bounds the number of queues with a metric of their long-running tasks. The queues with the
// longest gaps are included.
const maxQueueMetrics = 32

// reportLongRunningGaps sets the metrics of long-running tasks to gaps, which are sorted as maxQueueMetrics
// requires.
func (m *Metrics) reportLongRunningGaps(gaps []engine.LongRunningGap) {
	m.longRunningGaps.Reset()
	for _, g := range gaps[:min(len(gaps), maxQueueMetrics)] {
		m.longRunningGaps.WithLabelValues(g.Queue).Set(g.Gap.Seconds())
	}
}

// Load summarizes the work of the holders of this process since the previous call of TakeLoad.
type Load struct {
	// DecisionTime is the total duration of decisions.
	DecisionTime time.Duration
	// LongestWait is the longest wait of an update for the engine's lock, OldestJobAge the
	// largest age of an accepted job when the engine received it.
	LongestWait, OldestJobAge time.Duration
}

// NewMetrics returns the metrics, registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		copyMetrics: newCopyMetrics(reg), copyQueues: map[string]struct{}{},
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
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.00005, 4, 9)})
	}
	m.decisions = histogram("pulleyquay_holder_decision_seconds", "Decisions: all that is due at a moment.")
	m.waits = histogram("pulleyquay_holder_wait_seconds", "Waits of what happened until it is taken in.")
	m.jobAge = histogram("pulleyquay_holder_job_age_seconds", "Ages of accepted jobs when the holder knows of them.")
	m.accounts = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pulleyquay_holder_account", Help: "Client accounts of which most waits: their share of the cell, how full their quotas are (1: full), and the steps that wait, also for the quota alone.",
	}, []string{"account", "what"})
	m.shares = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pulleyquay_holder_account_share", Help: "What decides the order of steps between client accounts, by service and priority: the share of the service's hosts that the account runs, that share by its weight, the steps that wait, and the longest wait that its quota allows to end.",
	}, []string{"account", "service", "priority", "what"})
	m.longRunningGaps = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pulleyquay_holder_long_running_gap_seconds", Help: "Longest time for which a long-running task of the queue has had no run at work at present, of the queues with the longest.",
	}, []string{"queue"})
	m.admission = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pulleyquay_holder_admission", Help: "Queues and client accounts of which most work waits: the fraction of jobs admitted, the expected wait of the next job and its limit in seconds, and the work that waits, completes and is sent, in processor seconds by declared run times.",
	}, []string{"queue", "account", "what"})
	reg.MustRegister(m.admission, m.longRunningGaps, m.accounts, m.shares, m.commits, m.writes, m.events, m.failed, m.crashes, m.decisions, m.waits, m.jobAge)
	return m
}

// TakeLoad returns the load since the previous call and resets it.
func (m *Metrics) TakeLoad() Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.load
	m.load = Load{}
	return l
}

// countEvent counts an engine's event by name, and by result code or observation where the
// event has one.
func (m *Metrics) countEvent(e engine.Event) {
	m.events.WithLabelValues(e.What).Inc()
	switch e.What {
	case eventEnded:
		if reason, failed := strings.CutPrefix(e.Why, string(record.StateFailed)); failed {
			m.failed.WithLabelValues(resultCodeOf(reason)).Inc()
		}
	case eventCrash:
		m.crashes.WithLabelValues(e.Kind).Inc()
	}
}

// Events that are also counted by reason or kind.
const (
	eventEnded = "job ended"
	eventCrash = "crash held against task"
)

// resultCodeOf returns the result code that a reason begins with, or "none".
func resultCodeOf(reason string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(reason), " ")
	n, err := strconv.Atoi(word)
	if _, known := result.Lookup(result.Code(n)); err != nil || !known {
		return "none"
	}
	return word
}

func (m *Metrics) observeDecision(took time.Duration) {
	m.decisions.Observe(took.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load.DecisionTime += took
}

func (m *Metrics) observeWait(d time.Duration) {
	m.waits.Observe(d.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load.LongestWait = max(m.load.LongestWait, d)
}

func (m *Metrics) observeJobAge(age time.Duration) {
	m.jobAge.Observe(age.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load.OldestJobAge = max(m.load.OldestJobAge, age)
}

func (m *Metrics) observeCommit(start time.Time, records int, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	m.commits.WithLabelValues(outcome).Observe(time.Since(start).Seconds())
	m.writes.Add(float64(records))
}
