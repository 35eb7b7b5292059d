package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// twoPlacers starts a cell with placers a, which holds partitions 0 and 1, and b, which holds 2 and
// 3.
func twoPlacers(t *testing.T, workers int) (c *cell, a, b *placer) {
	c = newCell(t, workers)
	a, b = c.start("a"), c.start("b")
	a.acquire(0, 1)
	b.acquire(2, 3)
	time.Sleep(time.Second)
	return c, a, b
}

// TestOwnerLost kills the owner of a job at each stage of the job. The next job owner must finish
// the job, no task may run twice at a time and no accepted job may be lost.
func TestOwnerLost(t *testing.T) {
	const tasks = 20
	cases := []struct {
		name string
		// prepare brings the job to the stage at which its owner is killed.
		prepare func(c *cell, a *placer)
		// maxStarts bounds the number of starts.
		maxStarts int
	}{
		{"right after the reply to submit", func(*cell, *placer) {}, 2 * tasks},
		{"while starts are in flight", func(c *cell, _ *placer) {
			c.addFault(&peerFault{from: "a", kind: peer.KindPlace, times: -1, after: true})
			time.Sleep(10 * time.Millisecond)
		}, 2 * tasks},
		{"while tasks run", func(*cell, *placer) { time.Sleep(2 * time.Second) }, 2 * tasks},
		{"when all have ended and nothing is recorded", func(_ *cell, a *placer) {
			a.store.SetFaults(memstore.Faults{Refuse: true})
			time.Sleep(8 * time.Second)
		}, tasks},
		{"when its end is recorded", func(_ *cell, a *placer) { time.Sleep(12 * time.Second) }, tasks},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 4)
				job := batch(0, tasks, 5*time.Second)
				_, err := a.submit(job)
				c.is.NoErr(err)
				tt.prepare(c, a)
				a.kill()
				c.clearFaults()
				time.Sleep(3 * time.Second) // the store's lease on a's membership
				b.acquire(0, 1)
				s := b.await(job.ID, jobmsg.StateFinished, failoverTime+30*time.Second)
				c.is.Equal(s.TaskCounts.Finished, tasks)
				c.assertNoViolations()
				c.is.True(c.checker.Starts() <= tt.maxStarts)
			})
		})
	}
}

// TestWorkersHolderLost kills the holder of most hosts while the job owner survives.
func TestWorkersHolderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 2)
		job := batch(0, 32, 10*time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		time.Sleep(2 * time.Second)
		b.kill()
		time.Sleep(3 * time.Second)
		a.acquire(2, 3)
		s := a.await(job.ID, jobmsg.StateFinished, failoverTime+60*time.Second)
		c.is.Equal(s.TaskCounts.Finished, 32)
		c.assertNoViolations()
	})
}

// TestPausedOwner pauses a job owner while its requests are in flight, until another one has
// acquired the partition, and resumes it. The holders must refuse its late requests, and only the
// new job owner runs the job.
func TestPausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 4)
		for _, kind := range []peer.Kind{peer.KindPlace, peer.KindStopTasks, peer.KindInventory} {
			c.addFault(&peerFault{from: "a", kind: kind, times: -1, blockUntil: make(chan struct{})})
		}
		job := batch(0, 20, 5*time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		time.Sleep(2 * time.Second)
		a.authority.expire()
		b.acquire(0, 1)
		b.await(job.ID, jobmsg.StateFinished, failoverTime+30*time.Second)
		c.clearFaults() // a's blocked messages arrive now
		time.Sleep(30 * time.Second)
		c.assertNoViolations()
		c.is.Equal(c.checker.Starts(), 20)
	})
}

// TestLostMessages loses messages between the job owner and the holders.
func TestLostMessages(t *testing.T) {
	cases := []struct {
		name string
		f    peerFault
	}{
		{"starts not sent", peerFault{kind: peer.KindPlace, times: 5}},
		{"replies to starts", peerFault{kind: peer.KindPlace, times: 5, after: true}},
		{"all replies to starts for a while", peerFault{kind: peer.KindPlace, times: 50, after: true}},
		{"run reports not sent", peerFault{kind: peer.KindTaskUpdates, times: 10}},
		{"replies to run reports", peerFault{kind: peer.KindTaskUpdates, times: 10, after: true}},
		{"inventories", peerFault{kind: peer.KindInventory, times: 10}},
		{"replies to stops", peerFault{kind: peer.KindStopTasks, times: 5, after: true}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				f := tt.f
				c.addFault(&f)
				job := batch(0, 20, 2*time.Second)
				_, err := a.submit(job)
				c.is.NoErr(err)
				a.await(job.ID, jobmsg.StateFinished, 2*time.Minute)
				c.assertNoViolations()
			})
		})
	}
}

// TestSubmitUnderStoreFaults checks the reply to a submitter, and that a job whose reply was
// "accepted" or "unknown" runs exactly once.
func TestSubmitUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults memstore.Faults
		code   result.Code // zero: accepted
		ran    result.Ran
		kept   bool // the job runs although the submitter got an error
	}{
		{"reply lost", memstore.Faults{LoseAnswers: 1}, 0, "", true},
		{"request lost", memstore.Faults{LoseRequests: 1}, 0, "", true},
		{"three replies lost", memstore.Faults{LoseAnswers: 3}, 0, "", true},
		{"slow", memstore.Faults{RequestDelayMS: 500, AnswerDelayMS: 500}, 0, "", true},
		{"down", memstore.Faults{Refuse: true}, result.JobNotRecorded, result.RanNo, false},
		{"all replies lost", memstore.Faults{LoseAnswers: memstore.EveryCall}, result.JobRecordUnknown, result.RanUnknown, true},
		{"silent", memstore.Faults{Hang: true}, result.JobRecordUnknown, result.RanUnknown, true},
		{"arrives after the caller gave up", memstore.Faults{RequestDelayMS: 9000}, result.JobRecordUnknown, result.RanUnknown, true},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				_, err := a.submit(batch(0, 1, time.Second)) // after this write the store's client has its marker
				c.is.NoErr(err)
				a.store.SetFaults(tt.faults)
				job := batch(0, 4, time.Second)
				_, err = a.submit(job)
				if tt.code == 0 {
					c.is.NoErr(err)
				} else {
					c.is.Equal(result.CodeOf(err), tt.code)
					c.is.Equal(result.From(err).Ran, tt.ran)
					c.is.True(result.From(err).RetryAfter > 0)
				}
				a.store.SetFaults(memstore.Faults{})
				time.Sleep(30 * time.Second)
				_, err = a.get(job.ID)
				c.is.Equal(err == nil, tt.kept)
				_, err = a.submit(job)
				c.is.NoErr(err) // retry with the same identifier
				a.await(job.ID, jobmsg.StateFinished, 30*time.Second)
				c.is.Equal(c.checker.Starts(), 5)
				c.assertNoViolations()
			})
		})
	}
}

// TestStoreOutage checks that accepted jobs continue during a long outage of the store.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 2)
		job := batch(0, 40, 10*time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		a.await(job.ID, jobmsg.StateFinished, 2*time.Minute)
		time.Sleep(10 * testLease)
		s, err := a.get(job.ID)
		c.is.NoErr(err)
		c.is.True(!s.Recorded)
		c.engine.SetFaults(memstore.Faults{})
		time.Sleep(15 * time.Second)
		s, err = a.get(job.ID)
		c.is.NoErr(err)
		c.is.True(s.Recorded)
		c.is.Equal(c.checker.Starts(), 40)
		c.assertNoViolations()
	})
}

// TestStaleListing checks that a failover does not use a list from the store that is older than its
// claim.
func TestStaleListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 2)
		b.store.SetFaults(memstore.Faults{StaleReads: true})
		job := batch(0, 4, time.Second)
		_, err := a.submit(job)
		c.is.NoErr(err)
		a.kill()
		b.acquire(0, 1)
		time.Sleep(20 * time.Second)
		_, err = b.get(job.ID)
		c.is.Equal(result.CodeOf(err), result.JobHomeRecovering)
		b.store.SetFaults(memstore.Faults{})
		b.await(job.ID, jobmsg.StateFinished, failoverTime+30*time.Second)
		c.assertNoViolations()
	})
}

// TestPreviousOwnerCannotRecord delays the first write of a job until another process has acquired
// the partition. The submitter must not get a success, and no job owner may run the job.
func TestPreviousOwnerCannotRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 2)
		a.store.SetFaults(memstore.Faults{RequestDelayMS: 1500})
		job := batch(0, 4, time.Second)
		done := make(chan error, 1)
		go func() {
			_, err := a.submit(job)
			done <- err
		}()
		time.Sleep(time.Second)
		b.acquire(0, 1)
		err := <-done
		c.is.True(err != nil)
		time.Sleep(failoverTime)
		_, err = b.get(job.ID)
		c.is.Equal(result.CodeOf(err), result.JobNotFound)
		c.is.Equal(c.checker.Starts(), 0)
	})
}

// TestCancelSurvivesFailover kills the job owner after a cancellation was recorded and before any
// stop was sent.
func TestCancelSurvivesFailover(t *testing.T) {
	for _, make := range []func(int, int, time.Duration) spec.Job{
		batch, func(home, tasks int, _ time.Duration) spec.Job { return service(home, tasks) },
	} {
		synctest.Test(t, func(t *testing.T) {
			c, a, b := twoPlacers(t, 2)
			job := make(0, 4, time.Hour)
			_, err := a.submit(job)
			c.is.NoErr(err)
			time.Sleep(3 * time.Second)
			c.addFault(&peerFault{kind: peer.KindStopTasks, times: -1})
			s, err := a.cancelJob(job.ID)
			c.is.NoErr(err)
			c.is.True(s.Recorded)
			a.kill()
			c.clearFaults()
			b.acquire(0, 1)
			b.await(job.ID, jobmsg.StateCancelled, failoverTime+10*time.Second)
			c.is.Equal(c.checker.Record(time.Now(), false).Running, 0)
		})
	}
}

// TestCancel cancels a job in each of its states.
func TestCancel(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		fault *peerFault
	}{
		{"before its tasks start", 0, &peerFault{kind: peer.KindPlace, times: -1}},
		{"while starts are unacknowledged", 500 * time.Millisecond, &peerFault{kind: peer.KindPlace, times: -1, after: true}},
		{"while it runs", 3 * time.Second, nil},
		{"while stops are lost", 3 * time.Second, &peerFault{kind: peer.KindStopTasks, times: 4}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 2)
				if tt.fault != nil {
					c.addFault(tt.fault)
				}
				job := batch(0, 20, time.Hour)
				_, err := a.submit(job)
				c.is.NoErr(err)
				time.Sleep(tt.after)
				s, err := a.cancelJob(job.ID)
				c.is.NoErr(err)
				c.is.True(s.Recorded)
				a.await(job.ID, jobmsg.StateCancelled, 30*time.Second)
				starts := c.checker.Starts()
				time.Sleep(30 * time.Second)
				c.is.Equal(c.checker.Starts(), starts)
				c.is.Equal(c.checker.Record(time.Now(), false).Running, 0)
				c.assertNoViolations()
			})
		})
	}
}
