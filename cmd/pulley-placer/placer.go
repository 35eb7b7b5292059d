package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor/exechttp"
	"pulleyquay/internal/fleet"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/httponce"
	"pulleyquay/internal/job"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/budget"
	"pulleyquay/internal/platform/confirm"
	"pulleyquay/internal/platform/etcdhttp"
	"pulleyquay/internal/platform/groupcommit"
	"pulleyquay/internal/platform/hostcache"
	"pulleyquay/internal/platform/hosthttp"
	"pulleyquay/internal/request"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker/workerhttp"
)

// The names of the values that placers attach to their heartbeats.
const (
	extraCapacity = "capacity" // taskmsg.Digest
	extraSettings = "settings" // int64, settings.Manager.AppliedRevision
	extraSlots    = "slots"    // map of service to free slots
)

// placer holds the components of the process.
type placer struct {
	conf   Settings
	daemon *daemon.Daemon
	log    *logrus.Entry

	mux   *peer.Mux
	node  *peer.Node
	store platform.Store
	calls *budget.Store // the rate limiter under store, for the state dump
	hosts *hostcache.Cache

	settings    *settings.Manager
	holdManager *hold.Manager
	fleet       *fleet.Fleet
	jobs        *job.Manager
	dispatch    *dispatch.Dispatcher
	requests    *request.Home

	cancel context.CancelFunc
}

// newPlacer creates and connects the components without starting them.
func newPlacer(s Settings, d *daemon.Daemon) (*placer, error) {
	p := &placer{conf: s, daemon: d, log: d.Log.WithField("name", s.Name), mux: peer.NewMux()}
	p.node = peer.NewNode(peer.Hello{Name: s.Name, Addr: s.Listen.Peer, Cell: s.Cell}, p.mux, p.log)
	if err := p.addStore(); err != nil {
		return nil, err
	}
	list := hosthttp.New(s.HostList.Address)
	p.hosts = hostcache.New(list, s.HostList.Interval.Std(), d.Reg, p.log)
	p.addSettings()
	if err := p.addHoldManager(); err != nil {
		return nil, err
	}
	p.addWork()
	p.register()
	p.observe()
	return p, nil
}

// expectedMembers is the number of placers assumed to share the store's rate limits until
// the members are known.
const expectedMembers = 16

func (p *placer) addStore() error {
	client, err := etcdhttp.New(etcdhttp.Options{Endpoints: p.conf.Store.Endpoints, Name: p.conf.Name})
	if err != nil {
		return err
	}
	limits := budget.DefaultLimits()
	limits.ReadsPerSecond = p.conf.Store.ReadsPerSecond
	limits.WritesPerSecond = p.conf.Store.WritesPerSecond
	p.calls, err = budget.New(client, budget.Options{Limits: limits, Registry: p.daemon.Reg})
	if err != nil {
		return err
	}
	p.calls.SetProcesses(expectedMembers)
	confirmed, err := confirm.New(p.calls, confirm.Options{Registry: p.daemon.Reg})
	if err != nil {
		return err
	}
	p.store, err = groupcommit.New(confirmed, groupcommit.Options{Registry: p.daemon.Reg})
	return err
}

func (p *placer) addSettings() {
	p.settings = settings.NewManager(settings.ManagerConfig{
		Store: p.store, Caller: p.node, Log: p.log, Metrics: p.daemon.Reg,
		Peers:            p.otherPlacers,
		MemberRevisions:  func() map[string]int64 { return p.holdManager.AppliedRevisions() },
		AppliedRevisions: p.settingsApplied,
		IsCollector:      p.collectsSettings,
	})
}

func (p *placer) addHoldManager() error {
	var err error
	p.holdManager, err = hold.New(hold.Deps{
		Store: p.store, Peers: p.node, Mux: p.mux,
		Self:   view.Member{Name: p.conf.Name, Addr: p.conf.Listen.Peer, Zone: p.conf.Zone},
		Config: p.conf.holdConfig(), Registry: p.daemon.Reg, Log: p.log,
		SettingsRevision: p.settings.Revision,
	})
	return err
}

// addWork creates the components that have state per partition. They release a partition
// in the order of AddComponent: callers' requests first, workers last.
func (p *placer) addWork() {
	reg := p.daemon.Reg
	p.dispatch = dispatch.New(dispatch.Config{
		Hosts: p.hosts.Hosts, Settings: p.serviceValues, Remotes: p.remotes, Authorizer: p.holdManager,
		Client: exechttp.New(httponce.Options{}), Peers: p.node,
		Zone: p.conf.Zone, Partitions: p.conf.Holding.Partitions, Log: p.log, Metrics: reg,
	})
	p.requests = request.New(request.Config{
		Authorizer: p.holdManager, Dispatcher: p.dispatch, Settings: p.serviceValues, Log: p.log, Metrics: reg,
	})
	p.jobs = job.New(job.Config{
		Source: source{p}, Authorizer: p.holdManager, Store: p.store, Peers: p.node,
		PartitionKey: hold.PartitionKey, Values: p.branchValues, Digests: p.capacityDigests,
		StoreAge: p.holdManager.StoreAge, Registerer: reg, Log: p.log,
	})
	p.fleet = fleet.New(fleet.Config{
		Name: p.conf.Name, Partitions: p.conf.Holding.Partitions, Lease: p.conf.Holding.TaskLease.Std(),
		Hosts: p.hosts.Hosts, Authorizer: p.holdManager, Client: workerhttp.NewClient(httponce.Options{IdleTimeout: p.conf.Holding.TaskLease.Std()}),
		Peers: p.node, View: source{p}, Delegations: p.holdManager, StoreUp: p.holdManager.StoreUp,
		Registerer: reg, Log: p.log,
	})
	p.holdManager.SetDelegate(p.fleet)
	for _, r := range []hold.Component{p.requests, p.dispatch, p.jobs, p.fleet} {
		p.holdManager.AddComponent(r)
	}
	p.holdManager.Provide(extraCapacity, func() any { return p.fleet.Digest() })
	p.holdManager.Provide(extraSettings, func() any { return p.settings.AppliedRevision() })
	p.holdManager.Provide(extraSlots, func() any { return p.dispatch.Free() })
}

func (p *placer) register() {
	view.Serve(p.mux, p.holdManager.Table, p.holdManager.Changed)
	p.settings.Serve(p.mux)
	p.fleet.Register(p.mux)
	p.jobs.Register(p.mux)
	peer.Handle(p.mux, peer.KindServe, p.requests.Serve)
	peer.Handle(p.mux, peer.KindDispatch, p.dispatch.ServeDispatch)
	peer.Handle(p.mux, peer.KindMembers, p.members)
}

// observe adds the components to the state dump and to the readiness check.
func (p *placer) observe() {
	for name, dump := range map[string]func() any{
		"peers": p.node.Dump, "store": p.calls.Dump, "holding": p.holdManager.Dump, "workers": p.fleet.Dump, "jobs": p.jobs.Dump,
		"settings": p.settings.Dump,
	} {
		p.daemon.AddDump(name, dump)
	}
	p.daemon.AddReadinessCheck(p.holdManager.NotReadyReasons)
	p.daemon.AddReadinessCheck(p.hosts.NotReadyReasons)
	p.daemon.AddReadinessCheck(p.settingsUnreadyReasons)
}

// start opens the listeners and starts the components.
func (p *placer) start(ctx context.Context) error {
	peers, err := daemon.Listen(p.conf.Listen.Peer, "listen.peer")
	if err != nil {
		return err
	}
	admin, err := daemon.Listen(p.conf.Listen.Admin, "listen.admin")
	if err != nil {
		return err
	}
	p.serve(peers, admin)
	ctx, p.cancel = context.WithCancel(ctx)
	for _, run := range []func(context.Context){p.hosts.Run, p.settings.Run, p.fleet.Run, p.dispatch.Run} {
		go run(ctx)
	}
	go p.calls.Follow(ctx, func() int { return len(p.holdManager.Table().Members) })
	return p.holdManager.Start(ctx)
}

func (p *placer) serve(peers, admin net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.node)
	p.daemon.ServePeers(peers, mux)
	p.daemon.Serve(admin, p.daemon.Admin())
}

// peerDrainTimeout limits the draining of the peer links; peers answer in milliseconds.
const peerDrainTimeout = 2 * time.Second

// drainPeers waits until closing the links would lose no request of a peer.
func (p *placer) drainPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerDrainTimeout)
	defer cancel()
	p.node.Drain(ctx)
}

// stop hands the partitions over with their work, then closes the peer links.
func (p *placer) stop(ctx context.Context) error {
	err := p.holdManager.Stop(ctx)
	p.drainPeers(ctx)
	p.cancel()
	p.jobs.Close()
	p.node.Close()
	return err
}
