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

// gangJob makes a gang of tasks of 1000 mCPU for the team of a partition.
func gangJob(c *cell, partitionID, tasks int, run time.Duration) spec.Job {
	j := batch(partitionID, tasks, run)
	j.Kind = spec.KindGang
	c.judge.Gang(j.ID, tasks)
	return j
}

// assertNeverPartial fails the test when a caller sees a gang run in part.
func assertNeverPartial(c *cell, p *placer, id string, tasks int, atMost time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(atMost); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		s, err := p.get(id)
		if err != nil || s.State.Final() {
			continue
		}
		if n := s.Counts.Running; n > 0 && n+s.Counts.Finished < tasks && s.Counts.Waiting > 0 {
			c.t.Fatalf("%d of %d tasks seen running: %+v", n, tasks, s)
		}
	}
}

// TestGangAcrossHolders starts a gang larger than any one holder's workers.
func TestGangAcrossHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 1) // 32 slots in all, 16 at each holder
		job := gangJob(c, 0, 30, 5*time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		a.await(job.ID, jobmsg.StateRunning, 5*time.Second)
		s := a.await(job.ID, jobmsg.StateFinished, 30*time.Second)
		c.is.Equal(s.Counts.Finished, 30)
		c.is.Equal(c.judge.Starts(), 30)
		c.assertNoViolations()
	})
}

// TestGangWaitsWhole lets a gang wait for room that other work takes, while
// nothing of it starts.
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

// TestGangsSideBySide submits gangs of different homes that each need more than
// half of the cell at the same moment: all of them end.
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

// TestAgedGangGathers shows that a gang which has waited long gets its room
// although smaller work keeps coming.
func TestAgedGangGathers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 1)
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() { // a stream of small jobs that would fill the cell for ever
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

// TestGangFaults breaks each step of a gang's start and of its life; the gang
// ends whole in the end, and is never seen in part.
func TestGangFaults(t *testing.T) {
	const tasks = 40 // more than one of the two holders has room for
	cases := []struct {
		name    string
		fault   *peerFault
		disturb func(c *cell, a, b *placer)
		broken  float64 // tries that were broken up after a start
	}{
		{"a hold is not sent", &peerFault{to: "b", kind: peer.KindGangHold, times: 1}, nil, 0},
		{"the answer to a hold is lost", &peerFault{to: "b", kind: peer.KindGangHold, times: 2, after: true}, nil, 0},
		{"a start is not sent", &peerFault{to: "b", kind: peer.KindGangEnd, times: 1}, nil, 1},
		{"the answer to a start is lost", &peerFault{to: "b", kind: peer.KindGangEnd, times: 1, after: true}, nil, 1},
		{"both answers to starts are lost", &peerFault{kind: peer.KindGangEnd, times: 2, after: true}, nil, 1},
		{"a worker is lost while it runs", nil, func(c *cell, _, _ *placer) {
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
				c.judge.GangGrace = failoverTime // a lost worker's part lasts until its leases end
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
				c.is.Equal(s.Counts.Finished, tasks)
				c.is.Equal(testutil.ToFloat64(a.jobs.metrics.gangs.WithLabelValues("broken")), tt.broken)
				c.assertNoViolations()
			})
		})
	}
}

// TestGangOwnerLost kills the home of a gang at each step of its start.
func TestGangOwnerLost(t *testing.T) {
	const tasks = 40 // more than one of the two holders has room for
	cases := []struct {
		name  string
		fault *peerFault
		after time.Duration
	}{
		{"between hold and start", &peerFault{from: "a", kind: peer.KindGangEnd, times: -1}, 200 * time.Millisecond},
		{"when one of two parts has started", &peerFault{from: "a", to: "b", kind: peer.KindGangEnd, times: -1}, 20 * time.Millisecond},
		{"when all run", nil, 3 * time.Second},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 2)
				c.judge.GangGrace = failoverTime
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
				c.is.Equal(s.Counts.Finished, tasks)
				c.assertNoViolations()
			})
		})
	}
}

// TestGangLossRules loses a worker under a running gang, once for each rule.
func TestGangLossRules(t *testing.T) {
	cases := []struct {
		rule  string
		state jobmsg.State
		most  int // starts
		least int
	}{
		{settings.GangRestart, jobmsg.StateFinished, 48, 48},
		{settings.GangReplace, jobmsg.StateFinished, 32, 25},
		{settings.GangFail, jobmsg.StateFailed, 24, 24},
	}
	for _, tt := range cases {
		t.Run(tt.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				c.judge.GangGrace = failoverTime
				c.setBranch(testBranch, func(v *settings.Values) { v.Task.GangLoss = tt.rule })
				job := gangJob(c, 0, 24, time.Minute)
				_, err := a.submit(job)
				c.is.NoErr(err)
				a.await(job.ID, jobmsg.StateRunning, 5*time.Second)
				c.sim.Worker(a.worker(job.ID)).SetFaults(workersim.Faults{Unreachable: true})
				a.await(job.ID, tt.state, 4*time.Minute)
				c.is.True(c.judge.Starts() <= tt.most)
				c.is.True(c.judge.Starts() >= tt.least)
				c.assertNoViolations()
			})
		})
	}
}

// worker names a worker that runs tasks of a job.
func (p *placer) worker(id string) string {
	r, err := p.explain(id)
	p.c.is.NoErr(err)
	p.c.is.True(len(r.Explain.Sites) > 0)
	return r.Explain.Sites[0].Worker
}
