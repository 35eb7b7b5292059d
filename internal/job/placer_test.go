package job

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/fleet"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/confirm"
	"pulleyquay/internal/platform/groupcommit"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/view"
)

// placer is one process of the cell.
type placer struct {
	reg         *prometheus.Registry
	c           *cell
	name        string
	incarnation string
	authority   *fakeAuthority
	store       *memstore.Client
	fleet       *fleet.Fleet
	jobs        *Manager
	cancel      context.CancelFunc
	done        chan struct{}
	// storeAge is the time since the last contact with the store that the process assumes.
	storeAge atomic.Int64
}

// start starts a process that holds no partition yet.
func (c *cell) start(name string) *placer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	p := &placer{
		c: c, name: name, incarnation: newID(), authority: &fakeAuthority{epochs: map[int]uint64{}},
		store: c.engine.Client(name), done: make(chan struct{}),
	}
	peers := peerLink{c, name}
	reg := prometheus.NewRegistry()
	p.reg = reg
	p.fleet = fleet.New(fleet.Config{
		Name: name, Partitions: testPartitions, Lease: testLease, Hosts: c.Hosts, Authorizer: p.authority,
		Client: c.sim.Caller(name), Peers: peers, View: c, Registerer: reg, Log: entry,
	})
	p.jobs = New(Config{
		Source: c, Authorizer: p.authority, Store: p.newStore(reg), Peers: peers, Values: c.branch, Digests: c.digests,
		PartitionKey: partitionKey, Registerer: reg, Log: entry,
		StoreAge: func() time.Duration { return time.Duration(p.storeAge.Load()) },
	})
	mux := peer.NewMux()
	p.fleet.Register(mux)
	p.jobs.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.fleet.Run(ctx); close(p.done) }()
	c.mu.Lock()
	c.muxes[name], c.placer[name] = mux, p
	c.table.Members = append(c.table.Members, view.Member{Name: name, Incarnation: p.incarnation, Addr: name})
	c.mu.Unlock()
	return p
}

// newStore returns the process's store, built as in the placer command.
func (p *placer) newStore(reg prometheus.Registerer) platform.Store {
	confirmed, err := confirm.New(p.store, confirm.Options{Registry: reg})
	p.c.is.NoErr(err)
	grouped, err := groupcommit.New(confirmed, groupcommit.Options{Registry: reg})
	p.c.is.NoErr(err)
	return grouped
}

// counter returns the value of one of the process's counters.
func (p *placer) counter(name string) float64 {
	families, err := p.reg.Gather()
	p.c.is.NoErr(err)
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	p.c.t.Fatalf("no counter %s", name)
	return 0
}

func partitionKey(p int) string { return fmt.Sprintf("partitions/%05d", p) }

// acquire makes a process the holder of partitions by claiming their records.
func (p *placer) acquire(partitions ...int) {
	for _, id := range partitions {
		t := p.c.claim(p, id)
		p.c.is.NoErr(p.fleet.Acquire(context.Background(), t))
		p.c.is.NoErr(p.jobs.Acquire(context.Background(), t))
	}
}

// claim updates a partition's record in the store and in the table.
func (c *cell) claim(p *placer, id int) hold.Acquisition {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := &c.table.Partitions[id]
	reply, err := c.store.Commit(context.Background(), platform.Txn{
		If:   []platform.Condition{{Key: partitionKey(id), ModRevision: platform.Revision(rec.ModRevision)}},
		Then: []platform.Write{{Key: partitionKey(id), Value: []byte(p.incarnation)}},
	})
	c.is.NoErr(err)
	c.is.True(reply.Applied)
	fresh := rec.Epoch == 0
	rec.Holder, rec.Incarnation, rec.Addr = p.name, p.incarnation, p.name
	rec.Epoch++
	rec.ModRevision = int64(reply.Revision)
	c.table.Revision = int64(reply.Revision)
	p.authority.mu.Lock()
	p.authority.epochs[id] = rec.Epoch
	p.authority.mu.Unlock()
	return hold.Acquisition{Grant: hold.Grant{Partition: id, Epoch: rec.Epoch}, NeverHeld: fresh, AcquiredAt: time.Now()}
}

// kill ends a process without notifying any other; its member record is removed.
func (p *placer) kill() {
	p.c.mu.Lock()
	delete(p.c.muxes, p.name)
	delete(p.c.placer, p.name)
	members := p.c.table.Members[:0]
	for _, m := range p.c.table.Members {
		if m.Incarnation != p.incarnation {
			members = append(members, m)
		}
	}
	p.c.table.Members = members
	p.c.mu.Unlock()
	p.authority.expire()
	p.jobs.Close()
	p.cancel()
	<-p.done
}

// call sends a request to a process as an entry does.
func call[Resp any](p *placer, kind peer.Kind, req any) (Resp, error) {
	var resp Resp
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := peerLink{p.c, "entry"}.Call(ctx, p.name, kind, req, &resp)
	return resp, err
}

func (p *placer) submit(j spec.Job) (jobmsg.Status, error) {
	return call[jobmsg.Status](p, peer.KindJobSubmit, jobmsg.SubmitRequest{Job: j})
}

func (p *placer) get(id string) (jobmsg.Status, error) {
	r, err := call[jobmsg.GetReply](p, peer.KindJobGet, jobmsg.GetRequest{ID: id})
	return r.Status, err
}

func (p *placer) explain(id string) (jobmsg.GetReply, error) {
	return call[jobmsg.GetReply](p, peer.KindJobGet, jobmsg.GetRequest{ID: id, Explain: true})
}

func (p *placer) cancelJob(id string) (jobmsg.Status, error) {
	return call[jobmsg.Status](p, peer.KindJobCancel, jobmsg.CancelRequest{ID: id})
}

// batch returns a job of finite tasks of 1000 MilliCPU each for the team of a partition.
func batch(partitionID, tasks int, run time.Duration) spec.Job {
	return spec.Job{
		ID: newID(), Team: teamOf(partitionID), Branch: testBranch, Kind: spec.KindBatch, Tasks: tasks,
		Task: spec.Task{Size: spec.Resources{MilliCPU: 1000, MemoryMiB: 500}, RunMillis: run.Milliseconds()},
	}
}

// await waits until the job is in a state and fails the test after a timeout.
func (p *placer) await(id string, want jobmsg.State, timeout time.Duration) jobmsg.Status {
	p.c.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		s, err := p.get(id)
		if err == nil && s.State == want {
			return s
		}
		if time.Now().After(deadline) {
			p.c.t.Fatalf("job %s not %s after %s: %+v, %v", id, want, timeout, s, err)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
}

// newID returns a UUIDv7 with the time of the bubble. uuid.NewV7 cannot be used, as its time never
// goes back, which happens at the start of each bubble.
func newID() string {
	id := uuid.New()
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}
