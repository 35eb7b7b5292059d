package hold

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/member"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/view"
)

func partitionRecord(id, revision string) platform.Record {
	return platform.Record{
		Key: PartitionPrefix + "0000" + id, ModRevision: platform.Revision(revision[0] - '0'),
		Value: []byte(`{"id":` + id + `,"holder":"a","incarnation":"i","addr":"x","epoch":7}`),
	}
}

// TestTableNamesAllPartitions: the number of partitions in a table determines the home partitions
// of keys and teams, so it must not change while the partitions of a cell are being claimed.
func TestTableNamesAllPartitions(t *testing.T) {
	is := is.New(t)
	c := newCache()
	is.NoErr(c.apply(platform.Change{Record: partitionRecord("2", "2")}))
	is.Equal(len(c.table().Partitions), 0) // the number of partitions has not been read yet
	is.NoErr(c.apply(platform.Change{Record: platform.Record{Key: countKey, ModRevision: 3, Value: []byte("4")}}))
	want := []view.Partition{
		{ID: 0}, {ID: 1}, {ID: 2, Holder: "a", Incarnation: "i", Addr: "x", Epoch: 7, ModRevision: 2}, {ID: 3},
	}
	is.Equal(c.table().Partitions, want)

	started := newCache() // receives the table from a peer while the store is unavailable
	started.adopt(c.table())
	is.Equal(started.table().Partitions, want)
	is.Equal(len(started.partitions), 1) // unclaimed ones are not treated as records
}

// TestOddRecordsHideNoOthers guards against a process that ends, or lists the store again, because of one record of
// another writer: an empty member record ended it, and the records after one that can't be decoded were not applied.
func TestOddRecordsHideNoOthers(t *testing.T) {
	good := []platform.Record{
		{Key: member.Key("z"), ModRevision: 2, Value: []byte(`{"name":"z","addr":"z:1"}`)}, {Key: countKey, ModRevision: 2, Value: []byte("4")},
	}
	for name, odd := range map[string]platform.Record{
		"empty member":          {Key: member.Key("a")},
		"member is text":        {Key: member.Key("a"), Value: []byte("garbage")},
		"member is nested":      {Key: member.Key("a"), Value: []byte(strings.Repeat(`{"name":`, 20000))},
		"address is a number":   {Key: member.Key("a"), Value: []byte(`{"name":"a","addr":1e400}`)},
		"empty voter record":    {Key: member.VoterRecordKey("z", "i")},
		"voter record is text":  {Key: member.VoterRecordKey("z", "i"), Value: []byte("garbage")},
		"empty partition":       {Key: PartitionPrefix + "00002"},
		"no partition":          {Key: PartitionPrefix + "x", Value: []byte(`{}`)},
		"partition of the cell": {Key: PartitionPrefix + "00002", Value: []byte(`{"epoch":1e400}`)},
		"huge partition":        {Key: PartitionPrefix + "99999999999999999999", Value: []byte(`{}`)},
		"huge count":            {Key: countKey, Value: []byte("1000000000000000000")},
		"negative count":        {Key: countKey, Value: []byte("-4")},
		"count is text":         {Key: countKey, Value: []byte(`"4"`)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCache()
			odd.ModRevision = 1
			is.True(c.applyList("", append([]platform.Record{odd}, good...), 9) != nil)
			is.Equal(c.applyList("", append([]platform.Record{odd}, good...), 9), nil) // read again, it is not reported again
			table := c.table()
			is.Equal(len(table.Members), 1)
			is.Equal(table.Members[0].Name, "z")
			is.Equal(len(table.Partitions), 4)
			odd.ModRevision = 5 // later, in place of a good one
			is.True(c.apply(platform.Change{Record: odd}) != nil)
			is.Equal(len(c.table().Partitions), 4)
		})
	}
}
