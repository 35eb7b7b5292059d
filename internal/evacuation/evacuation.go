// Package evacuation tracks the availability zones that operators have evacuated: no new task starts on
// the hosts of such a zone until the evacuation is withdrawn.
//
// Operators write one record for each evacuated zone. A process follows these records in the store and, while
// the store does not answer it, fetches the set from a peer that has a newer one.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
)

// Set is the set of evacuated availability zones as of a revision of the store. The zero value is the empty set
// before the first read. A Set is immutable.
type Set struct {
	// Revision is the revision up to which the set is known, Changed that of its last known change: zero if no zone
	// has been evacuated as far as this process knows.
	Revision platform.Revision `cbor:"1,keyasint"`
	Changed  platform.Revision `cbor:"3,keyasint,omitempty"`
	// Zones are the evacuated zones in ascending order.
	Zones []string `cbor:"2,keyasint,omitempty"`
}

// Contains reports whether a zone is evacuated.
func (s *Set) Contains(zone string) bool {
	if s == nil {
		return false
	}
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// Tracker holds the newest known Set. The revision of its set never decreases.
type Tracker struct {
	// Prefix is the store prefix of the operators' records; the remainder of a key is the zone.
	Prefix string
	Log    *logrus.Entry

	mu      sync.Mutex
	current *Set
}

// Current returns the newest known set, never nil.
func (t *Tracker) Current() *Set {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get()
}

// get returns the newest known set. The caller holds the lock.
func (t *Tracker) get() *Set {
	if t.current == nil {
		t.current = &Set{}
	}
	return t.current
}

// ApplyList replaces the set by the records listed at a revision. Records outside the prefix are ignored.
func (t *Tracker) ApplyList(records []platform.Record, at platform.Revision) {
	zones := map[string]struct{}{}
	changed := platform.Revision(0)
	for _, rec := range records {
		if zone, ok := t.zoneOf(rec.Key); ok {
			zones[zone] = struct{}{}
			changed = max(changed, rec.ModRevision)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.get().Revision > 0 {
		changed = at // a record may have been deleted as well
	}
	t.update(Set{Revision: at, Changed: changed, Zones: slices.Sorted(maps.Keys(zones))}, fromStore)
}

// ApplyChange applies the change of one record. A change outside the prefix is ignored.
func (t *Tracker) ApplyChange(c platform.Change) {
	zone, ok := t.zoneOf(c.Key)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := slices.Clone(t.get().Zones)
	at, evacuated := slices.BinarySearch(zones, zone)
	switch {
	case c.Deleted && evacuated:
		zones = slices.Delete(zones, at, at+1)
	case !c.Deleted && !evacuated:
		zones = slices.Insert(zones, at, zone)
	}
	t.update(Set{Revision: c.ModRevision, Changed: c.ModRevision, Zones: zones}, fromStore)
}

// ApplyFrom applies the set of a peer, named by its address in the log.
func (t *Tracker) ApplyFrom(s Set, peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(s, peer)
}

// fromStore is the source of a set in the log, if it isn't a peer.
const fromStore = "store"

// update makes s the current set if it is newer. Of a set with the same zones it takes only the revision. The caller
// holds the lock.
func (t *Tracker) update(s Set, from string) {
	before := t.get()
	if s.Revision <= before.Revision {
		return
	}
	same := slices.Equal(s.Zones, before.Zones)
	if same && before.Revision > 0 {
		s.Changed = before.Changed
	}
	t.current = &s
	if !same {
		t.Log.WithFields(logrus.Fields{"zones": strings.Join(s.Zones, " "), "revision": s.Revision, "from": from}).Warn("evacuated zones changed")
	}
}

func (t *Tracker) zoneOf(key string) (zone string, ok bool) {
	zone, ok = strings.CutPrefix(key, t.Prefix)
	return zone, ok && zone != ""
}
