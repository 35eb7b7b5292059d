package front

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

// The caller of a job whose outcome was unknown ("the store may have taken the job") submitted it
// again during the same outage and was refused with "the store has not answered for 1s; it was
// not accepted and never runs". The first call had stored the job, and it ran.

// TestRetryKeepsOutcomeUnknown: after a call with unknown outcome only an answer of the store
// makes the outcome of a later call certain.
func TestRetryKeepsOutcomeUnknown(t *testing.T) {
	const id, other = "00000000000000aa", "00000000000000bb"
	submit := func(t *testing.T, b *fixture, id string) *result.Error {
		ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
		defer cancel()
		if err := b.Submit(ctx, Caller{}, queue, id, graph); err != nil {
			return result.From(err)
		}
		return nil
	}
	cases := map[string]struct {
		faults memstore.Faults // during the first call
		stored bool            // at the end
	}{
		"stored, answer too late": {memstore.Faults{AnswerDelayMS: 9000}, true},
		"not stored":              {memstore.Faults{Hang: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				b.store.Client("a").SetFaults(tc.faults)
				is.Equal(submit(t, b, id).Ran, result.RanUnknown)
				b.store.Client("a").SetFaults(memstore.Faults{Hang: true})
				for range 3 {
					time.Sleep(time.Second)
					e := submit(t, b, id)
					is.Equal(e.Code, result.JobStoreUnknown)
					is.Equal(e.Ran, result.RanUnknown)
					is.Equal(submit(t, b, other).Ran, result.RanNo) // never sent
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				is.Equal(b.stored(t, id), tc.stored)
				is.True(!b.stored(t, other))
				b.store.Client("a").SetFaults(memstore.Faults{})
				b.Health.RecordCall(true, time.Now()) // as the process's watches do
				is.Equal(submit(t, b, id), nil)
				synctest.Wait()
				is.True(b.holder.notified[id] > 0) // no other process has notified its holder
			})
		})
	}
}

// TestUnresolvedJobsExpire: an entry is kept only as long as a delayed copy of a call may arrive,
// and the number of entries is bounded.
func TestUnresolvedJobsExpire(t *testing.T) {
	is := is.New(t)
	var d unresolvedJobs
	now := time.Now()
	is.True(!d.contains("a", now))
	d.add("a", now)
	d.add("b", now)
	is.True(d.contains("a", now.Add(unresolvedRetention)))
	is.True(!d.contains("a", now.Add(unresolvedRetention+time.Second)))
	d.remove("b")
	is.True(!d.contains("b", now))
	for i := range 2 * maxUnresolvedJobs {
		d.add(fmt.Sprint(i), now.Add(2*unresolvedRetention))
	}
	is.True(len(d.addedAt) <= maxUnresolvedJobs)
	is.True(!d.contains("a", now))
}
