package fleet

import (
	"testing"
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// TestRunsEndedBeforeWorkerRestart guards against runs reported as crashes that had ended before.
// A run ends on a disconnected worker, by its lease or by itself, and the worker restarts before it
// can report the end. The new incarnation answers without the run. Three such crashes fail a job.
func TestRunsEndedBeforeWorkerRestart(t *testing.T) {
	cases := map[string]time.Duration{ // run time of the task; zero for no end
		"lease expired": 0,
		"finished":      testLease / 2,
	}
	for name, runs := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				time.Sleep(testLease)
				m.placeTasks(shapeOf("job", 1000, runs), 1)
				b.setFaults(workersim.Faults{Unreachable: true})
				waitForUpdates()
				for _, r := range b.worker0().Runs() {
					b.is.True(r.State != worker.StateRunning) // it has ended in this incarnation
				}
				b.worker0().Restart()
				b.setFaults(workersim.Faults{})
				waitForUpdates()
				id := attempt("job", 0)
				b.is.Equal(b.home.state(id), taskmsg.RunLost)
				b.is.True(!b.home.crashReported(id)) // no worker crashed under it
			})
		})
	}
}

// TestRunsEndedBetweenOrders guards against the same fault without a disconnect. Workers are polled
// every few seconds: a run that ends between two orders must not be reported as a crash if the
// worker restarts before the next order.
func TestRunsEndedBetweenOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		runs, restart time.Duration // counted from the start
		want          taskmsg.LossEvidence
	}{
		"finished a second before":              {2 * time.Second, 3 * time.Second, taskmsg.EvidencePresent},
		"finished 100 ms before":                {time.Second, 1100 * time.Millisecond, taskmsg.EvidencePresent},
		"present at end, not confirmed":         {0, 3 * time.Second, taskmsg.EvidencePresent},
		"present at end, started 50 ms before":  {0, 50 * time.Millisecond, taskmsg.EvidenceCrash},
		"present at end, started 100 ms before": {0, 100 * time.Millisecond, taskmsg.EvidencePresent},
	} {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				time.Sleep(testLease)
				m.placeTasks(shapeOf("job", 1000, tc.runs), 1)
				time.Sleep(tc.restart)
				b.worker0().Restart()
				waitForUpdates()
				id := attempt("job", 0)
				b.is.Equal(b.home.state(id), taskmsg.RunLost)
				b.is.Equal(b.home.lossEvidence(id), tc.want)
			})
		})
	}
}

// TestWorkerWithoutIncarnation checks that no loss is reported as a crash if the worker
// does not report when its next incarnation started.
func TestWorkerWithoutIncarnation(t *testing.T) {
	runTestbed(t, 1, func(b *testbed) {
		b.setFaults(workersim.Faults{OmitIncarnation: true})
		m := b.member("a")
		defer m.stop()
		m.accept(1, nil)
		time.Sleep(testLease)
		m.placeTasks(shapeOf("job", 1000, 0), 1)
		b.worker0().Restart()
		waitForUpdates()
		b.is.Equal(b.home.lossEvidence(attempt("job", 0)), taskmsg.EvidencePresent)
	})
}
