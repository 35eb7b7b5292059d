package hold

import (
	"testing"

	"github.com/matryer/is"

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
