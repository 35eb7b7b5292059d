package peer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/proxytest"
	"pulleyquay/internal/result"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

const (
	kindEcho  Kind = 900
	kindBlock Kind = 901
	kindFail  Kind = 902
)

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(l)
}

// server is a process with handlers for the test kinds.
type server struct {
	*httptest.Server
	node    *Node
	entered chan struct{}
	exited  chan struct{}
}

func newServer(t *testing.T) *server {
	s := &server{entered: make(chan struct{}, 1000), exited: make(chan struct{}, 1000)}
	mux := NewMux()
	Handle(mux, kindEcho, func(_ context.Context, r echo) (echo, error) { return r, nil })
	Handle(mux, kindBlock, func(ctx context.Context, r echo) (echo, error) {
		s.entered <- struct{}{}
		<-ctx.Done()
		s.exited <- struct{}{}
		return r, nil
	})
	Handle(mux, kindFail, func(context.Context, echo) (echo, error) {
		return echo{}, result.New(result.TooLarge, result.RanNo, "no").WithRetryAfter(3 * time.Second).AtField("a.b")
	})
	s.Server = httptest.NewUnstartedServer(nil)
	s.node = NewNode(Hello{Name: "s", Addr: s.Listener.Addr().String()}, mux, discardLogger())
	s.Config.Handler = s.node
	s.Start()
	t.Cleanup(func() { s.node.Close(); s.Close() })
	return s
}

func (s *server) addr() string { return s.node.self.Addr }

func newClient(t *testing.T) *Node {
	n := NewNode(Hello{Name: "c"}, NewMux(), discardLogger())
	t.Cleanup(n.Close)
	return n
}

// TestCallerContract runs the contract of Caller against a link and in-process calls.
func TestCallerContract(t *testing.T) {
	s := newServer(t)
	for name, c := range map[string]Caller{"link": newClient(t), "local": Local{s.addr(): s.node.mux}, "self": s.node} {
		t.Run(name, func(t *testing.T) { callerContract(t, c, s.addr()) })
	}
}

func callerContract(t *testing.T, c Caller, addr string) {
	is := is.New(t)
	ctx := context.Background()
	var got echo
	is.NoErr(c.Call(ctx, addr, kindEcho, echo{"whole"}, &got))
	is.Equal(got.Text, "whole")

	err := result.From(c.Call(ctx, addr, kindFail, echo{}, &got))
	is.Equal(*err, result.Error{Code: result.TooLarge, Detail: "no", Ran: result.RanNo, RetryAfter: 3 * time.Second, Field: "a.b"})

	err = result.From(c.Call(ctx, "127.0.0.1:1", kindEcho, echo{}, &got))
	is.Equal(err.Code, result.PeerNotReached) // nothing was sent
	is.Equal(err.Ran, result.RanNo)

	err = result.From(c.Call(ctx, addr, 999, echo{}, &got))
	is.Equal(err.Code, result.PeerVersion)
}

func TestEachCallGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	s, c := newServer(t), newClient(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	wrong := 0
	for i := range 500 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want := strings.Repeat("x", i)
			var got echo
			if err := c.Call(context.Background(), s.addr(), kindEcho, echo{want}, &got); err != nil || got.Text != want {
				mu.Lock()
				wrong++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	is.Equal(wrong, 0)
	is.Equal(len(c.links), 1) // one connection per pair of processes
}

func TestCancelledCallEndsTheHandler(t *testing.T) {
	is := is.New(t)
	s, c := newServer(t), newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-s.entered; cancel() }()
	err := result.From(c.Call(ctx, s.addr(), kindBlock, echo{}, &echo{}))
	is.Equal(err.Code, result.PeerLost)
	is.Equal(err.Ran, result.RanUnknown) // it was sent
	<-s.exited
}

func TestBrokenLinkLeavesOutcomeUnknownAndIsRedialled(t *testing.T) {
	is := is.New(t)
	s, c := newServer(t), newClient(t)
	go func() {
		<-s.entered
		s.CloseClientConnections()
		s.node.Close() // the node has to close hijacked connections
	}()
	err := result.From(c.Call(context.Background(), s.addr(), kindBlock, echo{}, &echo{}))
	is.Equal(err.Code, result.PeerLost)
	is.Equal(err.Ran, result.RanUnknown)

	s.node.mu.Lock()
	s.node.closed = false
	s.node.mu.Unlock()
	var got echo
	is.NoErr(c.Call(context.Background(), s.addr(), kindEcho, echo{"again"}, &got))
	is.Equal(got.Text, "again")
}

func TestLinkServesBothDirections(t *testing.T) {
	is := is.New(t)
	a, b := newServer(t), newServer(t)
	var got echo
	is.NoErr(a.node.Call(context.Background(), b.addr(), kindEcho, echo{"there"}, &got))
	is.NoErr(b.node.Call(context.Background(), a.addr(), kindEcho, echo{"back"}, &got))
	is.Equal(got.Text, "back")
	b.node.mu.Lock()
	defer b.node.mu.Unlock()
	is.Equal(len(b.node.links), 1)
	is.Equal(len(b.node.unindexed), 0) // the accepted link was used and none was dialled
}

func TestFrameOfWrongLengthBreaksTheLink(t *testing.T) {
	is := is.New(t)
	data, err := encodeFrame(frame{ID: 7, Type: frameResponse, Payload: []byte{0x63, 'a', 'b', 'c'}})
	is.NoErr(err)
	_, err = decodeFrame(data)
	is.NoErr(err)
	_, err = decodeFrame(data[:len(data)-1])
	is.True(err != nil)                          // a truncated response is rejected
	i := strings.Index(string(data), "\x04\x04") // key 4: length 4
	data[i+1] = 3
	_, err = decodeFrame(data)
	is.True(err != nil)
}

func TestOtherVersionIsRefused(t *testing.T) {
	is := is.New(t)
	plain := httptest.NewServer(nil)
	defer plain.Close()
	err := newClient(t).Call(context.Background(), plain.Listener.Addr().String(), kindEcho, echo{}, &echo{})
	is.True(errors.Is(err, &result.Error{Code: result.PeerNotReached}))
}

// TestUnresponsivePeerIsDetected has a peer stop reading without closing its connection.
func TestUnresponsivePeerIsDetected(t *testing.T) {
	is := is.New(t)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}})
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		_, data, err := conn.Read(r.Context())
		if err != nil {
			return
		}
		hello, err := decodeFrame(data)
		if err != nil {
			return
		}
		response, err := encodeFrame(frame{ID: hello.ID, Type: frameResponse, Payload: []byte{0xa0}})
		if err != nil {
			return
		}
		_ = conn.Write(r.Context(), websocket.MessageBinary, response)
		<-r.Context().Done() // never reads again and so sends no pong
	}))
	defer silent.Close()
	c := newClient(t)
	start := time.Now()
	err := result.From(c.Call(context.Background(), silent.Listener.Addr().String(), kindEcho, echo{}, &echo{}))
	is.Equal(err.Code, result.PeerLost)
	is.True(time.Since(start) < 2*(pingInterval+pingTimeout))
}

// TestSilentLinkIsReplaced: an open link stops carrying data without a reset, while new
// links work. Pings alone would detect this only after seconds, in which members would
// presume their holder dead.
func TestSilentLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	proxy := proxytest.New(t, "", s.addr())
	c := newClient(t)
	replaced := make(chan struct{}, 10)
	c.OnSilentLink = func() { replaced <- struct{}{} }
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return c.Call(ctx, proxy.Addr, kindEcho, echo{}, &echo{})
	}
	is.NoErr(call(time.Second))
	time.Sleep(silenceTimeout) // the link receives nothing meanwhile
	proxy.Blackhole()
	start := time.Now()
	err := call(10 * time.Second)
	is.Equal(result.CodeOf(err), result.PeerLost) // the request may have been handled
	is.True(time.Since(start) < pingTimeout)      // detected earlier than by the idle pings
	<-replaced
	is.NoErr(call(time.Second))
}

// TestSlowResponseKeepsTheLink: a link is not replaced while a request takes long, though
// it receives nothing meanwhile.
func TestSlowResponseKeepsTheLink(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	c := newClient(t)
	c.OnSilentLink = func() { t.Error("link was replaced as silent") }
	ctx, cancel := context.WithTimeout(t.Context(), 6*silenceTimeout)
	defer cancel()
	err := c.Call(ctx, s.addr(), kindBlock, echo{}, &echo{})
	is.Equal(result.CodeOf(err), result.PeerLost) // cancelled by the caller
	is.True(strings.Contains(err.Error(), "gave up"))
	is.NoErr(c.Call(t.Context(), s.addr(), kindEcho, echo{}, &echo{}))
}
