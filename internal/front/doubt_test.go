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

// A job that was told to be in doubt ("the store may have taken the job") was told not to be
// accepted when its caller handed it in again during the same outage: "the store has not
// answered for 1s; it was not accepted and never runs". The first call had stored it, and
// it ran.

// TestARetryOfAJobInDoubtStaysInDoubt: what one call left open no later one closes but an
// answer of the store.
func TestARetryOfAJobInDoubtStaysInDoubt(t *testing.T) {
	const id, other = "00000000000000aa", "00000000000000bb"
	submit := func(t *testing.T, b *bench, id string) *result.Error {
		ctx, cancel := context.WithTimeout(t.Context(), 2940*time.Millisecond)
		defer cancel()
		if err := b.Submit(ctx, Caller{}, queue, id, graph); err != nil {
			return result.From(err)
		}
		return nil
	}
	cases := map[string]struct {
		faults memstore.Faults // while the first call lasts
		stored bool            // in the end
	}{
		"it is stored, the answer comes too late": {memstore.Faults{AnswerDelayMS: 9000}, true},
		"it is not stored":                        {memstore.Faults{Hang: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
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
				b.Health.Note(true, time.Now()) // as the process's watches do
				is.Equal(submit(t, b, id), nil)
				synctest.Wait()
				is.True(b.holder.told[id] > 0) // nobody else has told its holder
			})
		})
	}
}

// TestDoubtsAreForgotten: they take memory for as long as a late copy may arrive, and no
// more of it than set.
func TestDoubtsAreForgotten(t *testing.T) {
	is := is.New(t)
	var d doubts
	now := time.Now()
	is.True(!d.has("a", now))
	d.note("a", now)
	d.note("b", now)
	is.True(d.has("a", now.Add(doubtFor)))
	is.True(!d.has("a", now.Add(doubtFor+time.Second)))
	d.settle("b")
	is.True(!d.has("b", now))
	for i := range 2 * mostDoubts {
		d.note(fmt.Sprint(i), now.Add(2*doubtFor))
	}
	is.True(len(d.since) <= mostDoubts)
	is.True(!d.has("a", now))
}
