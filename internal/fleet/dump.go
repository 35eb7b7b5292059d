package fleet

import (
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/taskmsg"
)

// Digest returns a summary of the workers' free capacity, for heartbeats.
func (f *Fleet) Digest() taskmsg.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cell.Digest()
}

// State is the state dump of a Fleet.
type State struct {
	Partitions []PartitionState      `json:"partitions"`
	Workers    []taskmsg.WorkerState `json:"workers"`
	// Runs counts runs by their state.
	Runs map[string]int `json:"runs"`
	// PendingUpdates counts the runs with updates that a job owner has not acknowledged, by home partition.
	PendingUpdates map[int]int `json:"news"`
	// HomeEpochs are the highest observed epochs of job owners, by home partition.
	HomeEpochs map[int]uint64 `json:"home_epochs"`
}

// PartitionState is the state dump of one held partition.
type PartitionState struct {
	ID       int    `json:"id"`
	Epoch    uint64 `json:"epoch"`
	Complete bool   `json:"complete"`
	// Awaited are the workers listed by the previous holder that have not
	// answered a claim yet.
	Awaited []string `json:"awaited,omitempty"`
}

// Dump returns the state for /debug/state.
func (f *Fleet) Dump() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateComplete(time.Now())
	s := State{Workers: f.workerStates(), Runs: map[string]int{}, PendingUpdates: map[int]int{}, HomeEpochs: map[int]uint64{}}
	for _, p := range f.partitions {
		ps := PartitionState{ID: p.id, Epoch: p.epoch, Complete: p.complete}
		for name := range p.awaited {
			ps.Awaited = append(ps.Awaited, name)
		}
		slices.Sort(ps.Awaited)
		s.Partitions = append(s.Partitions, ps)
	}
	slices.SortFunc(s.Partitions, func(a, b PartitionState) int { return a.ID - b.ID })
	for _, r := range f.runs {
		s.Runs[r.state.String()]++
	}
	for id, o := range f.jobOwners {
		s.HomeEpochs[id] = o.epoch
		if len(o.pending) > 0 {
			s.PendingUpdates[id] = len(o.pending)
		}
	}
	return s
}

func (f *Fleet) workerStates() []taskmsg.WorkerState {
	out := make([]taskmsg.WorkerState, 0, len(f.workers))
	for _, w := range f.workers {
		free, _ := f.cell.Free(w.name)
		out = append(out, taskmsg.WorkerState{
			Name: w.name, Addr: w.addr, Rack: w.info.Rack, Zone: w.info.Zone, Partition: w.heldPartition.id, Epoch: w.heldPartition.epoch,
			Claim: w.claimState, Status: w.status().String(), Size: w.info.Size, Free: free, Usage: w.usage, Runs: len(w.runs),
		})
	}
	slices.SortFunc(out, func(x, y taskmsg.WorkerState) int { return strings.Compare(x.Name, y.Name) })
	return out
}
