package requesttest_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/entry"
	"pulleyquay/internal/view"
)

// setLeaving marks a placer as leaving in the table, which is the first step of a planned stop.
func (c *cell) setLeaving(i int, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	table := *c.table
	table.Members = append([]view.Member(nil), c.table.Members...)
	table.Members[i].Leaving = leaving
	c.table = &table
}

// heldBy returns the partitions that a placer holds.
func (c *cell) heldBy(i int) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []int
	for _, p := range c.table.Partitions {
		if p.Holder == c.placers[i].name {
			out = append(out, p.ID)
		}
	}
	return out
}

// stopAndReplace performs a planned stop of a placer and starts a replacement.
func (c *cell) stopAndReplace(i int) {
	c.setLeaving(i, true)
	parts := c.heldBy(i)
	for n, id := range parts {
		c.handover(id, (i+1+n%(len(c.placers)-1))%len(c.placers))
	}
	time.Sleep(time.Second) // queued requests without a key are passed on
	c.setDisconnected(c.placers[i].name, true)
	time.Sleep(time.Second)
	c.setDisconnected(c.placers[i].name, false)
	c.setLeaving(i, false)
	for _, id := range parts {
		c.handover(id, i)
	}
}

func TestRollingPlannedStopRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		var mu sync.Mutex
		refused := map[string]int{}
		var wg sync.WaitGroup
		stopped := make(chan struct{})
		sent := 0
		go func() {
			defer close(stopped)
			for i := range c.placers {
				c.stopAndReplace(i)
			}
		}()
		for running := true; running; {
			header := []string{}
			if sent%2 == 0 {
				header = []string{entry.KeyHeader, newKey()}
			}
			wg.Go(func() {
				got := c.do(context.Background(), http.MethodPost, "/tickets", "{}", header...)
				if got.status != http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					refused[got.body]++
				}
			})
			sent++
			time.Sleep(time.Millisecond)
			select {
			case <-stopped:
				running = false
			default:
			}
		}
		wg.Wait()
		is.Equal(refused, map[string]int{})
		is.Equal(len(c.executors.Runs()), sent)
		is.True(sent > 6000)
	})
}
