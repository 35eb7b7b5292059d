package front

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

// lateWrite is how late the store carries out a request that got no answer.
const lateWrite = 5800 * time.Millisecond

// TestCancelledJobIsNotStoredLater guards against a job that runs although its cancellation was acknowledged: its
// caller did not learn whether the store had taken the job, cancelled it, and was told that there is no such job.
// The write, which was still under way, then stored the job.
func TestCancelledJobIsNotStoredLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimCell(t, 3, 4, io.Discard, false)
		defer c.close()
		time.Sleep(5 * time.Second)
		const id, unknown = "00000000000000aa", "00000000000000bb"
		m := c.running("m1")
		m.client.SetFaults(memstore.Faults{RequestDelayMS: lateWrite.Milliseconds()})
		for _, other := range []string{"m0", "m2"} {
			c.net.setCut(other, true) // so that no other member stores the job
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		err := m.Submit(ctx, Caller{}, queue, id, graph)
		cancel()
		is.Equal(result.From(err).Ran, result.RanUnknown)
		m.client.SetFaults(memstore.Faults{})
		for _, other := range []string{"m0", "m2"} {
			c.net.setCut(other, false)
		}
		other := c.running("m0")
		is.Equal(result.CodeOf(cancelUntilAnswered(t, other, id)), result.JobUnknown)
		is.Equal(result.CodeOf(cancelUntilAnswered(t, other, unknown)), result.JobUnknown)
		time.Sleep(2 * lateWrite)
		is.True(!c.fleet.Checker().Started(id))
		is.Equal(len(c.fleet.Checker().Violations()), 0)
		for _, name := range []string{"m0", "m1", "m2"} {
			for _, job := range []string{id, unknown} {
				_, err := c.running(name).State(t.Context(), Caller{}, queue, job)
				is.Equal(result.CodeOf(err), result.JobUnknown)
			}
		}
		is.Equal(result.CodeOf(cancelUntilAnswered(t, m, id)), result.JobUnknown) // as before
		is.NoErr(m.Submit(t.Context(), Caller{}, queue, id, graph))               // a late copy: it remains cancelled
		time.Sleep(5 * time.Second)
		is.True(!c.fleet.Checker().Started(id))
	})
}

// cancelUntilAnswered cancels a job until it is known whether the cancellation is stored.
func cancelUntilAnswered(t *testing.T, m *simMember, id string) error {
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		err := m.Cancel(ctx, Caller{}, queue, id)
		cancel()
		if err == nil || result.CodeOf(err) == result.JobUnknown {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatal("the cancellation is not answered")
	return nil
}

// TestWithdrawnRecordsAreDeleted guards against records of cancelled jobs that were never stored and that nothing
// deletes.
func TestWithdrawnRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimCell(t, 3, 4, io.Discard, false)
		defer c.close()
		time.Sleep(5 * time.Second)
		const id = "00000000000000cc"
		is.Equal(result.CodeOf(cancelUntilAnswered(t, c.running("m1"), id)), result.JobUnknown)
		stored := func() bool {
			_, ok, err := c.store.Client("judge").Get(t.Context(), record.JobKey(0, id))
			is.NoErr(err)
			return ok
		}
		is.True(stored())
		time.Sleep(2 * simEndedJobTTL)
		const other = "00000000000000ff" // records are deleted with the next write of the holder
		is.NoErr(c.running("m1").Submit(t.Context(), Caller{}, queue, other, graph))
		is.NoErr(cancelUntilAnswered(t, c.running("m1"), other))
		is.True(!stored())
	})
}

// TestWithdrawnJobOfAnotherAccount: an account that cancels an id does not take another account's job, and a job that
// is submitted under an id that another account has cancelled is refused, as it would never run.
func TestWithdrawnJobOfAnotherAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		const id, running = "00000000000000dd", "00000000000000ee"
		account := func(name string) Caller {
			return Caller{Account: &catalog.Account{Name: name, Quota: fairshare.Unlimited}}
		}
		a, b := account("a"), account("b")
		is.NoErr(f.Submit(t.Context(), a, queue, running, graph))
		is.Equal(result.CodeOf(f.Cancel(t.Context(), b, queue, running)), result.JobUnknown)
		_, err := f.State(t.Context(), a, queue, running)
		is.NoErr(err)
		is.Equal(result.CodeOf(f.Cancel(t.Context(), b, queue, id)), result.JobUnknown)
		is.Equal(result.CodeOf(f.Submit(t.Context(), a, queue, id, graph)), result.JobNameTaken)
		is.NoErr(f.Submit(t.Context(), b, queue, id, graph))
		_, err = f.State(t.Context(), b, queue, id)
		is.Equal(result.CodeOf(err), result.JobUnknown)
	})
}
