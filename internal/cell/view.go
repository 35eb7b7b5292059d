// Package cell knows the members of the cell and who holds which partition, and
// decides who succeeds a holder that is silent.
//
// What it knows comes from the store, which every member watches, and from
// heartbeats, which carry it to members that the store does not answer. Nothing
// rests on it: a claim is a compare-and-swap in the store, a holder's writes are
// conditional on its claim, and hosts refuse the orders of earlier epochs.
package cell

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
)

// Prefix is what every member watches: the members and the holders.
const Prefix = "cell/"

const memberPrefix = Prefix + "members/"

// Member is one process of the cell.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Addr is where peers reach it.
	Addr string `cbor:"3,keyasint"`
	Zone string `cbor:"4,keyasint"` // availability zone
	// Cores is the processor time that it has, in cores.
	Cores float64 `cbor:"5,keyasint"`
	// StartedUnixMilli is when it started, by its own clock.
	StartedUnixMilli int64 `cbor:"6,keyasint"`
	// Leaving members take up nothing new.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is what its link carries, in megabits a second; zero when it is not known.
	LinkMbps float64 `cbor:"8,keyasint,omitempty"`
}

func memberKey(name string) string { return memberPrefix + name }

// View is what is known of the cell. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	members map[string]Member
	// reported are members that peers have told of while the store did not answer,
	// with the time until which that counts.
	reported map[string]reported
	holders  map[int]ledger.Holder
	changed  chan struct{}
}

type reported struct {
	member Member
	until  time.Time
}

// reportedMemberTTL is how long a member counts that only a peer has told of. Heartbeats
// tell again several times a second, but a peer's own list may be as old.
const reportedMemberTTL = 2 * time.Second

// NewView returns a view of nothing.
func NewView() *View {
	return &View{
		members: map[string]Member{}, reported: map[string]reported{}, holders: map[int]ledger.Holder{},
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notify wakes those who wait for a change. The lock is held.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Members returns the members by name: those in the store as last seen, and those
// that peers have told of lately.
func (v *View) Members(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	for name, h := range v.reported {
		if _, known := v.members[name]; !known && now.Before(h.until) {
			out = append(out, h.member)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Registered returns the members that stand in the store, as last seen.
func (v *View) Registered() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// Size is how many members stand in the store, as last seen.
func (v *View) Size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.members)
}

// Holder returns the holder of a partition with the highest epoch known; ok is
// false when none is.
func (v *View) Holder(partition int) (h ledger.Holder, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	h, ok = v.holders[partition]
	return h, ok
}

// Learn takes in a holder that somebody has told of, if it is later than the one
// known.
func (v *View) Learn(h ledger.Holder) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.holders[h.Partition]
	if h.Epoch < current.Epoch || h.Epoch == current.Epoch && current.Revision != 0 {
		return
	}
	v.holders[h.Partition] = h
	if h.Epoch > current.Epoch {
		v.notify()
	}
}

// applyList takes in everything under Prefix.
func (v *View) applyList(records []platform.Record) error {
	members := map[string]Member{}
	var failed error
	v.mu.Lock()
	for _, rec := range records {
		if name, ok := strings.CutPrefix(rec.Key, memberPrefix); ok {
			m, err := decodeMember(name, rec)
			if err != nil {
				failed = err
				continue
			}
			members[name] = m
		}
	}
	v.members = members
	v.notify()
	v.mu.Unlock()
	for _, rec := range records {
		if strings.HasPrefix(rec.Key, ledger.HolderPrefix) {
			if err := v.applyHolderRecord(rec); err != nil {
				failed = err
			}
		}
	}
	return failed
}

// applyChange takes in one change under Prefix. A holder's record is never deleted.
func (v *View) applyChange(c platform.Change) error {
	if strings.HasPrefix(c.Key, ledger.HolderPrefix) {
		if c.Deleted {
			return nil
		}
		return v.applyHolderRecord(c.Record)
	}
	name, ok := strings.CutPrefix(c.Key, memberPrefix)
	if !ok {
		return nil
	}
	var m Member
	var err error
	if !c.Deleted {
		m, err = decodeMember(name, c.Record)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Deleted || err != nil {
		delete(v.members, name)
	} else {
		v.members[name] = m
	}
	v.notify()
	return err
}

// decodeMember reads a member's entry. One that names another member, or lacks what it
// takes to reach it, is an error.
func decodeMember(name string, rec platform.Record) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(rec.Value, &m); err != nil {
		return Member{}, fmt.Errorf("record %s: %w", rec.Key, err)
	}
	if m.Name != name || m.Addr == "" {
		return Member{}, fmt.Errorf("record %s: names %q at %q", rec.Key, m.Name, m.Addr)
	}
	return m, nil
}

func (v *View) applyHolderRecord(rec platform.Record) error {
	h, err := ledger.DecodeHolder(rec)
	if err != nil {
		return err
	}
	v.Learn(h)
	return nil
}

// addReported takes in the members that a peer has entered in its view.
func (v *View) addReported(members []Member, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range members {
		v.reported[m.Name] = reported{m, now.Add(reportedMemberTTL)}
	}
	for name, h := range v.reported {
		if now.After(h.until) {
			delete(v.reported, name)
		}
	}
}
