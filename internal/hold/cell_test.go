package hold

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/view"
)

// testCell is a set of Keepers over one store inside a synctest bubble, with
// cuts between them and a referee of who acts.
type testCell struct {
	t       *testing.T
	engine  *memstore.Engine
	config  Config
	net     *network
	referee *referee
	nodes   map[string]*node
}

// node is one placer process of a testCell.
type node struct {
	*Keeper
	name     string
	addr     string
	client   *memstore.Client
	store    *countingStore
	resident *recorder
	stopAct  context.CancelFunc
	acting   sync.WaitGroup
}

func newTestCell(t *testing.T, config Config) *testCell {
	return &testCell{
		t: t, engine: memstore.New(), config: config, nodes: map[string]*node{},
		net:     &network{muxes: map[string]*peer.Mux{}, cuts: map[[2]string]bool{}},
		referee: &referee{last: map[int]map[string]use{}, epochs: map[int]uint64{}},
	}
}

// start adds a process; a second start of a name is a replacement at the same
// address.
func (c *testCell) start(name string) *node {
	c.t.Helper()
	n := c.build(name)
	if err := n.Start(c.t.Context()); err != nil {
		c.t.Fatalf("start %s: %v", name, err)
	}
	c.nodes[name] = n
	n.act(c.referee)
	return n
}

func (c *testCell) build(name string) *node {
	c.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{name: name, addr: name + ":1", client: c.engine.Client(name)}
	n.store = &countingStore{Store: n.client, calls: map[string]int{}}
	mux := peer.NewMux()
	k, err := New(Deps{
		Store: n.store, Peers: c.net.caller(n.addr), Mux: mux, Self: view.Member{Name: name, Addr: n.addr, Zone: "z"},
		Config: c.config, Registry: prometheus.NewRegistry(), Log: logrus.NewEntry(log),
		SettingsRevision: func() int64 { return 1 },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	n.Keeper = k
	n.resident = &recorder{referee: c.referee, node: k.Self().Incarnation, states: map[int]string{}, got: map[int]Takeover{}}
	k.AddResident(n.resident)
	c.net.set(n.addr, mux)
	return n
}

// kill ends a process without any leave-taking.
func (c *testCell) kill(n *node) {
	c.net.set(n.addr, nil)
	n.stopAct()
	n.cancel()
	n.acting.Wait()
	n.done.Wait()
	n.steps.Wait()
	delete(c.nodes, n.name)
}

// close ends everything, so that the bubble can end.
func (c *testCell) close() {
	for _, n := range c.nodes {
		c.kill(n)
	}
	c.engine.Close()
}

// settled reports whether every partition is held, and by whom it should be.
func (c *testCell) settled() bool {
	held := 0
	for _, n := range c.nodes {
		for _, id := range n.Held() {
			if _, err := n.Check(id); err != nil {
				return false
			}
			held++
		}
	}
	return held == c.config.Partitions
}

// waitSettled waits until every partition has a holder that may act.
func (c *testCell) waitSettled(limit time.Duration) time.Duration {
	c.t.Helper()
	return c.wait(limit, "all partitions held", c.settled)
}

// wait polls in the bubble's time and returns how long it took.
func (c *testCell) wait(limit time.Duration, what string, cond func() bool) time.Duration {
	c.t.Helper()
	begun := time.Now()
	for !cond() {
		if time.Since(begun) > limit {
			c.t.Fatalf("not within %v: %s\n%s", limit, what, c.describe())
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

func (c *testCell) describe() string {
	out := ""
	for name, n := range c.nodes {
		b, _ := json.Marshal(n.Dump().(State).Slots)
		out += fmt.Sprintf("%s %s held %v lacks %v %s\n", name, n.session.State(), n.Held(), n.Lacks(), b)
	}
	return out
}

func (c *testCell) check() {
	c.t.Helper()
	for _, v := range c.referee.violations() {
		c.t.Error(v)
	}
}

// inBubble runs a test of a cell in a synctest bubble and checks the referee.
func inBubble(t *testing.T, config Config, fn func(c *testCell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, config)
		defer c.close()
		fn(c)
		c.check()
	})
}

func testConfig() Config {
	c := DefaultConfig()
	c.Partitions = 16
	return c
}

// network carries calls between the cell's processes, in both directions cut or
// not.
type network struct {
	mu    sync.Mutex
	muxes map[string]*peer.Mux
	cuts  map[[2]string]bool
}

func (n *network) set(addr string, mux *peer.Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muxes[addr] = mux
}

// cut stops messages from one address to another, or lets them pass again.
func (n *network) cut(from, to string, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = off
}

func (n *network) caller(from string) peer.Caller { return &netCaller{net: n, from: from} }

type netCaller struct {
	net  *network
	from string
}

// Call passes a message on unless its way or the way back is cut. A cut loses
// messages silently: the caller waits until its ctx ends.
func (c *netCaller) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	c.net.mu.Lock()
	mux := c.net.muxes[addr]
	there, back := c.net.cuts[[2]string{c.from, addr}], c.net.cuts[[2]string{addr, c.from}]
	c.net.mu.Unlock()
	if there || mux == nil {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "cut")
	}
	time.Sleep(time.Millisecond)
	var answer cbor.RawMessage
	if err := (peer.Local{addr: mux}).Call(ctx, addr, kind, req, &answer); err != nil {
		return err
	}
	if back {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "cut on the way back")
	}
	return cbor.Unmarshal(answer, resp)
}

// countingStore counts calls by kind.
type countingStore struct {
	platform.Store
	mu    sync.Mutex
	calls map[string]int
}

func (s *countingStore) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

func (s *countingStore) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.calls {
		sum += n
	}
	return sum
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	s.count("list")
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	s.count("commit")
	return s.Store.Commit(ctx, txn)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	s.count("watch")
	return s.Store.Watch(ctx, prefix, after, fn)
}

func (s *countingStore) Grant(ctx context.Context, ttl int64) (platform.LeaseID, error) {
	s.count("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *countingStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	s.count("keepalive")
	return s.Store.KeepAlive(ctx, id)
}
