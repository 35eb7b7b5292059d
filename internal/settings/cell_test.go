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

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// fakeNetwork is a peer.Caller whose members can be disconnected.
type fakeNetwork struct {
	mu    sync.Mutex
	muxes peer.Local
}

func (s *fakeNetwork) connect(addr string, mux *peer.Mux) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muxes[addr] = mux
}

func (s *fakeNetwork) disconnect(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.muxes, addr)
}

func (s *fakeNetwork) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	s.mu.Lock()
	one := peer.Local{}
	if mux, ok := s.muxes[addr]; ok {
		one[addr] = mux
	}
	s.mu.Unlock()
	return one.Call(ctx, addr, kind, req, resp)
}

// cell is a store, placers that replicate its settings and entries that follow the placers, in a synctest bubble.
type cell struct {
	engine    *memstore.Engine
	network   *fakeNetwork
	managers  []*Manager
	stops     []context.CancelFunc
	followers []*Follower
	cancel    context.CancelFunc
	ctx       context.Context

	mu sync.Mutex
	// processes is the number of processes ever started.
	processes int
	// applied lists the revisions that each process applied, in order.
	applied map[string][]int64
}

func placerAddr(i int) string { return fmt.Sprintf("placer-%d", i) }

func newCell(placers, entries int) *cell {
	c := &cell{engine: memstore.New(), network: &fakeNetwork{muxes: peer.Local{}}, applied: map[string][]int64{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.managers, c.stops = make([]*Manager, placers), make([]context.CancelFunc, placers)
	for i := range placers {
		c.start(i)
	}
	for i := range entries {
		c.startFollower(i)
	}
	return c
}

// client returns placer i's store client.
func (c *cell) client(i int) *memstore.Client { return c.engine.Client(placerAddr(i)) }

// start starts or replaces placer i with a process that has no settings.
func (c *cell) start(i int) { c.startWith(i, c.client(i)) }

func (c *cell) startWith(i int, store platform.Store) {
	c.kill(i)
	ctx, cancel := context.WithCancel(c.ctx)
	m := NewManager(ManagerConfig{Store: store, Caller: c.network, Log: discardLog(),
		Peers: func() []string { return c.addrs(i) }, AppliedRevisions: c.appliedRevisions})
	c.recordApplied(m.OnApply, placerAddr(i))
	mux := peer.NewMux()
	m.Serve(mux)
	c.managers[i], c.stops[i] = m, cancel
	c.network.connect(placerAddr(i), mux)
	go m.Run(ctx)
}

// recordApplied records the revisions that a process applies. Successive processes of one placer are recorded
// separately, since a stopped one may still complete an operation that was in progress.
func (c *cell) recordApplied(onApply func(func(*Tree)), name string) {
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

// lastProcess returns the revisions that placer 1 applied, provided that placer 1 was the last process started.
func (c *cell) lastProcess() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied[processName(placerAddr(1), c.processes)]
}

// startFollower adds entry i, whose nearest placer is placer i.
func (c *cell) startFollower(i int) {
	name := fmt.Sprintf("entry-%d", i)
	f := NewFollower(name, c.network, func() []string { return append([]string{placerAddr(i)}, c.addrs(i)...) }, discardLog())
	c.recordApplied(f.OnApply, name)
	c.followers = append(c.followers, f)
	go f.Run(c.ctx)
}

// kill stops placer i and makes it unreachable for its peers.
func (c *cell) kill(i int) {
	if c.stops[i] != nil {
		c.stops[i]()
		c.stops[i] = nil
	}
	c.network.disconnect(placerAddr(i))
}

// addrs returns the placers' addresses without placer i's.
func (c *cell) addrs(i int) []string {
	var out []string
	for j := range c.managers {
		if j != i {
			out = append(out, placerAddr(j))
		}
	}
	return out
}

// appliedRevisions stands in for the revisions that heartbeats report.
func (c *cell) appliedRevisions() map[string]int64 {
	out := map[string]int64{}
	for i, m := range c.managers {
		if c.stops[i] != nil {
			out[placerAddr(i)] = m.AppliedRevision()
		}
	}
	return out
}

// heartbeat passes each live placer's revision to every other live placer once.
func (c *cell) heartbeat() {
	for i, m := range c.managers {
		for j, other := range c.managers {
			if i != j && c.stops[i] != nil && c.stops[j] != nil {
				m.ObserveRevision(other.Revision())
			}
		}
	}
}

// behind names the processes whose active revision isn't the given one.
func (c *cell) behind(revision int64) []string {
	var out []string
	for i, m := range c.managers {
		if c.stops[i] != nil && m.replica.revision() != revision {
			out = append(out, fmt.Sprintf("%s at %d", placerAddr(i), m.replica.revision()))
		}
	}
	for i, f := range c.followers {
		if f.replica.revision() != revision {
			out = append(out, fmt.Sprintf("entry-%d at %d", i, f.replica.revision()))
		}
	}
	return out
}

// regressed names the processes that ever applied a revision not higher than their previous one.
func (c *cell) regressed() []string {
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

// head returns the stored head, read through a client without faults.
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

// change makes a change through placer i against its active revision.
func (c *cell) change(i int, branches string) (Accepted, error) {
	return c.managers[i].Change(c.ctx, edit(c.managers[i].replica.revision(), branches))
}

// settle is the time that a cell is given to apply its first revision.
const settle = 2 * time.Second

// inBubble runs fn in a synctest bubble with a cell whose processes are up to date. It fails if any process ever
// applied a lower revision than before.
func inBubble(t *testing.T, placers, entries int, fn func(is *is.I, c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(placers, entries)
		defer c.end()
		time.Sleep(settle)
		synctest.Wait()
		is := is.New(t)
		fn(is, c)
		is.Equal(c.regressed(), nil) // no process ever applied a lower revision
	})
}

// muxOf returns a new mux with placer i's handlers, to reconnect it.
func (c *cell) muxOf(i int) *peer.Mux {
	mux := peer.NewMux()
	c.managers[i].Serve(mux)
	return mux
}

// countingStore counts store calls and written bytes.
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
