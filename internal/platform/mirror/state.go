package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"pulleyquay/internal/platform"
)

// state is the copy and its subscribers.
type state struct {
	mu          sync.Mutex
	records     map[string]platform.Record
	sorted      []platform.Record // cache of records in key order; nil when out of date
	revision    platform.Revision
	loaded      bool
	batches     int64 // that the watch has delivered, dropped ones included
	subscribers map[*subscriber]struct{}
}

// subscriber holds what one subscriber has not been told yet.
type subscriber struct {
	pending map[string]platform.Change
	wake    chan struct{}
}

// newState returns an empty copy that was not loaded yet.
func newState() *state {
	return &state{records: map[string]platform.Record{}, subscribers: map[*subscriber]struct{}{}}
}

// seen returns the revision up to which the copy is complete.
func (s *state) seen() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// told returns how many batches the watch has delivered.
func (s *state) told() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batches
}

// replace takes in a whole list. It returns the number of changes, and false
// when the list is older than the copy.
func (s *state) replace(records []platform.Record, at platform.Revision) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at < s.revision {
		return 0, false
	}
	first := !s.loaded
	s.loaded = true
	changes := s.difference(records, at)
	s.accept(changes, at)
	if first {
		s.wakeAll() // also when there is nothing to tell
	}
	return len(changes), true
}

// difference returns the changes from the copy to a list. When a key was
// deleted is not known; the list's revision is the latest that it can be.
func (s *state) difference(records []platform.Record, at platform.Revision) []platform.Change {
	var changes []platform.Change
	there := make(map[string]struct{}, len(records))
	for _, r := range records {
		there[r.Key] = struct{}{}
		if s.records[r.Key].ModRevision < r.ModRevision {
			changes = append(changes, platform.Change{Record: r})
		}
	}
	for key := range s.records {
		if _, ok := there[key]; !ok {
			gone := platform.Record{Key: key, ModRevision: at}
			changes = append(changes, platform.Change{Record: gone, Deleted: true})
		}
	}
	return changes
}

// apply takes in a watched batch. It returns false when the copy already was as
// new. A watch never splits a revision over two batches.
func (s *state) apply(b platform.Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches++
	fresh := slices.DeleteFunc(slices.Clone(b.Changes), func(c platform.Change) bool {
		return c.ModRevision <= s.revision
	})
	s.accept(fresh, b.Revision)
	return len(fresh) == len(b.Changes)
}

// accept makes the changes part of the copy and of what subscribers are told.
func (s *state) accept(changes []platform.Change, at platform.Revision) {
	s.revision = max(s.revision, at)
	if len(changes) == 0 {
		return
	}
	s.sorted = nil
	for _, c := range changes {
		if c.Deleted {
			delete(s.records, c.Key)
		} else {
			s.records[c.Key] = c.Record
		}
		for sub := range s.subscribers {
			sub.pending[c.Key] = c
		}
	}
	s.wakeAll()
}

// wakeAll tells all subscribers that there is something to take.
func (s *state) wakeAll() {
	for sub := range s.subscribers {
		sub.tell()
	}
}

// tell wakes a subscriber that was not woken yet.
func (s *subscriber) tell() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// subscribe adds a subscriber that has to be told of everything.
func (s *state) subscribe() *subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscriber{pending: make(map[string]platform.Change, len(s.records)), wake: make(chan struct{}, 1)}
	for key, r := range s.records {
		sub.pending[key] = platform.Change{Record: r}
	}
	s.subscribers[sub] = struct{}{}
	if s.loaded {
		sub.tell()
	}
	return sub
}

// unsubscribe ends what subscribe began.
func (s *state) unsubscribe(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub)
}

// take returns what a subscriber has not been told yet, in order of revision;
// false before the first list.
func (s *state) take(sub *subscriber) (platform.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		return platform.Batch{}, false
	}
	changes := slices.SortedFunc(maps.Values(sub.pending), func(a, b platform.Change) int {
		return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), strings.Compare(a.Key, b.Key))
	})
	sub.pending = map[string]platform.Change{}
	return platform.Batch{Changes: changes, Revision: s.revision}, true
}

// snapshot returns the copy in key order.
func (s *state) snapshot() ([]platform.Record, platform.Revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.records), func(a, b platform.Record) int {
			return strings.Compare(a.Key, b.Key)
		})
	}
	return s.sorted, s.revision, s.loaded
}
