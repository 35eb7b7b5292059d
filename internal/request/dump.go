package request

import (
	"sort"
	"time"
)

// Dump is the home's state for /debug/state.
type Dump struct {
	KeptAnswerBytes int64      `json:"kept_answer_bytes"`
	Partitions      []PartDump `json:"partitions"`
}

// PartDump is one partition's keys.
type PartDump struct {
	Partition int `json:"partition"`
	// UnknownUntil: unknown keys minted up to then have an unknown outcome.
	UnknownUntil time.Time      `json:"unknown_until"`
	Releasing    bool           `json:"releasing"`
	InFlight     int            `json:"in_flight"`
	Keys         map[string]int `json:"keys"`
}

// Dump returns the home's state.
func (h *Home) Dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Dump{KeptAnswerBytes: h.kept}
	for id, p := range h.parts {
		d := PartDump{
			Partition: id, UnknownUntil: p.unknownUntil, Releasing: p.releasing,
			InFlight: len(p.flights), Keys: map[string]int{},
		}
		for name, t := range p.services {
			d.Keys[name] = len(t.records)
		}
		out.Partitions = append(out.Partitions, d)
	}
	sort.Slice(out.Partitions, func(i, j int) bool { return out.Partitions[i].Partition < out.Partitions[j].Partition })
	return out
}
