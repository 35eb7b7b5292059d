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

// runTestbed runs a test with fake time on a cell of n workers and checks the invariants.
func runTestbed(t *testing.T, n int, fn func(b *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, n)
		fn(b)
		b.requireNoViolations()
	})
}

func TestNothingIsPlacedBeforeTheClaim(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		b.sim.Cut("a", workersim.AnyAddr, workersim.DropRequest)
		m.accept(1, nil)
		b.is.Equal(count(m.placeTasks(shapeOf("early", 1000, 0), 4), taskmsg.OutcomeRefused), 4)
		b.sim.Cut("a", workersim.AnyAddr, workersim.NetworkOK)
		time.Sleep(5 * time.Second)
		b.is.Equal(count(m.placeTasks(shapeOf("late", 1000, 0), 20), taskmsg.OutcomeStarted), 16) // eight on each of two workers
		b.is.Equal(b.running(), 16)
	})
}

func TestLeasesAreRenewedAndEndsReported(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		b.is.Equal(count(m.placeTasks(shapeOf("long", 1000, 0), 2), taskmsg.OutcomeStarted), 2)
		b.is.Equal(count(m.placeTasks(shapeOf("short", 1000, 40*time.Second), 1), taskmsg.OutcomeStarted), 1)
		time.Sleep(10 * testLease)
		b.is.Equal(b.running(), 2)
		b.is.Equal(b.home.state(attempt("short", 0)), taskmsg.RunFinished)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 2) // the acknowledged end is deleted
	})
}

// TestRepeatedPlaceStartsOnce checks that a job owner may repeat a request, as it does
// after a lost reply.
func TestRepeatedPlaceStartsOnce(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		first := m.placeTasks(shapeOf("job", 1000, 0), 3)
		b.is.Equal(m.placeTasks(shapeOf("job", 1000, 0), 3), first)
		b.is.Equal(b.running(), 3)
	})
}

// TestLostOrder loses an order with starts or the reply to it. After a lost reply the
// job owner receives "unknown", and the outcome after a new claim of the same epoch.
func TestLostOrder(t *testing.T) {
	cases := []struct {
		name string
		cut  workersim.Cut
		want taskmsg.RunState
	}{
		{"order arrived", workersim.DropReply, taskmsg.RunRunning},
		{"order did not arrive", workersim.DropRequest, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				b.sim.Cut("a", "w0", c.cut)
				got := m.placeTasks(shapeOf("job", 1000, 0), 1)
				if c.want == 0 {
					b.is.Equal(got[0].Outcome, taskmsg.OutcomeRefused)
				} else {
					b.is.Equal(got[0].Outcome, taskmsg.OutcomeUnknown)
				}
				b.sim.Cut("a", "w0", workersim.NetworkOK)
				time.Sleep(8 * time.Second)
				b.is.Equal(b.home.state(attempt("job", 0)), c.want)
				b.is.Equal(b.running() == 1, c.want == taskmsg.RunRunning)
			})
		})
	}
}

// TestSlowOrderIsNeverOrRunning delays an order so that the worker carries it out, or
// refuses it as expired, possibly after the holder's time-out. The outcome that the
// job owner finally receives must match what the worker does.
func TestSlowOrderIsNeverOrRunning(t *testing.T) {
	for _, slow := range []time.Duration{1500 * time.Millisecond, 2100 * time.Millisecond, 5 * time.Second} {
		t.Run(slow.String(), func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				b.sim.Worker("w0").SetFaults(workersim.Faults{Delay: slow})
				got := m.placeTasks(shapeOf("job", 1000, 0), 1)[0].Outcome
				b.sim.Worker("w0").SetFaults(workersim.Faults{})
				time.Sleep(12 * time.Second)
				running := got == taskmsg.OutcomeStarted || b.home.state(attempt("job", 0)) == taskmsg.RunRunning
				never := got == taskmsg.OutcomeRefused || b.home.state(attempt("job", 0)) == taskmsg.RunNotStarted
				b.is.True(running != never)
				b.is.Equal(b.running() == 1, running)
			})
		})
	}
}

// TestDeadWorker checks that runs on an unresponsive worker are declared lost only after
// the worker itself has stopped them for lack of a renewal.
func TestDeadWorker(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		m.placeTasks(shapeOf("job", 1000, 0), 1)
		time.Sleep(7 * time.Second)
		b.sim.Cut("a", "w0", workersim.DropRequest)
		for b.home.state(attempt("job", 0)) != taskmsg.RunLost {
			time.Sleep(50 * time.Millisecond)
		}
		b.is.Equal(b.running(), 0)
		b.sim.Cut("a", "w0", workersim.NetworkOK)
		time.Sleep(5 * time.Second)
		b.is.Equal(count(m.placeTasks(shapeOf("job2", 1000, 0), 1), taskmsg.OutcomeStarted), 1)
	})
}

func TestRestartedWorker(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		m.placeTasks(shapeOf("job", 1000, 0), 3)
		time.Sleep(time.Minute)
		b.sim.Worker("w0").Restart()
		time.Sleep(8 * time.Second)
		// Its capacity is free at once. Its runs are declared lost only when their leases
		// have expired: another machine may have taken the address.
		b.is.Equal(count(m.placeTasks(shapeOf("job2", 8000, 0), 1), taskmsg.OutcomeStarted), 1)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunState(0))
		time.Sleep(testLease)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunLost)
	})
}

// TestTakeover checks that after a failover the next holder accounts for what runs,
// and that the previous one is fenced.
func TestTakeover(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		old := b.member("a")
		defer old.stop()
		old.accept(1, func(t *hold.Acquisition) { t.NeverHeld = true })
		synctest.Wait()
		old.placeTasks(shapeOf("job", 1000, 0), 10)
		time.Sleep(testLease) // until the usage reports contain what was started
		b.is.True(old.Dump().(State).Partitions[0].Complete)
		next := b.member("b")
		defer next.stop()
		next.accept(2, nil)
		time.Sleep(time.Second)
		// The previous holder still has its authority here, unlike after a real
		// failover; the workers refuse its orders nevertheless.
		b.is.Equal(count(old.placeTasks(shapeOf("more", 1000, 0), 2), taskmsg.OutcomeStarted), 0)
		b.is.Equal(count(next.placeTasks(shapeOf("more", 1000, 0), 10), taskmsg.OutcomeStarted), 6)
		b.is.True(!next.Dump().(State).Partitions[0].Complete)
		time.Sleep(2 * testLease)
		b.is.True(next.Dump().(State).Partitions[0].Complete)
		b.is.Equal(b.running(), 16)
	})
}

// TestPlannedHandOver checks that the next holder is complete as soon as the workers
// listed by the previous one have answered.
func TestPlannedHandOver(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		old := b.member("a")
		defer old.stop()
		old.accept(1, func(t *hold.Acquisition) { t.NeverHeld = true })
		synctest.Wait()
		old.placeTasks(shapeOf("job", 1000, 0), 10)
		time.Sleep(testLease) // until the usage reports contain what was started
		state, err := old.Release(context.Background(), b.rackPartition())
		b.is.NoErr(err)
		b.is.Equal(count(old.placeTasks(shapeOf("more", 1000, 0), 1), taskmsg.OutcomeRefused), 1)
		next := b.member("b")
		defer next.stop()
		next.accept(2, func(t *hold.Acquisition) { t.HandedOver, t.State = true, state })
		time.Sleep(time.Millisecond)
		b.is.True(next.Dump().(State).Partitions[0].Complete)
		b.is.Equal(count(next.placeTasks(shapeOf("more", 1000, 0), 10), taskmsg.OutcomeStarted), 6)
		time.Sleep(2 * testLease)
		b.is.Equal(b.running(), 16)
	})
}

func TestHomeOfLowerEpochIsFenced(t *testing.T) {
	req := taskmsg.PlaceRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf("job", 1000, 0), Slots: []taskmsg.Slot{{Attempt: 1}}}
	cases := map[string]func(b *testbed, m *member){
		"by a request": func(b *testbed, m *member) {
			_, err := m.inventory(context.Background(), taskmsg.InventoryRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 2}})
			b.is.NoErr(err)
		},
		"by the table": func(b *testbed, _ *member) { b.setEpoch(homePartition, 2) },
	}
	for name, raise := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
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
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, func(t *hold.Acquisition) { t.NeverHeld = true })
		synctest.Wait()
		m.placeTasks(shapeOf("job", 1000, 0), 1)
		home := taskmsg.Home{Partition: homePartition, Epoch: 1}
		reply, err := m.stopTasks(context.Background(), taskmsg.StopRequest{
			Home: home, Runs: []worker.Attempt{attempt("job", 0), attempt("other", 0)}, Mode: worker.ModeStop,
		})
		b.is.NoErr(err)
		b.is.Equal(reply.Unknown, []worker.Attempt{attempt("other", 0)})
		time.Sleep(time.Second)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunStopped)
		// A request to start the unknown one that arrives after the stop starts nothing.
		b.is.Equal(count(m.placeTasks(shapeOf("other", 1000, 0), 1), taskmsg.OutcomeRefused), 1)
		b.is.Equal(b.running(), 0)
	})
}

// TestOrphans checks that orphan runs, whose job the job owner does not have, are stopped.
func TestOrphans(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		m.placeTasks(shapeOf("job", 1000, 0), 1)
		b.home.orphans["job"] = true
		m.stop()
		next := b.member("b")
		defer next.stop()
		next.accept(2, nil)
		time.Sleep(10 * time.Second)
		b.is.Equal(b.running(), 0)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 0)
	})
}

// TestUpdatesAreRepeatedUntilAcknowledged checks that the end of a run is kept, and
// reported again, until the job owner has acknowledged it.
func TestUpdatesAreRepeatedUntilAcknowledged(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		b.home.setUnavailable(true)
		m.placeTasks(shapeOf("job", 1000, time.Second), 1)
		time.Sleep(time.Minute)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 1)
		b.home.setUnavailable(false)
		time.Sleep(10 * time.Second)
		b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunFinished)
		b.is.Equal(len(b.sim.Worker("w0").Runs()), 0)
	})
}

// TestUnknownIsReportedOnlyWhenComplete checks that after a failover an attempt without
// a record isn't reported as unknown while it may run on a worker that has not answered.
func TestUnknownIsReportedOnlyWhenComplete(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		old := b.member("a")
		old.accept(1, nil)
		synctest.Wait()
		old.placeTasks(shapeOf("job", 1000, 0), 1)
		old.stop()
		b.sim.Cut("b", "w0", workersim.DropRequest)
		m := b.member("b")
		defer m.stop()
		m.accept(2, nil)
		req := taskmsg.StopRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Runs: []worker.Attempt{attempt("job", 0)}, Mode: worker.ModeStop}
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

// TestStartHungAcrossARestart guards against two runs of one task when an order reaches another
// incarnation of a worker. A start is delayed on its way to a worker with a long uptime; the worker
// restarts and is claimed again, the start is reported as lost once its lease has expired, and the
// job owner starts the task elsewhere. When the order arrives, its expiry by the previous incarnation's
// clock has not passed and the epoch is the same, so only the incarnation identifies it as obsolete.
func TestStartHungAcrossARestart(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		both := b.hosts
		b.hosts = both[:1]
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		time.Sleep(10 * time.Minute)
		m.placeTasks(shapeOf("earlier", 1000, 0), 1) // so that no renewal is in flight
		b.setFaults(workersim.Faults{Delay: 40 * time.Second})
		res := m.placeTasks(shapeOf("job", 1000, 0), 1)
		b.is.Equal(count(res, taskmsg.OutcomeUnknown), 1)
		b.worker0().Restart()
		b.setFaults(workersim.Faults{})
		b.mu.Lock()
		b.hosts = both
		b.mu.Unlock()
		for b.home.state(attempt("job", 0)) != taskmsg.RunLost {
			time.Sleep(100 * time.Millisecond)
		}
		second, err := m.place(context.Background(), taskmsg.PlaceRequest{
			Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf("job", 1000, 0), Slots: []taskmsg.Slot{{Attempt: 2}},
		})
		b.is.NoErr(err)
		b.is.Equal(count(second.Results, taskmsg.OutcomeStarted), 1)
		time.Sleep(time.Minute)
		b.is.Equal(b.running(), 1)
		b.requireNoViolations()
	})
}
