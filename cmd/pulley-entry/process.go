package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/cellapi"
	"pulleyquay/internal/daemon"
	"pulleyquay/internal/entry"
	"pulleyquay/internal/jobapi"
	"pulleyquay/internal/operatorapi"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

// process holds the components of the entry.
type process struct {
	conf   Settings
	daemon *daemon.Daemon
	log    *logrus.Entry

	node     *peer.Node
	table    *view.Follower
	settings *settings.Follower
	callers  *entry.Handler
	server   *daemon.Server

	cancel context.CancelFunc
}

// newProcess creates and connects the components without starting them.
func newProcess(s Settings, d *daemon.Daemon) *process {
	p := &process{conf: s, daemon: d, log: d.Log.WithField("name", s.Name)}
	p.node = peer.NewNode(peer.Hello{Name: s.Name, Cell: s.Cell}, peer.NewMux(), p.log)
	p.table = view.NewFollower(p.node, s.Placers, p.log)
	p.settings = settings.NewFollower(s.Name, p.node, p.placers, p.log)
	p.callers = entry.NewHandler(entry.Config{
		View: source{p}, Peers: p.node, Zone: s.Zone, Placer: s.Placers[0],
		Settings: func(service string) (settings.Values, bool) {
			return settings.ServiceValues(p.settings.Current(), service)
		},
		Log: p.log, Metrics: d.Reg,
	})
	d.AddDump("peers", p.node.Dump)
	d.AddDump("table", func() any { return p.table.Table() })
	d.AddDump("requests", p.callers.Dump)
	d.AddDump("settings", p.settings.Dump)
	d.AddReadinessCheck(p.table.NotReadyReasons)
	d.AddReadinessCheck(p.settingsUnreadyReasons)
	return p
}

// source implements view.Source for the entry.
type source struct{ p *process }

// Table implements view.Source.
func (s source) Table() *view.Table { return s.p.table.Table() }

// Settings implements view.Source.
func (s source) Settings() *settings.Tree { return s.p.settings.Current() }

// placers lists the addresses of the placers to query: the configured ones, starting
// with the placer on the same host, then all other members.
func (p *process) placers() []string {
	out := append([]string(nil), p.conf.Placers...)
	seen := map[string]bool{}
	for _, addr := range out {
		seen[addr] = true
	}
	for _, m := range p.table.Table().Members {
		if !seen[m.Addr] {
			out = append(out, m.Addr)
		}
	}
	return out
}

// settingsUnreadyReasons returns why the settings are not ready, or nil.
func (p *process) settingsUnreadyReasons() []string {
	if err := p.settings.Ready(); err != nil {
		return []string{fmt.Sprintf("settings: %v", err)}
	}
	return nil
}

// routes returns the handler of all paths for callers and operators.
func (p *process) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(entry.Prefix, p.callers)
	operatorapi.API{
		Current: p.settings.Current,
		Changer: settings.Remote{Caller: p.node, Addrs: p.placers},
	}.Register(mux)
	jobapi.New(source{p}, p.node, p.log).Register(mux)
	cellapi.API{View: p.table.Table, Peers: p.node, Placers: p.placers}.Register(mux)
	return alice.New(p.closeWhileStopping).Then(mux)
}

// closeWhileStopping has callers close their connections once a planned stop has
// begun, so that their next request goes through the load balancer again.
func (p *process) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.daemon.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// start opens the listeners and starts the components.
func (p *process) start(ctx context.Context) error {
	callerListener, err := daemon.Listen(p.conf.Listen.HTTP, "listen.http")
	if err != nil {
		return err
	}
	admin, err := daemon.Listen(p.conf.Listen.Admin, "listen.admin")
	if err != nil {
		return err
	}
	ctx, p.cancel = context.WithCancel(ctx)
	go p.table.Run(ctx)
	go p.settings.Run(ctx)
	p.server = p.daemon.ServeCallers(callerListener, p.routes())
	p.daemon.Serve(admin, p.daemon.Admin())
	return nil
}

// stop waits for the requests in flight, then closes the peer links.
func (p *process) stop(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	p.cancel()
	p.node.Close()
	return err
}
