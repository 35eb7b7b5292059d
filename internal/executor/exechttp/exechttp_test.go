package exechttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/executor/exechttp"
	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/executor/executortest"
	"pulleyquay/internal/httponce"
	"pulleyquay/internal/judge"
)

func TestContract(t *testing.T) {
	executortest.Run(t, func(t *testing.T) executortest.Target {
		j := judge.New()
		e := execsim.NewExecutor("e", 8, 64, j)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := e.Server()
		go func() { _ = server.Serve(ln) }()
		t.Cleanup(func() { _ = server.Close() })
		closed := httptest.NewServer(nil)
		closed.Close()
		client := exechttp.New(httponce.Options{})
		t.Cleanup(client.Close)
		return executortest.Target{Client: client, Addr: ln.Addr().String(), Executor: e, Checker: j,
			UnreachableAddr: strings.TrimPrefix(closed.URL, "http://")}
	})
}

func TestHeadersBothWays(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, body = r, string(b)
		w.Header()["X-Many"] = []string{"a", "b"}
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Content-Encoding", "gzip")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write([]byte("not really gzip"))
	}))
	defer server.Close()
	client := exechttp.New(httponce.Options{})
	defer client.Close()
	a, err := client.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), executor.Request{
		Method: "REPORT", Path: "/a%2Fb;c?q=%20&q", Body: []byte("b"),
		Header: http.Header{
			"Host": {"ledger.example"}, "X-Many": {"1", "2"}, "Connection": {"x-hop, close"}, "X-Hop": {"1"},
			"Te": {"trailers"}, "Upgrade": {"websocket"}, "Content-Length": {"99"}, "Idempotency-Key": {"k"},
		},
	}, 100)
	is.NoErr(err)
	is.Equal(got.Method+" "+got.RequestURI, "REPORT /a%2Fb;c?q=%20&q")
	is.Equal(got.Host, "ledger.example")
	is.Equal(body, "b")
	is.Equal(got.Header, http.Header{"X-Many": {"1", "2"}, "Content-Length": {"1"}, "Idempotency-Key": {"k"}})
	is.Equal(a.Status, http.StatusTeapot)
	is.Equal(a.Header["X-Many"], []string{"a", "b"})
	is.Equal(a.Header.Get("X-Private"), "")
	is.Equal(a.Header.Get("Content-Encoding"), "gzip")
	is.Equal(string(a.Body), "not really gzip")
}

func TestPaths(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Got", r.RequestURI)
	}))
	defer server.Close()
	client := exechttp.New(httponce.Options{})
	defer client.Close()
	for _, c := range []struct {
		path string
		good bool
	}{
		{"/", true}, {"/?", true}, {"//a/b", true}, {"//a%2Fb?c", true}, {"/a?b=//c", true}, {"/é", true},
		{"", false}, {"a", false}, {"*", false}, {"/a b", false}, {"/a HTTP/1.1\r\nX: y", false}, {"http://other/", false},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			a, err := client.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"),
				executor.Request{Method: "GET", Path: c.path}, 100)
			is.Equal(err == nil, c.good)
			if c.good {
				is.Equal(a.Header.Get("Got"), c.path)
			}
		})
	}
}
