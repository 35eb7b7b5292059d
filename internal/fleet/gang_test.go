package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker/workersim"
)

func gangShape(job string) taskmsg.Shape {
	s := shapeOf(job, 1000, 0)
	s.Kind = spec.KindGang
	return s
}

// holdFor requests capacity for n tasks of a gang.
func (m *member) holdFor(job string, n int, epoch uint64) taskmsg.GangReserveReply {
	m.b.t.Helper()
	req := taskmsg.GangReserveRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: epoch}, Shape: gangShape(job), ReservationMS: 5000}
	for i := range n {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: i, Attempt: 1})
	}
	held, err := m.holdGang(context.Background(), req)
	m.b.is.NoErr(err)
	return held
}

func (m *member) endOf(job string, start bool) (taskmsg.PlaceReply, error) {
	home := taskmsg.Home{Partition: homePartition, Epoch: 1}
	return m.endGang(context.Background(), taskmsg.GangFinishRequest{Home: home, Job: job, Start: start})
}

func TestGangStartsAllThatIsHeld(t *testing.T) {
	runTestbed(t, 2, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		b.is.Equal(len(m.holdFor("gang", 20, 1).Reserved), 16) // eight on each of two workers
		b.is.Equal(b.running(), 0)
		b.is.Equal(len(m.holdFor("gang", 20, 1).Reserved), 16) // a repeated request holds the same
		b.is.Equal(count(m.placeTasks(shapeOf("other", 1000, 0), 1), taskmsg.OutcomeRefused), 1)
		first, err := m.endOf("gang", true)
		b.is.NoErr(err)
		b.is.Equal(count(first.Results, taskmsg.OutcomeStarted), 16)
		again, err := m.endOf("gang", true) // as after a lost reply
		b.is.NoErr(err)
		b.is.Equal(count(again.Results, taskmsg.OutcomeStarted), 16)
		b.is.Equal(b.running(), 16)
	})
}

// TestGangHoldEnds checks for each way in which a hold ends without a start that its
// capacity is freed and that a later start is refused.
func TestGangHoldEnds(t *testing.T) {
	cases := map[string]func(b *testbed, m *member){
		"released": func(b *testbed, m *member) {
			_, err := m.endOf("gang", false)
			b.is.NoErr(err)
		},
		"expired": func(*testbed, *member) { time.Sleep(6 * time.Second) },
		"partition released": func(b *testbed, m *member) {
			_, err := m.Release(context.Background(), b.rackPartition())
			b.is.NoErr(err)
		},
		"worker restarted": func(b *testbed, _ *member) {
			b.sim.Worker("w0").Restart()
			b.sim.Cut("a", "w0", workersim.DropRequest)
			time.Sleep(4900 * time.Millisecond)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 2, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				time.Sleep(200 * time.Millisecond)
				b.is.Equal(len(m.holdFor("gang", 16, 1).Reserved), 16)
				end(b, m)
				_, err := m.endOf("gang", true)
				b.is.Equal(result.CodeOf(err), result.GangUnknown)
				b.is.Equal(result.From(err).Ran, result.RanNo)
				b.is.Equal(b.running(), 0)
				if name == "partition released" { // and returned under the same epoch
					b.is.NoErr(m.Acquire(context.Background(), hold.Acquisition{Grant: hold.Grant{Partition: b.rackPartition(), Epoch: 1}}))
				}
				b.is.Equal(count(m.placeTasks(shapeOf("other", 1000, 0), 8), taskmsg.OutcomeStarted), 8)
			})
		})
	}
}

// TestGangHoldOfAFencedHome checks that the capacity held for a job owner is released once
// a higher epoch of it sends a request.
func TestGangHoldOfAFencedHome(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		b.is.Equal(len(m.holdFor("gang", 8, 1).Reserved), 8)
		b.is.Equal(len(m.holdFor("other", 8, 2).Reserved), 8)
		_, err := m.endOf("gang", true)
		b.is.Equal(result.CodeOf(err), result.HomeFenced)
		b.is.Equal(b.running(), 0)
	})
}
