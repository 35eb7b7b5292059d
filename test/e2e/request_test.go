package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/result"
	"pulleyquay/test/e2e/harness"
)

const (
	callers = 24
	work    = 5 * time.Millisecond
)

func waitAnswered(t *testing.T, l *harness.Load, more int) {
	t.Helper()
	before := l.Answered()
	harness.Eventually(t, harness.ReadyLimit, "requests are answered", func() error {
		if got := l.Answered() - before; got < more {
			return fmt.Errorf("%d of %d", got, more)
		}
		return nil
	})
}

// TestEntryKilled kills an entry while its requests are in flight; each is then
// retried with the same key through another entry.
func TestEntryKilled(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	var wg sync.WaitGroup
	keys := make([]string, callers)
	first := make([]harness.Reply, callers)
	for i := range keys {
		keys[i] = harness.NewKey()
		wg.Go(func() { first[i] = c.Post(c.Hosts[0], keys[i], keys[i], 600*time.Millisecond) })
	}
	harness.Eventually(t, harness.ReadyLimit, "requests run", func() error {
		if r := c.Platform.Record(); r.Requests < callers {
			return fmt.Errorf("%d of %d", r.Requests, callers)
		}
		return nil
	})
	c.Hosts[0].Entry.Kill()
	wg.Wait()
	for i, key := range keys {
		is.True(!first[i].OK()) // cut off by the kill
		again := c.Post(c.Hosts[1], key, key, 600*time.Millisecond)
		if !again.OK() || string(again.Body) != key {
			t.Errorf("retry of %s: %s", key, again)
		}
	}
	r := c.Platform.Record()
	allHeld(t, r)
	for _, key := range keys {
		is.Equal(len(r.Keys[key]), 1)
	}
}

// TestPlacerKilledUnderLoad: what a killed placer leaves behind is answered
// with the truth, also on a retry with the same key.
func TestPlacerKilledUnderLoad(t *testing.T) {
	c := startCell(t)
	l := c.StartLoad(callers, work)
	waitAnswered(t, l, 200)
	c.Hosts[0].Placer.Kill()
	waitAnswered(t, l, 200)
	time.Sleep(3 * harness.Term)
	waitAnswered(t, l, 200)
	replies := l.Stop()
	r := c.Platform.Record()
	allHeld(t, r)
	v := harness.Judge(replies, r)
	promisesKept(t, v)
	t.Log(v)
	is.New(t).Equal(v.Cut, 0) // the entries live, so nobody is left without an answer
	retryUnknown(t, c, replies)
}

// retryUnknown sends every key of unknown outcome again: it must not run anew.
func retryUnknown(t *testing.T, c *harness.Cell, replies map[string]harness.Reply) {
	t.Helper()
	before := c.Platform.Record()
	n := 0
	for key, r := range replies {
		p := r.Problem()
		if p == nil || p.Ran != result.RanUnknown || n == callers {
			continue
		}
		n++
		again := c.Post(c.Hosts[1], key, key, work)
		after := len(c.Platform.Record().Keys[key])
		if after > 1 || (len(before.Keys[key]) == 1 && after != 1) {
			t.Errorf("key %s ran %d times after a retry: %s", key, after, again)
		}
	}
}

// TestRollingStop stops every entry host in turn, as planned, under load.
func TestRollingStop(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	l := c.StartLoad(callers, work)
	waitAnswered(t, l, 100)
	for _, h := range c.Hosts {
		h.Entry.Terminate()
		h.Placer.Terminate()
		is.Equal(h.Entry.Wait(20*time.Second), 0)
		is.Equal(h.Placer.Wait(20*time.Second), 0)
		h.StartPlacer()
		h.StartEntry()
		h.WaitReady()
		waitAnswered(t, l, 100)
	}
	replies := l.Stop()
	r := c.Platform.Record()
	allHeld(t, r)
	v := harness.Judge(replies, r)
	promisesKept(t, v)
	t.Log(v)
	is.Equal(v.Cut, 0)     // no request cut off
	is.Equal(v.Unknown, 0) // a planned stop leaves no doubt
}

// TestExecutorLeaves: by the host list, nothing new after 3 s; by its own
// signal the same, which the judge itself checks.
func TestExecutorLeaves(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	l := c.StartLoad(callers, work)
	waitAnswered(t, l, 100)
	for _, h := range c.Platform.Hosts() {
		if h.Name == "executor-00" {
			h.Leaving = true
			c.Platform.PutHost(h)
		}
	}
	c.Platform.ExecutorFaults("executor-01", execsim.Faults{Leaving: true})
	until := time.Now().Add(3 * time.Second)
	time.Sleep(time.Until(until.Add(time.Second)))
	waitAnswered(t, l, 200)
	v := l.Stop()
	r := c.Platform.Record()
	allHeld(t, r)
	promisesKept(t, harness.Judge(v, r))
	is.True(r.Executors["executor-00"].Executions > 0)
	is.True(r.Executors["executor-00"].LastAt.Before(until))
	is.True(r.Executors["executor-01"].LastAt.Before(until))
}

// TestPlacerPausedUnderLoad pauses a placer with requests in its hands for
// longer than its right lasts, and lets it go on: what it still holds must not
// run a second time, nor take an executor over its slots.
func TestPlacerPausedUnderLoad(t *testing.T) {
	c := startCell(t)
	l := c.StartLoad(callers, work)
	waitAnswered(t, l, 200)
	for range 2 {
		c.Hosts[1].Placer.Pause()
		time.Sleep(3 * harness.Term)
		c.Hosts[1].Placer.Resume()
		waitAnswered(t, l, 200)
	}
	replies := l.Stop()
	r := c.Platform.Record()
	allHeld(t, r)
	v := harness.Judge(replies, r)
	promisesKept(t, v)
	t.Log(v)
	is.New(t).Equal(v.Cut, 0)
	retryUnknown(t, c, replies)
}
