package holder

import (
	"time"

	"pulleyquay/internal/overload"
)

// measuredLimits are the limits on jobs of the engine's last sample. They are kept apart from the engine, so that
// heartbeats, which report them, need not wait for a decision.
type measuredLimits struct {
	limits []overload.Limit
	at     time.Time
}

// publishLimits publishes the limits of the engine. The caller holds the lock.
func (h *Holder) publishLimits() {
	limits, at, ok := h.engine.Limits()
	if !ok {
		h.limits.Store(nil)
		return
	}
	if last := h.limits.Load(); last == nil || !last.at.Equal(at) {
		h.limits.Store(&measuredLimits{limits: limits, at: at})
	}
}

// Limits returns the limits that this process measured as the holder of a partition, or nil if it has no figures.
func (t *Table) Limits(partition int, now time.Time) *overload.Report {
	t.mu.Lock()
	h := t.holders[partition]
	t.mu.Unlock()
	if h == nil {
		return nil
	}
	m := h.limits.Load()
	if m == nil {
		return nil
	}
	return &overload.Report{Epoch: h.ledger.Holder().Epoch, Age: now.Sub(m.at), Limits: m.limits}
}

// Values of the label "what" of the metric of limits.
const (
	admissionFraction  = "admitted"
	admissionWait      = "wait_seconds"
	admissionMaxWait   = "max_wait_seconds"
	admissionWaiting   = "waiting"
	admissionExpired   = "expired"
	admissionCompleted = "completed_per_second"
	admissionOffered   = "offered_per_second"
)

// reportAdmission sets the metrics of limits to rows, those with the most waiting work first.
func (m *Metrics) reportAdmission(rows []overload.Row) {
	m.admission.Reset()
	for _, r := range rows[:min(len(rows), maxAccountMetrics)] {
		for what, value := range map[string]float64{
			admissionFraction: r.Admit, admissionWait: float64(r.WaitMillis) / 1000, admissionMaxWait: float64(r.MaxWaitMillis) / 1000,
			admissionWaiting: r.WaitingWork, admissionExpired: r.ExpiredWork, admissionCompleted: r.CompletedRate, admissionOffered: r.OfferedRate,
		} {
			m.admission.WithLabelValues(r.Queue, r.Account, what).Set(value)
		}
	}
}
