package job

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/fleet"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

const (
	testPartitions = 4
	testLease      = 15 * time.Second
	testRight      = 6 * time.Second
	testBranch     = "lakeshore"
)

// takeoverTime is how long after a death a cell is whole again: every lease
// that a dead holder renewed is over, and every inventory is in.
const takeoverTime = testLease + 20*time.Second

var testSize = spec.Resources{MilliCPU: 8000, MemoryMiB: 8000}

// rights is a hold.Right that a test moves by hand.
type rights struct {
	mu     sync.Mutex
	epochs map[int]uint64
	until  time.Time // zero: always testRight ahead
}

func (r *rights) Check(p int) (hold.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.until
	if until.IsZero() {
		until = time.Now().Add(testRight)
	}
	switch {
	case r.epochs[p] == 0:
		return hold.Grant{}, result.New(result.NotHolder, result.RanNo, "partition %d", p)
	case !time.Now().Before(until):
		return hold.Grant{}, result.New(result.RightLapsed, result.RanNo, "partition %d", p)
	}
	return hold.Grant{Partition: p, Epoch: r.epochs[p], Until: until}, nil
}

func (r *rights) Held() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []int
	for p := range testPartitions {
		if r.epochs[p] > 0 {
			out = append(out, p)
		}
	}
	return out
}

// lapse ends all rights at once, without telling the residents.
func (r *rights) lapse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now()
}

// cell is a whole cell inside a synctest bubble: a store, stand-in workers and
// placers whose partitions a test moves by hand.
type cell struct {
	t      *testing.T
	is     *is.I
	engine *memstore.Engine
	store  *memstore.Client
	judge  *judge.Judge
	sim    *workersim.Fleet

	mu     sync.Mutex
	hosts  []platform.Host
	table  view.Table
	values map[string]settings.Values
	muxes  peer.Local
	placer map[string]*placer
	faults []*peerFault
	calls  map[peer.Kind]int
}

// peerFault makes matching calls fail.
type peerFault struct {
	from, to string // empty matches any
	kind     peer.Kind
	times    int  // how many calls still fail; negative: all
	after    bool // the call is made and its answer lost
	hold     chan struct{}
}

// newCell makes a cell with workers in as many racks as there are partitions.
func newCell(t *testing.T, workersPerPartition int) *cell {
	j := judge.New()
	c := &cell{
		t: t, is: is.New(t), engine: memstore.New(), judge: j, sim: workersim.NewFleet(j),
		values: map[string]settings.Values{testBranch: settings.Defaults()}, muxes: peer.Local{},
		placer: map[string]*placer{}, calls: map[peer.Kind]int{},
	}
	c.store = c.engine.Client("test")
	for p := range testPartitions {
		c.table.Partitions = append(c.table.Partitions, view.Partition{ID: p})
		rack := rackOf(p)
		for i := range workersPerPartition {
			name := fmt.Sprintf("w%d-%d", p, i)
			zone := fmt.Sprintf("z%d", i%3)
			c.sim.Add(name, worker.Info{Name: name, Rack: rack, Zone: zone, Size: testSize, Generation: 1})
			c.hosts = append(c.hosts, platform.Host{Name: name, Role: platform.RoleWorker, Addr: name, Rack: rack, Zone: zone})
		}
	}
	t.Cleanup(c.close)
	return c
}

// rackOf finds a rack that belongs to the partition.
func rackOf(p int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("r%d", i); partition.OfRack(name, testPartitions) == p {
			return name
		}
	}
}

// teamOf finds a team whose home is the partition.
func teamOf(p int) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("team%d", i); partition.OfTeam(name, testPartitions) == p {
			return name
		}
	}
}

func (c *cell) Hosts() []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]platform.Host(nil), c.hosts...)
}

func (c *cell) Table() *view.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table
	t.Partitions = append([]view.Partition(nil), t.Partitions...)
	t.Members = append([]view.Member(nil), t.Members...)
	return &t
}

func (c *cell) Settings() *settings.Tree { return nil }

func (c *cell) branch(name string) (settings.Values, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.values[name]
	return v, ok
}

func (c *cell) setBranch(name string, edit func(*settings.Values)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := settings.Defaults()
	edit(&v)
	c.values[name] = v
}

func (c *cell) digests() map[string]taskmsg.Digest {
	c.mu.Lock()
	placers := make([]*placer, 0, len(c.placer))
	for _, p := range c.placer {
		placers = append(placers, p)
	}
	c.mu.Unlock()
	out := map[string]taskmsg.Digest{}
	for _, p := range placers {
		out[p.name] = p.fleet.Digest()
	}
	return out
}

// fail makes calls fail from now on.
func (c *cell) fail(f *peerFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, f)
}

// heal ends all faults of peer calls.
func (c *cell) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.faults {
		if f.hold != nil {
			close(f.hold)
		}
	}
	c.faults = nil
}

// match returns the fault that a call meets, if any, and counts it.
func (c *cell) match(from, to string, kind peer.Kind) *peerFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[kind]++
	for _, f := range c.faults {
		if (f.from != "" && f.from != from) || (f.to != "" && f.to != to) || (f.kind != 0 && f.kind != kind) || f.times == 0 {
			continue
		}
		f.times--
		return f
	}
	return nil
}

// link is one process's way to the others.
type link struct {
	c    *cell
	from string
}

func (l link) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	f := l.c.match(l.from, addr, kind)
	if f != nil && f.hold != nil {
		<-f.hold
		f = nil
	}
	if f != nil && !f.after {
		return result.New(result.PeerNotReached, result.RanNo, "cut")
	}
	l.c.mu.Lock()
	mux := l.c.muxes[addr]
	l.c.mu.Unlock()
	if mux == nil {
		return result.New(result.PeerNotReached, result.RanNo, "no process at %s", addr)
	}
	if f != nil {
		var lost any
		_ = peer.Local{addr: mux}.Call(ctx, addr, kind, req, &lost)
		return result.New(result.PeerLost, result.RanUnknown, "the answer was lost")
	}
	return peer.Local{addr: mux}.Call(ctx, addr, kind, req, resp)
}

// placer is one process of the cell.
type placer struct {
	c      *cell
	name   string
	life   string
	right  *rights
	store  *memstore.Client
	fleet  *fleet.Fleet
	jobs   *Manager
	cancel context.CancelFunc
	done   chan struct{}
}

// start starts a process that holds nothing yet.
func (c *cell) start(name string) *placer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	p := &placer{
		c: c, name: name, life: uuid.Must(uuid.NewV7()).String(), right: &rights{epochs: map[int]uint64{}},
		store: c.engine.Client(name), done: make(chan struct{}),
	}
	peers := link{c, name}
	reg := prometheus.NewRegistry()
	p.fleet = fleet.New(fleet.Config{
		Name: name, Partitions: testPartitions, Lease: testLease, Hosts: c.Hosts, Right: p.right,
		Client: c.sim.Caller(name), Peers: peers, View: c, Registerer: reg, Log: entry,
	})
	p.jobs = New(Config{
		Source: c, Right: p.right, Store: p.store, Peers: peers, Values: c.branch, Digests: c.digests,
		PartitionKey: partitionKey, Registerer: reg, Log: entry,
	})
	mux := peer.NewMux()
	p.fleet.Register(mux)
	p.jobs.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.fleet.Run(ctx); close(p.done) }()
	c.mu.Lock()
	c.muxes[name], c.placer[name] = mux, p
	c.table.Members = append(c.table.Members, view.Member{Name: name, Incarnation: p.life, Addr: name})
	c.mu.Unlock()
	return p
}

func partitionKey(p int) string { return fmt.Sprintf("partitions/%05d", p) }

// take makes a process the holder of partitions, as a claim of the partition's
// record does.
func (p *placer) take(partitions ...int) {
	for _, id := range partitions {
		t := p.c.claim(p, id)
		p.c.is.NoErr(p.fleet.Acquire(context.Background(), t))
		p.c.is.NoErr(p.jobs.Acquire(context.Background(), t))
	}
}

// claim moves a partition's record in the store and in the table.
func (c *cell) claim(p *placer, id int) hold.Takeover {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := &c.table.Partitions[id]
	reply, err := c.store.Commit(context.Background(), platform.Txn{
		If:   []platform.Condition{{Key: partitionKey(id), ModRevision: platform.Revision(rec.ModRevision)}},
		Then: []platform.Write{{Key: partitionKey(id), Value: []byte(p.life)}},
	})
	c.is.NoErr(err)
	c.is.True(reply.Applied)
	fresh := rec.Epoch == 0
	rec.Holder, rec.Incarnation, rec.Addr = p.name, p.life, p.name
	rec.Epoch++
	rec.ModRevision = int64(reply.Revision)
	c.table.Revision = int64(reply.Revision)
	p.right.mu.Lock()
	p.right.epochs[id] = rec.Epoch
	p.right.mu.Unlock()
	return hold.Takeover{Grant: hold.Grant{Partition: id, Epoch: rec.Epoch}, Fresh: fresh, TakenAt: time.Now()}
}

// kill ends a process without a word to anyone; its member record goes.
func (p *placer) kill() {
	p.c.mu.Lock()
	delete(p.c.muxes, p.name)
	delete(p.c.placer, p.name)
	members := p.c.table.Members[:0]
	for _, m := range p.c.table.Members {
		if m.Incarnation != p.life {
			members = append(members, m)
		}
	}
	p.c.table.Members = members
	p.c.mu.Unlock()
	p.right.lapse()
	p.jobs.Close()
	p.cancel()
	<-p.done
}

// close ends everything, so that the bubble can end.
func (c *cell) close() {
	c.heal()
	c.mu.Lock()
	left := make([]*placer, 0, len(c.placer))
	for _, p := range c.placer {
		left = append(left, p)
	}
	c.mu.Unlock()
	for _, p := range left {
		p.kill()
	}
	c.engine.Close()
}

// held fails the test when the judge saw a breach.
func (c *cell) held() {
	c.t.Helper()
	c.sim.Settle()
	for _, v := range c.judge.Violations(time.Now()) {
		c.t.Errorf("%s on %s: %s", v.Rule, v.On, v.Detail)
	}
}

// call asks a process as an entry does.
func call[Resp any](p *placer, kind peer.Kind, req any) (Resp, error) {
	var resp Resp
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := link{p.c, "entry"}.Call(ctx, p.name, kind, req, &resp)
	return resp, err
}

func (p *placer) submit(j spec.Job) (jobmsg.Status, error) {
	return call[jobmsg.Status](p, peer.KindJobSubmit, jobmsg.SubmitRequest{Job: j})
}

func (p *placer) get(id string) (jobmsg.Status, error) {
	r, err := call[jobmsg.GetReply](p, peer.KindJobGet, jobmsg.GetRequest{ID: id})
	return r.Status, err
}

func (p *placer) cancelJob(id string) (jobmsg.Status, error) {
	return call[jobmsg.Status](p, peer.KindJobCancel, jobmsg.CancelRequest{ID: id})
}

// batch makes a job of finite tasks of 1000 mCPU for the team of a partition.
func batch(home, tasks int, run time.Duration) spec.Job {
	return spec.Job{
		ID: uuid.Must(uuid.NewV7()).String(), Team: teamOf(home), Branch: testBranch, Kind: spec.KindBatch, Tasks: tasks,
		Task: spec.Task{Size: spec.Resources{MilliCPU: 1000, MemoryMiB: 500}, RunMillis: run.Milliseconds()},
	}
}

// await waits until the job is in a state, for at most a time.
func (p *placer) await(id string, want jobmsg.State, atMost time.Duration) jobmsg.Status {
	p.c.t.Helper()
	deadline := time.Now().Add(atMost)
	for {
		s, err := p.get(id)
		if err == nil && s.State == want {
			return s
		}
		if time.Now().After(deadline) {
			p.c.t.Fatalf("job %s not %s after %s: %+v, %v", id, want, atMost, s, err)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
}
