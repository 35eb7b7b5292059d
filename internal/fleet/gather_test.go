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
)

// holdTry requests capacity for tasks first to first+n-1 as a numbered try, whose
// attempts have the same number.
func (m *member) holdTry(try, first, n int, gather bool) []taskmsg.Slot {
	m.b.t.Helper()
	req := taskmsg.GangReserveRequest{Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Shape: gangShape("gang"), ReservationMS: 5000, Try: try, AccumulateCapacity: gather}
	for i := range n {
		req.Slots = append(req.Slots, taskmsg.Slot{Index: first + i, Attempt: try})
	}
	held, err := m.holdGang(context.Background(), req)
	m.b.is.NoErr(err)
	return held.Reserved
}

func (m *member) endTry(try int, start bool) error {
	home := taskmsg.Home{Partition: homePartition, Epoch: 1}
	_, err := m.endGang(context.Background(), taskmsg.GangFinishRequest{Home: home, Job: "gang", Try: try, Start: start})
	return err
}

// TestGangMessagesOfEarlierTries delivers messages of a try after the next try has
// begun and checks that they neither start nor release anything.
func TestGangMessagesOfEarlierTries(t *testing.T) {
	cases := map[string]func(b *testbed, m *member){
		"start":   func(b *testbed, m *member) { b.is.Equal(result.CodeOf(m.endTry(1, true)), result.GangUnknown) },
		"release": func(b *testbed, m *member) { b.is.Equal(result.CodeOf(m.endTry(1, false)), result.GangUnknown) },
		"hold":    func(b *testbed, m *member) { b.is.Equal(len(m.holdTry(1, 0, 8, false)), 0) },
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				b.is.Equal(len(m.holdTry(1, 0, 8, false)), 8)
				b.is.Equal(len(m.holdTry(2, 4, 4, false)), 4) // the capacity of try 1 was released
				late(b, m)
				b.is.Equal(b.running(), 0)
				b.is.NoErr(m.endTry(2, true))
				b.is.Equal(b.running(), 4) // nothing of try 1
			})
		})
	}
}

// TestGangStoppedBeforeItsStart checks that a held task is not started after it has
// been reported to the job owner as unknown.
func TestGangStoppedBeforeItsStart(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, func(t *hold.Acquisition) { t.NeverHeld = true })
		synctest.Wait()
		b.is.Equal(len(m.holdTry(1, 0, 8, false)), 8)
		id := worker.Attempt{Attempt: 1}
		id.Task.Job = "gang"
		reply, err := m.stopTasks(context.Background(), taskmsg.StopRequest{
			Home: taskmsg.Home{Partition: homePartition, Epoch: 1}, Runs: []worker.Attempt{id}, Mode: worker.ModeStop,
		})
		b.is.NoErr(err)
		b.is.Equal(len(reply.Unknown), 1)
		b.is.Equal(result.CodeOf(m.endTry(1, true)), result.GangUnknown)
		b.is.Equal(b.running(), 0)
	})
}

// TestGatheringReservesCapacity checks that a job that is not urgent is refused while a gang
// is gathering capacity, and placed afterwards.
func TestGatheringReservesCapacity(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		synctest.Wait()
		b.is.Equal(len(m.holdTry(1, 0, 12, true)), 8) // four slots missing
		b.is.NoErr(m.endTry(1, false))
		b.is.Equal(count(m.placeTasks(shapeOf("a", 1000, 0), 4), taskmsg.OutcomeStarted), 4)
		time.Sleep(10 * time.Second) // until the workers report usage again
		b.is.Equal(len(m.holdTry(2, 0, 8, true)), 4)
		b.is.Equal(count(m.placeTasks(shapeOf("b", 1000, 0), 1), taskmsg.OutcomeRefused), 1)
		b.is.NoErr(m.endTry(2, false))
		b.is.Equal(count(m.placeTasks(shapeOf("b", 1000, 0), 1), taskmsg.OutcomeStarted), 1)
	})
}
