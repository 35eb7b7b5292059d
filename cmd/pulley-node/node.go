package main

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/cell"
	"pulleyquay/internal/daemon"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/front"
	"pulleyquay/internal/holder"
	"pulleyquay/internal/hostcall"
	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/result"
	"pulleyquay/internal/traffic"
	"pulleyquay/internal/uptime"
	"pulleyquay/platform"
)

// partitions is the number of partitions of the cell.
const partitions = 1

// hostIdle is how long a connection to a host is kept without use.
const hostIdle = 8 * time.Second

// idleShare is the part of the descriptors, one in so many, that idle connections to
// hosts may take: with thousands of hosts a look waits at each of them besides, and one
// for orders should stay. With a sixth of 8,192 every second order to 3,000 hosts opened
// a connection (urgent work in time 0.65, and 0.92 without a bound).
const idleShare = 2

// node is the process: every part, wired.
type node struct {
	conf   Settings
	daemon *daemon.Daemon
	log    *logrus.Entry

	store   *platform.Store
	writes  *resend.Sender
	health  *follow.Health
	mux     *peer.Mux
	peers   *peer.Node
	self    cell.Member
	view    *cell.View
	entries *cell.Service
	conns   *connections
	claimer *cell.Claimer
	meter   *traffic.Meter
	load    *loadTeller
	catalog *catalog.Keeper
	table   *holder.Table
	front   *front.Front
	server  *http.Server

	cancel context.CancelFunc
}

// newNode makes and connects the parts; nothing runs yet.
func newNode(s Settings, d *daemon.Daemon) *node {
	d.LogAs(s.Name)
	n := &node{conf: s, daemon: d, log: d.Log, mux: peer.NewMux(), view: cell.NewView()}
	n.self = cell.Member{
		Name: s.Name, Incarnation: uuid.NewString(), Addr: s.Listen.peerAddr(), Zone: s.Zone,
		Cores: s.Processors, LinkMbps: s.LinkMbps, StartedUnixMilli: time.Now().UnixMilli(),
	}
	n.health = follow.NewHealth(func(up bool, away time.Duration) {
		if up {
			n.log.WithField("away_ms", away.Milliseconds()).Info("store regained")
			return
		}
		n.log.Warn("store lost")
	})
	n.meter = traffic.NewMeter()
	d.Reg.MustRegister(n.meter)
	n.store = platform.NewStore(s.Store.Address, n.meter.Of("store"))
	n.conns = &connections{health: n.health, log: n.log}
	n.writes = resend.New(n.store, n.health)
	n.writes.Overtaken = n.conns.suspect
	n.peers = peer.NewNode(peer.Hello{Name: s.Name, Incarnation: n.self.Incarnation, Addr: n.self.Addr}, n.mux, n.log)
	n.conns.peers, n.peers.Silent = n.peers, n.conns.suspect
	n.peers.Count = countMessages(n.meter)
	n.entries = &cell.Service{Store: n.store, Health: n.health, Self: n.self, View: n.view, Log: n.log}
	n.catalog = &catalog.Keeper{
		Store: n.store, Health: n.health, Peers: n.peers, Log: n.log,
		Key: platform.CatalogKey, Decode: platform.DecodeCatalog,
	}
	n.addHolder()
	n.addFront()
	d.AddDump("held", func() any { return n.table.Dump() })
	d.AddQuestion("explain", n.table.Explain)
	d.AddReadiness(n.catalog.Lacks)
	d.AddReadiness(n.lacks)
	return n
}

func (n *node) addHolder() {
	orders := platform.NewOrders(hostIdle, n.conf.Descriptors/idleShare, n.meter.Of("hosts"))
	n.conns.parts = append(n.conns.parts, n.store, orders)
	late := &lateness.Timers{}
	metrics := holder.NewMetrics(n.daemon.Reg)
	hosts := hostcall.New(orders, n.health, late.Busy, hostcall.NewMetrics(n.daemon.Reg))
	linkshard.NewServer(n.mux, hosts, n.peers, n.log)
	conf := holder.Config{
		Store: n.store, Health: n.health, Hosts: hosts, Peers: n.peers, Log: n.log,
		Self: n.self.Name, Addr: n.self.Addr, Shards: n.shards,
		Bounds: n.conf.Bounds.engine(), Tuning: engine.DefaultTuning(),
		HostPrefix: platform.HostPrefix, DecodeHost: platform.DecodeHost, HostOf: platform.HostOf,
		Catalog: n.catalog.Current, Lanes: n.lanes, Metrics: metrics, Event: n.event,
		WavePrefix: platform.WavePrefix, DecodeWave: platform.DecodeWave, WaveState: platform.WaveState,
		DutyLease: n.conf.Bounds.DutyLease.Std(), Busy: late.Busy,
	}
	if n.conf.Machines.Address != "" {
		machines := platform.NewMachines(n.conf.Machines.Address)
		n.conns.parts = append(n.conns.parts, machines)
		conf.Machines = machines
	}
	n.table = holder.NewTable(conf, n.mux)
	if n.conf.Policy.Address != "" {
		policy := platform.NewPolicy(n.conf.Policy.Address, n.meter.Of("policy service"))
		n.conns.parts = append(n.conns.parts, policy)
		holder.ServeAdvice(n.mux, policy)
	}
	n.load = &loadTeller{meter: n.meter, metrics: metrics, late: late, table: n.table, log: n.log}
	n.claimer = &cell.Claimer{
		Self: n.self, View: n.view, Store: n.store, Writes: n.writes, Health: n.health, Peers: n.peers, Log: n.log,
		Hold: n.hold, CatalogVersion: n.catalog.Version, Behind: n.catalog.Behind, Late: late,
	}
}

func (n *node) addFront() {
	n.front = &front.Front{
		Store: n.writes, Get: n.store.Get, Health: n.health, Peers: n.peers, View: n.view, Self: n.self.Addr,
		Partitions: partitions, Log: n.log, Metrics: front.NewMetrics(n.daemon.Reg),
	}
}

// lanes maps the members that can ask the policy service to their addresses.
func (n *node) lanes() map[string]string {
	out := map[string]string{}
	for _, m := range n.view.Members(time.Now()) {
		out[m.Name] = m.Addr
	}
	return out
}

// Collecting garbage took a sixth of a holder's processor time at 1,740 starts a second
// with the default of 100 percent; with 300 it takes a third of that, for some 60 MB more.
// Above memoryShare of its memory, one part in so many, it collects as often as it must:
// what callers and peers have sent and it has not read takes memory as well.
const (
	holderGC    = 300
	memoryShare = 2
)

// hold runs a claimed partition, with memory spent to save processor time.
func (n *node) hold(ctx context.Context, l *ledger.Ledger, former ledger.Holder) error {
	before := debug.SetGCPercent(holderGC)
	defer debug.SetGCPercent(before)
	return n.table.Hold(ctx, l, former)
}

// shards lists the members that can make calls to hosts for a holder.
func (n *node) shards() []linkshard.Member {
	var out []linkshard.Member
	for _, m := range n.view.Members(time.Now()) {
		if !m.Leaving {
			out = append(out, linkshard.Member{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Cores: m.Cores, LinkMbps: m.LinkMbps})
		}
	}
	return out
}

// unready is for how long neither store nor holder may have answered before the
// process tells the balancer that it is not ready.
const unready = time.Second

// lacks says what keeps callers from being served here.
func (n *node) lacks() []string {
	if failing := n.health.Failing(time.Now()); failing > unready {
		return []string{"store: no answer for " + failing.Round(time.Millisecond).String()}
	}
	return nil
}

// start opens the listeners and runs the parts.
func (n *node) start(ctx context.Context) error {
	for field, addr := range map[string]string{
		"listen.callers": n.conf.Listen.Callers, "listen.ready": n.conf.Listen.Ready,
		"listen.peer": n.conf.Listen.Peer, "listen.admin": n.conf.Listen.Admin,
	} {
		l, err := daemon.Listen(addr, field)
		if err != nil {
			return err
		}
		n.serve(l, field)
	}
	ctx, n.cancel = context.WithCancel(ctx)
	n.front.Start()
	n.front.Serve(n.mux)
	n.catalog.Start(ctx, n.mux)
	n.claimer.Start(ctx, n.mux, partitions)
	go n.entries.Run(ctx)
	go n.load.run(ctx)
	go (&waker{suspended: uptime.Suspended, woke: n.conns.suspect, log: n.log}).run(ctx)
	if n.conf.MemoryMiB > 0 {
		debug.SetMemoryLimit(n.conf.MemoryMiB << 20 / memoryShare)
	}
	n.log.WithField("process", n.daemon.Name).Info("started")
	return nil
}

// serve answers what belongs to a listener.
func (n *node) serve(l net.Listener, field string) {
	mux := http.NewServeMux()
	switch field {
	case "listen.callers":
		n.server = n.daemon.Serve(n.meter.Of("callers").Listener(l), alice.New(n.closeWhileStopping).Then(platform.Callers{
			Catalog: n.catalog.Current, Jobs: n.front, Margin: front.AnswerMargin, Patience: front.DefaultPatience,
			Refused: n.front.Metrics.Refused,
		}))
		return
	case "listen.ready":
		mux.HandleFunc("GET "+platform.ReadyPath, n.daemon.ServeReady)
	case "listen.peer":
		mux.Handle(peer.Path, n.peers)
	case "listen.admin":
		mux.Handle("/", n.daemon.Admin())
	}
	n.daemon.Serve(l, mux)
}

// closeWhileStopping asks callers for a new connection once a planned stop has
// begun, so that their next request goes through the balancer again.
func (n *node) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.daemon.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop hands the partitions over and lets the requests in flight end.
func (n *node) stop(ctx context.Context) error {
	n.claimer.Leave(ctx)
	err := n.server.Shutdown(ctx)
	if leaveErr := n.entries.Leave(ctx); leaveErr != nil {
		n.log.WithError(leaveErr).Warn("left without telling the store")
	}
	n.cancel()
	n.peers.Close()
	if err != nil {
		return result.New(result.StopTimeout, result.RanUnknown, "%v", err)
	}
	return nil
}
