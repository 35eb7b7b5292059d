package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker/workersim"
	"pulleyquay/test/e2e/harness"
)

// TestWorkerFails has one worker fail in several ways while a job runs. The job
// finishes, and no task runs on two workers at once.
func TestWorkerFails(t *testing.T) {
	t.Parallel()
	const faulty = "worker-01"
	cases := []struct {
		name string
		fail func(c *harness.Cell)
	}{
		{"restarts", func(c *harness.Cell) { c.Platform.RestartWorker(faulty) }},
		{"is not reached for longer than a lease", func(c *harness.Cell) {
			c.Platform.WorkerFaults(faulty, workersim.Faults{Unreachable: true})
			time.Sleep(2 * harness.TaskLease)
			c.Platform.WorkerFaults(faulty, workersim.Faults{})
		}},
		{"loses answers", func(c *harness.Cell) {
			c.Platform.WorkerFaults(faulty, workersim.Faults{LoseAnswers: 10})
		}},
		{"is slower than its callers wait", func(c *harness.Cell) {
			c.Platform.WorkerFaults(faulty, workersim.Faults{Delay: 4 * time.Second})
			time.Sleep(harness.TaskLease)
			c.Platform.WorkerFaults(faulty, workersim.Faults{})
		}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			c := startCell(t)
			job := harness.Batch(spec.KindBatch, 48, 3*time.Second)
			job.Task.Size.MilliCPU = 16_000
			c.MustSubmit(c.Hosts[0], job)
			waitRunning(t, c, 24)
			k.fail(c)
			c.WaitJob(c.Hosts[0], job.ID, 50*time.Second, "job finishes", harness.Finished)
			r := c.Platform.Record()
			assertNoViolations(t, r)
			for i := range job.Tasks {
				runs := r.Tasks[spec.TaskID{Job: job.ID, Index: i}.String()]
				is.True(len(runs) > 0)
				is.Equal(string(runs[len(runs)-1].State), "finished")
			}
		})
	}
}

// TestWorkerFailsEveryTask checks that jobs of different teams finish although one
// worker fails every task placed on it.
func TestWorkerFailsEveryTask(t *testing.T) {
	c := startCell(t)
	c.Platform.WorkerFaults("worker-02", workersim.Faults{FailTasks: true})
	var jobs []spec.Job
	for _, team := range []string{"regie", "lakeshore", "third"} {
		job := harness.Batch(spec.KindBatch, 12, 300*time.Millisecond)
		job.Team = team
		c.MustSubmit(c.Hosts[0], job)
		jobs = append(jobs, job)
	}
	for _, job := range jobs {
		c.WaitJob(c.Hosts[1], job.ID, 30*time.Second, "job of "+job.Team+" finishes", harness.Finished)
	}
	assertNoViolations(t, c.Platform.Record())
}

// TestUnderdeclaredSizes runs tasks that use three times their declared size, which
// workers report with a lag. The declared sizes on a worker never exceed its size, and
// the overload of the workers ends.
func TestUnderdeclaredSizes(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	for _, h := range c.Platform.Hosts() {
		if h.Role == "worker" {
			c.Platform.WorkerFaults(h.Name, workersim.Faults{RealSizePercent: 300, UsageLag: 500 * time.Millisecond})
		}
	}
	job := harness.Batch(spec.KindBatch, 60, 2*time.Second)
	job.Task.Size.MilliCPU = 8_000
	c.MustSubmit(c.Hosts[0], job)
	c.WaitJob(c.Hosts[1], job.ID, 50*time.Second, "job ends", func(s jobmsg.Status) bool { return s.State.Final() })
	r := c.Platform.Record()
	assertNoViolations(t, r)
	is.True(r.Starts >= 1)
	overloads := 0
	for _, w := range r.Workers {
		overloads += w.Overload
	}
	t.Logf("%d starts, %d reports of overload", r.Starts, overloads)
}
