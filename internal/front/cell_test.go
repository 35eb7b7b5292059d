package front

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/catalog"
	"pulleyquay/internal/cell"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/holder"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// simCell is a simulated cell: members that accept jobs and hold the partition, a store and hosts.
type simCell struct {
	t     *testing.T
	log   *logrus.Logger
	store *memstore.Engine
	fleet *hostsim.Fleet
	net   *simNetwork
	// mute keeps members from notifying the holder of accepted jobs.
	mute bool
	// configuration is the configuration in force; empty if nil.
	configuration atomic.Pointer[catalog.Catalog]

	mu      sync.Mutex
	members map[string]*simMember // the running ones, by name
	starts  int                   // started processes so far
}

const (
	// oneWayLatency is the latency of a message and of a call to a host or the store, each way.
	oneWayLatency = time.Millisecond
	// hostPrefix is the store prefix of the hosts' entries.
	hostPrefix = "hosts/"
	// simEndedJobTTL is how long ended jobs are kept: short enough for records to be deleted during a
	// simulation, and longer than a notification or a call to the store can be late.
	simEndedJobTTL = 20 * time.Second
	// pageRecords is the number of records in one page of a list.
	pageRecords = 7
	// pageTimeout bounds one page of a list.
	pageTimeout = 1500 * time.Millisecond
)

func newSimCell(t *testing.T, members, hosts int, logOutput io.Writer, mute bool) *simCell {
	log := logrus.New()
	log.SetOutput(logOutput)
	c := &simCell{
		t: t, log: log, store: memstore.New(), fleet: hostsim.NewFleet(hostsim.RealClock{}),
		net: &simNetwork{muxes: peer.Local{}, cut: map[string]bool{}}, members: map[string]*simMember{}, mute: mute,
	}
	c.restoreStore()
	c.fleet.Add(hosts, "s", spec.Resources{MilliCPU: 64000, MemoryMiB: 262144})
	for _, h := range c.fleet.Listed() {
		c.store.Put(platform.Write{Key: hostPrefix + string(h.ID), Value: []byte(h.Addr)})
	}
	for i := range members {
		c.startMember(fmt.Sprint("m", i))
	}
	return c
}

// restoreStore ends the faults of the calls to the store that affect every member.
func (c *simCell) restoreStore() { c.store.SetFaults(withLatency(memstore.Faults{})) }

// withLatency adds the store's usual latency to faults.
func withLatency(f memstore.Faults) memstore.Faults {
	f.RequestDelayMS += oneWayLatency.Milliseconds()
	f.AnswerDelayMS += oneWayLatency.Milliseconds()
	return f
}

// simMember is one process of the cell.
type simMember struct {
	*Front
	name    string
	ctx     context.Context
	cancel  context.CancelFunc
	client  *memstore.Client
	claimer *cell.Claimer
	port    *simPort
	entries *cell.Service
}

// startMember starts a process with an empty memory under a member's name, unless one is running.
func (c *simCell) startMember(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members[name] != nil {
		return
	}
	c.starts++
	incarnation := fmt.Sprint(name, "-", c.starts)
	client, mux, view, health := c.store.Client(incarnation), peer.NewMux(), cell.NewView(), follow.NewHealth(nil)
	port := &simPort{net: c.net, addr: name}
	log := c.log.WithField("member", incarnation)
	self := cell.Member{Name: name, Incarnation: incarnation, Addr: name, Cores: 1, LinkMbps: 10, StartedUnixMilli: time.Now().UnixMilli()}
	store, writes := pagedStore{client}, resend.New(client, health)
	m := &simMember{name: name, client: client, port: port}
	m.ctx, m.cancel = context.WithCancel(c.t.Context())
	m.Front = &Front{
		Store: writes, Get: client.Get, Health: health, Peers: port, View: view, Self: name, Partitions: 1,
		Log: log, Metrics: NewMetrics(prometheus.NewRegistry()), Limits: &overload.Limits{},
	}
	table := holder.NewTable(c.holderConfig(m, store), mux)
	m.claimer = &cell.Claimer{
		Self: self, View: view, Store: store, Writes: writes, Health: health, Peers: port, Log: log, Hold: table.Hold,
		CatalogVersion: func() int64 { return 1 }, Behind: func(string) {}, Lateness: &lateness.Timers{},
	}
	m.claimer.Limits = &cell.LimitExchange{Measured: table.Limits, Apply: m.Limits.Apply, JobsInDoubt: m.JobsInDoubt}
	m.entries = &cell.Service{Store: store, Health: health, Self: self, View: view, Log: log}
	m.Start()
	if c.mute {
		m.notifier.pending = maxPending
	}
	m.Serve(mux)
	m.claimer.Start(m.ctx, mux, 1)
	c.net.register(name, mux) // all handlers are registered
	go m.entries.Run(m.ctx)
	c.members[name] = m
}

func (c *simCell) holderConfig(m *simMember, store platform.Poller) holder.Config {
	return holder.Config{
		Store: store, Health: m.Health, Hosts: simHosts{c.fleet, m.ctx}, Peers: m.port, Log: m.Log,
		Self: m.name, Addr: m.name, Shards: func() []linkshard.Member { return nil }, Tuning: engine.DefaultTuning(),
		Bounds: engine.Bounds{
			MaxLease: hostsim.DefaultBounds.MaxLease, MaxStopTime: hostsim.DefaultBounds.MaxStopTime,
			GangTimeout: hostsim.DefaultBounds.GangTimeout, EndedJobTTL: simEndedJobTTL,
		},
		HostPrefix: hostPrefix, HostOf: func(key string) host.ID { return host.ID(strings.TrimPrefix(key, hostPrefix)) },
		DecodeHost: func(rec platform.Record) (host.Info, error) {
			return c.fleet.Host(host.ID(strings.TrimPrefix(rec.Key, hostPrefix))).Info(), nil
		},
		Catalog: c.currentConfiguration, PolicyMembers: func() *advice.Members { return &advice.Members{} },
		Metrics: holder.NewMetrics(prometheus.NewRegistry()), Busy: func() bool { return false },
		Event: func(e engine.Event) {
			m.Log.WithFields(logrus.Fields{"job": e.Job, "host": e.Host, "why": e.Why}).Info(e.What)
		},
	}
}

func (c *simCell) currentConfiguration() *catalog.Catalog {
	if current := c.configuration.Load(); current != nil {
		return current
	}
	return &catalog.Catalog{}
}

// kill ends a process without any notice. Its calls to the store may still arrive.
func (c *simCell) kill(name string) {
	c.mu.Lock()
	m := c.members[name]
	delete(c.members, name)
	c.mu.Unlock()
	if m == nil {
		return
	}
	m.port.kill()
	c.net.unregister(name)
	m.cancel()
}

// stop does the planned stop of a process.
func (c *simCell) stop(name string) {
	c.mu.Lock()
	m := c.members[name]
	c.mu.Unlock()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, plannedStopLimit)
	defer cancel()
	m.claimer.Leave(ctx)
	_ = m.entries.Leave(ctx) // without the store the entry expires
	c.kill(name)
}

// plannedStopLimit bounds a planned stop.
const plannedStopLimit = 6 * time.Second

// running returns a running process, or nil.
func (c *simCell) running(name string) *simMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[name]
}

// holder returns the holder in force according to the store.
func (c *simCell) holder() ledger.Holder {
	h, err := ledger.DecodeHolder(platform.Record{Key: ledger.HolderKey(0), Value: c.store.Get(ledger.HolderKey(0))})
	if err != nil {
		return ledger.Holder{} // none yet
	}
	return h
}

// knownAtHolder reports whether the holder in force knows a job.
func (c *simCell) knownAtHolder(id string) bool {
	var reply holder.JobReply
	err := c.net.call(c.t.Context(), "judge", c.holder().Addr, peer.KindJobState, holder.JobRequest{Job: id}, &reply)
	return err == nil && reply.Found
}

// runningTasks returns the number of a job's tasks that are running on hosts.
func (c *simCell) runningTasks(id string) int {
	tasks := map[spec.StepTask]bool{}
	for _, h := range c.fleet.Hosts() {
		for _, r := range h.Running() {
			if r.Task.Job == id {
				tasks[r.Task] = true
			}
		}
	}
	return len(tasks)
}

// close ends all processes and waits until their pending calls have ended.
func (c *simCell) close() {
	c.mu.Lock()
	var names []string
	for name := range c.members {
		names = append(names, name)
	}
	c.mu.Unlock()
	for _, name := range names {
		c.kill(name)
	}
	c.store.SetFaults(memstore.Faults{})
	time.Sleep(2 * notifyPeriod)
	c.store.Close()
}

// pagedStore reads lists in pages, between which records may be written, as the platform does.
type pagedStore struct{ *memstore.Client }

func (s pagedStore) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	var out []platform.Record
	var first platform.Revision
	for {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		records, revision, err := s.Client.List(pageCtx, prefix)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = revision
		}
		last, n := "", 0
		if len(out) > 0 {
			last = out[len(out)-1].Key
		}
		for _, rec := range records {
			if rec.Key > last && n < pageRecords {
				out = append(out, rec)
				n++
			}
		}
		if n < pageRecords {
			return out, first, nil
		}
	}
}

// simNetwork carries messages between members.
type simNetwork struct {
	mu    sync.Mutex
	muxes peer.Local
	cut   map[string]bool // members without connection to the others
}

func (n *simNetwork) register(addr string, mux *peer.Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muxes[addr] = mux
}

func (n *simNetwork) unregister(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.muxes, addr)
}

func (n *simNetwork) setCut(addr string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = cut
}

// route returns the process at an address, nil if there is none, and whether messages are lost.
func (n *simNetwork) route(from, to string) (mux *peer.Mux, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[to], from != to && (n.cut[from] || n.cut[to])
}

func (n *simNetwork) call(ctx context.Context, from, to string, kind peer.Kind, req, resp any) error {
	time.Sleep(oneWayLatency)
	mux, cut := n.route(from, to)
	if cut {
		<-ctx.Done()
		return result.New(result.PeerLost, result.RanUnknown, "disconnected")
	}
	if mux == nil {
		return result.New(result.PeerNotReached, result.RanNo, "no process at %s", to)
	}
	err := peer.Local{to: mux}.Call(ctx, to, kind, req, resp)
	time.Sleep(oneWayLatency)
	now, cut := n.route(from, to)
	if cut {
		<-ctx.Done()
	}
	if cut || now != mux || ctx.Err() != nil {
		return result.New(result.PeerLost, result.RanUnknown, "the reply was lost")
	}
	return err
}

// simPort is one process's connection to the network.
type simPort struct {
	net  *simNetwork
	addr string

	mu     sync.Mutex
	killed bool
}

func (p *simPort) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *simPort) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *simPort) Call(ctx context.Context, addr string, kind peer.Kind, req, resp any) error {
	if p.isKilled() {
		return result.New(result.PeerNotReached, result.RanNo, "this process was killed")
	}
	return p.net.call(ctx, p.addr, addr, kind, req, resp)
}

// simHosts calls simulated hosts for one process, until the process is killed.
type simHosts struct {
	fleet  *hostsim.Fleet
	caller context.Context
}

func (s simHosts) call(ctx context.Context, to host.Info, deliver func(*hostsim.Host)) error {
	time.Sleep(oneWayLatency)
	if ctx.Err() != nil || s.caller.Err() != nil {
		return host.ErrLost
	}
	deliver(s.fleet.Host(to.ID))
	time.Sleep(oneWayLatency)
	if ctx.Err() != nil || s.caller.Err() != nil {
		return host.ErrLost
	}
	return nil
}

func (s simHosts) Start(ctx context.Context, to host.Info, epoch uint64, start host.Start) (r host.Reply, err error) {
	err = s.call(ctx, to, func(h *hostsim.Host) { r = h.Start(epoch, start) })
	return r, err
}

func (s simHosts) Stop(ctx context.Context, to host.Info, epoch uint64, run host.Run) (r host.Reply, err error) {
	err = s.call(ctx, to, func(h *hostsim.Host) { r = h.Stop(epoch, run) })
	return r, err
}

func (s simHosts) Throttle(ctx context.Context, to host.Info, epoch uint64, run host.Run, percent int) (r host.Reply, err error) {
	err = s.call(ctx, to, func(h *hostsim.Host) { r = h.Throttle(epoch, run, percent) })
	return r, err
}

func (s simHosts) Poll(ctx context.Context, to host.Info, epoch uint64, poll host.Poll) (v host.View, err error) {
	err = s.call(ctx, to, func(h *hostsim.Host) {
		reply := make(chan host.View, 1)
		h.Poll(epoch, poll, func(v host.View) { reply <- v })
		select {
		case v = <-reply:
		case <-ctx.Done():
		}
	})
	return v, err
}

// simQueue is the queue of all jobs.
var simQueue = &catalog.Queue{Name: "q", Service: "s", Rules: catalog.Rules{MaxAttempts: 3}}

// lastingJob is a job of tasks that run until it is cancelled, shortJob one that ends soon.
var (
	lastingJob = spec.Graph{Steps: []spec.Step{{Count: lastingTasks, LongRunning: true, Size: spec.Resources{MilliCPU: 500}}}}
	shortJob   = spec.Graph{Steps: []spec.Step{{Count: 1, EstimateMillis: 50, Size: spec.Resources{MilliCPU: 500}}}}
)

const lastingTasks = 2

// submit submits a job at a member as a caller does, and at others until an answer is final. It
// reports whether the job was accepted.
func (c *simCell) submit(id string, g spec.Graph, members []string) bool {
	c.fleet.AddJob(&record.Job{ID: id, Queue: "q", Service: "s", Rules: simQueue.Rules, Graph: g})
	for _, name := range members {
		m := c.running(name)
		if m == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, DefaultCallTimeout-AnswerMargin)
		err := m.Submit(ctx, Caller{}, simQueue, id, g)
		cancel()
		if m.ctx.Err() == nil && err == nil {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
