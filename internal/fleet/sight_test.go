package fleet

import (
	"testing"
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// A run ended while its worker was cut off, at the end of its lease or of its work, and the worker
// started again before it was heard. Another life of it answered without the run, and the loss was
// told as a crash that was seen. Three of them give a job up, whose reason then says of each that
// the run was "there at its end".
func TestRunsOverBeforeTheirWorkerStartsAgain(t *testing.T) {
	cases := map[string]time.Duration{ // how long the task runs; zero is for ever
		"its lease was over": 0,
		"it was done":        testLease / 2,
	}
	for name, runs := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				time.Sleep(testLease)
				m.put(shapeOf("job", 1000, runs), 1)
				b.faults(workersim.Faults{Unreachable: true})
				settleIn()
				for _, r := range b.worker0().Runs() {
					b.is.True(r.State != worker.StateRunning) // it is over in this life
				}
				b.worker0().Restart()
				b.faults(workersim.Faults{})
				settleIn()
				id := attempt("job", 0)
				b.is.Equal(b.home.state(id), taskmsg.RunLost)
				b.is.True(!b.home.crashSeen(id)) // no worker crashed under it
			})
		})
	}
}

// The same without a cut: workers are asked every few seconds, and a run that ended between two
// orders was told as one that its worker crashed under, if that started again before the next.
//
// TestRunsOverBetweenTwoOrders guards against crashes told of runs whose ends nobody has asked for.
func TestRunsOverBetweenTwoOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		runs, restart time.Duration // counted from the start
		want          taskmsg.Sight
	}{
		"done a second before":             {2 * time.Second, 3 * time.Second, taskmsg.SightThere},
		"done a moment before":             {time.Second, 1100 * time.Millisecond, taskmsg.SightThere},
		"there at the end, nobody knows":   {0, 3 * time.Second, taskmsg.SightThere},
		"there at the end, just started":   {0, 50 * time.Millisecond, taskmsg.SightCrash},
		"there at the end, a moment after": {0, 100 * time.Millisecond, taskmsg.SightThere},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(b *bench) {
				m := b.member("a")
				defer m.stop()
				m.take(1, nil)
				time.Sleep(testLease)
				m.put(shapeOf("job", 1000, tc.runs), 1)
				time.Sleep(tc.restart)
				b.worker0().Restart()
				settleIn()
				id := attempt("job", 0)
				b.is.Equal(b.home.state(id), taskmsg.RunLost)
				b.is.Equal(b.home.sight(id), tc.want)
			})
		})
	}
}

// TestWorkerThatTellsNoLife: where nobody knows when the worker's next life began, nothing is
// told as a crash.
func TestWorkerThatTellsNoLife(t *testing.T) {
	bubble(t, 1, func(b *bench) {
		b.faults(workersim.Faults{Lifeless: true})
		m := b.member("a")
		defer m.stop()
		m.take(1, nil)
		time.Sleep(testLease)
		m.put(shapeOf("job", 1000, 0), 1)
		b.worker0().Restart()
		settleIn()
		b.is.Equal(b.home.sight(attempt("job", 0)), taskmsg.SightThere)
	})
}
