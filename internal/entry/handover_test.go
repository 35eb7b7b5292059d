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

// slowHandover is a home that is being handed over until a given time.
type slowHandover struct {
	fakeCell
	until time.Time
}

// Call implements peer.Caller.
func (s *slowHandover) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	if time.Now().Before(s.until) {
		return result.New(result.HomeMoved, result.RanUnknown, "being handed over").WithRetryAfter(homeRetryDelay)
	}
	return s.fakeCell.Call(ctx, addr, kind, req, resp)
}

// TestSlowHandover: the entry retries during a planned handover of one second. If the handover
// does not end, the caller gets an error before the deadline.
func TestSlowHandover(t *testing.T) {
	for _, tc := range []struct {
		name     string
		duration time.Duration
		code     result.Code
	}{
		{"one second", time.Second, 0},
		{"never ends", time.Hour, result.HomeMoved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				home := &slowHandover{until: time.Now().Add(tc.duration)}
				h := newTestHandler(&home.fakeCell, 0)
				h.cfg.Peers = home
				start := time.Now()
				key := uuid.Must(uuid.NewV7()).String()
				got := send(h, "POST", KeyHeader, key, TimeoutHeader, "10000")
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

// TestMissingSettingsReportKeysAsUnknown: an entry without settings cannot state that a key did
// not run; an earlier attempt may have come through another entry.
func TestMissingSettingsReportKeysAsUnknown(t *testing.T) {
	for _, tc := range []struct {
		key string
		ran result.Ran
	}{{"", result.RanNo}, {uuid.Must(uuid.NewV7()).String(), result.RanUnknown}} {
		t.Run("key "+tc.key, func(t *testing.T) {
			is := is.New(t)
			h := newTestHandler(&fakeCell{}, 0)
			h.cfg.Settings = func(string) (settings.Values, bool) { return settings.Values{}, false }
			got := send(h, "POST", KeyHeader, tc.key)
			failure := problem.Read(got.Code, got.Body.Bytes())
			is.Equal(failure.Code, result.NotReady) // not 404: the settings are missing, not the service
			is.Equal(failure.Ran, tc.ran)
		})
	}
}

// homeWithoutSettings is a home that has no settings for its first two replies.
type homeWithoutSettings struct {
	fakeCell
	answers int
}

// Call implements peer.Caller.
func (n *homeWithoutSettings) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	if n.answers++; n.answers <= 2 {
		return result.New(result.UnknownService, result.RanUnknown, "no settings yet")
	}
	return n.fakeCell.Call(ctx, addr, kind, req, resp)
}

func TestHomeWithoutSettingsIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		home := &homeWithoutSettings{}
		h := newTestHandler(&home.fakeCell, 0)
		h.cfg.Peers = home
		got := send(h, "POST", KeyHeader, uuid.Must(uuid.NewV7()).String())
		is.Equal(got.Body.String(), "answer\n")
	})
}
