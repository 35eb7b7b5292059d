package requesttest_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/entry"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/result"
)

// failure decodes a problem document.
func (r reply) failure() *result.Error { return problem.Read(r.status, []byte(r.body)) }

func TestAnswerIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		got := c.do(t.Context(), http.MethodGet, "/reviews?net=7%2F3", "")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "/reviews?net=7%2F3")
		got = c.do(t.Context(), http.MethodPost, "/tickets", "{}", entry.KeyHeader, newKey())
		is.Equal(got.status, http.StatusOK)
		is.Equal(len(c.executors.Runs()), 2)
	})
}

func TestRetriesJoinTheFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		key := newKey()
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				got := c.do(t.Context(), http.MethodPost, "/tickets", "{}", entry.KeyHeader, key)
				is.Equal(got.status, http.StatusOK)
			})
		}
		wg.Wait()
		got := c.do(t.Context(), http.MethodPost, "/tickets", "{}", entry.KeyHeader, key)
		is.Equal(got.body, "/tickets")
		is.Equal(len(c.executors.Runs()), 1)
		got = c.do(t.Context(), http.MethodPost, "/tickets", "other", entry.KeyHeader, key)
		is.Equal(got.failure().Code, result.KeyReused)
		is.Equal(got.failure().Ran, result.RanUnknown) // the key's first request did run
	})
}

func TestSlotsHoldAcrossHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		var wg sync.WaitGroup
		for range 300 {
			wg.Go(func() { c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, newKey()) })
		}
		wg.Wait()
		for _, h := range c.hostList() {
			is.Equal(c.executors.Peak(h.Addr), 8) // all slots used, and none by two requests at once
		}
		is.Equal(len(c.executors.Runs()), 300)
	})
}

func TestFailoverReportsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		key := keyIn(0)
		is.Equal(c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, key).status, http.StatusOK)
		time.Sleep(5 * time.Second)
		c.failOver(0, 1)
		got := c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, key).failure()
		is.Equal(got.Code, result.KeyOutcomeUnknown)
		is.Equal(got.Ran, result.RanUnknown)
		time.Sleep(5 * time.Second)
		is.Equal(c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, keyIn(0)).status, http.StatusOK)
		is.Equal(len(c.executors.Runs()), 2)
	})
}

func TestHandoverKeepsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		key := keyIn(0)
		is.Equal(c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, key).status, http.StatusOK)
		c.handover(0, 1)
		got := c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, key)
		is.Equal(got.body, "/tickets")
		is.Equal(len(c.executors.Runs()), 1)
		is.Equal(c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, keyIn(0)).status, http.StatusOK)
	})
}

func TestLostAnswerIsNeverRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 3, 6)
		defer c.stop()
		key := newKey()
		c.executors.FaultOf = faultOnce(requesttest.LoseAnswer)
		for range 3 {
			got := c.do(t.Context(), http.MethodPost, "/tickets", "", entry.KeyHeader, key).failure()
			is.Equal(got.Code, result.ExecutorLost)
			is.Equal(got.Ran, result.RanUnknown)
		}
		is.Equal(len(c.executors.Runs()), 1)
	})
}

func TestInputRefused(t *testing.T) {
	ahead := strings.Replace(newKey(), "0", "f", 1)
	cases := []struct {
		name, method, body string
		header             []string
		code               result.Code
		ran                result.Ran
	}{
		{"not a UUID", "POST", "", []string{entry.KeyHeader, "7"}, result.BadKey, result.RanNo},
		{"UUIDv4", "POST", "", []string{entry.KeyHeader, "123e4567-e89b-42d3-a456-426614174000"}, result.BadKey, result.RanNo},
		{"from the future", "POST", "", []string{entry.KeyHeader, ahead}, result.KeyFromFuture, result.RanNo},
		{"expired", "POST", "", []string{entry.KeyHeader, "00000000-0001-7000-8000-000000000001"}, result.KeyExpired, result.RanUnknown},
		{"body over limit", "POST", strings.Repeat("x", 1<<20+1), nil, result.TooLarge, result.RanNo},
		{"deadline no number", "GET", "", []string{entry.TimeoutHeader, "soon"}, result.BadDeadline, result.RanNo},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, 2, 2)
				defer c.stop()
				got := c.do(t.Context(), tc.method, "/tickets", tc.body, tc.header...).failure()
				is.Equal(got.Code, tc.code)
				is.Equal(got.Ran, tc.ran)
				is.Equal(len(c.executors.Runs()), 0)
			})
		})
	}
}
