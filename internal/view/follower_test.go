package view

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
)

// placer is a fake placer whose table is set by a test.
type placer struct {
	table   atomic.Pointer[Table]
	changes Broadcast
	mux     *peer.Mux
}

func newPlacer(revision int64) *placer {
	p := &placer{mux: peer.NewMux()}
	p.set(revision)
	Serve(p.mux, func() *Table { return p.table.Load() }, p.changes.Next)
	return p
}

func (p *placer) set(revision int64) {
	p.table.Store(&Table{
		Revision: revision, Members: []Member{{Name: "a", Addr: "a"}, {Name: "b", Addr: "b"}},
		Partitions: []Partition{{ID: 0}},
	})
	p.changes.Notify()
}

// TestFollowerOfNewPlacer checks that a follower is not ready with a table without partitions,
// as a placer sends just after its start.
func TestFollowerOfNewPlacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newPlacer(1)
		a.table.Store(&Table{Revision: 1, Members: []Member{{Name: "a", Addr: "a"}}})
		f := NewFollower(peer.Local{"a": a.mux}, []string{"a"}, logrus.NewEntry(logrus.New()))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Table().Revision, int64(1))
		is.Equal(len(f.NotReadyReasons()), 1)
		a.set(2)
		synctest.Wait()
		is.Equal(len(f.NotReadyReasons()), 0)
		cancel()
		time.Sleep(pollTimeout)
	})
}

func TestFollowerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newPlacer(5), newPlacer(3)
		f := NewFollower(peer.Local{"a": a.mux, "b": b.mux}, []string{"a"}, logrus.NewEntry(logrus.New()))
		is.Equal(len(f.NotReadyReasons()), 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)

		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Table().Revision, int64(5))
		is.Equal(len(f.NotReadyReasons()), 0)

		time.Sleep(3 * time.Second) // b was polled as well
		is.Equal(f.Table().Revision, int64(5))

		b.set(9) // a, the placer on the follower's host, still has revision 5
		synctest.Wait()
		is.Equal(f.Table().Revision, int64(9)) // the open poll was answered at once
		a.set(7)
		time.Sleep(2 * maxPollWait)
		is.Equal(f.Table().Revision, int64(9))
		cancel()
		time.Sleep(pollTimeout)
	})
}

func TestFollowerOutlivesItsPlacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newPlacer(1), newPlacer(1)
		peers := peer.Local{"a": a.mux, "b": b.mux}
		f := NewFollower(peers, []string{"a", "b"}, logrus.NewEntry(logrus.New()))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		a.mux.Stop() // stops answering
		b.set(2)
		time.Sleep(2*pollTimeout + maxPollWait)
		is.Equal(f.Table().Revision, int64(2))
		cancel()
		time.Sleep(pollTimeout)
	})
}

// TestFollowerLearnsWhatATableLacked guards against a partition with an outdated holder. A
// placer's table can include a change of a member and lack an older change of a partition.
// When the older change arrives it does not raise the table's revision. A follower that
// compared revisions only would send requests to the previous holder permanently.
func TestFollowerLearnsWhatATableLacked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := func(revision int64, partitions ...Partition) *Table {
			return &Table{Revision: revision, Members: []Member{{Name: "a", Addr: "a"}}, Partitions: partitions}
		}
		a := newPlacer(1)
		a.table.Store(table(9, Partition{ID: 0, Holder: "old", ModRevision: 4}, Partition{ID: 1, Holder: "x", ModRevision: 5}))
		f := NewFollower(peer.Local{"a": a.mux}, []string{"a"}, logrus.NewEntry(logrus.New()))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.Table().Partitions[0].Holder, "old")
		a.table.Store(table(9, Partition{ID: 0, Holder: "new", ModRevision: 8}, Partition{ID: 1, Holder: "x", ModRevision: 5}))
		a.changes.Notify()
		synctest.Wait()
		is.Equal(f.Table().Partitions[0].Holder, "new")
		// A table with a later revision that lacks the change does not revert it.
		a.table.Store(table(11, Partition{ID: 0, Holder: "old", ModRevision: 4}, Partition{ID: 1, Holder: "y", ModRevision: 10}))
		a.changes.Notify()
		synctest.Wait()
		is.Equal(f.Table().Partitions[0].Holder, "new")
		is.Equal(f.Table().Partitions[1].Holder, "y")
		is.Equal(f.Table().Revision, int64(11))
		cancel()
		time.Sleep(pollTimeout)
	})
}
