package job

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker/workersim"
)

// gangJob returns a gang of tasks of 1000 MilliCPU each for the team of a partition.
func gangJob(c *cell, partitionID, tasks int, run time.Duration) spec.Job {
	j := batch(partitionID, tasks, run)
	j.Kind = spec.KindGang
	c.checker.ExpectGang(j.ID, tasks)
	return j
}

// assertNeverPartial fails the test if a caller sees a gang run partially.
func assertNeverPartial(c *cell, p *placer, id string, tasks int, duration time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		s, err := p.get(id)
		if err != nil || s.State.Final() {
			continue
		}
		if n := s.TaskCounts.Running; n > 0 && n+s.TaskCounts.Finished < tasks && s.TaskCounts.Waiting > 0 {
			c.t.Fatalf("gang runs partially, %d of %d tasks: %+v", n, tasks, s)
		}
	}
}

// TestGangAcrossHolders starts a gang that exceeds the capacity of a single holder's hosts.
func TestGangAcrossHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 1) // 32 slots in all, 16 at each holder
		job := gangJob(c, 0, 30, 5*time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		a.await(job.ID, jobmsg.StateRunning, 5*time.Second)
		s := a.await(job.ID, jobmsg.StateFinished, 30*time.Second)
		c.is.Equal(s.TaskCounts.Finished, 30)
		c.is.Equal(c.checker.Starts(), 30)
		c.assertNoViolations()
	})
}

// TestGangWaitsWhole checks that no task of a gang starts while other work uses the capacity that
// the gang needs.
func TestGangWaitsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 1)
		other := batch(2, 20, 40*time.Second)
		_, err := b.submit(other)
		c.is.NoErr(err)
		time.Sleep(3 * time.Second)
		job := gangJob(c, 0, 30, 5*time.Second)
		_, err = a.submit(job)
		c.is.NoErr(err)
		assertNeverPartial(c, a, job.ID, 30, 30*time.Second)
		s, err := a.get(job.ID)
		c.is.NoErr(err)
		c.is.Equal(s.State, jobmsg.StateWaiting)
		c.is.True(s.Reason != "")
		a.await(job.ID, jobmsg.StateFinished, 60*time.Second)
		c.assertNoViolations()
	})
}

// TestGangsSideBySide submits gangs of different job owners at the same time, each of which needs
// more than half of the cell. All of them must finish.
func TestGangsSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 1)
		homes := []*placer{a, a, b, b}
		var jobs []spec.Job
		for partitionID, p := range homes {
			job := gangJob(c, partitionID, 20+partitionID, 3*time.Second)
			jobs = append(jobs, job)
			_, err := p.submit(job)
			c.is.NoErr(err)
		}
		for partitionID, p := range homes {
			p.await(jobs[partitionID].ID, jobmsg.StateFinished, 2*time.Minute)
		}
		c.assertNoViolations()
	})
}

// TestAgedGangGathers checks that a gang that has waited long gets its capacity although smaller
// jobs keep arriving.
func TestAgedGangGathers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 1)
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() { // a stream of small jobs that would always fill the cell
			defer close(done)
			for {
				_, _ = b.submit(batch(2, 8, 4*time.Second))
				select {
				case <-stop:
					return
				case <-time.After(900 * time.Millisecond):
				}
			}
		}()
		time.Sleep(5 * time.Second)
		job := gangJob(c, 0, 24, 3*time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		a.await(job.ID, jobmsg.StateFinished, 5*time.Minute)
		close(stop)
		<-done
		c.assertNoViolations()
	})
}

// TestGangFaults injects a fault into each step of a gang's start and run. The gang must finish,
// and callers must never see it run partially.
func TestGangFaults(t *testing.T) {
	const tasks = 40 // more than the capacity of one of the two holders
	cases := []struct {
		name    string
		fault   *peerFault
		disturb func(c *cell, a, b *placer)
		broken  float64 // tries stopped after a start
	}{
		{"a reservation request is not sent", &peerFault{to: "b", kind: peer.KindGangReserve, times: 1}, nil, 0},
		{"the reply to a reservation request is lost", &peerFault{to: "b", kind: peer.KindGangReserve, times: 2, after: true}, nil, 0},
		{"a start is not sent", &peerFault{to: "b", kind: peer.KindGangEnd, times: 1}, nil, 1},
		{"the reply to a start is lost", &peerFault{to: "b", kind: peer.KindGangEnd, times: 1, after: true}, nil, 1},
		{"both replies to starts are lost", &peerFault{kind: peer.KindGangEnd, times: 2, after: true}, nil, 1},
		{"a host is lost while the gang runs", nil, func(c *cell, _, _ *placer) {
			time.Sleep(2 * time.Second)
			c.sim.Worker("w2-0").SetFaults(workersim.Faults{Unreachable: true})
		}, 0},
		{"the holder of a part is lost", nil, func(c *cell, a, b *placer) {
			time.Sleep(2 * time.Second)
			b.kill()
			time.Sleep(3 * time.Second)
			a.acquire(2, 3)
		}, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 2)
				c.checker.GangGrace = failoverTime // a lost host's part remains until its leases expire
				if tt.fault != nil {
					c.addFault(tt.fault)
				}
				job := gangJob(c, 0, tasks, 20*time.Second)
				_, err := a.submit(job)
				c.is.NoErr(err)
				if tt.disturb != nil {
					tt.disturb(c, a, b)
				}
				assertNeverPartial(c, a, job.ID, tasks, 2*time.Minute)
				s := a.await(job.ID, jobmsg.StateFinished, 2*time.Minute)
				c.is.Equal(s.TaskCounts.Finished, tasks)
				c.is.Equal(testutil.ToFloat64(a.jobs.metrics.gangs.WithLabelValues("broken")), tt.broken)
				c.assertNoViolations()
			})
		})
	}
}

// TestGangOwnerLost kills the owner of a gang at each step of its start.
func TestGangOwnerLost(t *testing.T) {
	const tasks = 40 // more than the capacity of one of the two holders
	cases := []struct {
		name  string
		fault *peerFault
		after time.Duration
	}{
		{"between reservation and start", &peerFault{from: "a", kind: peer.KindGangEnd, times: -1}, 200 * time.Millisecond},
		{"when one of two parts has started", &peerFault{from: "a", to: "b", kind: peer.KindGangEnd, times: -1}, 20 * time.Millisecond},
		{"when all run", nil, 3 * time.Second},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 2)
				c.checker.GangGrace = failoverTime
				if tt.fault != nil {
					c.addFault(tt.fault)
				}
				job := gangJob(c, 0, tasks, 20*time.Second)
				_, err := a.submit(job)
				c.is.NoErr(err)
				time.Sleep(tt.after)
				a.kill()
				c.clearFaults()
				time.Sleep(3 * time.Second)
				b.acquire(0, 1)
				assertNeverPartial(c, b, job.ID, tasks, failoverTime)
				s := b.await(job.ID, jobmsg.StateFinished, 3*time.Minute)
				c.is.Equal(s.TaskCounts.Finished, tasks)
				c.assertNoViolations()
			})
		})
	}
}

// TestGangLossRules loses a host under a running gang, once for each setting.
func TestGangLossRules(t *testing.T) {
	cases := []struct {
		rule      string
		state     jobmsg.State
		maxStarts int // bounds on the number of starts
		minStarts int
	}{
		{settings.GangRestart, jobmsg.StateFinished, 48, 48},
		{settings.GangReplace, jobmsg.StateFinished, 32, 25},
		{settings.GangFail, jobmsg.StateFailed, 24, 24},
	}
	for _, tt := range cases {
		t.Run(tt.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				c.checker.GangGrace = failoverTime
				c.setBranch(testBranch, func(v *settings.Values) { v.Task.GangLoss = tt.rule })
				job := gangJob(c, 0, 24, time.Minute)
				_, err := a.submit(job)
				c.is.NoErr(err)
				a.await(job.ID, jobmsg.StateRunning, 5*time.Second)
				c.sim.Worker(a.worker(job.ID)).SetFaults(workersim.Faults{Unreachable: true})
				a.await(job.ID, tt.state, 4*time.Minute)
				c.is.True(c.checker.Starts() <= tt.maxStarts)
				c.is.True(c.checker.Starts() >= tt.minStarts)
				c.assertNoViolations()
			})
		})
	}
}

// worker returns a host that runs tasks of a job.
func (p *placer) worker(id string) string {
	r, err := p.explain(id)
	p.c.is.NoErr(err)
	p.c.is.True(len(r.Explain.Placements) > 0)
	return r.Explain.Placements[0].Worker
}
