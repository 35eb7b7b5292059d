package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
)

func TestBatchRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		a, b := c.start("a"), c.start("b")
		a.acquire(0, 1)
		b.acquire(2, 3)
		time.Sleep(time.Second)
		job := batch(0, 20, 3*time.Second)
		s, err := a.submit(job)
		c.is.NoErr(err)
		c.is.True(s.Recorded)
		again, err := a.submit(job)
		c.is.NoErr(err)
		c.is.Equal(again.Job, s.Job)
		s = a.await(job.ID, jobmsg.StateFinished, 30*time.Second)
		c.is.Equal(s.TaskCounts.Finished, 20)
		c.assertNoViolations()
		c.is.Equal(c.checker.Starts(), 20)
	})
}
