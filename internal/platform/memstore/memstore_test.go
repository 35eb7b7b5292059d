package memstore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/platformtest"
)

func TestContract(t *testing.T) {
	platformtest.TestStore(t, func(t *testing.T) platformtest.StoreCase {
		e := memstore.New()
		t.Cleanup(e.Close)
		return platformtest.StoreCase{Store: e.Client("a"), Compact: e.Compact}
	})
}

// TestRenewalsUnderFaults renews a lease of 60 s after 40 s and checks after 70 s whether the renewal
// took effect.
func TestRenewalsUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults memstore.Faults
		want   error
		took   bool
	}{
		"healthy":                  {memstore.Faults{}, nil, true},
		"refused":                  {memstore.Faults{Refuse: true}, platform.ErrUnavailable, false},
		"hanging":                  {memstore.Faults{Hang: true}, platform.ErrUnknownOutcome, false},
		"request late":             {memstore.Faults{RequestDelayMS: 5000}, platform.ErrUnknownOutcome, true},
		"too late":                 {memstore.Faults{RequestDelayMS: 25000}, platform.ErrUnknownOutcome, false},
		"reply late":               {memstore.Faults{AnswerDelayMS: 5000}, platform.ErrUnknownOutcome, true},
		"request lost":             {memstore.Faults{LoseRequests: 1}, platform.ErrUnknownOutcome, false},
		"reply lost":               {memstore.Faults{LoseAnswers: 1}, platform.ErrUnknownOutcome, true},
		"slow, within the timeout": {memstore.Faults{RequestDelayMS: 500, AnswerDelayMS: 499}, nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := memstore.New()
				defer e.Close()
				id, err := e.Client("a").Grant(t.Context(), 60)
				is.NoErr(err)
				time.Sleep(40 * time.Second)
				e.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				is.True(errors.Is(e.Client("a").KeepAlive(ctx, id), test.want))
				time.Sleep(29 * time.Second)
				is.Equal(e.Dump().Leases == 1, test.took)
			})
		})
	}
}

// TestCountedFaults consumes counts of one client and of all clients.
func TestCountedFaults(t *testing.T) {
	is := is.New(t)
	e := memstore.New()
	e.SetFaults(memstore.Faults{LoseAnswers: 1})
	e.Client("a").SetFaults(memstore.Faults{LoseAnswers: 1})
	var failed []int
	for i := range 4 {
		if _, err := e.Client("a").Commit(t.Context(), platform.Txn{}); err != nil {
			failed = append(failed, i)
		}
	}
	is.Equal(failed, []int{0, 1})
	is.Equal(e.Faults(), memstore.Faults{})
}

func TestPollerContract(t *testing.T) {
	platformtest.TestPoller(t, func(*testing.T) platformtest.PollerCase {
		e := memstore.New()
		t.Cleanup(e.Close)
		return platformtest.PollerCase{Store: e.Client("a"), Compact: e.Compact}
	})
}
