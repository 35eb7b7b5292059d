package cell

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
)

// countingStore counts the polls for changes.
type countingStore struct {
	platform.Poller
	polls *atomic.Int64
}

func (c countingStore) Changes(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) (platform.Batch, error) {
	c.polls.Add(1)
	return c.Poller.Changes(ctx, prefix, after, wait)
}

// TestMembershipPollsAreBounded guards against store calls that grow with the square of the members: each change of a
// member answered the polls of all, 27,000 calls on a day on which 23 of 585 members restarted.
func TestMembershipPollsAreBounded(t *testing.T) {
	const members, changes, lasts = 300, 40, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var polls atomic.Int64
		var views []*View
		for i := range members {
			name := fmt.Sprintf("m%03d", i)
			view := NewView()
			views = append(views, view)
			s := &Service{
				Store: countingStore{store.Client(name), &polls}, Health: follow.NewHealth(nil), View: view, Log: logrus.NewEntry(log),
				Self: Member{Name: name, Incarnation: name, Addr: name + ":1"},
			}
			go s.Run(ctx)
		}
		time.Sleep(lasts)
		synctest.Wait()
		polls.Store(0)
		for i := range changes {
			rec := entry(is, fmt.Sprint("joins", i))
			store.Put(platform.Write{Key: rec.Key, Value: rec.Value})
			time.Sleep(lasts / changes)
		}
		synctest.Wait()
		t.Logf("%d polls for %d changes", polls.Load(), changes)
		is.True(polls.Load() <= int64(memberPollsPerSecond*lasts.Seconds())+members)
		time.Sleep(2 * members * time.Second / memberPollsPerSecond)
		synctest.Wait()
		for _, v := range views {
			is.Equal(v.Size(), members+changes)
		}
	})
}
