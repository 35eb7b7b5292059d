// Package cell maintains the membership of the cell and the holders of its partitions, detects
// failed holders and elects their successors.
//
// Members watch the store for this information; heartbeats carry it to members that the store
// does not answer. Safety does not depend on it: a claim is a compare-and-swap in the store, a
// holder's writes are conditional on its claim, and hosts refuse orders of earlier epochs.
package cell

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/unreadable"
	"pulleyquay/internal/saturate"
)

// Prefix is the store prefix of the member entries and the holder records, which every member watches.
const Prefix = "cell/"

const memberPrefix = Prefix + "members/"

// Member is the entry of one process of the cell.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Addr is the member's peer address.
	Addr string `cbor:"3,keyasint"`
	Zone string `cbor:"4,keyasint"` // availability zone
	// Cores is the processor time available to the member, in cores.
	Cores float64 `cbor:"5,keyasint"`
	// StartedUnixMilli is the start time by the member's own clock.
	StartedUnixMilli int64 `cbor:"6,keyasint"`
	// Leaving is true if the member must not become the holder of any partition.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// LinkMbps is the capacity of the member's link in megabits per second; zero if unknown.
	LinkMbps float64 `cbor:"8,keyasint,omitempty"`
}

func memberKey(name string) string { return memberPrefix + name }

// View is the state of the cell as observed by this process: its members and holders. It is
// safe for concurrent use.
type View struct {
	mu      sync.Mutex
	members map[string]Member
	// reported are members that peers reported while the store did not answer, with their
	// expiry.
	reported map[string]reportedMember
	// registered are the members in the order of their names, with their digest; nil once members have changed.
	registered       []Member
	registeredDigest uint64
	// report is the digest of the list that a peer last reported, until reportExpiresAt.
	report          uint64
	reportExpiresAt time.Time
	holders         map[int]ledger.Holder
	changed         chan struct{}
	// list is the result of Members until listExpiresAt; nil once members or reported have changed.
	list          []Member
	listExpiresAt time.Time // zero if no report is in the list
	// odd reports the records that can't be decoded; nil to report none.
	odd *unreadable.Reporter
}

type reportedMember struct {
	member    Member
	expiresAt time.Time
}

// reportedMemberTTL is how long a member is kept that was only reported by a peer, besides the time between two
// heartbeats, which renew the report: the peer's own list may be outdated.
const reportedMemberTTL = 2 * time.Second

// NewView returns a view without members and holders.
func NewView() *View {
	return &View{
		members: map[string]Member{}, reported: map[string]reportedMember{}, holders: map[int]ledger.Holder{},
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of members or holders.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notify closes the channel that Changed returned. The caller holds the lock.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Members returns the registered members and those that peers recently reported, sorted by
// name. Calls return the same slice until a member changes; it must not be modified.
func (v *View) Members(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.list == nil || !v.listExpiresAt.IsZero() && !now.Before(v.listExpiresAt) {
		v.buildList(now)
	}
	return v.list
}

// buildList builds the list of members. The caller holds the lock.
func (v *View) buildList(now time.Time) {
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	v.listExpiresAt = time.Time{}
	for name, r := range v.reported {
		if _, known := v.members[name]; known || !now.Before(r.expiresAt) {
			continue
		}
		out = append(out, r.member)
		if v.listExpiresAt.IsZero() || r.expiresAt.Before(v.listExpiresAt) {
			v.listExpiresAt = r.expiresAt
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	v.list = out
}

// Registered returns the members that have an entry in the store, as last observed.
func (v *View) Registered() []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// Size returns the number of registered members.
func (v *View) Size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.members)
}

// Holder returns the known holder of a partition with the highest epoch; ok is false if no
// holder is known.
func (v *View) Holder(partition int) (h ledger.Holder, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	h, ok = v.holders[partition]
	return h, ok
}

// isHeldBy reports whether an incarnation of a member is the known holder of any partition.
func (v *View) isHeldBy(incarnation string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range v.holders {
		if h.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// UpdateHolder records a holder read from the store or reported by a peer if its epoch is higher
// than that of the known holder. A holder of the same epoch is recorded only while the revision of
// the known holder's record is unknown (zero).
func (v *View) UpdateHolder(h ledger.Holder) {
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

// applyMembers replaces the members by those in records, which are all records of members. It skips invalid records and
// returns the last error.
func (v *View) applyMembers(records []platform.Record) error {
	members := map[string]Member{}
	var failed error
	for _, rec := range records {
		name, ok := strings.CutPrefix(rec.Key, memberPrefix)
		if !ok {
			continue
		}
		m, err := decodeMember(name, rec)
		if err != nil {
			failed = v.reportOdd(rec, err)
			continue
		}
		members[name] = m
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members, v.list, v.registered = members, nil, nil
	v.notify()
	return failed
}

// applyHolders records the holders in records. It skips invalid records and returns the last error.
func (v *View) applyHolders(records []platform.Record) error {
	var failed error
	for _, rec := range records {
		if !strings.HasPrefix(rec.Key, ledger.HolderPrefix) {
			continue
		}
		if err := v.applyHolderRecord(rec); err != nil {
			failed = err
		}
	}
	return failed
}

// applyChange applies one change under Prefix. Deletions of holder records, which do not occur
// in operation, are ignored.
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
	if c.Deleted {
		v.forgetOdd(c.Key)
	} else if m, err = decodeMember(name, c.Record); err != nil {
		err = v.reportOdd(c.Record, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list, v.registered = nil, nil
	if c.Deleted || err != nil {
		delete(v.members, name)
	} else {
		v.members[name] = m
	}
	v.notify()
	return err
}

// Largest amounts of a member.
const (
	maxCores    = 1 << 20
	maxLinkMbps = 1 << 30
)

// decodeMember decodes a member entry. It returns an error for an entry with another name, without an address or with a
// port out of range. Amounts beyond what they can be are limited: they only weigh members against each other.
func decodeMember(name string, rec platform.Record) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(rec.Value, &m); err != nil {
		return Member{}, fmt.Errorf("record %s: %w", rec.Key, err)
	}
	if m.Name != name || m.Addr == "" {
		return Member{}, fmt.Errorf("record %s: invalid entry: member name %q, address %q", rec.Key, m.Name, m.Addr)
	}
	if port, found := portOf(m.Addr); found && !validPort(port) {
		return Member{}, fmt.Errorf("record %s: invalid entry: port %q", rec.Key, port)
	}
	m.Cores, m.LinkMbps = saturate.Float(m.Cores, 0, maxCores), saturate.Float(m.LinkMbps, 0, maxLinkMbps)
	m.StartedUnixMilli = max(m.StartedUnixMilli, 0)
	return m, nil
}

// portOf returns the port of an address; found is false for an address without one.
func portOf(addr string) (port string, found bool) {
	i := strings.LastIndexByte(addr, ':')
	if i < 0 {
		return "", false
	}
	return addr[i+1:], true
}

func validPort(port string) bool {
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func (v *View) applyHolderRecord(rec platform.Record) error {
	h, err := ledger.DecodeHolder(rec)
	if err != nil {
		return v.reportOdd(rec, err)
	}
	v.UpdateHolder(h)
	return nil
}

// reportOdd reports a record that can't be decoded and returns the reason.
func (v *View) reportOdd(rec platform.Record, reason error) error {
	if v.odd != nil {
		v.odd.Report(rec, reason)
	}
	return reason
}

func (v *View) forgetOdd(key string) {
	if v.odd != nil {
		v.odd.Forget(key)
	}
}

// registeredSince returns the registered members and their digest. The list is left out if it has the given digest.
func (v *View) registeredSince(digest uint64) ([]Member, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registered == nil {
		v.registered = slices.SortedFunc(maps.Values(v.members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		v.registeredDigest = digestOf(v.registered)
	}
	if v.registeredDigest == digest {
		return nil, digest
	}
	return v.registered, v.registeredDigest
}

// digestOf returns a digest of a list of members.
func digestOf(members []Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		_, _ = fmt.Fprintf(h, "%s %s %s %t\n", m.Name, m.Incarnation, m.Addr, m.Leaving) // a hash never returns an error
	}
	return h.Sum64()
}

// reportedDigest returns the digest of the list that a peer last reported; zero once it has expired.
func (v *View) reportedDigest(now time.Time) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.After(v.reportExpiresAt) {
		return 0
	}
	return v.report
}

// applyReport records the members that a peer reported, in place of those reported before, or that the peer still has
// the list that it reported before.
func (v *View) applyReport(members []Member, digest uint64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case len(members) > 0:
		v.report = digest
		v.reported = map[string]reportedMember{}
		for _, m := range members {
			v.reported[m.Name] = reportedMember{member: m}
		}
	case digest == 0 || digest != v.report:
		return
	}
	v.list, v.reportExpiresAt = nil, now.Add(v.reportTTL())
	for name, r := range v.reported {
		v.reported[name] = reportedMember{r.member, v.reportExpiresAt}
	}
}

// reportTTL returns how long a report is valid. The caller holds the lock.
func (v *View) reportTTL() time.Duration {
	return reportedMemberTTL + heartbeatInterval(max(len(v.members), len(v.reported))) - MinHeartbeatInterval
}
