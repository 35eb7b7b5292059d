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
)

// pages answers questions for changes with at most so many at a time.
type pages struct {
	platform.Poller
	most int
}

func (p pages) Changes(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) (platform.Batch, error) {
	batch, err := p.Poller.Changes(ctx, prefix, after, wait)
	if len(batch.Changes) > p.most {
		batch.Changes = batch.Changes[:p.most]
		batch.Revision = batch.Changes[p.most-1].ModRevision
	}
	return batch, err
}

// TestFollowerKeepsUp: with more changes than one answer holds between two rests a
// follower fell behind for ever (seen in a sweep on the users' platform).
func TestFollowerKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		seen := map[string]time.Duration{} // how late each change was
		f := Follower{
			Store: pages{store.Client("a"), 400}, Health: NewHealth(nil), Prefix: "h/", Wait: time.Second, Rest: 400 * time.Millisecond,
			List: func([]platform.Record) {},
			Change: func(c platform.Change) {
				var at int64
				_, err := fmt.Sscan(string(c.Value), &at)
				is.NoErr(err)
				seen[c.Key] = time.Since(time.UnixMilli(at))
			},
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		for i := range 200 { // 2,000 changes a second
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

// TestFollowerListsAgain: when the changes asked for are no longer there, or the
// store was away, everything is read again.
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
			Store: c, Health: NewHealth(nil), Prefix: "h/", Wait: time.Second, Rest: 100 * time.Millisecond,
			List:   func(records []platform.Record) { lists++; last = fmt.Sprint(len(records)) },
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
		is.Equal(last, "1") // the one record
		store.Put(platform.Write{Key: "h/2", Value: []byte("y")})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(last, "y")
	})
}

// silenced lets the questions for changes that wait hang for good when mute is closed.
type silenced struct {
	platform.Poller
	mute <-chan struct{}
}

func (s silenced) Changes(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) (platform.Batch, error) {
	before := !isClosed(s.mute)
	batch, err := s.Poller.Changes(ctx, prefix, after, wait)
	if before && isClosed(s.mute) {
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

// TestFollowerAsksAgainWhenRenewed: a question that waits on a connection that has
// fallen silent missed a change of the configuration for 26 seconds (CONFIG, with
// reset_conns silent on lsbma-quay).
func TestFollowerAsksAgainWhenRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		mute := make(chan struct{})
		lists, last := 0, ""
		health := NewHealth(nil)
		f := Follower{
			Store: silenced{store.Client("a"), mute}, Health: health, Prefix: "c/", Wait: 25 * time.Second,
			List:   func([]platform.Record) { lists++ },
			Change: func(c platform.Change) { last = string(c.Value) },
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		close(mute)
		store.Put(platform.Write{Key: "c/1", Value: []byte("new")})
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(last, "")
		health.Renew()
		synctest.Wait()
		is.Equal(last, "new")
		is.Equal(lists, 1) // it goes on where it was
	})
}
