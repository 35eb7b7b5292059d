package hold

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"strconv"
	"strings"
	"time"

	"pulleyquay/internal/member"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// PartitionPrefix is the store prefix of the partition records.
const PartitionPrefix = "partitions/"

// countKey holds the number of partitions with which the cell was created.
const countKey = PartitionPrefix + "count"

// partitionKey has a fixed width, so that no key is a prefix of another.
func partitionKey(id int) string { return fmt.Sprintf("%s%05d", PartitionPrefix, id) }

// cache is this process's copy of the members and partitions in the store. The state of a key is
// only replaced by one of a higher revision, in whatever order lists, watches and replies arrive.
type cache struct {
	members      map[string]member.Entry
	voterRecords map[right.MemberID]member.Entry
	partitions   map[int]view.Partition
	handOvers    map[int]string               // attempt that moved each record
	revisions    map[string]platform.Revision // of each key, including deleted ones
	unregistered map[right.MemberID]time.Time // holders without a key, since when
	count        int                          // number of partitions in the store, zero if not read
	revision     platform.Revision
	listed       map[string]bool // prefixes that have been listed from the store
}

func newCache() *cache {
	return &cache{
		members: map[string]member.Entry{}, voterRecords: map[right.MemberID]member.Entry{},
		partitions: map[int]view.Partition{}, handOvers: map[int]string{}, revisions: map[string]platform.Revision{},
		unregistered: map[right.MemberID]time.Time{}, listed: map[string]bool{},
	}
}

// list applies all records under a prefix at a revision.
func (m *cache) list(prefix string, records []platform.Record, at platform.Revision) error {
	if !m.listed[prefix] {
		m.dropAdopted(prefix)
	}
	present := map[string]bool{}
	for _, rec := range records {
		present[rec.Key] = true
		if err := m.apply(platform.Change{Record: rec}); err != nil {
			return err
		}
	}
	for key := range m.revisions {
		if !strings.HasPrefix(key, prefix) || present[key] {
			continue
		}
		if err := m.apply(platform.Change{Record: platform.Record{Key: key, ModRevision: at}, Deleted: true}); err != nil {
			return err
		}
	}
	m.listed[prefix] = true
	return nil
}

// apply applies the state of one key unless a newer one is known.
func (m *cache) apply(c platform.Change) error {
	if c.ModRevision <= m.revisions[c.Key] {
		return nil
	}
	m.revisions[c.Key] = c.ModRevision
	m.revision = max(m.revision, c.ModRevision)
	if c.Deleted {
		c.Value = nil
	}
	if strings.HasPrefix(c.Key, member.Prefix) {
		return m.applyMember(c)
	}
	return m.applyPartition(c)
}

func (m *cache) applyMember(c platform.Change) error {
	entry, err := member.Decode(c.Record)
	if err != nil {
		return err
	}
	if entry.IsVoterRecord() {
		memberID := right.MemberID{Name: entry.Name, Incarnation: entry.Incarnation}
		if c.Deleted {
			delete(m.voterRecords, memberID)
			return nil
		}
		m.voterRecords[memberID] = entry
		return nil
	}
	if c.Deleted {
		delete(m.members, entry.Name)
		return nil
	}
	m.members[entry.Name] = entry
	return nil
}

func (m *cache) applyPartition(c platform.Change) error {
	if c.Key == countKey {
		m.count = 0
		if c.Deleted {
			return nil
		}
		return json.Unmarshal(c.Value, &m.count)
	}
	id, err := strconv.Atoi(strings.TrimPrefix(c.Key, PartitionPrefix))
	if err != nil {
		return fmt.Errorf("record %s: %w", c.Key, err)
	}
	if c.Deleted {
		delete(m.partitions, id)
		return nil
	}
	var rec record
	if err := json.Unmarshal(c.Value, &rec); err != nil {
		return fmt.Errorf("record %s: %w", c.Key, err)
	}
	rec.ModRevision = int64(c.ModRevision)
	m.partitions[id], m.handOvers[id] = rec.Partition, rec.HandOver
	return nil
}

// adopt applies a table received from a peer; it has no effect after the first list.
func (m *cache) adopt(t *view.Table) {
	if len(m.listed) > 0 || t.Revision <= int64(m.revision) {
		return
	}
	m.revision = platform.Revision(t.Revision)
	for _, member := range t.Members {
		m.members[member.Name] = entryOf(member)
	}
	m.count = len(t.Partitions)
	for _, p := range t.Partitions {
		if p.Epoch > 0 {
			m.partitions[p.ID] = p
		}
	}
}

// dropAdopted discards the part of a peer's table under a prefix before the store's own list
// replaces it.
func (m *cache) dropAdopted(prefix string) {
	if prefix == member.Prefix {
		maps.DeleteFunc(m.members, func(name string, _ member.Entry) bool { return m.revisions[member.Key(name)] == 0 })
		return
	}
	maps.DeleteFunc(m.partitions, func(id int, _ view.Partition) bool { return m.revisions[partitionKey(id)] == 0 })
}

func entryOf(m view.Member) member.Entry { return member.Entry{Name: m.Name, Member: &m} }

// table returns a snapshot, sorted by name and by id. It contains all partitions of the cell or
// none: unclaimed partitions have no holder and epoch zero. Readers derive home partitions from the
// number of partitions.
func (m *cache) table() *view.Table {
	t := &view.Table{Revision: int64(m.revision)}
	for _, e := range m.members {
		t.Members = append(t.Members, *e.Member)
	}
	for id := range m.count {
		p, known := m.partitions[id]
		if !known {
			p = view.Partition{ID: id}
		}
		t.Partitions = append(t.Partitions, p)
	}
	sort.Slice(t.Members, func(a, b int) bool { return t.Members[a].Name < t.Members[b].Name })
	return t
}

// registered reports whether the member's key is in the store.
func (m *cache) registered(s right.MemberID) bool {
	e, ok := m.members[s.Name]
	return ok && e.Member.Incarnation == s.Incarnation
}

// remaining lists the members that are not leaving.
func (m *cache) remaining() []string {
	var out []string
	for name, e := range m.members {
		if !e.Member.Leaving {
			out = append(out, name)
		}
	}
	return out
}

// voters lists the members as voters, sorted by name.
func (m *cache) voters() []right.Voter {
	var out []right.Voter
	for _, e := range m.members {
		out = append(out, right.Voter{Name: e.Member.Name, Incarnation: e.Member.Incarnation, Addr: e.Member.Addr})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// updateUnregistered records since when each holder has been without a member key.
func (m *cache) updateUnregistered(now time.Time) {
	holders := map[right.MemberID]bool{}
	for _, p := range m.partitions {
		s := holderOf(p)
		if p.Holder != "" && !m.registered(s) {
			holders[s] = true
		}
	}
	for s := range m.unregistered {
		if !holders[s] {
			delete(m.unregistered, s)
		}
	}
	for s := range holders {
		if _, known := m.unregistered[s]; !known {
			m.unregistered[s] = now
		}
	}
}

func holderOf(p view.Partition) right.MemberID {
	return right.MemberID{Name: p.Holder, Incarnation: p.Incarnation}
}

// record is the value stored under a partition's key.
type record struct {
	view.Partition
	// HandOver identifies the attempt with which the previous holder moved the record; it is empty
	// after a claim.
	HandOver string `json:"hand_over,omitempty"`
}

// change returns the record in the form in which the store reports it.
func (r record) change() platform.Change {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("hold: encode %+v: %v", r, err))
	}
	return platform.Change{Record: platform.Record{
		Key: partitionKey(r.ID), Value: value, ModRevision: platform.Revision(r.ModRevision),
	}}
}
