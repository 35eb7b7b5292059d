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

// testCell is a set of Managers with one store inside a synctest bubble. The network between them
// can be blocked, and a checker records which process acts.
type testCell struct {
	t        testing.TB
	engine   *memstore.Engine
	config   Config
	net      *network
	checker  *checker
	nodes    map[string]*node
	prepare  func(*node) // called for each process before its start
	useEvery time.Duration
}

// node is one placer process of a testCell.
type node struct {
	*Manager
	name      string
	addr      string
	client    *memstore.Client
	store     *countingStore
	component *recorder
	gate      *gate
	stopUsing context.CancelFunc
	useLoop   sync.WaitGroup
}

// gate pauses a process: while it is paused, nothing goes in or out. Messages in transit in either
// direction wait and are delivered late.
type gate struct {
	mu     sync.Mutex
	paused chan struct{} // nil while not paused
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

// wait returns when the gate is not paused or ctx ends.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	paused := g.paused
	g.mu.Unlock()
	if paused == nil {
		return
	}
	select {
	case <-paused:
	case <-ctx.Done():
	}
}

func newTestCell(t testing.TB, config Config) *testCell {
	return &testCell{
		t: t, engine: memstore.New(), config: config, useEvery: useInterval, nodes: map[string]*node{},
		net:     &network{muxes: map[string]*peer.Mux{}, gates: map[string]*gate{}, blocked: map[[2]string]bool{}},
		checker: &checker{last: map[int]map[string]use{}, epochs: map[int]uint64{}},
	}
}

// start adds a process; a second start of a name is a replacement at the same address.
func (c *testCell) start(name string) *node {
	c.t.Helper()
	n := c.build(name, name+":1")
	if c.prepare != nil {
		c.prepare(n)
	}
	if err := n.Start(c.t.Context()); err != nil {
		c.t.Fatalf("start %s: %v", name, err)
	}
	c.nodes[name] = n
	n.startUsing(c.useEvery)
	return n
}

func (c *testCell) build(name, addr string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{name: name, addr: addr, client: c.engine.Client(name), gate: &gate{}}
	n.store = &countingStore{Store: n.client, calls: map[string]int{}, gate: n.gate}
	mux := peer.NewMux()
	m, err := New(Deps{
		Store: n.store, Peers: c.net.caller(n.addr, n.gate), Mux: mux, Self: view.Member{Name: name, Addr: n.addr, Zone: "z"},
		Config: c.config, Registry: prometheus.NewRegistry(), Log: logrus.NewEntry(log),
		SettingsRevision: func() int64 { return 1 },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	n.Manager = m
	n.component = &recorder{checker: c.checker, node: m.Self().Incarnation, states: map[int]string{}, acquired: map[int]Acquisition{}, releasedTimes: map[int]time.Time{}}
	m.AddComponent(n.component)
	c.net.set(n.addr, mux, n.gate)
	return n
}

// kill ends a process without a graceful shutdown.
func (c *testCell) kill(n *node) {
	c.net.set(n.addr, nil, nil)
	n.gate.resume()
	n.stopUsing()
	n.cancel()
	n.useLoop.Wait()
	n.loops.Wait()
	n.steps.Wait()
	delete(c.nodes, n.name)
}

// close ends all processes, so that the bubble can end.
func (c *testCell) close() {
	for _, n := range c.nodes {
		c.kill(n)
	}
	c.engine.Close()
}

// allHeld reports whether every partition has a holder with valid authority.
func (c *testCell) allHeld() bool {
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

// waitAllHeld waits until every partition has a holder that may act.
func (c *testCell) waitAllHeld(limit time.Duration) time.Duration {
	c.t.Helper()
	return c.wait(limit, "all partitions held", c.allHeld)
}

// wait polls in the bubble's time and returns the time that has passed.
func (c *testCell) wait(limit time.Duration, what string, cond func() bool) time.Duration {
	c.t.Helper()
	begun := time.Now()
	if !poll(limit, cond) {
		c.t.Fatalf("not within %v: %s\n%s", limit, what, c.describe())
	}
	return time.Since(begun)
}

func poll(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (c *testCell) describe() string {
	out := ""
	for name, n := range c.nodes {
		b, _ := json.Marshal(n.Dump().(State).Slots)
		out += fmt.Sprintf("%s %s held %v not ready %v %s\n", name, n.session.State(), n.Held(), n.NotReadyReasons(), b)
	}
	return out
}

func (c *testCell) check() {
	c.t.Helper()
	for _, v := range c.checker.violations() {
		c.t.Error(v)
	}
}

// inBubble runs a test of a cell in a synctest bubble and evaluates the checker.
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

// network carries calls between the processes of the cell. Each direction can be blocked.
type network struct {
	mu      sync.Mutex
	muxes   map[string]*peer.Mux
	gates   map[string]*gate
	blocked map[[2]string]bool
}

func (n *network) set(addr string, mux *peer.Mux, g *gate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muxes[addr], n.gates[addr] = mux, g
}

// setBlocked drops the messages from one address to another, or lets them pass again.
func (n *network) setBlocked(from, to string, block bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = block
}

// repair unblocks all directions.
func (n *network) repair() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

func (n *network) caller(from string, g *gate) peer.Caller {
	return &netCaller{net: n, from: from, gate: g}
}

type netCaller struct {
	net  *network
	from string
	gate *gate
}

// Call delivers a message unless its direction or that of the reply is blocked. Blocked messages
// are lost silently: the caller waits until its ctx ends.
func (c *netCaller) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	c.gate.wait(ctx)
	c.net.mu.Lock()
	mux, to := c.net.muxes[addr], c.net.gates[addr]
	outbound, inbound := c.net.blocked[[2]string{c.from, addr}], c.net.blocked[[2]string{addr, c.from}]
	c.net.mu.Unlock()
	if outbound || mux == nil {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "blocked")
	}
	time.Sleep(time.Millisecond)
	to.wait(ctx)
	if ctx.Err() != nil {
		return result.New(result.PeerLost, result.RanUnknown, "paused")
	}
	var answer cbor.RawMessage
	err := peer.Local{addr: mux}.Call(ctx, addr, kind, req, &answer)
	to.wait(ctx)
	c.gate.wait(ctx)
	if err != nil {
		return err
	}
	if inbound {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "reply blocked")
	}
	return cbor.Unmarshal(answer, resp)
}

// countingStore counts calls by kind and passes them through a gate.
type countingStore struct {
	platform.Store
	gate  *gate
	mu    sync.Mutex
	calls map[string]int
}

// begin counts a call and returns a function to be run after it.
func (s *countingStore) begin(ctx context.Context, kind string) func() {
	s.gate.wait(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	return func() { s.gate.wait(ctx) }
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
	defer s.begin(ctx, "list")()
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	defer s.begin(ctx, "commit")()
	return s.Store.Commit(ctx, txn)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	defer s.begin(ctx, "watch")()
	return s.Store.Watch(ctx, prefix, after, func(b platform.Batch) {
		s.gate.wait(ctx)
		fn(b)
	})
}

func (s *countingStore) Grant(ctx context.Context, ttl int64) (platform.LeaseID, error) {
	defer s.begin(ctx, "grant")()
	return s.Store.Grant(ctx, ttl)
}

func (s *countingStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	defer s.begin(ctx, "keepalive")()
	return s.Store.KeepAlive(ctx, id)
}
