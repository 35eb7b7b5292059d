package daemon

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"context"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
)

func newDaemon(t *testing.T) *Daemon {
	t.Helper()
	d, err := New("test", "panic")
	is.New(t).NoErr(err)
	return d
}

func get(d *Daemon, path string) (int, map[string]any) {
	w := httptest.NewRecorder()
	d.Admin().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	var body map[string]any
	_ = json.Unmarshal(w.Body.Bytes(), &body) // /healthz and /metrics do not return objects
	return w.Code, body
}

func TestUnknownLogLevelIsRefused(t *testing.T) {
	_, err := New("test", "loud")
	e := result.From(err)
	is := is.New(t)
	is.Equal(e.Code, result.ConfigValue)
	is.Equal(e.Field, "log_level")
}

func TestTakenPortNamesTheField(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0", "listen.peer")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	_, err = Listen(l.Addr().String(), "listen.admin")
	e := result.From(err)
	is.Equal(e.Code, result.ConfigPortInUse)
	is.Equal(e.Field, "listen.admin")
}

func TestReadiness(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t)
	lacks := []string{"members"}
	d.AddReadinessCheck(func() []string { return lacks })

	code, body := get(d, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(body["lacks"], []any{"members"})

	lacks = nil
	code, _ = get(d, "/readyz")
	is.Equal(code, http.StatusOK)

	d.stopping.Store(true)
	code, body = get(d, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable) // from the start of a planned stop
	is.Equal(body["lacks"], []any{"planned stop"})
	code, _ = get(d, "/healthz")
	is.Equal(code, http.StatusOK)
}

func TestDumpHasEverySection(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t)
	d.AddDump("one", func() any { return 1 })
	d.AddDump("two", func() any { return []int{2} })
	code, body := get(d, "/debug/state")
	is.Equal(code, http.StatusOK)
	is.Equal(body["one"], float64(1))
	is.Equal(body["two"], []any{float64(2)})
	is.Equal(body["pid"], float64(os.Getpid()))
}

func TestDrain(t *testing.T) {
	left := errors.New("one request left")
	tests := map[string]struct {
		drain func(ctx context.Context) error
		took  time.Duration
		fails bool
	}{
		"nothing to drain":     {nil, time.Second, false},
		"finishes in time":     {func(context.Context) error { time.Sleep(time.Second); return nil }, 2 * time.Second, false},
		"reports what is left": {func(context.Context) error { return left }, time.Second, true},
		"times out":            {func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, 6 * time.Second, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				err := newDaemon(t).drain(context.Background(), StopPhases{Announce: time.Second, Limit: 5 * time.Second, Drain: tc.drain})
				is.Equal(time.Since(start), tc.took)
				is.Equal(err != nil, tc.fails)
				if tc.fails {
					is.Equal(result.CodeOf(err), result.StopTimeout)
				}
			})
		})
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t)
	draining := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- d.Wait(StopPhases{Limit: time.Hour, Drain: func(ctx context.Context) error {
			close(draining)
			<-ctx.Done()
			return ctx.Err()
		}})
	}()
	// A signal before Wait has called signal.Notify would end the test binary.
	for !d.catchesSignals.Load() {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-draining
	is.True(d.Stopping())
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(result.CodeOf(<-done), result.StopTimeout)
}

// TestProfilesAreServedOnlyIfEnabled: profiles tell what a process works on, and take its time.
func TestProfilesAreServedOnlyIfEnabled(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t)
	code, _ := get(d, "/debug/pprof/goroutine")
	is.Equal(code, http.StatusNotFound)
	d.EnableProfiles()
	code, _ = get(d, "/debug/pprof/goroutine")
	is.Equal(code, http.StatusOK)
}
