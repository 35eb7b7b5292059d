package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

// slowHandOver is a home that says for a while that it is moving.
type slowHandOver struct {
	fixed
	until time.Time
}

// Call implements peer.Caller.
func (s *slowHandOver) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	if time.Now().Before(s.until) {
		return result.New(result.HomeMoved, result.RanUnknown, "being handed over").Later(homeRetry)
	}
	return s.fixed.Call(ctx, addr, kind, req, resp)
}

// TestSlowHandOver: a planned hand-over of a second is waited for; one that
// does not end is given up with an answer before the deadline.
func TestSlowHandOver(t *testing.T) {
	for _, tc := range []struct {
		name  string
		takes time.Duration
		code  result.Code
	}{
		{"a second", time.Second, 0},
		{"without end", time.Hour, result.HomeMoved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				home := &slowHandOver{until: time.Now().Add(tc.takes)}
				h := newTestHandler(&home.fixed, 0)
				h.cfg.Peers = home
				start := time.Now()
				key := uuid.Must(uuid.NewV7()).String()
				got := ask(h, "POST", KeyHeader, key, TimeoutHeader, "10000")
				if tc.code == 0 {
					is.Equal(got.Body.String(), "answer\n")
					return
				}
				is.Equal(problem.Read(got.Code, got.Body.Bytes()).Code, tc.code)
				is.True(time.Since(start) < 5*time.Second)
			})
		})
	}
}
