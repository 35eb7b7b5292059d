package settings

import "time"

// Dump is what a process's state dump shows of its settings.
type Dump struct {
	// Revision is the one in force, -1 before the first; Heard the highest that
	// any process is known to have had.
	Revision int64  `json:"revision"`
	Heard    int64  `json:"heard"`
	Root     string `json:"root,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
	Branches int    `json:"branches"`
	Bytes    int    `json:"stored_bytes"`
	// StoreRevision is the store's revision of the head, 0 if learned elsewhere.
	StoreRevision int64 `json:"store_revision,omitempty"`
	// HistoryInMemory is the number of kept revisions that need no read.
	HistoryInMemory int    `json:"history_in_memory,omitempty"`
	Lacks           string `json:"lacks,omitempty"`
	// Followers are the entries that poll this placer, with their revisions.
	Followers map[string]int64 `json:"followers,omitempty"`
}

// Dump returns the state of the Keeper for /debug/state.
func (k *Keeper) Dump() any {
	d := k.book.dump()
	d.Followers = k.followers.live(time.Now())
	return d
}

// Dump returns the state of the Follower for /debug/state.
func (f *Follower) Dump() any { return f.book.dump() }

func (b *book) dump() Dump {
	s := b.state()
	d := Dump{Revision: b.revision(), Heard: s.heard, StoreRevision: int64(s.mod)}
	if err := b.ready(); err != nil {
		d.Lacks = err.Error()
	}
	if s.tree == nil {
		return d
	}
	d.Root, d.ChangeID, d.Bytes = s.tree.RootHash().String(), s.tree.ChangeID, s.tree.top().bytes
	s.tree.top().each(Root, func(string, *node) { d.Branches++ })
	b.mu.Lock()
	defer b.mu.Unlock()
	d.HistoryInMemory = len(b.history)
	return d
}

// live returns the revisions of the entries that poll this placer.
func (f *followers) live(now time.Time) map[string]int64 {
	f.lowest(0, now) // forgets those that went away
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int64, len(f.seen))
	for name, s := range f.seen {
		out[name] = s.revision
	}
	return out
}
