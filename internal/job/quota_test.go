package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker/workersim"
)

// TestQuota submits more than a team's quota in several jobs, also through a failover, and checks
// all the time how many of its tasks run.
func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 4)
		c.setBranch(testBranch, func(v *settings.Values) { v.Quota.MilliCPU = 10000 })
		var jobs []spec.Job
		for range 3 {
			job := batch(0, 10, 4*time.Second)
			jobs = append(jobs, job)
			_, err := a.submit(job)
			c.is.NoErr(err)
		}
		check := func(d time.Duration) {
			for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
				if n := c.checker.Record(time.Now(), false).Running; n > 10 {
					t.Fatalf("%d tasks run, the quota allows 10", n)
				}
			}
		}
		check(5 * time.Second)
		a.kill()
		b.acquire(0, 1)
		check(failoverTime)
		for _, job := range jobs {
			b.await(job.ID, jobmsg.StateFinished, time.Minute)
		}
		c.assertNoViolations()
	})
}

// TestRefusedAtOnce lists submissions that can never be satisfied.
func TestRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name  string
		edit  func(*spec.Job)
		code  result.Code
		field string
	}{
		{"too much memory", func(j *spec.Job) { j.Task.Size.MemoryMiB = 9000 }, result.JobNeverFits, "task"},
		{"accelerators", func(j *spec.Job) { j.Task.Size.Accelerators = 1 }, result.JobNeverFits, "task"},
		{"newer processors", func(j *spec.Job) { j.Task.MinGeneration = 2 }, result.JobNeverFits, "task"},
		{"a label", func(j *spec.Job) { j.Task.Labels = map[string]string{"disk": "ssd"} }, result.JobNeverFits, "task"},
		{"a gang larger than the cell", func(j *spec.Job) { j.Kind, j.Tasks = spec.KindGang, 65 }, result.JobNeverFits, "tasks"},
		{"unknown branch", func(j *spec.Job) { j.Branch = "nowhere" }, result.JobBranchUnknown, "branch"},
		{"above the quota", func(j *spec.Job) { j.Branch, j.Task.Size.MilliCPU = "small", 3000 }, result.JobOverQuota, ""},
		{"a gang above the quota", func(j *spec.Job) { j.Branch, j.Kind, j.Tasks = "small", spec.KindGang, 3 }, result.JobOverQuota, ""},
		{"deadline passed", func(j *spec.Job) { j.DeadlineUnixMilli = time.Now().UnixMilli() + 500 }, result.JobDeadlinePassed, "deadline_unix_ms"},
		{"old identifier", func(j *spec.Job) { j.ID = "01890000-0000-7000-8000-000000000000" }, result.JobInvalid, "id"},
		{"not a UUID", func(j *spec.Job) { j.ID = "mine" }, result.JobInvalid, "id"},
		{"no tasks", func(j *spec.Job) { j.Tasks = 0 }, result.JobInvalid, "tasks"},
		{"too many tasks", func(j *spec.Job) { j.Tasks = maxTasks + 1 }, result.JobInvalid, "tasks"},
		{"unknown kind", func(j *spec.Job) { j.Kind = "daemon" }, result.JobInvalid, "kind"},
		{"negative size", func(j *spec.Job) { j.Task.Size.MemoryMiB = -1 }, result.JobInvalid, "task.size.memory_mib"},
		{"no size", func(j *spec.Job) { j.Task.Size = spec.Resources{} }, result.JobInvalid, "task.size"},
		{"a service with a run time", func(j *spec.Job) { j.Kind = spec.KindService }, result.JobInvalid, "task.run_ms"},
	}
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 2)
		c.setBranch("small", func(v *settings.Values) { v.Quota.MilliCPU = 2000 })
		for _, tt := range cases {
			job := batch(0, 4, time.Second)
			tt.edit(&job)
			_, err := a.submit(job)
			e := result.From(err)
			if err == nil || e.Code != tt.code || e.Field != tt.field || e.Ran != result.RanNo {
				t.Errorf("%s: %v", tt.name, err)
			}
		}
		c.is.Equal(c.checker.Starts(), 0)
	})
}

// TestIdentifiers checks the reply to a second submission with the same identifier.
func TestIdentifiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 2)
		job := batch(0, 4, time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		other := job
		other.Tasks = 5
		_, err = a.submit(other)
		c.is.Equal(result.CodeOf(err), result.JobIDReused)
		a.await(job.ID, jobmsg.StateFinished, 20*time.Second)
		time.Sleep(retention - time.Minute)
		s, err := a.submit(job)
		c.is.NoErr(err)
		c.is.Equal(s.State, jobmsg.StateFinished)
		time.Sleep(5 * time.Minute)
		_, err = a.submit(job) // deleted by now, and too old to count as new
		c.is.Equal(result.CodeOf(err), result.JobIDTooOld)
		c.is.Equal(c.checker.Starts(), 4)
		records, _, err := c.store.List(t.Context(), "jobs/")
		c.is.NoErr(err)
		c.is.Equal(len(records), 0)
	})
}

// TestAuthorityExpired lets a job owner's authority expire while no other process acquires the
// partition. It must decide nothing and accept nothing until its authority is restored. The faults
// of the link are cleared when no call is in flight, as a call that has passed its check may still
// be sent.
func TestAuthorityExpired(t *testing.T) {
	cases := []struct {
		name   string
		expire func(*cell, *placer)
	}{
		{"between two passes", func(_ *cell, a *placer) { a.authority.expire() }},
		{"between a decision and its request", func(c *cell, a *placer) {
			c.setBranch(testBranch, func(v *settings.Values) { v.Quota.MilliCPU = 0 })
			time.Sleep(2 * refusalBackoffMax) // the backoff from every holder has ended
			synctest.Wait()
			c.clearFaults()
			c.onNextBranchRead(a.authority.expire)
			c.setBranch(testBranch, func(*settings.Values) {})
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				c.addFault(&peerFault{kind: peer.KindPlace, times: -1})
				job := batch(0, 40, time.Second) // more than the capacity of one holder
				_, err := a.submit(job)
				c.is.NoErr(err)
				tt.expire(c, a)
				synctest.Wait()
				c.clearFaults()
				time.Sleep(time.Minute)
				c.is.Equal(c.checker.Starts(), 0)
				_, err = a.submit(batch(0, 4, time.Second))
				c.is.Equal(result.CodeOf(err), result.AuthorityExpired)
				c.is.Equal(result.From(err).Ran, result.RanNo)
				a.authority.restore()
				a.await(job.ID, jobmsg.StateFinished, 20*time.Second)
			})
		})
	}
}

// TestFailingWork checks the limits on failures and the deadline.
func TestFailingWork(t *testing.T) {
	fails := func(c *cell) {
		for _, h := range c.Hosts() {
			c.sim.Worker(h.Addr).SetFaults(workersim.Faults{FailTasks: true, FailAfter: 10 * time.Millisecond})
		}
	}
	cases := []struct {
		name  string
		edit  func(*spec.Job)
		fault func(*cell)
		state jobmsg.State
		codes []result.Code
	}{
		{"every attempt fails", func(*spec.Job) {}, fails, jobmsg.StateFailed, []result.Code{result.JobTaskFailed, result.JobFaulty}},
		{"the deadline passes", func(j *spec.Job) { j.Tasks, j.DeadlineUnixMilli = 200, time.Now().UnixMilli()+5000 }, func(*cell) {}, jobmsg.StateFailed, []result.Code{result.JobDeadlinePassed}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				tt.fault(c)
				job := batch(0, 4, 3*time.Second)
				tt.edit(&job)
				_, err := a.submit(job)
				c.is.NoErr(err)
				s := a.await(job.ID, tt.state, 2*time.Minute)
				c.is.True(s.Reason != "")
				ok := false
				for _, code := range tt.codes {
					ok = ok || s.Code == int(code)
				}
				c.is.True(ok)
				starts := c.checker.Starts()
				time.Sleep(time.Minute)
				c.is.Equal(c.checker.Starts(), starts)
				c.assertNoViolations()
			})
		})
	}
}

// TestQuotaDuringFailover submits a job to a job owner that does not have the inventories of the
// team's earlier jobs yet.
func TestQuotaDuringFailover(t *testing.T) {
	cases := []struct {
		name  string
		first spec.Job
		edit  func(*spec.Job) // a change just before the failover
	}{
		{"batch", batch(0, 10, time.Hour), nil},
		{"service that shrinks", service(0, 10), func(j *spec.Job) { j.Tasks = 2 }},
		{"service that gets smaller tasks", service(0, 10), func(j *spec.Job) { j.Task.Size.MilliCPU = 200 }},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 4)
				c.setBranch(testBranch, func(v *settings.Values) { v.Quota.MilliCPU = 12000 })
				first := tt.first
				first.ID = newID()
				_, err := a.submit(first)
				c.is.NoErr(err)
				time.Sleep(3 * time.Second)
				c.addFault(&peerFault{kind: peer.KindStopTasks, times: -1})
				if tt.edit != nil {
					tt.edit(&first)
					_, err = a.update(first, 0)
					c.is.NoErr(err)
					time.Sleep(time.Second)
				}
				a.kill()
				for _, kind := range []peer.Kind{peer.KindInventory, peer.KindTaskUpdates} {
					c.addFault(&peerFault{kind: kind, times: -1})
				}
				time.AfterFunc(5*time.Second, c.clearFaults)
				b.acquire(0, 1)
				time.Sleep(time.Second)
				_, err = b.submit(batch(0, 10, time.Hour))
				c.is.NoErr(err)
				for range 100 {
					used := int64(0)
					for _, places := range c.checker.Record(time.Now(), true).Tasks {
						for _, p := range places {
							if !p.Ended {
								used += p.Size.MilliCPU
							}
						}
					}
					if used > 12000 {
						t.Fatalf("the team uses %d of 12000", used)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}
