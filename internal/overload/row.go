package overload

import (
	"cmp"
	"slices"
)

// Row is the state of one queue and account, for metrics and the state dump.
type Row struct {
	Key
	// Admit is the admitted fraction; 1 if there is no limit.
	Admit float64 `json:"admit"`
	// WaitMillis is the expected wait of the next job, zero without evidence; MaxWaitMillis is the limit.
	WaitMillis    int64 `json:"wait_ms"`
	MaxWaitMillis int64 `json:"max_wait_ms"`
	// WaitingWork and ExpiredWork are the waiting work with and without value, in processor seconds by declared run times.
	WaitingWork float64 `json:"waiting_work"`
	ExpiredWork float64 `json:"expired_work"`
	// Evidence is true if enough work has completed, while work was waiting, to tell the wait.
	Evidence bool `json:"evidence"`
	// CompletedSteps is the number of steps' worth of tasks that the rate is based on.
	CompletedSteps float64 `json:"completed_steps"`
	// CompletedRate and OfferedRate are processor seconds per second, by declared run times.
	CompletedRate float64 `json:"completed_rate"`
	OfferedRate   float64 `json:"offered_rate"`
}

// WorkUnit is the declared work of one processor in one second.
const WorkUnit = 1000 * 1000

func (a *accountLoad) row(k Key) Row {
	return Row{
		Key: k, Admit: a.admit, WaitMillis: a.wait.Milliseconds(), MaxWaitMillis: a.maxWait.Milliseconds(),
		WaitingWork: a.waiting.Work / WorkUnit, ExpiredWork: a.waiting.Expired / WorkUnit, Evidence: a.evidence,
		CompletedSteps: a.servedSteps.sum, CompletedRate: a.rate / WorkUnit, OfferedRate: a.offeredRate() / WorkUnit,
	}
}

// Row returns the state of one queue and account; ok is false if it is not known.
func (m *Monitor) Row(k Key) (row Row, ok bool) {
	a := m.accounts[k]
	if a == nil {
		return Row{}, false
	}
	return a.row(k), true
}

// Rows returns the state of all queues and accounts, those with the most waiting work first.
func (m *Monitor) Rows() []Row {
	out := make([]Row, 0, len(m.accounts))
	for k, a := range m.accounts {
		out = append(out, a.row(k))
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.WaitingWork, a.WaitingWork), compareKeys(a.Key, b.Key))
	})
	return out
}
