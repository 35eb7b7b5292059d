package fleet

import (
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/taskmsg"
)

// Digest sums up the room of the workers, for heartbeats.
func (f *Fleet) Digest() taskmsg.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cell.Digest()
}

// State is the dump of a Fleet.
type State struct {
	Partitions []PartitionState      `json:"partitions"`
	Workers    []taskmsg.WorkerState `json:"workers"`
	// Runs counts runs by their state.
	Runs map[string]int `json:"runs"`
	// News counts runs that a home has not acknowledged, by home partition.
	News map[int]int `json:"news"`
	// HomeEpochs are the highest epochs of job homes seen, by partition.
	HomeEpochs map[int]uint64 `json:"home_epochs"`
}

// PartitionState is one held partition.
type PartitionState struct {
	ID       int    `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Complete bool   `json:"complete"`
	// Awaited are the workers named by the previous holder that have not
	// answered a claim.
	Awaited []string `json:"awaited,omitempty"`
}

// Dump returns the state for /debug/state.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteComplete(time.Now())
	s := State{Workers: f.workerStates(), Runs: map[string]int{}, News: map[int]int{}, HomeEpochs: map[int]uint64{}}
	for _, p := range f.parts {
		ps := PartitionState{ID: p.id, Epoch: p.epoch, Complete: p.complete}
		for name := range p.expected {
			ps.Awaited = append(ps.Awaited, name)
		}
		slices.Sort(ps.Awaited)
		s.Partitions = append(s.Partitions, ps)
	}
	slices.SortFunc(s.Partitions, func(a, b PartitionState) int { return a.ID - b.ID })
	for _, r := range f.runs {
		s.Runs[r.state.String()]++
	}
	for id, h := range f.homes {
		s.HomeEpochs[id] = h.epoch
		if len(h.pending) > 0 {
			s.News[id] = len(h.pending)
		}
	}
	return s
}

func (f *Fleet) workerStates() []taskmsg.WorkerState {
	out := make([]taskmsg.WorkerState, 0, len(f.agents))
	for _, a := range f.agents {
		free, _ := f.cell.Free(a.name)
		out = append(out, taskmsg.WorkerState{
			Name: a.name, Addr: a.addr, Rack: a.info.Rack, Zone: a.info.Zone, Partition: a.part.id, Epoch: a.part.epoch,
			Claim: a.claim, Status: a.status().String(), Size: a.info.Size, Free: free, Usage: a.usage, Runs: len(a.runs),
		})
	}
	slices.SortFunc(out, func(x, y taskmsg.WorkerState) int { return strings.Compare(x.Name, y.Name) })
	return out
}
