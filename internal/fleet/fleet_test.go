package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// bubble runs a test with fake time on a cell of n workers.
func bubble(t *testing.T, n int, fn func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, n)
		fn(b)
		b.held()
	})
}

func TestNothingIsPlacedBeforeTheClaim(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		b.sim.Cut("a", workersim.AnyAddr, workersim.CutBefore)
		m.take(1, nil)
		b.is.Equal(count(m.put(shapeOf("early", 1000, 0), 4), taskmsg.OutcomeRefused), 4)
		b.sim.Cut("a", workersim.AnyAddr, workersim.CutNone)
		time.Sleep(5 * time.Second)
		b.is.Equal(count(m.put(shapeOf("late", 1000, 0), 20), taskmsg.OutcomeStarted), 16) // two workers of eight
		b.is.Equal(b.running(), 16)
	})
}

func TestLeasesAreRenewedAndEndsReported(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		b.is.Equal(count(m.put(shapeOf("long", 1000, 0), 2), taskmsg.OutcomeStarted), 2)
		b.is.Equal(count(m.put(shapeOf("short", 1000, 40*time.Second), 1), taskmsg.OutcomeStarted), 1)
		time.Sleep(10 * testLease)
		b.is.Equal(b.running(), 2)
		b.is.Equal(b.home.state(attempt("short", 0)), taskmsg.RunFinished)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 2) // the acknowledged end is forgotten
	})
}

// TestRepeatedPlaceStartsOnce: a home that got no answer asks again.
func TestRepeatedPlaceStartsOnce(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		first := m.put(shapeOf("job", 1000, 0), 3)
		b.is.Equal(m.put(shapeOf("job", 1000, 0), 3), first)
		b.is.Equal(b.running(), 3)
	})
}

// TestLostOrder: the answer to an order with starts is lost. The home hears
// "unknown" and later, by a new claim of the same epoch, what became of it.
func TestLostOrder(t *testing.T) {
	cases := []struct {
		name string
		cut  workersim.Cut
		want taskmsg.RunState
	}{
		{"order arrived", workersim.CutAnswer, taskmsg.RunRunning},
		{"order did not arrive", workersim.CutBefore, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				b.sim.Cut("a", "w0", c.cut)
				got := m.put(shapeOf("job", 1000, 0), 1)
				if c.want == 0 {
					b.is.Equal(got[0].Outcome, taskmsg.OutcomeRefused)
				} else {
					b.is.Equal(got[0].Outcome, taskmsg.OutcomeUnknown)
				}
				b.sim.Cut("a", "w0", workersim.CutNone)
				time.Sleep(8 * time.Second)
				b.is.Equal(b.home.state(attempt("job", 0)), c.want)
				b.is.Equal(b.running() == 1, c.want == taskmsg.RunRunning)
			})
		})
	}
}

// TestSlowOrderIsNeverOrRunning: the holder gives an order up that the worker
// carries out, or refuses for its expiry, only later. Whatever the home is told
// in the end is what the worker does.
func TestSlowOrderIsNeverOrRunning(t *testing.T) {
	for _, slow := range []time.Duration{1500 * time.Millisecond, 2100 * time.Millisecond, 5 * time.Second} {
		t.Run(slow.String(), func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				b.sim.Worker("w0").SetFaults(workersim.Faults{Slow: slow})
				got := m.put(shapeOf("job", 1000, 0), 1)[0].Outcome
				b.sim.Worker("w0").SetFaults(workersim.Faults{})
				time.Sleep(12 * time.Second)
				running := got == taskmsg.OutcomeStarted || b.home.state(attempt("job", 0)) == taskmsg.RunRunning
				never := got == taskmsg.OutcomeRefused || b.home.state(attempt("job", 0)) == taskmsg.RunNever
				b.is.True(running != never)
				b.is.Equal(b.running() == 1, running)
			})
		})
	}
}

// TestDeadWorker: runs of a silent worker are lost only when the worker itself
// has stopped them for want of a renewal.
func TestDeadWorker(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		m.put(shapeOf("job", 1000, 0), 1)
		time.Sleep(7 * time.Second)
		b.sim.Cut("a", "w0", workersim.CutBefore)
		for b.home.state(attempt("job", 0)) != taskmsg.RunLost {
			time.Sleep(50 * time.Millisecond)
		}
		b.is.Equal(b.running(), 0)
		b.sim.Cut("a", "w0", workersim.CutNone)
		time.Sleep(5 * time.Second)
		b.is.Equal(count(m.put(shapeOf("job2", 1000, 0), 1), taskmsg.OutcomeStarted), 1)
	})
}

func TestRestartedWorker(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		m.put(shapeOf("job", 1000, 0), 3)
		time.Sleep(time.Minute)
		b.sim.Worker("w0").Restart()
		time.Sleep(8 * time.Second)
		// Its room is free at once. Its runs are lost only when their leases are
		// over: another machine may have taken the address.
		b.is.Equal(count(m.put(shapeOf("job2", 8000, 0), 1), taskmsg.OutcomeStarted), 1)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunState(0))
		time.Sleep(testLease)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunLost)
	})
}

// TestTakeover: the next holder learns what runs and the old one is fenced.
func TestTakeover(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		old := b.member("a")
		defer old.stop()
		old.take(1, func(t *hold.Takeover) { t.Fresh = true })
		synctest.Wait()
		old.put(shapeOf("job", 1000, 0), 10)
		time.Sleep(testLease) // until the usage reports contain what was started
		b.is.True(old.Dump().(State).Partitions[0].Complete)
		next := b.member("b")
		defer next.stop()
		next.take(2, nil)
		time.Sleep(time.Second)
		// The old holder is still sure of its right, which the real one would
		// not be: the workers refuse it all the same.
		b.is.Equal(count(old.put(shapeOf("more", 1000, 0), 2), taskmsg.OutcomeStarted), 0)
		b.is.Equal(count(next.put(shapeOf("more", 1000, 0), 10), taskmsg.OutcomeStarted), 6)
		b.is.True(!next.Dump().(State).Partitions[0].Complete)
		time.Sleep(2 * testLease)
		b.is.True(next.Dump().(State).Partitions[0].Complete)
		b.is.Equal(b.running(), 16)
	})
}

// TestPlannedHandOver: the next holder is complete as soon as the workers that
// the old one named have answered.
func TestPlannedHandOver(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		old := b.member("a")
		defer old.stop()
		old.take(1, func(t *hold.Takeover) { t.Fresh = true })
		synctest.Wait()
		old.put(shapeOf("job", 1000, 0), 10)
		time.Sleep(testLease) // until the usage reports contain what was started
		state, err := old.Release(context.Background(), b.rackPartition())
		b.is.NoErr(err)
		b.is.Equal(count(old.put(shapeOf("more", 1000, 0), 1), taskmsg.OutcomeRefused), 1)
		next := b.member("b")
		defer next.stop()
		next.take(2, func(t *hold.Takeover) { t.SignedOff, t.State = true, state })
		time.Sleep(time.Millisecond)
		b.is.True(next.Dump().(State).Partitions[0].Complete)
		b.is.Equal(count(next.put(shapeOf("more", 1000, 0), 10), taskmsg.OutcomeStarted), 6)
		time.Sleep(2 * testLease)
		b.is.Equal(b.running(), 16)
	})
}

func TestHomeOfLowerEpochIsFenced(t *testing.T) {
	req := taskmsg.PlaceRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf("job", 1000, 0), Slots: []taskmsg.Slot{{Attempt: 1}}}
	cases := map[string]func(b *bench, m *member){
		"by a request": func(b *bench, m *member) {
			_, err := m.inventory(context.Background(), taskmsg.InventoryRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 2}})
			b.is.NoErr(err)
		},
		"by the table": func(b *bench, _ *member) { b.setEpoch(homePartition, 2) },
	}
	for name, raise := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				raise(b, m)
				_, err := m.place(context.Background(), req)
				b.is.Equal(result.CodeOf(err), result.HomeFenced)
				_, err = m.stopTasks(context.Background(), taskmsg.StopRequest{Home: req.Home})
				b.is.Equal(result.CodeOf(err), result.HomeFenced)
				b.is.Equal(b.running(), 0)
			})
		})
	}
}

func TestStop(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, func(t *hold.Takeover) { t.Fresh = true })
		synctest.Wait()
		m.put(shapeOf("job", 1000, 0), 1)
		home := taskmsg.Home{Partition: homePartition, Epoch: 1}
		reply, err := m.stopTasks(context.Background(), taskmsg.StopRequest{
			Home: home, Runs: []worker.Attempt{attempt("job", 0), attempt("other", 0)}, Mode: worker.Kill,
		})
		b.is.NoErr(err)
		b.is.Equal(reply.Unknown, []worker.Attempt{attempt("other", 0)})
		time.Sleep(time.Second)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunStopped)
		// A request for the unknown one that arrives late starts nothing.
		b.is.Equal(count(m.put(shapeOf("other", 1000, 0), 1), taskmsg.OutcomeRefused), 1)
		b.is.Equal(b.running(), 0)
	})
}

// TestOrphans: runs of a job that its home does not know are stopped.
func TestOrphans(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		m.put(shapeOf("job", 1000, 0), 1)
		b.home.orphans["job"] = true
		m.stop()
		next := b.member("b")
		defer next.stop()
		next.take(2, nil)
		time.Sleep(10 * time.Second)
		b.is.Equal(b.running(), 0)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 0)
	})
}

// TestNewsAreRepeated: an end is kept until the home has taken it.
func TestNewsAreRepeated(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		b.home.setDeaf(true)
		m.put(shapeOf("job", 1000, time.Second), 1)
		time.Sleep(time.Minute)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 1)
		b.home.setDeaf(false)
		time.Sleep(10 * time.Second)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunFinished)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 0)
	})
}

// TestUnknownIsSaidOnlyWhenAllIsKnown: after a takeover an attempt that is not
// in the books may still run on a worker that has not answered.
func TestUnknownIsSaidOnlyWhenAllIsKnown(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		old := b.member("a")
		old.take(1, nil)
		synctest.Wait()
		old.put(shapeOf("job", 1000, 0), 1)
		old.stop()
		b.sim.Cut("b", "w0", workersim.CutBefore)
		m := b.member("b")
		defer m.stop()
		m.take(2, nil)
		req := taskmsg.StopRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Runs: []worker.Attempt{attempt("job", 0)}, Mode: worker.Kill}
		for b.running() > 0 {
			reply, err := m.stopTasks(context.Background(), req)
			b.is.NoErr(err)
			b.is.Equal(len(reply.Unknown), 0)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		reply, err := m.stopTasks(context.Background(), req)
		b.is.NoErr(err)
		b.is.Equal(len(reply.Unknown), 1)
	})
}

// A start hung on its way to a worker that had been up for long; the worker started again and was
// claimed anew, and the start was told as lost once its lease was over. Its home had it started
// elsewhere. Then the start came: its expiry was by the clock of the former life, and the claim
// was of the same epoch, so the new life began it.
//
// TestStartHungAcrossARestart guards against two runs of one task by orders that another life of a
// worker carries out.
func TestStartHungAcrossARestart(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		both := b.hosts
		b.hosts = both[:1]
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		time.Sleep(10 * time.Minute)
		m.put(shapeOf("earlier", 1000, 0), 1) // so that no renewal is under way
		b.faults(workersim.Faults{Slow: 40 * time.Second})
		res := m.put(shapeOf("job", 1000, 0), 1)
		b.is.Equal(count(res, taskmsg.OutcomeUnknown), 1)
		b.worker0().Restart()
		b.faults(workersim.Faults{})
		b.mu.Lock()
		b.hosts = both
		b.mu.Unlock()
		for b.home.state(attempt("job", 0)) != taskmsg.RunLost {
			time.Sleep(100 * time.Millisecond)
		}
		again, err := m.place(context.Background(), taskmsg.PlaceRequest{
			Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf("job", 1000, 0), Slots: []taskmsg.Slot{{Attempt: 2}},
		})
		b.is.NoErr(err)
		b.is.Equal(count(again.Results, taskmsg.OutcomeStarted), 1)
		time.Sleep(time.Minute)
		b.is.Equal(b.running(), 1)
		b.held()
	})
}
