package hold

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/view"
)

// delegateRecorder is a Delegate that records its last list of partitions.
type delegateRecorder struct {
	mu   sync.Mutex
	list []view.Partition
}

func (d *delegateRecorder) SetRenewals(partitions []view.Partition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = partitions
}

func (d *delegateRecorder) delegated() []view.Partition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

func TestDelegateRenewsForADeadHolderInAnOutage(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		delegates := map[string]*delegateRecorder{}
		c.prepare = func(n *node) {
			delegates[n.name] = &delegateRecorder{}
			n.SetDelegate(delegates[n.name])
		}
		startMembers(c, "a", "b", "c")
		dead := c.nodes["b"].Held()
		c.engine.SetFaults(memstore.Faults{Hang: true})
		time.Sleep(2 * c.config.Term)
		c.kill(c.nodes["b"])

		var delegate *node
		c.wait(2*c.config.Term, "a delegate renews", func() bool {
			for name, n := range c.nodes {
				if len(delegates[name].delegated()) == len(dead) {
					delegate = n
				}
			}
			return delegate != nil
		})
		c.wait(c.config.Term, "renewal is promised", func() bool {
			_, err := delegate.CheckRenewal(dead[0])
			return err == nil
		})
		grant, err := delegate.CheckRenewal(dead[0])
		is.NoErr(err)
		is.Equal(grant.Epoch, delegate.Table().Partitions[dead[0]].Epoch)            // the dead holder's epoch
		is.Equal(len(delegates["a"].delegated())*len(delegates["c"].delegated()), 0) // a single delegate
		_, err = delegate.Check(dead[0])
		is.Equal(result.CodeOf(err), result.NotHolder) // a delegate does not hold the partition

		c.engine.SetFaults(memstore.Faults{})
		c.waitAllHeld(recoveryTerms * c.config.Term)
		is.True(time.Now().After(grant.Until)) // the claim waited until the delegate's authority had expired
		is.Equal(len(delegates[delegate.name].delegated()), 0)
	})
}

func TestStartInAnOutageLearnsMembersFromASeed(t *testing.T) {
	config := testConfig()
	config.Seeds = []string{"a:1"}
	inBubble(t, config, func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b")
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		time.Sleep(2 * c.config.Term)
		d := c.start("d")
		is.True(strings.Contains(strings.Join(d.NotReadyReasons(), ";"), "members"))
		c.wait(c.config.Term, "the table comes from the seed", func() bool {
			return len(d.Table().Members) == 2 && len(d.Table().Partitions) == c.config.Partitions
		})
		notReady := strings.Join(d.NotReadyReasons(), ";")
		is.True(strings.Contains(notReady, "membership"))
		is.True(strings.Contains(notReady, "those of a peer are in use"))
		is.True(strings.Contains(notReady, "number of partitions"))
		c.engine.SetFaults(memstore.Faults{})
		c.wait(4*time.Second, "d has joined and is ready", func() bool { return len(d.NotReadyReasons()) == 0 })
		c.wait(2*c.config.Term, "d has a share", func() bool { return len(d.Held()) > 0 && c.allHeld() })
	})
}

func TestPlannedStopInAnOutageFinishesItsWork(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b", "c")
		held, released := len(c.nodes["b"].Held()), c.nodes["b"].component.counts.release
		c.engine.SetFaults(memstore.Faults{Hang: true})
		time.Sleep(c.config.Term)
		ctx, cancel := context.WithTimeout(context.Background(), 10*c.config.Term)
		defer cancel()
		b := c.nodes["b"]
		err := b.Stop(ctx)
		is.Equal(result.CodeOf(err), result.HandOverFailed)
		is.Equal(b.component.counts.release-released, held)
		is.NoErr(ctx.Err()) // it did not wait for the store
		c.kill(b)
		c.engine.SetFaults(memstore.Faults{})
		c.waitAllHeld(recoveryTerms * c.config.Term)
	})
}

func TestStopThatTimesOutLeavesNoOverlap(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		startMembers(c, "a", "b", "c")
		b := c.nodes["b"]
		b.component.releaseTime.Store(int64(time.Minute))
		ctx, cancel := context.WithTimeout(context.Background(), c.config.Term/2)
		defer cancel()
		if err := b.Stop(ctx); result.CodeOf(err) != result.HandOverFailed {
			c.t.Errorf("stop: %v", err)
		}
		c.kill(b)
		c.waitAllHeld(recoveryTerms * c.config.Term)
	})
}

func TestFailedReleaseIsNoHandOver(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b")
		b := c.nodes["b"]
		held := b.Held()
		b.component.failRelease.Store(true)
		is.NoErr(b.Stop(context.Background()))
		for _, id := range held {
			is.True(!c.nodes["a"].component.acquisition(id).HandedOver)
		}
		c.kill(b)
		c.waitAllHeld(c.config.Term)
	})
}

// TestStateOfAnAbandonedHandOverIsNotUsed: the states were sent, but the record did not move, and
// the old holder resumed the partition and died. The claim then has the epoch that the handover
// would have had.
func TestStateOfAnAbandonedHandOverIsNotUsed(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b")
		a, b := c.nodes["a"], c.nodes["b"]
		id := b.Held()[0]
		_, err := a.onHandOver(c.t.Context(), HandOver{
			Partition: id, Epoch: b.epoch(id) + 1, Incarnation: a.Self().Incarnation,
			ID: "abandoned", States: map[string][]byte{"recorder": []byte("stale")},
		})
		is.NoErr(err)
		c.kill(b)
		c.waitAllHeld(recoveryTerms * c.config.Term)
		is.True(!a.component.acquisition(id).HandedOver)
		is.Equal(a.component.acquisition(id).State, nil)
	})
}

func TestHandOverThatCanNotReachTheStoreIsReverted(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b", "c")
		b := c.nodes["b"]
		id := b.Held()[0]
		b.component.releaseTime.Store(int64(100 * time.Millisecond))
		b.mu.Lock()
		next := c.nodes["a"].Self()
		s, mod := b.slots[id], b.cache.members["a"].Revision
		s.busy = true
		b.mu.Unlock()
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		ctx, cancel := context.WithTimeout(c.t.Context(), 2*c.config.Term)
		defer cancel()
		b.handOver(ctx, s, next, mod)
		is.NoErr(ctx.Err())
		b.mu.Lock()
		s.busy = false
		b.mu.Unlock()
		_, err := b.Check(id)
		is.NoErr(err) // nothing was sent to the store: the partition is resumed at once
		c.engine.SetFaults(memstore.Faults{})
	})
}

// TestHandOverOfUnknownOutcomeKeepsTaskLeasesRenewed: the store becomes unavailable while a
// handover is written. Until the outcome is known no process may act for the partition, but its
// task leases must be renewed.
func TestHandOverOfUnknownOutcomeKeepsTaskLeasesRenewed(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		delegates := map[string]*delegateRecorder{}
		c.prepare = func(n *node) {
			delegates[n.name] = &delegateRecorder{}
			n.SetDelegate(delegates[n.name])
		}
		startMembers(c, "a", "b", "c")
		b := c.nodes["b"]
		id := b.Held()[0]
		epoch := b.epoch(id)
		b.mu.Lock()
		next := c.nodes["a"].Self()
		s, mod := b.slots[id], b.cache.members["a"].Revision
		s.busy = true
		b.mu.Unlock()
		c.engine.SetFaults(memstore.Faults{Hang: true})
		done := make(chan struct{})
		go func() {
			b.handOver(c.t.Context(), s, next, mod)
			b.mu.Lock()
			s.busy = false
			b.mu.Unlock()
			close(done)
		}()
		c.wait(4*c.config.Term, "the holder renews its own partition", func() bool {
			return len(delegates["b"].delegated()) == 1
		})
		for range 10 { // the outage continues
			time.Sleep(c.config.Term)
			grant, err := b.CheckRenewal(id)
			is.NoErr(err)
			is.Equal(grant.Epoch, epoch)
			_, err = b.Check(id)
			is.Equal(result.CodeOf(err), result.NotHolder) // it has no authority to act
		}
		c.engine.SetFaults(memstore.Faults{})
		<-done
		c.waitAllHeld(recoveryTerms * c.config.Term)
		c.wait(c.config.Term, "the renewal ends", func() bool { return len(delegates["b"].delegated()) == 0 })
	})
}

func (n *node) epoch(id int) uint64 {
	g, err := n.Check(id)
	if err != nil {
		return 0
	}
	return g.Epoch
}

func TestVoterRecordsOfEndedProcessesAreDeleted(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		startMembers(c, "a", "b")
		for range 5 {
			c.replace("b")
			c.waitAllHeld(recoveryTerms * c.config.Term)
		}
		c.wait(2*unusedTerms*c.config.Term, "only registered members have voter records", func() bool {
			a := c.nodes["a"]
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.cache.voterRecords) == 2
		})
	})
}

func TestWrongPartitionCountFoundAfterAnOutageHoldsNothing(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a")
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		c.config.Partitions *= 2
		d := c.start("d")
		c.config.Partitions /= 2
		c.engine.SetFaults(memstore.Faults{})
		time.Sleep(2 * c.config.Term)
		is.Equal(d.Held(), nil)
		is.True(strings.Contains(strings.Join(d.NotReadyReasons(), ";"), "configured 32, the store holds 16"))
		is.Equal(len(c.nodes["a"].Held()), c.config.Partitions)
	})
}

func TestLaterProcessOfANameWaitsForTheOlder(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b")
		older := c.nodes["b"]
		held := older.Held()
		later := c.build("b", "b:2")
		is.NoErr(later.Start(c.t.Context()))
		later.startUsing(c.useEvery)
		time.Sleep(3 * c.config.Term)
		is.Equal(later.Held(), nil)
		is.True(strings.Contains(strings.Join(later.NotReadyReasons(), ";"), "lives as"))
		is.Equal(older.Held(), held)
		c.kill(older)
		c.nodes["b"] = later
		c.wait(recoveryTerms*c.config.Term, "the later process has joined and has a share", func() bool {
			return len(later.Held()) > 0 && c.allHeld()
		})
	})
}
