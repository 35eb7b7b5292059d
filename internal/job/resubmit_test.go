package job

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
)

// TestResubmitAfterFailover: a job was handed in while its home was lost; the store had
// its record, and the answer said that this was not known. The caller sent it again, as told,
// to the next home, which had read the record and waited for the outcome of a first write
// that only the former home makes: each try ran into the caller's deadline, for as long as
// the job lived:
//
//	after 0s, in 81ms: 503 job-record-unknown
//	after 164ms, in 8.001s: 502 peer-lost "gave up waiting for the peer: context deadline exceeded"
//	after 8.185s, in 8.003s: 502 peer-lost
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
				begun := time.Now()
				status, err := b.submit(j)
				c.is.NoErr(err)
				c.is.True(time.Since(begun) < time.Second)
				c.is.Equal(status.Job.ID, j.ID)
				b.await(j.ID, jobmsg.StateFinished, time.Minute)
				begun = time.Now()
				status, err = b.submit(j)
				c.is.NoErr(err)
				c.is.True(time.Since(begun) < time.Second)
				c.is.Equal(status.State, jobmsg.StateFinished)
			})
		})
	}
}
