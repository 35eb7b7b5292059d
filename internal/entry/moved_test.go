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
	"pulleyquay/internal/settings"
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

// TestNoSettingsSayNothingOfAKey: an entry without settings can not say
// that a key did not run; an earlier attempt may have come by another one.
func TestNoSettingsSayNothingOfAKey(t *testing.T) {
	for _, tc := range []struct {
		key string
		ran result.Ran
	}{{"", result.RanNo}, {uuid.Must(uuid.NewV7()).String(), result.RanUnknown}} {
		t.Run("key "+tc.key, func(t *testing.T) {
			is := is.New(t)
			h := newTestHandler(&fixed{}, 0)
			h.cfg.Settings = func(string) (settings.Values, bool) { return settings.Values{}, false }
			got := ask(h, "POST", KeyHeader, tc.key)
			failure := problem.Read(got.Code, got.Body.Bytes())
			is.Equal(failure.Code, result.NotReady) // not 404: the settings are missing, not the service
			is.Equal(failure.Ran, tc.ran)
		})
	}
}

// newHome is a home that has no settings at its first two answers.
type newHome struct {
	fixed
	answers int
}

// Call implements peer.Caller.
func (n *newHome) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	if n.answers++; n.answers <= 2 {
		return result.New(result.UnknownService, result.RanUnknown, "no settings yet")
	}
	return n.fixed.Call(ctx, addr, kind, req, resp)
}

func TestHomeWithoutSettingsIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		home := &newHome{}
		h := newTestHandler(&home.fixed, 0)
		h.cfg.Peers = home
		got := ask(h, "POST", KeyHeader, uuid.Must(uuid.NewV7()).String())
		is.Equal(got.Body.String(), "answer\n")
	})
}
