package holder

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// storeJob writes the record of a job to the store.
func storeJob(t *testing.T, store *memstore.Engine, j record.Job) {
	t.Helper()
	value, err := record.Encode(j)
	is.New(t).NoErr(err)
	store.Put(platform.Write{Key: record.JobKey(0, j.ID), Value: value})
}

// accept stores a job and notifies the holder of it.
func accept(t *testing.T, store *memstore.Engine, h *Holder, id string) {
	t.Helper()
	j := record.Job{ID: id, Queue: "q", Service: "s", Graph: spec.Graph{Steps: []spec.Step{{Count: 1, LongRunning: true}}}}
	storeJob(t, store, j)
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.Accept(&j, true, now, now) })
}

// TestForgottenJobIsNotTakenForANewOne guards against losing a job that is accepted under the name of one
// whose result was kept long enough and whose record was deleted. After its history was compacted the
// store was listed again. The record of the earlier job, which waited to be deleted together with others,
// was taken for one that the holder had not seen. When the name was used again after the deletion, the
// holder took the new job for the ended one: it was stored and never started, and a while later its
// record was deleted as well.
func TestForgottenJobIsNotTakenForANewOne(t *testing.T) {
	const ttl, others, id = 2 * time.Second, 15, "again"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		storeJob(t, store, record.Job{ID: id, Ended: record.StateCompleted, EndedUnixMilli: time.Now().UnixMilli()})
		h, _ := newHolderWithTTL(t, store, idleHosts{}, ttl)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			_ = h.Run(ctx, ledger.Predecessor{}, func() {}, func() {}) // returns the error of the cancelled ctx
			close(ended)
		}()
		defer func() {
			cancel()
			<-ended
			store.Close()
		}()
		time.Sleep(500 * time.Millisecond)
		for i := range others {
			other := fmt.Sprint("other-", i)
			accept(t, store, h, other)
			_, err := h.cancelJob(ctx, JobRequest{Job: other})
			is.NoErr(err)
		}
		time.Sleep(time.Second) // the first job is forgotten, and its record waits to be deleted
		is.True(store.Get(record.JobKey(0, id)) != nil)
		store.Put(platform.Write{Key: "other", Value: []byte("x")})
		store.Compact()
		time.Sleep(1600 * time.Millisecond) // the store is listed again, and the other jobs are forgotten
		is.True(store.Get(record.JobKey(0, id)) == nil)
		accept(t, store, h, id)
		reply := h.state(JobRequest{Job: id})
		is.Equal(reply.State, record.StateQueued)
		time.Sleep(2 * ttl)
		is.True(store.Get(record.JobKey(0, id)) != nil)
	})
}
