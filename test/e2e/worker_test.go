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

// TestWorkerFails lets one worker fail in several ways while a job runs: the
// job ends well, and no task is in two places.
func TestWorkerFails(t *testing.T) {
	t.Parallel()
	const sick = "worker-01"
	cases := []struct {
		name string
		fail func(c *harness.Cell)
	}{
		{"restarts", func(c *harness.Cell) { c.Platform.RestartWorker(sick) }},
		{"is not reached for longer than a lease", func(c *harness.Cell) {
			c.Platform.WorkerFaults(sick, workersim.Faults{Unreachable: true})
			time.Sleep(2 * harness.TaskLease)
			c.Platform.WorkerFaults(sick, workersim.Faults{})
		}},
		{"loses answers", func(c *harness.Cell) {
			c.Platform.WorkerFaults(sick, workersim.Faults{LoseAnswers: 10})
		}},
		{"is slower than its callers wait", func(c *harness.Cell) {
			c.Platform.WorkerFaults(sick, workersim.Faults{Slow: 4 * time.Second})
			time.Sleep(harness.TaskLease)
			c.Platform.WorkerFaults(sick, workersim.Faults{})
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
			allHeld(t, r)
			for i := range job.Tasks {
				places := r.Tasks[spec.TaskID{Job: job.ID, Index: i}.String()]
				is.True(len(places) > 0)
				is.Equal(string(places[len(places)-1].State), "finished")
			}
		})
	}
}

// TestWorkerFailsEveryTask: jobs of different teams end well although one
// worker fails whatever it is given.
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
	allHeld(t, c.Platform.Record())
}

// TestUntrueSizes: tasks that use three times what they declare, reported with
// a lag, are never joined by more than the worker's size by declared amounts,
// and the worker's overload ends.
func TestUntrueSizes(t *testing.T) {
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
	allHeld(t, r)
	is.True(r.Starts >= 1)
	overloads := 0
	for _, w := range r.Workers {
		overloads += w.Overload
	}
	t.Logf("%d starts, %d reports of overload", r.Starts, overloads)
}
