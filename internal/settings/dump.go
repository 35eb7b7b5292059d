package settings

import "time"

// Dump is the settings section of a process's state dump.
type Dump struct {
	// Revision is the active one, -1 before the first; HighestKnown is the highest that any process is known to
	// have applied.
	Revision     int64  `json:"revision"`
	HighestKnown int64  `json:"heard"`
	Root         string `json:"root,omitempty"`
	ChangeID     string `json:"change_id,omitempty"`
	Branches     int    `json:"branches"`
	Bytes        int    `json:"stored_bytes"`
	// StoreRevision is the store's revision of the head, 0 when the head came from a peer.
	StoreRevision int64 `json:"store_revision,omitempty"`
	// HistoryInMemory is the number of history entries in memory, which need no store read.
	HistoryInMemory int    `json:"history_in_memory,omitempty"`
	Lacks           string `json:"lacks,omitempty"`
	// Followers maps the entries that poll this placer to their revisions.
	Followers map[string]int64 `json:"followers,omitempty"`
}

// Dump returns the state of the Manager for /debug/state.
func (m *Manager) Dump() any {
	d := m.replica.dump()
	d.Followers = m.followers.live(time.Now())
	return d
}

// Dump returns the state of the Follower for /debug/state.
func (f *Follower) Dump() any { return f.replica.dump() }

func (r *replica) dump() Dump {
	s := r.snapshot()
	d := Dump{Revision: r.revision(), HighestKnown: s.highestKnown, StoreRevision: int64(s.mod)}
	if err := r.ready(); err != nil {
		d.Lacks = err.Error()
	}
	if s.tree == nil {
		return d
	}
	d.Root, d.ChangeID, d.Bytes = s.tree.RootHash().String(), s.tree.ChangeID, s.tree.rootNode().bytes
	s.tree.rootNode().each(Root, func(string, *node) { d.Branches++ })
	r.mu.Lock()
	defer r.mu.Unlock()
	d.HistoryInMemory = len(r.history)
	return d
}

// live returns the active revision of each entry that polls this placer.
func (f *followers) live(now time.Time) map[string]int64 {
	f.lowestRevision(0, now) // removes the entries that stopped polling
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int64, len(f.seen))
	for name, s := range f.seen {
		out[name] = s.revision
	}
	return out
}
