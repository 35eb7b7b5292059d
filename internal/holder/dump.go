package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/result"
)

// Dump is what the holder of a partition knows, for people.
type Dump struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// MayOrderMillis is for how long it may give orders unless the store answers again;
	// below zero when it may not.
	MayOrderMillis int64       `json:"may_order_ms"`
	Hosts          int64       `json:"hosts"`
	Engine         engine.Dump `json:"engine"`
}

// Dump tells of the partitions that this process holds, by their numbers.
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

// Explain tells why a job waits, for people; the partition that it belongs to has to be held
// here.
func (t *Table) Explain(id string) (any, error) {
	t.mu.Lock()
	held := slices.Collect(maps.Values(t.holders))
	t.mu.Unlock()
	for _, h := range held {
		if x, known := h.explain(id); known {
			return x, nil
		}
	}
	if len(held) == 0 {
		return nil, result.New(result.HolderAway, result.RanNo, "this process holds no partition")
	}
	return nil, result.New(result.JobUnknown, result.RanNo, "job %s", id)
}

func (h *Holder) explain(id string) (engine.Explanation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine.Explain(id, time.Now())
}

func (h *Holder) dump() Dump {
	self, until := h.ledger.Holder(), h.ledger.Proved().Add(rightTerm)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return Dump{
		Partition: self.Partition, Epoch: self.Epoch, MayOrderMillis: until.Sub(now).Milliseconds(), Hosts: h.hosts.Load(),
		Engine: h.engine.Dump(now),
	}
}
