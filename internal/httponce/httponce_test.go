package httponce_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/httponce"
	"pulleyquay/internal/proxytest"
)

const limit = 1 << 10

// server is a raw TCP server that reads requests and passes each to a script.
type server struct {
	addr  string
	seen  atomic.Int64 // requests whose first line arrived
	conns atomic.Int64
}

// serve runs script for the n-th request (from 1) over all connections, after the whole request was
// read; script returns false to close the connection.
func serve(t *testing.T, script func(n int64, c net.Conn, r *http.Request) bool) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: ln.Addr().String()}
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			t.Cleanup(func() { c.Close() })
			go s.drive(c, script)
		}
	})
	return s
}

func (s *server) drive(c net.Conn, script func(int64, net.Conn, *http.Request) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		n := s.seen.Add(1)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !script(n, c, r) {
			return
		}
	}
}

func ok(c net.Conn, extra string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", extra)
}

func request(method string) *http.Request {
	return &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: "executor", Path: "/"},
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

func do(c *httponce.Client, addr, method, body string) (httponce.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Do(ctx, addr, request(method), []byte(body), limit)
}

// TestNeverReplays closes a reused connection at each stage of an exchange. Every method and body
// here is one that net/http's Transport would replay.
func TestNeverReplays(t *testing.T) {
	moments := []struct {
		name string
		end  func(c net.Conn)
	}{
		{"after reading", func(net.Conn) {}},
		{"with a reset", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }},
		{"in the status line", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 20") }},
		{"in the header", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Le") }},
		{"before the body", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n") }},
		{"in the body", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no") }},
		{"in a chunk", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab") }},
		{"before the last chunk", func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
		}},
	}
	for _, m := range moments {
		for _, call := range []struct{ method, body string }{{"GET", ""}, {"POST", ""}, {"POST", "ticket"}, {"DELETE", ""}} {
			t.Run(m.name+"/"+call.method+call.body, func(t *testing.T) {
				is := is.New(t)
				s := serve(t, func(n int64, c net.Conn, _ *http.Request) bool {
					if n == 2 {
						m.end(c)
						return false
					}
					ok(c, "")
					return true
				})
				c := httponce.New(httponce.Options{})
				defer c.Close()
				_, err := do(c, s.addr, call.method, call.body)
				is.NoErr(err)
				_, err = do(c, s.addr, call.method, call.body)
				var f *httponce.Failure
				is.True(errors.As(err, &f))
				is.True(f.Sent)
				is.Equal(s.conns.Load(), int64(1)) // no second connection, so no replay
				is.Equal(s.seen.Load(), int64(2))
				_, err = do(c, s.addr, call.method, call.body)
				is.NoErr(err) // the next request gets a connection of its own
			})
		}
	}
}

func TestIdleConnectionClosedByServer(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 1)
	s := serve(t, func(n int64, c net.Conn, _ *http.Request) bool {
		ok(c, "")
		if n == 1 {
			c.Close()
			closed <- struct{}{}
			return false
		}
		return true
	})
	c := httponce.New(httponce.Options{})
	defer c.Close()
	_, err := do(c, s.addr, "POST", "a")
	is.NoErr(err)
	<-closed
	_, err = do(c, s.addr, "POST", "b")
	var f *httponce.Failure
	if errors.As(err, &f) {
		is.True(f.Sent) // written before the close was detected: unknown, not replayed
		is.Equal(s.seen.Load(), int64(1))
		return
	}
	is.NoErr(err)
	is.Equal(s.seen.Load(), int64(2))
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name, method, raw string
		want              error
		body              string
	}{
		{"by length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil, "ok"},
		{"in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, "ok"},
		{"after early hints", "GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil, "ok"},
		{"of a HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", nil, ""},
		{"without content", "POST", "HTTP/1.1 204 No Content\r\n\r\n", nil, ""},
		{"ended by the connection", "GET", "HTTP/1.1 200 OK\r\n\r\nok", httponce.ErrNoLength, ""},
		{"declared too large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1025\r\n\r\n", httponce.ErrTooLarge, ""},
		{"too large in chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n" +
			strings.Repeat("x", limit+1) + "\r\n0\r\n\r\n", httponce.ErrTooLarge, ""},
		{"just not too large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", limit), nil, strings.Repeat("x", limit)},
		{"closed by the server", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", nil, "ok"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				fmt.Fprint(c, k.raw)
				return !strings.Contains(k.raw, "Connection: close")
			})
			c := httponce.New(httponce.Options{})
			defer c.Close()
			for range 2 { // the second time on the connection of the first
				a, err := do(c, s.addr, k.method, "")
				is.True(errors.Is(err, k.want))
				is.Equal(string(a.Body), k.body)
			}
			is.Equal(s.seen.Load(), int64(2))
		})
	}
}

func TestNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	is := is.New(t)
	c := httponce.New(httponce.Options{})
	_, err = do(c, addr, "POST", "x")
	var f *httponce.Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent) // nothing listens
}

func TestConnectionCap(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		<-release
		ok(c, "")
		return true
	})
	c := httponce.New(httponce.Options{MaxConns: 2})
	defer c.Close()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _ = do(c, s.addr, "GET", "") })
	}
	for s.seen.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, s.addr, request("GET"), nil, limit)
	var f *httponce.Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent) // it timed out waiting for a connection
	close(release)
	wg.Wait()
	is.Equal(s.conns.Load(), int64(2))
}

func TestGivenUpWhileWaitingForTheAnswer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int64, _ net.Conn, r *http.Request) bool { return true })
	c := httponce.New(httponce.Options{})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, s.addr, request("POST"), []byte("x"), limit)
	var f *httponce.Failure
	is.True(errors.As(err, &f))
	is.True(f.Sent)
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// TestReconnectLeavesSilentConnections: open connections may become silent without a reset while
// new ones work. Without Reconnect, each idle one costs a call.
func TestReconnectLeavesSilentConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int64, c net.Conn, _ *http.Request) bool { ok(c, ""); return true })
	proxy := proxytest.New(t, "", s.addr)
	c := httponce.New(httponce.Options{})
	var calls sync.WaitGroup
	for range 4 { // four connections that are idle afterwards
		calls.Go(func() {
			if _, err := do(c, proxy.Addr, http.MethodGet, ""); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	proxy.Blackhole()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, proxy.Addr, request(http.MethodGet), nil, limit)
	is.True(errors.Is(err, context.DeadlineExceeded)) // it used a silent one
	c.Reconnect()
	started := time.Now()
	_, err = do(c, proxy.Addr, http.MethodGet, "")
	is.NoErr(err)
	is.True(time.Since(started) < time.Second)
}

// TestIdleConnectionsAreBounded: without a bound, a holder of thousands of hosts keeps so many
// connections idle that it can open no more.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	var open atomic.Int64
	release := make(chan struct{})
	script := func(_ int64, c net.Conn, _ *http.Request) bool {
		open.Add(1)
		<-release // all are in flight at the same time
		ok(c, "")
		return true
	}
	servers := []*server{serve(t, script), serve(t, script), serve(t, script)}
	c := httponce.New(httponce.Options{MaxIdle: 2})
	var calls sync.WaitGroup
	for _, s := range servers {
		calls.Go(func() {
			if _, err := do(c, s.addr, http.MethodGet, ""); err != nil {
				t.Error(err)
			}
		})
	}
	for open.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	calls.Wait()
	for range 3 { // kept connections are reused, and the count stays correct
		for _, s := range servers {
			_, err := do(c, s.addr, http.MethodGet, "")
			is.NoErr(err)
		}
	}
	dialled := int64(0)
	for _, s := range servers {
		dialled += s.conns.Load()
	}
	is.True(dialled > 3)  // one was not kept
	is.True(dialled <= 7) // the other two were kept
}

// TestMarksEndWithTheirConnections: the server ID (mark) from an answer is passed to the next
// request on the same connection, and to none on a new one.
func TestMarksEndWithTheirConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(n int64, c net.Conn, _ *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return n != 2 // the second request is the last one on its connection
	})
	client := httponce.New(httponce.Options{})
	defer client.Close()
	var serverIDs []int64
	for i := range int64(4) {
		u, err := url.Parse("http://" + s.addr + "/")
		is.NoErr(err)
		_, err = client.DoTracked(t.Context(), s.addr, httponce.TrackedRequest{
			Request:  &http.Request{Method: http.MethodPost, URL: u, Header: http.Header{}},
			Body:     func(id int64) []byte { serverIDs = append(serverIDs, id); return []byte("x") },
			ServerID: func(httponce.Answer) int64 { return 10 + i },
		})
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // until the end of a connection is detected
	}
	is.Equal(serverIDs, []int64{0, 10, 0, 12})
}

// TestBoundRequestsReachOneProcess guards against a request reaching the successor of the process
// that it was meant for: it is sent only over connections with that process's server ID.
func TestBoundRequestsReachOneProcess(t *testing.T) {
	for name, tc := range map[string]struct {
		initial int64 // initial server ID of the connections
		current int64 // server ID in the answer to Probe
		want    int64
		paths   string // paths of the requests that the server receives
		err     error
	}{
		"no connection yet":                {current: 7, want: 7, paths: "/ask /do"},
		"another process":                  {current: 8, want: 7, paths: "/ask", err: httponce.ErrOtherServer},
		"connection to the process":        {initial: 7, current: 7, want: 7, paths: "/ask /do"},
		"connection to an earlier process": {initial: 6, current: 7, want: 7, paths: "/ask /ask /do"},
		"connection to its successor":      {initial: 8, current: 8, want: 7, paths: "/ask /ask", err: httponce.ErrOtherServer},
		"the answer sets no mark":          {current: 0, want: 7, paths: "/ask", err: httponce.ErrUnknownServer},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var paths []string
			s := serve(t, func(_ int64, c net.Conn, r *http.Request) bool {
				mu.Lock()
				paths = append(paths, r.URL.Path)
				mu.Unlock()
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			client := httponce.New(httponce.Options{})
			defer client.Close()
			request := func(path string, mark int64) httponce.TrackedRequest {
				u, err := url.Parse("http://" + s.addr + path)
				is.NoErr(err)
				return httponce.TrackedRequest{
					Request:  &http.Request{Method: http.MethodPost, URL: u, Header: http.Header{}},
					Body:     func(int64) []byte { return []byte("x") },
					ServerID: func(httponce.Answer) int64 { return mark },
				}
			}
			if tc.initial != 0 {
				_, err := client.DoTracked(t.Context(), s.addr, request("/ask", tc.initial))
				is.NoErr(err)
			}
			bound := request("/do", 0)
			bound.ServerID, bound.Binding = nil, &httponce.Binding{ServerID: tc.want, Probe: request("/ask", tc.current)}
			_, err := client.DoTracked(t.Context(), s.addr, bound)
			is.True(errors.Is(err, tc.err))
			var f *httponce.Failure
			is.True(tc.err == nil || errors.As(err, &f) && !f.Sent) // no part of it was sent
			mu.Lock()
			defer mu.Unlock()
			is.Equal(strings.Join(paths, " "), tc.paths)
		})
	}
}
