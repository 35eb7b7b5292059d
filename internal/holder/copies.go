package holder

import (
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/engine"
)

// copyMetrics count the copies of late tasks by queue.
type copyMetrics struct {
	// copies counts copies by queue and by what has become of them.
	copies *prometheus.CounterVec
	// wasted is the processor time of runs whose tasks were completed by other runs.
	wasted *prometheus.CounterVec
}

// Values of the label "what" of the metric of copies.
const (
	copiesStarted = "started"
	copiesWon     = "won"
	copiesLost    = "lost"
	copiesBoth    = "both"
	copiesEnded   = "ended"
)

// otherQueues is the label of the queues beyond maxQueueMetrics.
const otherQueues = "others"

func newCopyMetrics(reg prometheus.Registerer) copyMetrics {
	m := copyMetrics{
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_holder_copies_total", Help: "Copies of late tasks, by queue: started, won (completed its task), lost (the first run did), both (both did), ended (without result).",
		}, []string{"queue", "what"}),
		wasted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_holder_copies_wasted_cpu_seconds_total", Help: "Processor time of runs whose tasks were completed by other runs, and of copies without result, by queue.",
		}, []string{"queue"}),
	}
	reg.MustRegister(m.copies, m.wasted)
	return m
}

// reportCopies adds the totals since the previous report to the metrics of copies.
func (m *Metrics) reportCopies(totals []engine.CopyTotals) {
	for _, t := range totals {
		queue := m.queueLabel(t.Queue)
		for what, n := range map[string]int{copiesStarted: t.Started, copiesWon: t.Won, copiesLost: t.Lost, copiesBoth: t.Both, copiesEnded: t.Ended} {
			m.copyMetrics.copies.WithLabelValues(queue, what).Add(float64(n))
		}
		m.copyMetrics.wasted.WithLabelValues(queue).Add(t.WastedCPUSeconds)
	}
}

// queueLabel returns the label of a queue. At most maxQueueMetrics queues have labels of their own.
func (m *Metrics) queueLabel(queue string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.copyQueues[queue]; known {
		return queue
	}
	if len(m.copyQueues) >= maxQueueMetrics {
		return otherQueues
	}
	m.copyQueues[queue] = struct{}{}
	return queue
}
