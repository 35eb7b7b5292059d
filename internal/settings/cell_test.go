package settings

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// switchboard is a peer.Caller whose links can be cut.
type switchboard struct {
	mu    sync.Mutex
	muxes peer.Local
}

func (s *switchboard) connect(addr string, mux *peer.Mux) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muxes[addr] = mux
}

func (s *switchboard) cut(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.muxes, addr)
}

func (s *switchboard) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	s.mu.Lock()
	one := peer.Local{}
	if mux, ok := s.muxes[addr]; ok {
		one[addr] = mux
	}
	s.mu.Unlock()
	return one.Call(ctx, addr, kind, req, resp)
}

// cell is a store, placers that keep its settings and entries that follow the
// placers, in a synctest bubble.
type cell struct {
	engine    *memstore.Engine
	links     *switchboard
	keepers   []*Keeper
	stops     []context.CancelFunc
	followers []*Follower
	cancel    context.CancelFunc
	ctx       context.Context

	mu sync.Mutex
	// processes counts those ever started.
	processes int
	// applied are the revisions that each process put in force, in order.
	applied map[string][]int64
}

func addrOf(i int) string { return fmt.Sprintf("placer-%d", i) }

func newCell(placers, entries int) *cell {
	c := &cell{engine: memstore.New(), links: &switchboard{muxes: peer.Local{}}, applied: map[string][]int64{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.keepers, c.stops = make([]*Keeper, placers), make([]context.CancelFunc, placers)
	for i := range placers {
		c.start(i)
	}
	for i := range entries {
		c.follow(i)
	}
	return c
}

// client is placer i's way to the store.
func (c *cell) client(i int) *memstore.Client { return c.engine.Client(addrOf(i)) }

// start begins or replaces placer i with a process that knows nothing.
func (c *cell) start(i int) { c.startWith(i, c.client(i)) }

func (c *cell) startWith(i int, store platform.Store) {
	c.kill(i)
	ctx, cancel := context.WithCancel(c.ctx)
	k := NewKeeper(KeeperConfig{Store: store, Caller: c.links, Log: quiet(),
		Peers: func() []string { return c.addrs(i) }, Applied: c.appliedRevisions})
	c.record(k.OnApply, addrOf(i))
	mux := peer.NewMux()
	k.Serve(mux)
	c.keepers[i], c.stops[i] = k, cancel
	c.links.connect(addrOf(i), mux)
	go k.Run(ctx)
}

// record keeps what a process puts in force. Processes of one name are told
// apart: a killed one may still end what it had begun.
func (c *cell) record(onApply func(func(*Tree)), name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes++
	name = processName(name, c.processes)
	onApply(func(t *Tree) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.applied[name] = append(c.applied[name], t.Revision)
	})
}

func processName(name string, number int) string { return fmt.Sprintf("%s (process %d)", name, number) }

// lastProcess returns what placer 1 has put in force, if it was started last.
func (c *cell) lastProcess() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied[processName(addrOf(1), c.processes)]
}

// follow adds entry i, nearest to placer i.
func (c *cell) follow(i int) {
	name := fmt.Sprintf("entry-%d", i)
	f := NewFollower(name, c.links, func() []string { return append([]string{addrOf(i)}, c.addrs(i)...) }, quiet())
	c.record(f.OnApply, name)
	c.followers = append(c.followers, f)
	go f.Run(c.ctx)
}

// kill ends placer i; its peers no longer reach it.
func (c *cell) kill(i int) {
	if c.stops[i] != nil {
		c.stops[i]()
		c.stops[i] = nil
	}
	c.links.cut(addrOf(i))
}

// addrs are the placers' addresses without i's.
func (c *cell) addrs(i int) []string {
	var out []string
	for j := range c.keepers {
		if j != i {
			out = append(out, addrOf(j))
		}
	}
	return out
}

// appliedRevisions stands for what heartbeats report.
func (c *cell) appliedRevisions() map[string]int64 {
	out := map[string]int64{}
	for i, k := range c.keepers {
		if c.stops[i] != nil {
			out[addrOf(i)] = k.AppliedRevision()
		}
	}
	return out
}

// heartbeat lets every live placer hear of every other's revision once.
func (c *cell) heartbeat() {
	for i, k := range c.keepers {
		for j, other := range c.keepers {
			if i != j && c.stops[i] != nil && c.stops[j] != nil {
				k.Hear(other.Revision())
			}
		}
	}
}

// behind names the processes that do not have the revision in force.
func (c *cell) behind(revision int64) []string {
	var out []string
	for i, k := range c.keepers {
		if c.stops[i] != nil && k.book.revision() != revision {
			out = append(out, fmt.Sprintf("%s at %d", addrOf(i), k.book.revision()))
		}
	}
	for i, f := range c.followers {
		if f.book.revision() != revision {
			out = append(out, fmt.Sprintf("entry-%d at %d", i, f.book.revision()))
		}
	}
	return out
}

// wentDown names the processes that ever put a lower or equal revision in force.
func (c *cell) wentDown() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, revisions := range c.applied {
		for i := 1; i < len(revisions); i++ {
			if revisions[i] <= revisions[i-1] {
				out = append(out, name)
			}
		}
	}
	return out
}

// head is the stored head, read past all faults.
func (c *cell) head() Head {
	records, _, err := c.engine.Client("observer").List(context.Background(), headKey)
	if err != nil || len(records) == 0 {
		return Head{}
	}
	h, err := decodeHead(records[0].Value)
	if err != nil {
		return Head{}
	}
	return h
}

func (c *cell) end() {
	c.cancel()
	synctest.Wait()
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func edit(base int64, branches string) Change {
	return Change{ID: newID(), First: true, Base: base, By: "test", Branches: []byte(branches)}
}

// change makes a change through placer i against its present revision.
func (c *cell) change(i int, branches string) (Accepted, error) {
	return c.keepers[i].Change(c.ctx, edit(c.keepers[i].book.revision(), branches))
}

// settle is how long a cell gets to learn its first revision.
const settle = 2 * time.Second

// inBubble runs fn in a bubble with a cell whose processes are up to date.
func inBubble(t *testing.T, placers, entries int, fn func(is *is.I, c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(placers, entries)
		defer c.end()
		time.Sleep(settle)
		synctest.Wait()
		is := is.New(t)
		fn(is, c)
		is.Equal(c.wentDown(), nil) // no process ever went back
	})
}

// muxOf returns a mux that answers for placer i, to connect it again.
func (c *cell) muxOf(i int) *peer.Mux {
	mux := peer.NewMux()
	c.keepers[i].Serve(mux)
	return mux
}

// countingStore counts calls and written bytes.
type countingStore struct {
	*memstore.Client
	calls, bytes atomic.Int64
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	s.calls.Add(1)
	return s.Client.List(ctx, prefix)
}

func (s *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	s.calls.Add(1)
	for _, w := range txn.Then {
		s.bytes.Add(int64(len(w.Key) + len(w.Value)))
	}
	return s.Client.Commit(ctx, txn)
}
