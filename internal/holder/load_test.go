package holder

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
	"pulleyquay/internal/wait"
)

// slowPages is a store that takes latency for each page of a list, with recordsPerPage records.
type slowPages struct {
	platform.Poller
	latency        time.Duration
	recordsPerPage int
}

func (s slowPages) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	records, revision, err := s.Poller.List(ctx, prefix)
	for range 1 + len(records)/s.recordsPerPage {
		if !wait.For(ctx, s.latency) {
			return nil, 0, platform.ErrUnavailable
		}
	}
	return records, revision, err
}

// TestTakeOverReadsManyRecordsFromASlowStore guards against a holder that never knows the accepted jobs
// while the store is slow. Each page of a list arrived in time, but the time limit was one for all pages:
// it passed before the last page, and the list began anew, again and again, until the store was fast.
func TestTakeOverReadsManyRecordsFromASlowStore(t *testing.T) {
	// A cell that ends 58 jobs a second and keeps their results for 150 s has 8,700 records.
	const pages, recordsPerPage, latency = 18, 10, 240 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		for i := range pages * recordsPerPage {
			storeJob(t, store, record.Job{ID: fmt.Sprintf("%04d", i), Ended: record.StateCompleted, EndedUnixMilli: time.Now().UnixMilli()})
		}
		h, _ := newHolderWithTTL(t, store, idleHosts{}, time.Hour)
		h.cfg.Store = slowPages{h.cfg.Store, latency, recordsPerPage}
		ctx, cancel := context.WithCancel(t.Context())
		acquired, ended := make(chan struct{}), make(chan struct{})
		go func() {
			_ = h.Run(ctx, ledger.Predecessor{}, func() { close(acquired) }, func() {}) // returns the error of the cancelled ctx
			close(ended)
		}()
		defer func() {
			cancel()
			<-ended
		}()
		select {
		case <-acquired:
		case <-time.After((pages + 2) * latency):
			is.Fail() // the records are not read yet
		}
	})
}
