package settings

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/etcdhttp"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/standin/storehttp"
)

// TestOverTheStoresProtocol runs two placers with the real store client against the stand-in's server: first start,
// change, watch, collection and the start of another process.
func TestOverTheStoresProtocol(t *testing.T) {
	is := is.New(t)
	engine := memstore.New()
	server := httptest.NewServer(storehttp.Handler(engine))
	t.Cleanup(server.Close)
	ctx := t.Context() // canceled before the cleanups run
	newManager := func(name string) *Manager {
		client, err := etcdhttp.New(etcdhttp.Options{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, Name: name})
		is.NoErr(err)
		m := NewManager(ManagerConfig{Store: client, Log: discardLog()})
		done := make(chan struct{})
		go func() { defer close(done); m.Run(ctx) }()
		t.Cleanup(func() { <-done; client.Close() })
		return m
	}
	a, b := newManager("a"), newManager("b")
	waitFor(t, "both have revision 0", func() bool { return a.Revision() == 0 && b.Revision() == 0 })

	_, err := a.Change(ctx, edit(0, `{"/a":{"executor":{"slots":3}}}`))
	is.NoErr(err)
	waitFor(t, "b has revision 1", func() bool { return b.Revision() == 1 })
	_, err = b.Change(ctx, edit(1, largeChange()))
	is.NoErr(err)
	waitFor(t, "a has revision 2", func() bool { return a.Revision() == 2 })
	n, err := a.Collect(ctx)
	is.NoErr(err)
	is.Equal(n, 0)
	c := newManager("c")
	waitFor(t, "a new process has revision 2", func() bool { return c.Revision() == 2 })
	is.Equal(c.Current().RootHash(), a.Current().RootHash())
}

// waitFor polls until the condition holds and fails the test after 20 s.
func waitFor(t *testing.T, what string, fn func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !fn() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
