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

// service is a server whose n-th response, from 1 on, is produced by a function.
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

// closedAddr returns an address that refuses connections.
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

// closeConnection closes the connection without a response.
func closeConnection() { panic(http.ErrAbortHandler) }

// TestCommitIsNeverRepeated fails a call in every way after which a client might send it again, on
// a new connection and on a reused one.
func TestCommitIsNeverRepeated(t *testing.T) {
	other := serve(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { ok(w) })
	failures := map[string]func(w http.ResponseWriter){
		"no response":      func(http.ResponseWriter) { closeConnection() },
		"truncated header": func(w http.ResponseWriter) { raw(w, "HTTP/1.1 200 O") },
		"truncated body":   func(w http.ResponseWriter) { raw(w, "HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n{\"header\":{") },
		"not JSON":         func(w http.ResponseWriter) { _, _ = io.WriteString(w, "<html>") },
		"redirect":         func(w http.ResponseWriter) { w.Header().Set("Location", other.URL); w.WriteHeader(307) },
		"retry later":      func(w http.ResponseWriter) { w.Header().Set("Retry-After", "0"); w.WriteHeader(503) },
		"unavailable":      func(w http.ResponseWriter) { refusal(w, 503, `{"code":14,"message":"etcdserver: request timed out"}`) },
		"misdirected":      func(w http.ResponseWriter) { w.WriteHeader(421) },
		"request timeout":  func(w http.ResponseWriter) { raw(w, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n") },
	}
	for name, fail := range failures {
		for _, successes := range []int64{0, 1, 3} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, func(n int64, w http.ResponseWriter, _ *http.Request) {
					if n > successes {
						fail(w)
						return
					}
					ok(w)
				})
				before := other.requests.Load()
				c := newClient(t, s.URL, other.URL)
				for range successes {
					_, err := c.Commit(t.Context(), platform.Txn{})
					is.NoErr(err)
				}
				_, err := c.Commit(t.Context(), platform.Txn{})
				is.True(errors.Is(err, platform.ErrUnknownOutcome))
				is.Equal(s.requests.Load(), successes+1) // sent once
				is.Equal(other.requests.Load(), before)  // and to no other endpoint
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

func TestUnreachableEndpointIsSkipped(t *testing.T) {
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
			is.Equal(sent, int64(0)) // ErrUnavailable: the call was not sent
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

func TestMalformedEndpoints(t *testing.T) {
	for _, endpoint := range []string{"", "host", "https://host:1", "http://host:1/path:2"} {
		_, err := etcdhttp.New(etcdhttp.Options{Endpoints: []string{endpoint}})
		is.New(t).True(err != nil)
	}
}

// TestDeadConnections: several connections die without being closed, as when a host or a middlebox
// fails. At most one call may be lost because of it.
func TestDeadConnections(t *testing.T) {
	is := is.New(t)
	const conns = 8
	var open sync.WaitGroup
	open.Add(conns)
	var dead atomic.Bool
	var old sync.Map // client addresses of the dead connections
	s := serve(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		if n <= conns {
			old.Store(r.RemoteAddr, true)
			open.Done()
			open.Wait() // concurrently, so that each call has its own connection
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

// TestForeignReplies checks that JSON which is not a reply of the service, or is that of another
// cluster, is not accepted as a reply to any call.
func TestForeignReplies(t *testing.T) {
	const lease = platform.LeaseID(5)
	replies := map[string]string{
		"empty object":     `{}`,
		"null":             `null`,
		"another lease":    `{"header":{"cluster_id":"1","revision":"9"},"result":{"header":{"cluster_id":"1","revision":"9"},"ID":"6","TTL":"9"}}`,
		"another cluster":  `{"header":{"cluster_id":"2","revision":"9"},"succeeded":true,"ID":"5","TTL":"9","result":{"header":{"cluster_id":"2","revision":"9"},"ID":"5"}}`,
		"cluster missing":  `{"header":{"revision":"9"},"succeeded":true,"ID":"5","TTL":"9","result":{"header":{"revision":"9"},"ID":"5"}}`,
		"revision missing": `{"header":{"cluster_id":"1"},"succeeded":true,"ID":"5","TTL":"9","result":{"header":{"cluster_id":"1"},"ID":"5"}}`,
	}
	calls := map[string]struct {
		make func(c *etcdhttp.Client) error
		want error
	}{
		"list":      {func(c *etcdhttp.Client) error { _, _, err := c.List(t.Context(), "k"); return err }, platform.ErrUnavailable},
		"commit":    {func(c *etcdhttp.Client) error { _, err := c.Commit(t.Context(), platform.Txn{}); return err }, platform.ErrUnknownOutcome},
		"grant":     {func(c *etcdhttp.Client) error { _, err := c.Grant(t.Context(), 9); return err }, platform.ErrUnknownOutcome},
		"keepalive": {func(c *etcdhttp.Client) error { return c.KeepAlive(t.Context(), lease) }, platform.ErrUnknownOutcome},
		"revoke":    {func(c *etcdhttp.Client) error { return c.Revoke(t.Context(), lease) }, platform.ErrUnknownOutcome},
		"watch": {func(c *etcdhttp.Client) error {
			return c.Watch(t.Context(), "k", 1, func(platform.Batch) { t.Error("delivered") })
		}, platform.ErrUnavailable},
	}
	for name, reply := range replies {
		for kind, call := range calls {
			if name == "another lease" && kind != "keepalive" {
				continue // a valid reply to the other calls
			}
			t.Run(name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, func(n int64, w http.ResponseWriter, _ *http.Request) {
					if n == 1 {
						_, _ = io.WriteString(w, `{"header":{"cluster_id":"1","revision":"7"}}`)
						return
					}
					_, _ = io.WriteString(w, reply)
				})
				c := newClient(t, s.URL)
				_, _, err := c.List(t.Context(), "k")
				is.NoErr(err)
				is.True(errors.Is(call.make(c), call.want))
			})
		}
	}
}

// TestForeignEvents sends events that a watch after revision 5 must not deliver.
func TestForeignEvents(t *testing.T) {
	valid := `{"kv":{"key":"aw==","mod_revision":"6"}}`
	for name, events := range map[string]string{
		"before the start": `{"kv":{"key":"aw==","mod_revision":"5"}}`,
		"without revision": `{"kv":{"key":"aw=="}}`,
		"without key":      `{"kv":{"mod_revision":"6"}}`,
		"out of order":     `{"kv":{"key":"aw==","mod_revision":"7"}},` + valid,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ int64, w http.ResponseWriter, _ *http.Request) {
				for _, e := range []string{valid, events} {
					_, _ = io.WriteString(w, `{"result":{"header":{"cluster_id":"1","revision":"9"},"events":[`+e+`]}}`)
				}
			})
			var got []platform.Batch
			err := newClient(t, s.URL).Watch(t.Context(), "k", 5, func(b platform.Batch) { got = append(got, b) })
			is.True(errors.Is(err, platform.ErrUnavailable))
			is.Equal(len(got), 1) // the valid one
			is.Equal(got[0].Revision, platform.Revision(6))
		})
	}
}
