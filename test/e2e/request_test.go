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

// TestEntryKilled kills an entry while its requests are in flight. Each request is
// then retried with the same key through another entry and must not run again.
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
		is.True(!first[i].OK()) // the connection ended with the process
		retry := c.Post(c.Hosts[1], key, key, 600*time.Millisecond)
		if !retry.OK() || string(retry.Body) != key {
			t.Errorf("retry of %s: %s", key, retry)
		}
	}
	r := c.Platform.Record()
	assertNoViolations(t, r)
	for _, key := range keys {
		is.Equal(len(r.Keys[key]), 1)
	}
}

// TestPlacerKilledUnderLoad kills a placer with requests in flight. Their callers get
// a correct statement of whether they ran, also on a retry with the same key.
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
	assertNoViolations(t, r)
	v := harness.CheckReplies(replies, r)
	assertTruthfulReplies(t, v)
	t.Log(v)
	is.New(t).Equal(v.Incomplete, 0) // the entries are alive, so every caller gets an answer
	retryUnknown(t, c, replies)
}

// retryUnknown retries keys of unknown outcome, at most as many as there are callers,
// and checks that none runs again.
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
		retry := c.Post(c.Hosts[1], key, key, work)
		after := len(c.Platform.Record().Keys[key])
		if after > 1 || (len(before.Keys[key]) == 1 && after != 1) {
			t.Errorf("key %s ran %d times after a retry: %s", key, after, retry)
		}
	}
}

// TestRollingStop does a planned stop and restart of each entry host in turn under load.
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
	assertNoViolations(t, r)
	v := harness.CheckReplies(replies, r)
	assertTruthfulReplies(t, v)
	t.Log(v)
	is.Equal(v.Incomplete, 0) // no connection ended without an answer
	is.Equal(v.Unknown, 0)    // a planned stop leaves no unknown outcome
}

// TestExecutorLeaves checks that executors get no new requests from 3 s after their
// departure was announced: for one by the host list, for the other by its own signal,
// which the stand-in's record checks as well.
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
	assertNoViolations(t, r)
	assertTruthfulReplies(t, harness.CheckReplies(v, r))
	is.True(r.Executors["executor-00"].Executions > 0)
	is.True(r.Executors["executor-00"].LastAt.Before(until))
	is.True(r.Executors["executor-01"].LastAt.Before(until))
}

// TestPlacerPausedUnderLoad pauses a placer with requests in flight until its
// authority has expired, and resumes it. Its remaining requests must neither run a
// second time nor exceed the slots of an executor.
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
	assertNoViolations(t, r)
	v := harness.CheckReplies(replies, r)
	assertTruthfulReplies(t, v)
	t.Log(v)
	is.New(t).Equal(v.Incomplete, 0)
	retryUnknown(t, c, replies)
}
