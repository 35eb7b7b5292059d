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

// preemptLimit is the time within which urgent work has to start.
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
			bubble(t, 1, func(b *bench) {
				b.sim.Worker("w0").SetFaults(workersim.Faults{UsageLag: lag})
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				m.put(shapeOf("batch", 1000, 0), 8)
				time.Sleep(20 * time.Second)
				b.is.Equal(b.running(), 8)
				asked := time.Now()
				reply, err := m.place(context.Background(), urgentRequest("urgent", 2))
				b.is.NoErr(err)
				b.is.Equal(count(reply.Results, taskmsg.OutcomeStarted), 2)
				b.is.True(time.Since(asked) <= preemptLimit)
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

// TestPreemptionGivenUp: whoever asked may withdraw while room is being made.
func TestPreemptionGivenUp(t *testing.T) {
	home := taskmsg.Home{Partition: homePartition, Epoch: 1}
	cases := map[string]func(b *bench, m *member, cancel func()){
		"caller gone": func(_ *bench, _ *member, cancel func()) { cancel() },
		"stopped": func(b *bench, m *member, _ func()) {
			_, err := m.stopTasks(context.Background(), taskmsg.StopRequest{Home: home, Runs: []worker.Attempt{attempt("urgent", 0)}, Mode: worker.Kill})
			b.is.NoErr(err)
		},
		"home fenced": func(b *bench, _ *member, _ func()) { b.setEpoch(homePartition, 2) },
	}
	for name, giveUp := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				b.sim.Worker("w0").SetFaults(workersim.Faults{UsageLag: 2 * time.Second})
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				m.put(shapeOf("batch", 1000, 0), 8)
				time.Sleep(20 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, _ = m.place(ctx, urgentRequest("urgent", 1)) // its outcome is seen at the workers
				}()
				time.Sleep(time.Second)
				giveUp(b, m, cancel)
				if name == "home fenced" {
					_, err := m.inventory(context.Background(), taskmsg.InventoryRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 2}})
					b.is.NoErr(err)
				}
				<-done
				time.Sleep(10 * time.Second)
				b.is.Equal(b.running(), 7) // one was preempted, nothing took its room
			})
		})
	}
}

// TestWorkerOverItsSize: untrue sizes are met by throttling what only takes too
// much processor time and by checkpoints otherwise; nothing is placed there
// meanwhile.
func TestWorkerOverItsSize(t *testing.T) {
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
			bubble(t, 1, func(b *bench) {
				b.sim.Worker("w0").SetFaults(workersim.Faults{RealSizePercent: 300, UsageLag: 2 * time.Second})
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				shape := shapeOf("batch", 0, 0)
				shape.Task.Size = c.size
				b.is.Equal(count(m.put(shape, 4), taskmsg.OutcomeStarted), 4)
				time.Sleep(testLease/3 + time.Second) // seen with the first renewal
				b.is.Equal(m.Dump().(State).Workers[0].Status, "over")
				b.is.Equal(count(m.put(shapeOf("more", 10, 0), 1), taskmsg.OutcomeRefused), 1)
				time.Sleep(40 * time.Second)
				b.is.Equal(m.Dump().(State).Workers[0].Status, "ready")
				b.is.Equal(b.running(), c.running)
			})
		})
	}
}

// TestBadWorkerIsSetAsideAndProbed: a worker that fails tasks of different jobs
// gets nothing, then one task as a probe, and comes back when that ends well.
func TestBadWorkerIsSetAsideAndProbed(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		b.sim.Worker("w0").SetFaults(workersim.Faults{FailTasks: true, FailAfter: 100 * time.Millisecond})
		for _, job := range []string{"x", "y", "z"} {
			m.put(shapeOf(job, 1000, time.Minute), 1)
		}
		time.Sleep(10 * time.Second)
		b.is.Equal(m.Dump().(State).Workers[0].Status, "set-aside")
		b.is.Equal(count(m.put(shapeOf("soon", 1000, time.Second), 2), taskmsg.OutcomeStarted), 0)
		b.sim.Worker("w0").SetFaults(workersim.Faults{})
		time.Sleep(40 * time.Second)
		b.is.Equal(count(m.put(shapeOf("probe", 1000, time.Second), 4), taskmsg.OutcomeStarted), 1)
		time.Sleep(10 * time.Second)
		b.is.Equal(m.Dump().(State).Workers[0].Status, "ready")
		b.is.Equal(count(m.put(shapeOf("all", 1000, time.Second), 4), taskmsg.OutcomeStarted), 4)
	})
}

// covers is a CoverRight for a dead holder's partition until it ends.
type covers struct{ *rights }

func (c covers) CheckCover(p int) (hold.Grant, error) { return c.Check(p) }

// TestDeputyRenews: a deputy keeps a dead holder's runs alive, starts nothing,
// and is fenced by the next holder.
func TestDeputyRenews(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		dead := b.member("a")
		dead.take(1, func(t *hold.Takeover) { t.Fresh = true })
		synctest.Wait()
		dead.put(shapeOf("service", 1000, 0), 4)
		dead.stop()

		cover := covers{&rights{epochs: map[int]uint64{b.rackPartition(): 1}}}
		deputy := b.member("b", func(c *Config) { c.Covers = cover })
		defer deputy.stop()
		deputy.Cover([]view.Partition{{ID: b.rackPartition(), Holder: "a", Epoch: 1}})
		time.Sleep(10 * testLease)
		b.is.Equal(b.running(), 4)
		b.is.Equal(count(deputy.put(shapeOf("more", 1000, 0), 1), taskmsg.OutcomeRefused), 1)

		next := b.member("c")
		defer next.stop()
		next.take(2, nil)
		time.Sleep(testLease)
		b.is.Equal(b.running(), 4)
		deputy.Cover(nil)
		time.Sleep(2 * testLease)
		b.is.Equal(b.running(), 4)
	})
}

// TestNoLossIsDeclaredInAnOutage: while the store is away a deputy that does
// not hear the holder may be renewing in its name.
func TestNoLossIsDeclaredInAnOutage(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		var up atomic.Bool
		m := b.member("a", func(c *Config) { c.StoreUp = up.Load })
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		m.put(shapeOf("service", 1000, 0), 1)
		b.sim.Cut("a", "w0", workersim.CutBefore)
		time.Sleep(10 * testLease)
		b.is.Equal(b.home.state(attempt("service", 0)), taskmsg.RunState(0))
		up.Store(true)
		time.Sleep(testLease)
		b.is.Equal(b.home.state(attempt("service", 0)), taskmsg.RunState(0))
		time.Sleep(2 * testLease)
		b.is.Equal(b.home.state(attempt("service", 0)), taskmsg.RunLost)
	})
}

// TestCancellationWave: stops go out before starts, in one order a worker.
func TestCancellationWave(t *testing.T) {
	bubble(t, 2, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		synctest.Wait()
		m.put(shapeOf("wave", 1000, 0), 16)
		time.Sleep(testLease)
		req := taskmsg.StopRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Mode: worker.Kill}
		for i := range 16 {
			req.Runs = append(req.Runs, attempt("wave", i))
		}
		_, err := m.stopTasks(context.Background(), req)
		b.is.NoErr(err)
		synctest.Wait()
		b.is.Equal(b.running(), 0)
		b.is.Equal(count(m.put(shapeOf("next", 1000, 0), 16), taskmsg.OutcomeStarted), 16)
		time.Sleep(time.Second)
		for i := range 16 {
			b.is.Equal(b.home.state(attempt("wave", i)), taskmsg.RunStopped)
		}
	})
}

// TestHolderBehind: requests wait until the table shows the holder's own claim,
// and with it every home that took over before.
func TestHolderBehind(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		m := b.member("a")
		defer m.stop()
		m.take(2, nil)
		b.setEpoch(b.rackPartition(), 1)
		synctest.Wait()
		_, err := m.place(context.Background(), urgentRequest("job", 1))
		b.is.Equal(result.CodeOf(err), result.HolderBehind)
		b.setEpoch(b.rackPartition(), 2)
		_, err = m.place(context.Background(), urgentRequest("job", 1))
		b.is.NoErr(err)
	})
}

// TestLeavingWorker gets nothing new, while what runs there goes on.
func TestLeavingWorker(t *testing.T) {
	cases := map[string]func(b *bench){
		"leaving":      func(b *bench) { b.hosts[0].Leaving = true },
		"not listed":   func(b *bench) { b.hosts = b.hosts[1:] },
		"rack changed": func(b *bench) { b.hosts[0].Rack = "elsewhere" },
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				service := shapeOf("service", 1000, 0)
				service.Kind = spec.KindService
				m.put(service, 8)
				time.Sleep(testLease)
				kept := len(b.sim.Worker("w0").Runs())
				b.mu.Lock()
				edit(b)
				b.mu.Unlock()
				time.Sleep(time.Second)
				m.put(shapeOf("more", 1000, 0), 16)
				time.Sleep(4 * testLease)
				b.is.Equal(len(b.sim.Worker("w0").Runs()), kept)
			})
		})
	}
}

// TestPriorityOutlivesTheHolder: the next holder preempts the least urgent runs,
// which it knows from the workers alone.
func TestPriorityOutlivesTheHolder(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		old := b.member("a")
		old.take(1, nil)
		synctest.Wait()
		valued := shapeOf("any-valued", 1000, 0)
		valued.Policy.Priority = 5
		old.put(shapeOf("plain", 1000, 0), 4)
		time.Sleep(testLease) // until the usage reports contain what was started
		b.is.Equal(count(old.put(valued, 4), taskmsg.OutcomeStarted), 4)
		time.Sleep(testLease)
		old.stop()
		next := b.member("b")
		defer next.stop()
		next.take(2, nil)
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

// TestDroppedInTheMiddleOfAnOrder: a partition that is dropped and taken up
// again under its epoch while an order is being made has that order not sent.
func TestDroppedInTheMiddleOfAnOrder(t *testing.T) {
	for _, composed := range []bool{false, true} {
		t.Run(fmt.Sprintf("composed=%v", composed), func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				synctest.Wait()
				retake := func() {
					m.Drop(b.rackPartition())
					m.take(1, nil)
				}
				m.mu.Lock()
				a := m.agents["w0"]
				a.busy = true // this test drives it
				m.mu.Unlock()
				outcome := make(chan taskmsg.Outcome, 1)
				go func() { outcome <- m.put(shapeOf("job", 1000, 0), 1)[0].Outcome }()
				synctest.Wait()
				want := taskmsg.OutcomeRefused
				if composed {
					want = taskmsg.OutcomeUnknown
					m.right.onCheck = retake
				} else {
					retake()
				}
				m.order(a)
				b.is.Equal(<-outcome, want)
				b.is.Equal(b.running(), 0)
				time.Sleep(testLease)
				b.is.Equal(b.running(), 0)
			})
		})
	}
}
