package requesttest_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/entry"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/request"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

const (
	partitions     = 8
	heartbeatEvery = 500 * time.Millisecond
)

// cell consists of a few placers and one entry in one process.
type cell struct {
	t         *testing.T
	executors *requesttest.Executors
	placers   []*placer
	entry     *entry.Handler
	stop      context.CancelFunc

	mu           sync.Mutex
	hosts        []platform.Host
	values       settings.Values
	table        *view.Table
	disconnected map[string]chan struct{} // closed while the placer is unreachable
	// claimNeverHeld injects a fault: failovers claim that no process has held the partition
	// before.
	claimNeverHeld bool
	free           map[string]map[string]int // free slots by placer and service, as of the last heartbeat
}

// placer simulates a process that can hold partitions.
type placer struct {
	name       string
	right      *requesttest.Authorizer
	home       *request.Home
	dispatcher *dispatch.Dispatcher
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newCell starts the executors and the placers, and assigns the partitions to the placers in
// turn. change modifies the settings.
func newCell(t *testing.T, placers, executors int, change ...func(*settings.Values)) *cell {
	c := &cell{t: t, executors: &requesttest.Executors{ExecutionTime: 10 * time.Millisecond}, values: settings.Defaults(), disconnected: map[string]chan struct{}{}}
	for _, fn := range change {
		fn(&c.values)
	}
	for i := range executors {
		name := fmt.Sprintf("executor-%d", i)
		c.hosts = append(c.hosts, platform.Host{
			Name: name, Role: platform.RoleExecutor, Addr: name, Zone: fmt.Sprintf("zone-%d", i%3), Service: "ledger",
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	c.stop = cancel
	local := peer.Local{}
	for i := range placers {
		p := c.newPlacer(fmt.Sprintf("placer-%d", i), local)
		c.placers = append(c.placers, p)
		go p.dispatcher.Run(ctx)
	}
	c.assignPartitions()
	go c.heartbeats(ctx)
	c.entry = entry.NewHandler(entry.Config{
		View: c, Peers: c.caller(local), Settings: c.settingsOf, Placer: "placer-0", Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	return c
}

func (c *cell) newPlacer(name string, local peer.Local) *placer {
	p := &placer{name: name, right: &requesttest.Authorizer{}}
	p.dispatcher = dispatch.New(dispatch.Config{
		Hosts: c.hostList, Settings: c.settingsOf, Authorizer: p.right, Client: c.executors, Peers: c.caller(local),
		Remotes:    func() []dispatch.Remote { return c.remotes(name) },
		Partitions: partitions, Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	p.home = request.New(request.Config{
		Authorizer: p.right, Dispatcher: p.dispatcher, Settings: c.settingsOf, Log: quiet(), Metrics: prometheus.NewRegistry(),
	})
	mux := peer.NewMux()
	peer.Handle(mux, peer.KindServe, p.home.Serve)
	peer.Handle(mux, peer.KindDispatch, p.dispatcher.ServeDispatch)
	local[name] = mux
	return p
}

// assignPartitions gives every partition to its first holder.
func (c *cell) assignPartitions() {
	c.table = &view.Table{}
	for _, p := range c.placers {
		c.table.Members = append(c.table.Members, view.Member{Name: p.name, Addr: p.name})
	}
	for id := range partitions {
		p := c.placers[id%len(c.placers)]
		c.table.Partitions = append(c.table.Partitions, view.Partition{ID: id, Holder: p.name, Addr: p.name, Epoch: 1})
		p.acquire(c.t, hold.Acquisition{Grant: hold.Grant{Partition: id, Epoch: 1}, NeverHeld: true, AcquiredAt: time.Now()})
	}
}

func (p *placer) acquire(t *testing.T, acquisition hold.Acquisition) {
	for _, r := range []hold.Component{p.home, p.dispatcher} {
		if err := r.Acquire(t.Context(), acquisition); err != nil {
			t.Fatal(err)
		}
	}
}

// failOver moves a partition without a handover, as after a failure of its holder.
func (c *cell) failOver(id, to int) {
	c.mu.Lock()
	old := c.holder(id)
	table := *c.table
	table.Partitions = append([]view.Partition(nil), c.table.Partitions...)
	table.Partitions[id] = view.Partition{ID: id, Holder: c.placers[to].name, Addr: c.placers[to].name, Epoch: table.Partitions[id].Epoch + 1}
	c.table = &table
	c.mu.Unlock()
	old.right.SetRevoked(id, true)
	old.home.Drop(id)
	old.dispatcher.Drop(id)
	c.placers[to].right.SetRevoked(id, false)
	c.placers[to].acquire(c.t, hold.Acquisition{
		Grant: hold.Grant{Partition: id, Epoch: 2}, AcquiredAt: time.Now(), NeverHeld: c.claimNeverHeld,
	})
}

// handoverTimeout is how long a handover waits for the partition's requests in flight.
const handoverTimeout = 20 * time.Millisecond

// handover moves a partition with its state, as in a planned handover.
func (c *cell) handover(id, to int) {
	ctx, cancel := context.WithTimeout(c.t.Context(), handoverTimeout)
	defer cancel()
	c.mu.Lock()
	old := c.holder(id)
	c.mu.Unlock()
	states := make([][]byte, 2)
	for i, r := range []hold.Component{old.home, old.dispatcher} {
		state, err := r.Release(ctx, id)
		if err != nil {
			c.t.Fatal(err)
		}
		states[i] = state
	}
	old.right.SetRevoked(id, true)
	next := c.placers[to]
	next.right.SetRevoked(id, false)
	for i, r := range []hold.Component{next.home, next.dispatcher} {
		t := hold.Acquisition{Grant: hold.Grant{Partition: id, Epoch: 2}, HandedOver: true, State: states[i], AcquiredAt: time.Now()}
		if err := r.Acquire(c.t.Context(), t); err != nil {
			c.t.Fatal(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	table := *c.table
	table.Partitions = append([]view.Partition(nil), c.table.Partitions...)
	table.Partitions[id] = view.Partition{ID: id, Holder: next.name, Addr: next.name, Epoch: table.Partitions[id].Epoch + 1}
	c.table = &table
}

// holder returns the placer that holds a partition. The caller holds the lock.
func (c *cell) holder(id int) *placer {
	for _, p := range c.placers {
		if p.name == c.table.Partitions[id].Holder {
			return p
		}
	}
	c.t.Fatalf("partition %d has no holder", id)
	return nil
}

// Table implements view.Source.
func (c *cell) Table() *view.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Settings implements view.Source.
func (c *cell) Settings() *settings.Tree { return nil }

func (c *cell) hostList() []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]platform.Host(nil), c.hosts...)
}

func (c *cell) settingsOf(service string) (settings.Values, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values, service == "ledger"
}

// heartbeats simulates heartbeats: it publishes the placers' free slots.
func (c *cell) heartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		free := map[string]map[string]int{}
		for _, p := range c.placers {
			free[p.name] = p.dispatcher.Free()
		}
		c.mu.Lock()
		c.free = free
		c.mu.Unlock()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *cell) remotes(self string) []dispatch.Remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []dispatch.Remote
	for _, p := range c.placers {
		if p.name != self {
			out = append(out, dispatch.Remote{Name: p.name, Addr: p.name, Free: c.free[p.name]})
		}
	}
	return out
}

// reply is what the caller received.
type reply struct {
	status int
	header http.Header
	body   string
}

// do sends one request through the entry.
func (c *cell) do(ctx context.Context, method, path, body string, header ...string) reply {
	r := httptest.NewRequestWithContext(ctx, method, entry.Prefix+"ledger"+path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	c.entry.ServeHTTP(w, r)
	return reply{status: w.Code, header: w.Header(), body: w.Body.String()}
}

// newKey returns a random key with the current time of the synctest bubble.
func newKey() string { return keyOf(rand.Uint64()) }

// keyOf returns the key with the current time that ends in n.
func keyOf(n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], n&^(3<<62)|1<<63)
	return id.String()
}

// keyIn returns a key whose home is the given partition.
func keyIn(id int) string { return keyInFrom(id, 0) }

// keyInFrom returns a key of the partition with an end of at least n.
func keyInFrom(id int, n uint64) string {
	for ; ; n++ {
		if key := keyOf(n); partition.OfKey(key, partitions) == id {
			return key
		}
	}
}
