package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
)

// TestResubmitAfterFailover submits a job again after the job owner was lost between the first
// write and the reply. The next job owner has the record, but waited for the outcome of a first
// write that only the previous one makes, so each retry ran into the caller's deadline (8 s) for as
// long as the job was live.
func TestResubmitAfterFailover(t *testing.T) {
	for _, d := range []time.Duration{0, 200 * time.Millisecond, 30 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, b := twoPlacers(t, 4)
				j := batch(0, 2, 2*time.Second)
				_, err := a.submit(j)
				c.is.NoErr(err)
				a.kill()
				b.acquire(0, 1)
				time.Sleep(time.Second + d)
				start := time.Now()
				status, err := b.submit(j)
				c.is.NoErr(err)
				c.is.True(time.Since(start) < time.Second)
				c.is.Equal(status.Job.ID, j.ID)
				b.await(j.ID, jobmsg.StateFinished, time.Minute)
				start = time.Now()
				status, err = b.submit(j)
				c.is.NoErr(err)
				c.is.True(time.Since(start) < time.Second)
				c.is.Equal(status.State, jobmsg.StateFinished)
			})
		})
	}
}
