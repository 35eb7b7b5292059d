package etcdhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/etcdhttp"
)

// service is a server that answers its n-th request, from 1 on, as told.
type service struct {
	*httptest.Server
	requests atomic.Int64
}

func serve(t *testing.T, answer func(n int64, w http.ResponseWriter, r *http.Request)) *service {
	s := &service{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answer(s.requests.Add(1), w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

// closedAddr is an address that refuses connections.
func closedAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	is.New(t).NoErr(l.Close())
	return l.Addr().String()
}

func newClient(t *testing.T, endpoints ...string) *etcdhttp.Client {
	c, err := etcdhttp.New(etcdhttp.Options{Endpoints: endpoints, Name: "a", Timeout: 5 * time.Second})
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

const applied = `{"header":{"revision":"7"},"succeeded":true}`

func ok(w http.ResponseWriter) { _, _ = io.WriteString(w, applied) }

// sever closes the connection without an answer.
func sever() { panic(http.ErrAbortHandler) }

// TestCommitIsNeverRepeated breaks the n-th call in every way after which a
// client might send again, on a fresh connection and on a reused one.
func TestCommitIsNeverRepeated(t *testing.T) {
	other := serve(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { ok(w) })
	breaks := map[string]func(w http.ResponseWriter){
		"no answer":       func(http.ResponseWriter) { sever() },
		"half a header":   func(w http.ResponseWriter) { raw(w, "HTTP/1.1 200 O") },
		"half a body":     func(w http.ResponseWriter) { raw(w, "HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{\"header\":{") },
		"no JSON":         func(w http.ResponseWriter) { _, _ = io.WriteString(w, "<html>") },
		"redirect":        func(w http.ResponseWriter) { w.Header().Set("Location", other.URL); w.WriteHeader(307) },
		"retry later":     func(w http.ResponseWriter) { w.Header().Set("Retry-After", "0"); w.WriteHeader(503) },
		"unavailable":     func(w http.ResponseWriter) { refusal(w, 503, `{"code":14,"message":"etcdserver: request timed out"}`) },
		"misdirected":     func(w http.ResponseWriter) { w.WriteHeader(421) },
		"request timeout": func(w http.ResponseWriter) { raw(w, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n") },
	}
	for name, breakIt := range breaks {
		for _, good := range []int64{0, 1, 3} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, func(n int64, w http.ResponseWriter, _ *http.Request) {
					if n > good {
						breakIt(w)
						return
					}
					ok(w)
				})
				before := other.requests.Load()
				c := newClient(t, s.URL, other.URL)
				for range good {
					_, err := c.Commit(t.Context(), platform.Txn{})
					is.NoErr(err)
				}
				_, err := c.Commit(t.Context(), platform.Txn{})
				is.True(errors.Is(err, platform.ErrUnknownOutcome))
				is.Equal(s.requests.Load(), good+1)     // sent once
				is.Equal(other.requests.Load(), before) // and nowhere else
			})
		}
	}
}

// raw writes bytes to the connection and closes it.
func raw(w http.ResponseWriter, bytes string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, bytes)
	_ = conn.Close()
}

func refusal(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func TestRefusalsThatNameTheirReason(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
	}{
		"lease gone":   {404, `{"code":5,"message":"etcdserver: requested lease not found"}`, platform.ErrLeaseGone},
		"not accepted": {400, `{"code":3,"message":"etcdserver: duplicate key given in txn request"}`, platform.ErrRefused},
		"not found":    {404, `{"code":5,"message":"other"}`, platform.ErrUnknownOutcome},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { refusal(w, test.status, test.body) })
			_, err := newClient(t, s.URL).Commit(t.Context(), platform.Txn{})
			is.New(t).True(errors.Is(err, test.want))
		})
	}
}

func TestUnreachedEndpointIsPassedOver(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { ok(w) })
	c := newClient(t, closedAddr(t), s.URL)
	for range 3 {
		reply, err := c.Commit(t.Context(), platform.Txn{})
		is.NoErr(err)
		is.Equal(reply, platform.TxnReply{Applied: true, Revision: 7})
	}
	_, err := newClient(t, closedAddr(t), closedAddr(t)).Commit(t.Context(), platform.Txn{})
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestTimeoutAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	s := serve(t, func(_ int64, _ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	_, err := newClient(t, s.URL).Commit(ctx, platform.Txn{})
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	is.True(errors.Is(err, context.Canceled))
}

func TestConnectionClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { ok(w) })
	c := newClient(t, s.URL)
	for n := range int64(20) {
		before := s.requests.Load()
		_, err := c.Commit(t.Context(), platform.Txn{})
		sent := s.requests.Load() - before
		switch {
		case err == nil:
			is.Equal(sent, int64(1))
		case errors.Is(err, platform.ErrUnavailable):
			is.Equal(sent, int64(0)) // the promise: nothing was sent
		default:
			is.True(errors.Is(err, platform.ErrUnknownOutcome))
			is.True(sent <= 1)
		}
		if n%2 == 0 {
			s.CloseClientConnections()
		}
	}
}

func TestNoEndpoints(t *testing.T) {
	_, err := etcdhttp.New(etcdhttp.Options{})
	is.New(t).True(err != nil)
}

func TestEndpointsThatAreNone(t *testing.T) {
	for _, endpoint := range []string{"", "host", "https://host:1", "http://host:1/path:2"} {
		_, err := etcdhttp.New(etcdhttp.Options{Endpoints: []string{endpoint}})
		is.New(t).True(err != nil)
	}
}

// TestDeadConnections has several connections die unnoticed, as when a host or
// a middlebox vanishes. One call may be lost to that, and no further one.
func TestDeadConnections(t *testing.T) {
	is := is.New(t)
	const conns = 8
	var open sync.WaitGroup
	open.Add(conns)
	var dead atomic.Bool
	var old sync.Map // addresses of the connections that die
	s := serve(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		if n <= conns {
			old.Store(r.RemoteAddr, true)
			open.Done()
			open.Wait() // all at once, each on a connection of its own
		}
		if _, isOld := old.Load(r.RemoteAddr); isOld && dead.Load() {
			<-r.Context().Done()
			return
		}
		ok(w)
	})
	c := newClient(t, s.URL)
	var calls sync.WaitGroup
	for range conns {
		calls.Go(func() { _, _ = c.Commit(t.Context(), platform.Txn{}) })
	}
	calls.Wait()
	dead.Store(true)
	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err := c.Commit(ctx, platform.Txn{})
		cancel()
		is.Equal(err == nil, i > 0)
	}
}
