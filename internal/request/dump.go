package request

import (
	"sort"
	"time"
)

// Dump is the state of a Home for /debug/state.
type Dump struct {
	KeptAnswerBytes int64           `json:"kept_answer_bytes"`
	Partitions      []PartitionDump `json:"partitions"`
}

// PartitionDump is the state of one partition.
type PartitionDump struct {
	Partition int `json:"partition"`
	// UnknownUntil applies to keys that are not in the table: the outcome of such a key is unknown
	// if the time in the key is not after UnknownUntil.
	UnknownUntil time.Time      `json:"unknown_until"`
	Releasing    bool           `json:"releasing"`
	InFlight     int            `json:"in_flight"`
	Keys         map[string]int `json:"keys"`
}

// Dump returns the state of all partitions.
func (h *Home) Dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Dump{KeptAnswerBytes: h.answerBytes}
	for id, p := range h.partitions {
		d := PartitionDump{
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
