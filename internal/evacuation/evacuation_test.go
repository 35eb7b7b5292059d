package evacuation

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
)

func newTracker() *Tracker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Tracker{Prefix: "op/evacuate/", Log: logrus.NewEntry(log)}
}

func change(key string, at platform.Revision, deleted bool) platform.Change {
	return platform.Change{Record: platform.Record{Key: key, ModRevision: at}, Deleted: deleted}
}

// TestTracker checks the set after each kind of update, and that an older one never replaces a newer one.
func TestTracker(t *testing.T) {
	is := is.New(t)
	tr := newTracker()
	is.Equal(tr.Current().Revision, platform.Revision(0))
	tr.ApplyList([]platform.Record{{Key: "op/evacuate/b"}, {Key: "op/config"}, {Key: "op/evacuate/"}}, 10)
	is.Equal(tr.Current().Zones, []string{"b"})
	tr.ApplyChange(change("op/evacuate/a", 12, false))
	is.Equal(tr.Current().Zones, []string{"a", "b"})
	is.True(tr.Current().Contains("a"))
	is.True(!tr.Current().Contains("c"))

	tr.ApplyFrom(Set{Revision: 11, Zones: []string{"c"}}, "peer") // it is behind
	is.Equal(tr.Current().Zones, []string{"a", "b"})
	tr.ApplyFrom(Set{Revision: 15, Zones: []string{"b", "c"}}, "peer")
	is.Equal(tr.Current().Zones, []string{"b", "c"})
	tr.ApplyChange(change("op/evacuate/a", 13, true)) // before what the peer knew
	is.Equal(tr.Current().Zones, []string{"b", "c"})
	tr.ApplyChange(change("op/evacuate/c", 17, true))
	is.Equal(tr.Current().Zones, []string{"b"})
	tr.ApplyChange(change("op/config", 18, false))
	is.Equal(tr.Current().Revision, platform.Revision(17))
	tr.ApplyList(nil, 20) // the removal was missed
	is.Equal(len(tr.Current().Zones), 0)
	var none *Set
	is.True(!none.Contains("b"))
}

// TestMembersThatKnowTheSameFetchNothing guards against peers that fetch sets from each other with each heartbeat, and a
// configuration with them, because each has read the same set at another revision.
func TestMembersThatKnowTheSameFetchNothing(t *testing.T) {
	is := is.New(t)
	none, evacuated := []platform.Record{{Key: "op/config", ModRevision: 4}}, []platform.Record{{Key: "op/evacuate/a", ModRevision: 5}}
	for _, records := range [][]platform.Record{none, evacuated} {
		first, later := newTracker(), newTracker()
		first.ApplyList(records, 10)
		later.ApplyList(records, 30)
		for range 2 {
			is.True(first.Current().Changed <= later.Current().Revision)
			is.True(later.Current().Changed <= first.Current().Revision)
			first.ApplyList(records, 40)
		}
		first.ApplyChange(change("op/evacuate/b", 50, false))
		is.True(first.Current().Changed > later.Current().Revision) // this has to be fetched
		later.ApplyFrom(*first.Current(), "peer")
		is.Equal(later.Current().Zones, first.Current().Zones)
		is.True(first.Current().Changed <= later.Current().Revision)
	}
}
