package hold

import (
	"encoding/json"
	"errors"
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

// applyList applies a complete list of the records under a prefix. Keys that are missing from it are
// deleted at its revision. A record that can't be decoded changes nothing but its own state; the errors of all such
// records that are new are returned.
func (c *cache) applyList(prefix string, records []platform.Record, at platform.Revision) error {
	if !c.listed[prefix] {
		c.dropAdopted(prefix)
	}
	var failed error
	present := map[string]bool{}
	for _, rec := range records {
		present[rec.Key] = true
		failed = errors.Join(failed, c.apply(platform.Change{Record: rec}))
	}
	for key := range c.revisions {
		if !strings.HasPrefix(key, prefix) || present[key] {
			continue
		}
		failed = errors.Join(failed, c.apply(platform.Change{Record: platform.Record{Key: key, ModRevision: at}, Deleted: true}))
	}
	c.listed[prefix] = true
	return failed
}

// apply applies the state of one key unless a newer one is known.
func (c *cache) apply(change platform.Change) error {
	if change.ModRevision <= c.revisions[change.Key] {
		return nil
	}
	c.revisions[change.Key] = change.ModRevision
	c.revision = max(c.revision, change.ModRevision)
	if change.Deleted {
		change.Value = nil
	} else if len(change.Value) == 0 {
		return fmt.Errorf("record %s: %w", change.Key, errEmptyRecord)
	}
	if strings.HasPrefix(change.Key, member.Prefix) {
		return c.applyMember(change)
	}
	return c.applyPartition(change)
}

func (c *cache) applyMember(change platform.Change) error {
	entry, err := member.Decode(change.Record)
	if err != nil {
		return err
	}
	if entry.IsVoterRecord() {
		memberID := right.MemberID{Name: entry.Name, Incarnation: entry.Incarnation}
		if change.Deleted {
			delete(c.voterRecords, memberID)
			return nil
		}
		c.voterRecords[memberID] = entry
		return nil
	}
	if change.Deleted {
		delete(c.members, entry.Name)
		return nil
	}
	c.members[entry.Name] = entry
	return nil
}

func (c *cache) applyPartition(change platform.Change) error {
	if change.Key == countKey {
		return c.applyCount(change)
	}
	id, err := strconv.Atoi(strings.TrimPrefix(change.Key, PartitionPrefix))
	if err != nil {
		return fmt.Errorf("record %s: %w", change.Key, err)
	}
	if change.Deleted {
		delete(c.partitions, id)
		return nil
	}
	var rec record
	if err := json.Unmarshal(change.Value, &rec); err != nil {
		return fmt.Errorf("record %s: %w", change.Key, err)
	}
	rec.ModRevision = int64(change.ModRevision)
	c.partitions[id], c.handOvers[id] = rec.Partition, rec.HandOver
	return nil
}

// maxPartitions bounds the number of partitions of a cell: tables have a row for each.
const maxPartitions = 1 << 16

// errEmptyRecord is the error for a record without a value, which no member writes.
var errEmptyRecord = errors.New("no value")

func (c *cache) applyCount(change platform.Change) error {
	if change.Deleted {
		c.count = 0
		return nil
	}
	n, err := strconv.Atoi(string(change.Value))
	if err != nil || n < 0 || n > maxPartitions {
		return fmt.Errorf("record %s: %q is no number of partitions", change.Key, change.Value)
	}
	c.count = n
	return nil
}

// adopt applies a table received from a peer; it has no effect after the first list.
func (c *cache) adopt(t *view.Table) {
	if len(c.listed) > 0 || t.Revision <= int64(c.revision) {
		return
	}
	c.revision = platform.Revision(t.Revision)
	for _, member := range t.Members {
		c.members[member.Name] = entryOf(member)
	}
	c.count = len(t.Partitions)
	for _, p := range t.Partitions {
		if p.Epoch > 0 {
			c.partitions[p.ID] = p
		}
	}
}

// dropAdopted discards the entries under a prefix that adopt has copied from a peer's table. The
// first list of that prefix from the store then replaces these entries.
func (c *cache) dropAdopted(prefix string) {
	if prefix == member.Prefix {
		maps.DeleteFunc(c.members, func(name string, _ member.Entry) bool { return c.revisions[member.Key(name)] == 0 })
		return
	}
	maps.DeleteFunc(c.partitions, func(id int, _ view.Partition) bool { return c.revisions[partitionKey(id)] == 0 })
}

func entryOf(m view.Member) member.Entry { return member.Entry{Name: m.Name, Member: &m} }

// table returns a snapshot, sorted by name and by id. It contains all partitions of the cell or
// none: unclaimed partitions have no holder and epoch zero. Readers derive home partitions from the
// number of partitions.
func (c *cache) table() *view.Table {
	t := &view.Table{Revision: int64(c.revision)}
	for _, e := range c.members {
		t.Members = append(t.Members, *e.Member)
	}
	for id := range c.count {
		p, known := c.partitions[id]
		if !known {
			p = view.Partition{ID: id}
		}
		t.Partitions = append(t.Partitions, p)
	}
	sort.Slice(t.Members, func(a, b int) bool { return t.Members[a].Name < t.Members[b].Name })
	return t
}

// registered reports whether the member's key is in the store.
func (c *cache) registered(memberID right.MemberID) bool {
	e, ok := c.members[memberID.Name]
	return ok && e.Member.Incarnation == memberID.Incarnation
}

// remaining lists the members that are not leaving.
func (c *cache) remaining() []string {
	var out []string
	for name, e := range c.members {
		if !e.Member.Leaving {
			out = append(out, name)
		}
	}
	return out
}

// voters lists the members as voters, sorted by name.
func (c *cache) voters() []right.Voter {
	var out []right.Voter
	for _, e := range c.members {
		out = append(out, right.Voter{Name: e.Member.Name, Incarnation: e.Member.Incarnation, Addr: e.Member.Addr})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// updateUnregistered records since when each holder has been without a member key.
func (c *cache) updateUnregistered(now time.Time) {
	holders := map[right.MemberID]bool{}
	for _, p := range c.partitions {
		memberID := holderOf(p)
		if p.Holder != "" && !c.registered(memberID) {
			holders[memberID] = true
		}
	}
	for memberID := range c.unregistered {
		if !holders[memberID] {
			delete(c.unregistered, memberID)
		}
	}
	for memberID := range holders {
		if _, known := c.unregistered[memberID]; !known {
			c.unregistered[memberID] = now
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
