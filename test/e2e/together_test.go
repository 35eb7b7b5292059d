package e2e

import (
	"testing"
	"time"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker/workersim"
	"pulleyquay/test/e2e/harness"
)

// TestTwoFaults injects two faults at once or one after the other while a job runs
// and tickets arrive. The job finishes, nothing runs twice, and every caller gets a
// correct statement of whether its request ran.
func TestTwoFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(c *harness.Cell, home, otherHost *harness.Host)
	}{
		{"one placer paused, another killed", func(_ *harness.Cell, home, otherHost *harness.Host) {
			otherHost.Placer.Pause()
			home.Placer.Kill()
			time.Sleep(2 * harness.Term)
			otherHost.Placer.Resume()
			home.StartPlacer()
		}},
		{"a placer and workers of it fail at once", func(c *harness.Cell, home, _ *harness.Host) {
			home.Placer.Kill()
			c.Platform.RestartWorker("worker-00")
			c.Platform.WorkerFaults("worker-01", workersim.Faults{Unreachable: true})
			time.Sleep(2 * harness.Term)
			c.Platform.WorkerFaults("worker-01", workersim.Faults{})
		}},
		{"a placer is killed while workers and store lose answers", func(c *harness.Cell, home, _ *harness.Host) {
			c.Platform.StoreFaults(memstore.Faults{LoseAnswers: 20})
			for _, w := range []string{"worker-00", "worker-02", "worker-04"} {
				c.Platform.WorkerFaults(w, workersim.Faults{LoseAnswers: 3})
			}
			home.Placer.Kill()
		}},
		{"two outages in a row with a placer killed in each", func(c *harness.Cell, home, otherHost *harness.Host) {
			for _, h := range []*harness.Host{home, otherHost} {
				c.Platform.StoreFaults(memstore.Faults{Refuse: true})
				time.Sleep(harness.Term)
				h.Placer.Kill()
				h.StartPlacer()
				time.Sleep(harness.Term)
				c.Platform.StoreFaults(memstore.Faults{})
				time.Sleep(harness.Term)
			}
		}},
		{"an entry host is killed while a placer is paused", func(_ *harness.Cell, home, otherHost *harness.Host) {
			home.Placer.Pause()
			otherHost.Placer.Kill()
			otherHost.Entry.Kill()
			time.Sleep(harness.Term)
			home.Placer.Resume()
			otherHost.StartPlacer()
			otherHost.StartEntry()
		}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := startCell(t)
			home := teamHome(c)
			second := otherHost(c, home)
			var third *harness.Host
			for _, h := range c.Hosts {
				if h != home && h != second {
					third = h
				}
			}
			job := harness.Batch(spec.KindBatch, 48, 3*time.Second)
			job.Task.Size.MilliCPU = 16_000
			c.MustSubmit(third, job)
			waitRunning(t, c, 24)
			l := c.StartLoad(callers/4, work)
			waitAnswered(t, l, 20)
			k.fail(c, home, second)
			c.WaitJob(third, job.ID, 60*time.Second, "job finishes", harness.Finished)
			waitAnswered(t, l, 20)
			replies := l.Stop()
			r := c.Platform.Record()
			assertNoViolations(t, r)
			v := harness.CheckReplies(replies, r)
			assertTruthfulReplies(t, v)
			t.Log(v)
		})
	}
}
