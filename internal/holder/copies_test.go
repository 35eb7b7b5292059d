package holder

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"pulleyquay/internal/engine"
)

// TestCopiesAreCountedByQueue guards against counts that are lost or replaced by a later report, and against a
// metric that grows with the number of queues.
func TestCopiesAreCountedByQueue(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(prometheus.NewRegistry())
	m.reportCopies([]engine.CopyTotals{{Queue: "q", Started: 3, Won: 2, Lost: 1, Both: 1, WastedCPUSeconds: 4.5}})
	m.reportCopies([]engine.CopyTotals{{Queue: "q", Started: 1, Ended: 1, WastedCPUSeconds: 1}})
	for what, n := range map[string]float64{copiesStarted: 4, copiesWon: 2, copiesLost: 1, copiesBoth: 1, copiesEnded: 1} {
		is.Equal(testutil.ToFloat64(m.copyMetrics.copies.WithLabelValues("q", what)), n)
	}
	is.Equal(testutil.ToFloat64(m.copyMetrics.wasted.WithLabelValues("q")), 5.5)
	for i := range 2 * maxQueueMetrics {
		m.reportCopies([]engine.CopyTotals{{Queue: fmt.Sprint("q", i), Started: 1}})
	}
	is.Equal(testutil.CollectAndCount(m.copyMetrics.wasted), maxQueueMetrics+1)
	is.Equal(testutil.ToFloat64(m.copyMetrics.copies.WithLabelValues(otherQueues, copiesStarted)), float64(maxQueueMetrics+1))
}
