package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/result"
)

// Dump is the state of a partition's holder in the state dump for operators.
type Dump struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// AuthorityMillis is the remaining time for which the holder may give orders if no
	// further transaction is confirmed; negative once its authority has expired.
	AuthorityMillis int64       `json:"may_order_ms"`
	Hosts           int64       `json:"hosts"`
	Engine          engine.Dump `json:"engine"`
}

// Dump returns the state of the partitions that this process holds, ordered by number.
func (t *Table) Dump() []Dump {
	t.mu.Lock()
	held := slices.Collect(maps.Values(t.holders))
	t.mu.Unlock()
	out := make([]Dump, 0, len(held))
	for _, h := range held {
		out = append(out, h.dump())
	}
	slices.SortFunc(out, func(a, b Dump) int { return cmp.Compare(a.Partition, b.Partition) })
	return out
}

// Explain returns an explanation, for operators, of why a job waits. This process has to hold
// the job's partition.
func (t *Table) Explain(id string) (any, error) {
	t.mu.Lock()
	held := slices.Collect(maps.Values(t.holders))
	t.mu.Unlock()
	for _, h := range held {
		if explanation, ok := h.explain(id); ok {
			return explanation, nil
		}
	}
	if len(held) == 0 {
		return nil, result.New(result.HolderUnreachable, result.RanNo, "this process holds no partition")
	}
	return nil, result.New(result.JobUnknown, result.RanNo, "job %s", id)
}

func (h *Holder) explain(id string) (engine.Explanation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine.Explain(id, time.Now())
}

func (h *Holder) dump() Dump {
	self, until := h.ledger.Holder(), h.ledger.LastConfirmed().Add(authorityDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return Dump{
		Partition: self.Partition, Epoch: self.Epoch, AuthorityMillis: until.Sub(now).Milliseconds(), Hosts: h.hostCount.Load(),
		Engine: h.engine.Dump(now),
	}
}
