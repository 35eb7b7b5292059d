package standin

import (
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/daemon"
	"pulleyquay/internal/executor/execsim"
	"pulleyquay/internal/httplimit"
	"pulleyquay/internal/judge"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/standin/hostlist"
	"pulleyquay/internal/standin/storehttp"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workerhttp"
	"pulleyquay/internal/worker/workersim"
)

// Standin runs all parts of the stand-in in one process.
type Standin struct {
	config        Config
	judge         *judge.Checker
	hostList      *hostlist.List
	store         http.Handler
	workers       *workersim.Fleet
	workersByName map[string]*workersim.Worker
	executors     map[string]*execsim.Executor
	servers       []*http.Server
	guard         *httplimit.Guard
	addr          string
}

// Start opens all ports and serves them until Close.
func Start(c Config) (*Standin, error) {
	j := judge.New()
	s := &Standin{
		config: c, judge: j, hostList: hostlist.New(c.HostListLag.Std()), store: storehttp.Handler(memstore.New()),
		workers: workersim.NewFleet(j), workersByName: map[string]*workersim.Worker{}, executors: map[string]*execsim.Executor{},
		guard: httplimit.New(httplimit.For(httplimit.Machine{}, httplimit.Settings{}), prometheus.NewRegistry()),
	}
	if err := s.startServers(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Standin) startServers() error {
	ip, _, err := net.SplitHostPort(s.config.Listen)
	if err != nil {
		return err
	}
	var hosts []platform.Host
	for _, g := range s.config.Groups {
		for i := range g.Count {
			host, err := s.startHost(ip, g, i)
			if err != nil {
				return err
			}
			hosts = append(hosts, host)
		}
	}
	s.hostList.Replace(hosts)
	l, err := daemon.Listen(s.config.Listen, "listen")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.serve(l, &http.Server{Handler: s.handler()})
	return nil
}

// startHost starts the i-th host of a group on a free port.
func (s *Standin) startHost(ip string, g Group, i int) (platform.Host, error) {
	l, err := daemon.Listen(net.JoinHostPort(ip, "0"), "listen")
	if err != nil {
		return platform.Host{}, err
	}
	rack := i / g.PerRack
	host := platform.Host{
		Name: fmt.Sprintf("%s-%02d", g.Name, i), Role: g.Role, Addr: l.Addr().String(), Service: g.Service,
		Rack: fmt.Sprintf("%s-rack-%d", g.Name, rack), Zone: g.Zones[rack%len(g.Zones)],
	}
	if g.Role == platform.RoleExecutor {
		e := execsim.NewExecutor(host.Name, g.Slots, g.Connections, s.judge)
		s.executors[host.Name] = e
		s.serve(l, e.Server())
		return host, nil
	}
	s.workersByName[host.Name] = s.workers.Add(host.Addr, worker.Info{
		Name: host.Name, Rack: host.Rack, Zone: host.Zone, Size: g.Size,
		AcceleratorKind: g.AcceleratorKind, Generation: g.Generation, Labels: g.Labels,
	})
	s.serve(l, &http.Server{Handler: workerhttp.Handler(s.workers, host.Addr)})
	return host, nil
}

func (s *Standin) serve(l net.Listener, server *http.Server) {
	s.servers = append(s.servers, server)
	s.guard.Configure(server)
	l = s.guard.Listener(l, httplimit.CallerShare)
	go func() { _ = server.Serve(l) }() // Close ends it
}

// Addr returns the address of the store, the host list, the faults and the record.
func (s *Standin) Addr() string { return s.addr }

// Close stops all servers and closes their connections.
func (s *Standin) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
