package follow

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/wait"
)

// pagingStore returns at most maxChanges changes per poll.
type pagingStore struct {
	platform.Poller
	maxChanges int
}

func (p pagingStore) Changes(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) (platform.Batch, error) {
	batch, err := p.Poller.Changes(ctx, prefix, after, wait)
	if len(batch.Changes) > p.maxChanges {
		batch.Changes = batch.Changes[:p.maxChanges]
		batch.Revision = batch.Changes[p.maxChanges-1].ModRevision
	}
	return batch, err
}

// TestFollowerKeepsUp guards against a follower falling behind permanently when more changes than
// one reply holds arrive between two polls.
func TestFollowerKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := map[string]time.Duration{} // delay of each change
		f := Follower{
			Store: pagingStore{store.Client("a"), 400}, Health: NewHealth(nil), Prefix: "h/", Wait: time.Second, PollPause: 400 * time.Millisecond,
			List: func([]platform.Record, platform.Revision) {},
			Change: func(c platform.Change) {
				var at int64
				_, err := fmt.Sscan(string(c.Value), &at)
				is.NoErr(err)
				seen[c.Key] = time.Since(time.UnixMilli(at))
			},
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		for i := range 200 { // 2,000 changes per second
			for k := range 20 {
				store.Put(platform.Write{Key: fmt.Sprintf("h/%d-%d", i, k), Value: fmt.Append(nil, time.Now().UnixMilli())})
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(len(seen), 4000)
		worst := time.Duration(0)
		for _, late := range seen {
			worst = max(worst, late)
		}
		is.True(worst < time.Second)
	})
}

// TestFollowerListsAgain: if the requested changes were compacted or the store was unavailable, the
// follower lists everything again.
func TestFollowerListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		c := store.Client("a")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lists, last := 0, ""
		f := Follower{
			Store: c, Health: NewHealth(nil), Prefix: "h/", Wait: time.Second, PollPause: 100 * time.Millisecond,
			List:   func(records []platform.Record, _ platform.Revision) { lists++; last = fmt.Sprint(len(records)) },
			Change: func(c platform.Change) { last = string(c.Value) },
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(lists, 1)
		c.SetFaults(memstore.Faults{Refuse: true})
		store.Put(platform.Write{Key: "h/1", Value: []byte("x")})
		time.Sleep(time.Second)
		store.Compact()
		c.SetFaults(memstore.Faults{})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.True(lists >= 2)
		is.Equal(last, "1") // one record was listed
		store.Put(platform.Write{Key: "h/2", Value: []byte("y")})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(last, "y")
	})
}

// slowListStore takes some time for each list.
type slowListStore struct {
	platform.Poller
	takes time.Duration
}

func (s slowListStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	if !wait.For(ctx, s.takes) {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Poller.List(ctx, prefix)
}

// TestFollowerReadsALongList guards against a follower that never reads a list of many pages while the
// store is slow, and takes the store for unavailable because of that.
func TestFollowerReadsALongList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		store.Put(platform.Write{Key: "h/1", Value: []byte("x")})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		outages, listed := 0, 0
		health := NewHealth(func(up bool, _ time.Duration) {
			if !up {
				outages++
			}
		})
		f := Follower{
			Store: slowListStore{store.Client("a"), 18 * 240 * time.Millisecond}, Health: health, Prefix: "h/", Wait: time.Second,
			List:   func(records []platform.Record, _ platform.Revision) { listed = len(records) },
			Change: func(platform.Change) {},
		}
		go f.Run(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(listed, 1)
		is.Equal(outages, 0)
	})
}

// silencedStore makes the polls that are waiting when silence is closed hang until their context ends.
type silencedStore struct {
	platform.Poller
	silence <-chan struct{}
}

func (s silencedStore) Changes(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) (platform.Batch, error) {
	before := !isClosed(s.silence)
	batch, err := s.Poller.Changes(ctx, prefix, after, wait)
	if before && isClosed(s.silence) {
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	return batch, err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestFollowerRepeatsPollWhenRenewed guards against a poll on a silent connection missing a change of
// the configuration, formerly for 26 seconds.
func TestFollowerRepeatsPollWhenRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		silence := make(chan struct{})
		lists, last := 0, ""
		health := NewHealth(nil)
		f := Follower{
			Store: silencedStore{store.Client("a"), silence}, Health: health, Prefix: "c/", Wait: 25 * time.Second,
			List:   func([]platform.Record, platform.Revision) { lists++ },
			Change: func(c platform.Change) { last = string(c.Value) },
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		close(silence)
		store.Put(platform.Write{Key: "c/1", Value: []byte("new")})
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(last, "")
		health.RepeatPolls()
		synctest.Wait()
		is.Equal(last, "new")
		is.Equal(lists, 1) // it continued from its revision without a list
	})
}
