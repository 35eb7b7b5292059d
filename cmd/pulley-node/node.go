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
	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/front"
	"pulleyquay/internal/holder"
	"pulleyquay/internal/hostcall"
	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/linkshard"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/platform/unreadable"
	"pulleyquay/internal/result"
	"pulleyquay/internal/traffic"
	"pulleyquay/internal/uptime"
	"pulleyquay/platform"
)

// partitions is the number of partitions of the cell.
const partitions = 1

// hostIdleTimeout is how long an unused connection to a host is kept open.
const hostIdleTimeout = 8 * time.Second

// idleDescriptorShare is the divisor that gives the share of file descriptors for idle
// connections to hosts. With thousands of hosts each host has a poll pending, and one more
// connection per host should stay open for orders. With a sixth of 8,192 descriptors every second order to 3,000 hosts
// opened a connection, and a share of 0.65 of urgent work was in time (0.92 without a limit).
const idleDescriptorShare = 2

// entryHeartbeats is the number of heartbeat intervals for which the platform keeps the entry of a silent host.
const entryHeartbeats = 3

// node holds the components of the process.
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
	load    *loadReporter
	catalog *catalog.Watcher
	table   *holder.Table
	front   *front.Front
	limits  *overload.Limits
	server  *daemon.Server
	// unreadable counts records in the store that can't be decoded.
	unreadable *unreadable.Counters

	cancel context.CancelFunc
}

// newNode creates and connects the components without starting them.
func newNode(s Settings, d *daemon.Daemon) *node {
	d.SetMemberName(s.Name)
	d.LimitClients(httplimit.For(httplimit.Machine{Memory: s.MemoryMiB << 20, Descriptors: s.Descriptors}, s.Clients))
	n := &node{conf: s, daemon: d, log: d.Log, mux: peer.NewMux(), view: cell.NewView(), limits: &overload.Limits{}}
	n.self = cell.Member{
		Name: s.Name, Incarnation: uuid.NewString(), Addr: s.Listen.peerAddr(), Zone: s.Zone,
		Cores: s.Processors, LinkMbps: s.LinkMbps, StartedUnixMilli: time.Now().UnixMilli(),
	}
	n.health = follow.NewHealth(func(up bool, outage time.Duration) {
		if up {
			n.log.WithField("away_ms", outage.Milliseconds()).Info("store regained")
			return
		}
		n.log.Warn("store lost")
	})
	n.unreadable = unreadable.NewCounters(d.Reg)
	n.meter = traffic.NewMeter()
	d.Reg.MustRegister(n.meter)
	n.store = platform.NewStore(s.Store.Address, n.meter.ForPurpose("store"))
	n.conns = &connections{health: n.health, log: n.log}
	n.writes = resend.New(n.store, n.health)
	n.writes.OnReplyLost = n.conns.reconnectAll
	n.peers = peer.NewNode(peer.Hello{Name: s.Name, Incarnation: n.self.Incarnation, Addr: n.self.Addr}, n.mux, n.log)
	n.conns.peers, n.peers.OnSilentLink = n.peers, n.conns.reconnectAll
	n.peers.OnTraffic = countMessages(n.meter)
	n.entries = &cell.Service{Store: n.store, Health: n.health, Self: n.self, View: n.view, Log: n.log, Unreadable: n.unreadable}
	n.catalog = &catalog.Watcher{
		Store: n.store, Health: n.health, Peers: n.peers, Log: n.log,
		Key: platform.CatalogKey, Decode: platform.DecodeCatalog, Prefix: platform.OperatorPrefix,
		Evacuations: &evacuation.Tracker{Prefix: platform.EvacuationPrefix, Log: n.log}, Unreadable: n.unreadable,
	}
	n.addHolder()
	n.addFront()
	d.AddDump("held", func() any { return n.table.Dump() })
	d.AddDump("limits", func() any { return n.limits.Dump(time.Now()) })
	d.AddQuery("explain", n.table.Explain)
	d.AddReadinessCheck(n.catalog.NotReadyReasons)
	d.AddReadinessCheck(n.unreadyReasons)
	return n
}

func (n *node) addHolder() {
	orders := platform.NewHostClient(hostIdleTimeout, n.conf.Descriptors/idleDescriptorShare, n.meter.ForPurpose("hosts"))
	n.conns.clients = append(n.conns.clients, n.store, orders)
	timers := &lateness.Timers{}
	metrics := holder.NewMetrics(n.daemon.Reg)
	hosts := hostcall.New(orders, n.health, n.conf.Processors, timers.Busy, hostcall.NewMetrics(n.daemon.Reg))
	linkshard.NewServer(n.mux, hosts, n.peers, n.log)
	conf := holder.Config{
		Store: n.store, Health: n.health, Hosts: hosts, Peers: n.peers, Log: n.log,
		Self: n.self.Name, Addr: n.self.Addr, Shards: n.shards,
		Bounds: n.conf.Bounds.engine(), Tuning: engine.DefaultTuning(),
		HostPrefix: platform.HostPrefix, DecodeHost: platform.DecodeHost, HostOf: platform.HostOf, HeartbeatOnly: platform.HeartbeatOnly,
		HostContent: platform.WithoutHeartbeat, Unreadable: n.unreadable,
		EntryLifetime: entryHeartbeats * n.conf.Bounds.Heartbeat.Std(),
		Catalog:       n.catalog.Current, Evacuations: n.catalog.Evacuations.Current, PolicyMembers: (&policyMembers{view: n.view}).current, Metrics: metrics, Event: n.logEvent,
		WavePrefix: platform.WavePrefix, DecodeWave: platform.DecodeWave, WaveState: platform.WaveState,
		DutyLease: n.conf.Bounds.DutyLease.Std(), Busy: timers.Busy,
	}
	if n.conf.Machines.Address != "" {
		machines := platform.NewMachines(n.conf.Machines.Address)
		n.conns.clients = append(n.conns.clients, machines)
		conf.Machines = machines
	}
	n.table = holder.NewTable(conf, n.mux)
	if n.conf.Policy.Address != "" {
		policy := platform.NewPolicy(n.conf.Policy.Address, n.meter.ForPurpose("policy service"))
		n.conns.clients = append(n.conns.clients, policy)
		holder.ServePolicyQueries(n.mux, policy)
	}
	n.load = &loadReporter{meter: n.meter, metrics: metrics, timers: timers, table: n.table, log: n.log, hostConns: orders.Connections}
	n.claimer = &cell.Claimer{
		Self: n.self, View: n.view, Store: n.store, Writes: n.writes, Health: n.health, Peers: n.peers, Log: n.log,
		Hold: n.hold, CatalogVersion: n.catalog.Version, Behind: n.catalog.FetchFrom, Lateness: timers,
		EvacuationsRevision: n.catalog.EvacuationsRevision, EvacuationsChanged: n.catalog.EvacuationsChanged,
	}
}

func (n *node) addFront() {
	n.front = &front.Front{
		Store: n.writes, Get: n.store.Get, Health: n.health, Peers: n.peers, View: n.view, Self: n.self.Addr,
		Partitions: partitions, Log: n.log, Metrics: front.NewMetrics(n.daemon.Reg), Limits: n.limits,
	}
	n.claimer.Limits = &cell.LimitExchange{Measured: n.table.Limits, Apply: n.limits.Apply, JobsInDoubt: n.front.JobsInDoubt}
}

// Garbage collection took a sixth of a holder's processor time at 1,740 starts a second
// with the default of 100 percent; with 300 it takes a third of that, for some 60 MB more.
// Above the process's memory divided by gcMemoryShare the runtime collects as often as needed:
// data from callers and peers that the process has not read yet takes memory as well.
const (
	holderGCPercent = 300
	gcMemoryShare   = 2
)

// hold runs a claimed partition, with a GC target that trades memory for processor time.
func (n *node) hold(ctx context.Context, l *ledger.Ledger, previous ledger.Predecessor) error {
	before := debug.SetGCPercent(holderGCPercent)
	defer debug.SetGCPercent(before)
	return n.table.Hold(ctx, l, previous)
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

// unreadyAfter is the time without a reply from either the store or the holder after which
// the process reports itself as not ready to the load balancer.
const unreadyAfter = time.Second

// unreadyReasons returns why this process can't serve callers, or nil.
func (n *node) unreadyReasons() []string {
	if failing := n.health.FailingFor(time.Now()); failing > unreadyAfter {
		return []string{"store: no answer for " + failing.Round(time.Millisecond).String()}
	}
	return nil
}

// start opens the listeners and starts the components.
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
	go (&suspensionWatcher{suspended: uptime.Suspended, resumed: n.conns.reconnectAll, log: n.log}).run(ctx)
	if n.conf.MemoryMiB > 0 {
		debug.SetMemoryLimit(n.conf.MemoryMiB << 20 / gcMemoryShare)
	}
	n.log.WithField("process", n.daemon.Name).Info("started")
	return nil
}

// serve serves the paths that belong to the listener of a settings field.
func (n *node) serve(l net.Listener, field string) {
	mux := http.NewServeMux()
	switch field {
	case "listen.callers":
		n.server = n.daemon.ServeCallers(n.meter.ForPurpose("callers").Listener(l), alice.New(n.closeWhileStopping).Then(platform.Callers{
			Catalog: n.catalog.Current, Jobs: n.front, Margin: front.AnswerMargin, DefaultTimeout: front.DefaultCallTimeout,
			Refused: n.front.Metrics.Refused,
		}))
		return
	case "listen.ready":
		mux.HandleFunc("GET "+platform.ReadyPath, n.daemon.ServeReady)
	case "listen.peer":
		mux.Handle(peer.Path, n.peers)
		n.daemon.ServePeers(l, mux)
		return
	case "listen.admin":
		mux.Handle("/", n.daemon.Admin())
	}
	n.daemon.Serve(l, mux)
}

// closeWhileStopping has callers close their connections once a planned stop has
// begun, so that their next request goes through the load balancer again.
func (n *node) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.daemon.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop hands the partitions over, waits for the requests in flight and deregisters the
// process from the store.
func (n *node) stop(ctx context.Context) error {
	n.claimer.Leave(ctx)
	err := n.server.Shutdown(ctx)
	if deregisterErr := n.entries.Leave(ctx); deregisterErr != nil {
		n.log.WithError(deregisterErr).Warn("could not deregister this process from the store")
	}
	n.cancel()
	n.peers.Close()
	if err != nil {
		return result.New(result.StopTimeout, result.RanUnknown, "%v", err)
	}
	return nil
}
