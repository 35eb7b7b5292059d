package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// preemptLimit is the time within which urgent tasks have to start.
const preemptLimit = 5100 * time.Millisecond

func urgentRequest(job string, n int) taskmsg.PlaceRequest {
	req := taskmsg.PlaceRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: shapeOf(job, 1000, 0), Preempt: true}
	req.Shape.Urgent = true
	for i := range n {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: 1})
	}
	return req
}

func TestUrgentWorkPreempts(t *testing.T) {
	for _, lag := range []time.Duration{0, 2 * time.Second} {
		t.Run("usage lag "+lag.String(), func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				b.sim.Worker("w0").SetFaults(workersim.Faults{UsageLag: lag})
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				m.placeTasks(shapeOf("batch", 1000, 0), 8)
				time.Sleep(20 * time.Second)
				b.is.Equal(b.running(), 8)
				requestedAt := time.Now()
				reply, err := m.place(context.Background(), urgentRequest("urgent", 2))
				b.is.NoErr(err)
				b.is.Equal(count(reply.Results, taskmsg.OutcomeStarted), 2)
				b.is.True(time.Since(requestedAt) <= preemptLimit)
				time.Sleep(time.Second)
				preempted := 0
				for i := range 8 {
					if b.home.state(attempt("batch", i)) == taskmsg.RunPreempted {
						preempted++
					}
				}
				b.is.Equal(preempted, 2)
				b.is.Equal(b.running(), 8)
			})
		})
	}
}

// TestPreemptionCancelled checks that a slot is not started if its request is cancelled or
// fenced during the preemption.
func TestPreemptionCancelled(t *testing.T) {
	home := taskmsg.Home{Partition: homePartition, Epoch: 1}
	cases := map[string]func(b *testbed, m *member, cancel func()){
		"caller gone": func(_ *testbed, _ *member, cancel func()) { cancel() },
		"stopped": func(b *testbed, m *member, _ func()) {
			_, err := m.stopTasks(context.Background(), taskmsg.StopRequest{Home: home, Runs: []worker.Attempt{attempt("urgent", 0)}, Mode: worker.ModeStop})
			b.is.NoErr(err)
		},
		"home fenced": func(b *testbed, _ *member, _ func()) { b.setEpoch(homePartition, 2) },
	}
	for name, cancelRequest := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				b.sim.Worker("w0").SetFaults(workersim.Faults{UsageLag: 2 * time.Second})
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				m.placeTasks(shapeOf("batch", 1000, 0), 8)
				time.Sleep(20 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, _ = m.place(ctx, urgentRequest("urgent", 1)) // the outcome is checked on the workers
				}()
				time.Sleep(time.Second)
				cancelRequest(b, m, cancel)
				if name == "home fenced" {
					_, err := m.inventory(context.Background(), taskmsg.InventoryRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 2}})
					b.is.NoErr(err)
				}
				<-done
				time.Sleep(10 * time.Second)
				b.is.Equal(b.running(), 7) // one was preempted, nothing replaced it
			})
		})
	}
}

// TestWorkerOverCapacity checks that runs larger than declared are throttled if they
// only exceed the processor time, and checkpointed otherwise, and that nothing is
// placed on the worker in the meantime.
func TestWorkerOverCapacity(t *testing.T) {
	cases := []struct {
		name    string
		size    spec.Resources
		running int
	}{
		{"processors", spec.Resources{MilliCPU: 1000, MemoryMiB: 10}, 4},
		{"memory", spec.Resources{MilliCPU: 10, MemoryMiB: 1000}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				b.sim.Worker("w0").SetFaults(workersim.Faults{RealSizePercent: 300, UsageLag: 2 * time.Second})
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				shape := shapeOf("batch", 0, 0)
				shape.Task.Size = c.size
				b.is.Equal(count(m.placeTasks(shape, 4), taskmsg.OutcomeStarted), 4)
				time.Sleep(testLease/3 + time.Second) // until the first renewal has reported it
				b.is.Equal(m.Dump().(State).Workers[0].Status, "over")
				b.is.Equal(count(m.placeTasks(shapeOf("more", 10, 0), 1), taskmsg.OutcomeRefused), 1)
				time.Sleep(40 * time.Second)
				b.is.Equal(m.Dump().(State).Workers[0].Status, "ready")
				b.is.Equal(b.running(), c.running)
			})
		})
	}
}

// TestFailingWorkerIsExcludedAndProbed checks that a worker on which tasks of different
// jobs fail is excluded from placement, then gets one task as a probe, and is ready
// again once that succeeds.
func TestFailingWorkerIsExcludedAndProbed(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		b.sim.Worker("w0").SetFaults(workersim.Faults{FailTasks: true, FailAfter: 100 * time.Millisecond})
		for _, job := range []string{"x", "y", "z"} {
			m.placeTasks(shapeOf(job, 1000, time.Minute), 1)
		}
		time.Sleep(10 * time.Second)
		b.is.Equal(m.Dump().(State).Workers[0].Status, "set-aside")
		b.is.Equal(count(m.placeTasks(shapeOf("soon", 1000, time.Second), 2), taskmsg.OutcomeStarted), 0)
		b.sim.Worker("w0").SetFaults(workersim.Faults{})
		time.Sleep(40 * time.Second)
		b.is.Equal(count(m.placeTasks(shapeOf("probe", 1000, time.Second), 4), taskmsg.OutcomeStarted), 1)
		time.Sleep(10 * time.Second)
		b.is.Equal(m.Dump().(State).Workers[0].Status, "ready")
		b.is.Equal(count(m.placeTasks(shapeOf("all", 1000, time.Second), 4), taskmsg.OutcomeStarted), 4)
	})
}

// fakeDelegateAuthority is a DelegateAuthority for a dead holder's partition, controlled by the test.
type fakeDelegateAuthority struct{ *fakeAuthority }

func (c fakeDelegateAuthority) CheckRenewal(p int) (hold.Grant, error) { return c.Check(p) }

// TestDelegateRenews checks that a delegate keeps a dead holder's runs alive, starts
// nothing, and is fenced by the next holder.
func TestDelegateRenews(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		dead := b.member("a")
		dead.accept(1, func(t *hold.Acquisition) { t.NeverHeld = true })
		synctest.Wait()
		dead.placeTasks(shapeOf("service", 1000, 0), 4)
		dead.stop()

		authority := fakeDelegateAuthority{&fakeAuthority{epochs: map[int]uint64{b.rackPartition(): 1}}}
		delegate := b.member("b", func(c *Config) { c.Delegations = authority })
		defer delegate.stop()
		delegate.SetRenewals([]view.Partition{{ID: b.rackPartition(), Holder: "a", Epoch: 1}})
		time.Sleep(10 * testLease)
		b.is.Equal(b.running(), 4)
		b.is.Equal(count(delegate.placeTasks(shapeOf("more", 1000, 0), 1), taskmsg.OutcomeRefused), 1)

		next := b.member("c")
		defer next.stop()
		next.accept(2, nil)
		time.Sleep(testLease)
		b.is.Equal(b.running(), 4)
		delegate.SetRenewals(nil)
		time.Sleep(2 * testLease)
		b.is.Equal(b.running(), 4)
	})
}

// TestNoLossIsDeclaredInAnOutage checks that no run is declared lost while the store is
// unreachable: a delegate that receives no heartbeats from the holder may be renewing
// leases on its behalf.
func TestNoLossIsDeclaredInAnOutage(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		var up atomic.Bool
		m := b.member("a", func(c *Config) { c.StoreUp = up.Load })
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		m.placeTasks(shapeOf("service", 1000, 0), 1)
		b.sim.Cut("a", "w0", workersim.DropRequest)
		time.Sleep(10 * testLease)
		b.is.Equal(b.home.state(attempt("service", 0)), taskmsg.RunState(0))
		up.Store(true)
		time.Sleep(testLease)
		b.is.Equal(b.home.state(attempt("service", 0)), taskmsg.RunState(0))
		time.Sleep(2 * testLease)
		b.is.Equal(b.home.state(attempt("service", 0)), taskmsg.RunLost)
	})
}

// TestCancellationWave checks that many stops are sent before the next starts, in one
// order per worker, so that the capacity can be reused at once.
func TestCancellationWave(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		m.placeTasks(shapeOf("wave", 1000, 0), 16)
		time.Sleep(testLease)
		req := taskmsg.StopRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Mode: worker.ModeStop}
		for i := range 16 {
			req.Runs = append(req.Runs, attempt("wave", i))
		}
		_, err := m.stopTasks(context.Background(), req)
		b.is.NoErr(err)
		synctest.Wait()
		b.is.Equal(b.running(), 0)
		b.is.Equal(count(m.placeTasks(shapeOf("next", 1000, 0), 16), taskmsg.OutcomeStarted), 16)
		time.Sleep(time.Second)
		for i := range 16 {
			b.is.Equal(b.home.state(attempt("wave", i)), taskmsg.RunStopped)
		}
	})
}

// TestHolderBehind checks that requests are refused until the table contains the
// holder's own claim, and with it every earlier failover of a job owner.
func TestHolderBehind(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(2, nil)
		b.setEpoch(b.rackPartition(), 1)
		synctest.Wait()
		_, err := m.place(context.Background(), urgentRequest("job", 1))
		b.is.Equal(result.CodeOf(err), result.HolderBehind)
		b.setEpoch(b.rackPartition(), 2)
		_, err = m.place(context.Background(), urgentRequest("job", 1))
		b.is.NoErr(err)
	})
}

// TestLeavingWorker checks that a leaving or unlisted worker receives no new tasks,
// while its running tasks continue.
func TestLeavingWorker(t *testing.T) {
	cases := map[string]func(b *testbed){
		"leaving":      func(b *testbed) { b.hosts[0].Leaving = true },
		"not listed":   func(b *testbed) { b.hosts = b.hosts[1:] },
		"rack changed": func(b *testbed) { b.hosts[0].Rack = "elsewhere" },
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 2, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				service := shapeOf("service", 1000, 0)
				service.Kind = spec.KindService
				m.placeTasks(service, 8)
				time.Sleep(testLease)
				kept := len(b.sim.Worker("w0").Runs())
				b.mu.Lock()
				edit(b)
				b.mu.Unlock()
				time.Sleep(time.Second)
				m.placeTasks(shapeOf("more", 1000, 0), 16)
				time.Sleep(4 * testLease)
				b.is.Equal(len(b.sim.Worker("w0").Runs()), kept)
			})
		})
	}
}

// TestNextHolderLearnsPriorities checks that the next holder preempts the runs of lowest
// priority, which only the workers' inventories report to it.
func TestNextHolderLearnsPriorities(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		old := b.member("a")
		old.accept(1, nil)
		synctest.Wait()
		valued := shapeOf("any-valued", 1000, 0)
		valued.Policy.Priority = 5
		old.placeTasks(shapeOf("plain", 1000, 0), 4)
		time.Sleep(testLease) // until the usage reports contain what was started
		b.is.Equal(count(old.placeTasks(valued, 4), taskmsg.OutcomeStarted), 4)
		time.Sleep(testLease)
		old.stop()
		next := b.member("b")
		defer next.stop()
		next.accept(2, nil)
		time.Sleep(testLease)
		reply, err := next.place(context.Background(), urgentRequest("urgent", 4))
		b.is.NoErr(err)
		b.is.Equal(count(reply.Results, taskmsg.OutcomeStarted), 4)
		time.Sleep(time.Second)
		for i := range 4 {
			b.is.Equal(b.home.state(attempt("plain", i)), taskmsg.RunPreempted)
		}
	})
}

// TestPartitionDroppedWhileOrderIsComposed checks that an order is not sent if its
// partition is dropped, and acquired again under the same epoch, while it is composed.
func TestPartitionDroppedWhileOrderIsComposed(t *testing.T) {
	for _, composed := range []bool{false, true} {
		t.Run(fmt.Sprintf("composed=%v", composed), func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				retake := func() {
					m.Drop(b.rackPartition())
					m.accept(1, nil)
				}
				m.mu.Lock()
				w := m.workers["w0"]
				w.busy = true // the test calls order itself
				m.mu.Unlock()
				outcome := make(chan taskmsg.Outcome, 1)
				go func() { outcome <- m.placeTasks(shapeOf("job", 1000, 0), 1)[0].Outcome }()
				synctest.Wait()
				want := taskmsg.OutcomeRefused
				if composed {
					want = taskmsg.OutcomeUnknown
					m.authority.onCheck = retake
				} else {
					retake()
				}
				m.order(w)
				b.is.Equal(<-outcome, want)
				b.is.Equal(b.running(), 0)
				time.Sleep(testLease)
				b.is.Equal(b.running(), 0)
			})
		})
	}
}
