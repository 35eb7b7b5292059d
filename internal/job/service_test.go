package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker/workersim"
)

// service returns a service with replicas of 1000 MilliCPU each.
func service(partitionID, replicas int) spec.Job {
	j := batch(partitionID, replicas, 0)
	j.Kind = spec.KindService
	return j
}

func (p *placer) update(j spec.Job, generation int) (jobmsg.Status, error) {
	return call[jobmsg.Status](p, peer.KindJobUpdate, jobmsg.UpdateRequest{Job: j, Generation: generation})
}

// awaitReplicas waits until exactly n replicas run and none is starting or stopping.
func (p *placer) awaitReplicas(id string, n int, timeout time.Duration) jobmsg.Status {
	p.c.t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		s, err := p.get(id)
		if err == nil && s.TaskCounts == (jobmsg.TaskCounts{Running: n, Failures: s.TaskCounts.Failures}) {
			return s
		}
		if time.Now().After(deadline) {
			p.c.t.Fatalf("not %d replicas after %s: %+v, %v", n, timeout, s, err)
		}
	}
}

// TestServiceKeepsItsReplicas loses replicas in several ways.
func TestServiceKeepsItsReplicas(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(c *cell, a, b *placer, worker string)
	}{
		{"a host is lost", func(c *cell, _, _ *placer, worker string) {
			c.sim.Worker(worker).SetFaults(workersim.Faults{Unreachable: true})
		}},
		{"a host restarts", func(c *cell, _, _ *placer, worker string) { c.sim.Worker(worker).Restart() }},
		{"the job owner is lost", func(_ *cell, a, b *placer, _ string) {
			a.kill()
			time.Sleep(3 * time.Second)
			b.acquire(0, 1)
		}},
		{"the job owner is lost after a long store outage", func(c *cell, a, b *placer, _ string) {
			c.engine.SetFaults(memstore.Faults{Refuse: true})
			time.Sleep(10 * testLease)
			c.engine.SetFaults(memstore.Faults{})
			a.kill()
			b.acquire(0, 1)
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 3)
				job := service(0, 9)
				_, err := a.submit(job)
				c.is.NoErr(err)
				a.awaitReplicas(job.ID, 9, 5*time.Second)
				tt.disturb(c, a, b, a.worker(job.ID))
				time.Sleep(2*failoverTime + time.Second)
				b.preferAlive(a).awaitReplicas(job.ID, 9, 10*time.Second)
				c.assertNoViolations()
			})
		})
	}
}

// preferAlive returns q if it has not been killed, else p.
func (p *placer) preferAlive(q *placer) *placer {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	if p.c.placer[q.name] == q {
		return q
	}
	return p
}

// TestServiceChanges rolls changes out and checks all the time that no more replicas run than the
// surge allows, and no fewer than the update must keep.
func TestServiceChanges(t *testing.T) {
	cases := []struct {
		name                   string
		surge                  int64
		edit                   func(*spec.Job)
		replicas               int
		maxRunning, minRunning int
		replaced               bool
	}{
		{"surge one", 1, func(j *spec.Job) { j.Task.Command = "v2" }, 6, 7, 6, true},
		{"surge three", 3, func(j *spec.Job) { j.Task.Size.MilliCPU = 1500 }, 6, 9, 6, true},
		{"no surge", 0, func(j *spec.Job) { j.Task.Command = "v2" }, 6, 6, 5, true},
		{"more replicas", 1, func(j *spec.Job) { j.Tasks = 10 }, 10, 10, 6, false},
		{"fewer replicas", 1, func(j *spec.Job) { j.Tasks = 2 }, 2, 6, 2, false},
		{"fewer and changed", 1, func(j *spec.Job) { j.Tasks, j.Task.Command = 3, "v2" }, 3, 6, 3, true},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				c.setBranch(testBranch, func(v *settings.Values) { v.Task.Surge = tt.surge })
				job := service(0, 6)
				_, err := a.submit(job)
				c.is.NoErr(err)
				a.awaitReplicas(job.ID, 6, 5*time.Second)
				for _, h := range c.Hosts() { // slow hosts, so that the steps of the rollout can be distinguished
					c.sim.Worker(h.Addr).SetFaults(workersim.Faults{Delay: 150 * time.Millisecond})
				}
				starts := c.checker.Starts()
				next := job
				tt.edit(&next)
				s, err := a.update(next, 1)
				c.is.NoErr(err)
				c.is.Equal(s.Generation, 2)
				s, err = a.update(next, 1) // repeated request
				c.is.NoErr(err)
				c.is.Equal(s.Generation, 2)
				for range 400 {
					n := c.checker.Record(time.Now(), false).Running
					if n > tt.maxRunning || n < tt.minRunning {
						t.Fatalf("%d replicas run, want %d to %d", n, tt.minRunning, tt.maxRunning)
					}
					time.Sleep(50 * time.Millisecond)
				}
				a.awaitReplicas(job.ID, tt.replicas, 10*time.Second)
				if tt.replaced {
					c.is.Equal(c.checker.Starts()-starts, tt.replicas)
				}
				c.is.Equal(a.jobs.jobOwner(0).ledger.Used(job.Team), next.Task.Size.Times(int64(tt.replicas)))
				again, err := a.submit(job) // the first submission, repeated
				c.is.NoErr(err)
				c.is.Equal(again.Generation, 2)
				c.assertNoViolations()
			})
		})
	}
}

// TestChangeSurvivesFailover kills the job owner during a rollout.
func TestChangeSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 2)
		job := service(0, 6)
		_, err := a.submit(job)
		c.is.NoErr(err)
		a.awaitReplicas(job.ID, 6, 5*time.Second)
		c.addFault(&peerFault{kind: peer.KindStopTasks, times: -1}) // the rollout stops after its surge
		job.Task.Size.MilliCPU = 2000
		_, err = a.update(job, 0)
		c.is.NoErr(err)
		time.Sleep(time.Second)
		a.kill()
		c.clearFaults()
		b.acquire(0, 1)
		time.Sleep(failoverTime + 10*time.Second)
		b.awaitReplicas(job.ID, 6, time.Second)
		c.is.Equal(b.jobs.jobOwner(0).ledger.Used(job.Team).MilliCPU, int64(12000))
		c.assertNoViolations()
	})
}

// TestChangeUnderStoreFaults checks the reply to a change under store faults.
func TestChangeUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name       string
		faults     memstore.Faults
		code       result.Code
		generation int // after the fault
	}{
		{"reply lost", memstore.Faults{LoseAnswers: 1}, 0, 2},
		{"down", memstore.Faults{Refuse: true}, result.JobNotRecorded, 1},
		{"all replies lost", memstore.Faults{LoseAnswers: memstore.EveryCall}, result.JobRecordUnknown, 2},
		{"silent", memstore.Faults{Hang: true}, result.JobRecordUnknown, 1},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				job := service(0, 4)
				_, err := a.submit(job)
				c.is.NoErr(err)
				time.Sleep(3 * time.Second)
				a.store.SetFaults(tt.faults)
				job.Task.Command = "v2"
				_, err = a.update(job, 1)
				if tt.code == 0 {
					c.is.NoErr(err)
				} else {
					c.is.Equal(result.CodeOf(err), tt.code)
				}
				a.store.SetFaults(memstore.Faults{})
				time.Sleep(30 * time.Second)
				s := a.awaitReplicas(job.ID, 4, 30*time.Second)
				c.is.Equal(s.Generation, tt.generation)
				c.assertNoViolations()
			})
		})
	}
}

// TestChangeRefused lists changes that are refused.
func TestChangeRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 2)
		finite, live := batch(0, 2, time.Hour), service(0, 2)
		for _, j := range []spec.Job{finite, live} {
			_, err := a.submit(j)
			c.is.NoErr(err)
		}
		time.Sleep(3 * time.Second)
		cases := []struct {
			name       string
			job        spec.Job
			edit       func(*spec.Job)
			generation int
			code       result.Code
		}{
			{"finite work", finite, func(j *spec.Job) { j.Tasks = 3 }, 0, result.JobInvalid},
			{"another team", live, func(j *spec.Job) { j.Team = "other" }, 0, result.JobInvalid},
			{"another generation", live, func(j *spec.Job) { j.Tasks = 3 }, 7, result.JobChanged},
			{"no such branch", live, func(j *spec.Job) { j.Branch = "nowhere" }, 0, result.JobBranchUnknown},
			{"larger than any worker", live, func(j *spec.Job) { j.Task.Size.MilliCPU = 9000 }, 0, result.JobNeverFits},
			{"unknown job", live, func(j *spec.Job) { j.ID = newID() }, 0, result.JobNotFound},
		}
		for _, tt := range cases {
			j := tt.job
			tt.edit(&j)
			_, err := a.update(j, tt.generation)
			if result.CodeOf(err) != tt.code {
				t.Errorf("%s: %v", tt.name, err)
			}
		}
	})
}
