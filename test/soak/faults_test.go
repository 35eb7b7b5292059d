package soak

import (
	"fmt"
	"time"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/proxytest"
	"pulleyquay/platform/fake"
)

// fault is one kind of fault. inject starts it and returns the function that ends it.
type fault struct {
	name   string
	inject func(s *faultSeries) (end func())
}

// faultSeries injects faults one after the other; several series overlap.
type faultSeries struct {
	c        *cell
	l        *load
	injected []string // descriptions of the faults, for the report
}

// node draws one of the nodes.
func (s *faultSeries) node() *node { return s.c.nodes[s.l.intn(len(s.c.nodes))] }

// proxy draws the proxy to the store or the peer proxy of a node.
func (s *faultSeries) proxy() *proxytest.Proxy {
	n := s.node()
	if s.l.intn(2) == 0 {
		return n.store
	}
	return n.peer
}

func (s *faultSeries) link(m proxytest.Mode) func() {
	p := s.proxy()
	p.Set(m)
	return func() { p.Set(proxytest.NoFaults) }
}

func (s *faultSeries) store(f memstore.Faults) func() {
	s.c.platform.Store.SetFaults(f)
	return func() { s.c.platform.Store.SetFaults(memstore.Faults{}) }
}

func (s *faultSeries) storeFor(f memstore.Faults) func() {
	client := s.c.platform.Store.Client(s.node().name)
	client.SetFaults(f)
	return func() { client.SetFaults(memstore.Faults{}) }
}

// callFaults replaces the seed's call faults for one host.
func (s *faultSeries) callFaults(f fake.CallFaults) func() {
	h := s.l.host()
	h.SetFaults(f)
	return func() { h.SetFaults(s.c.conds.callFaults) }
}

func (s *faultSeries) eachHost(do func(*fake.HostServer)) {
	for _, h := range s.c.platform.Hosts() {
		do(h)
	}
}

// powerOff ends a host for good. The function returned adds a host in its place.
func (s *faultSeries) powerOff(h *fake.HostServer) func() {
	h.PowerOff()
	return func() { s.c.addHosts(1) }
}

// disconnect stops all calls to the host, in both directions, until reconnected.
func disconnect(h *fake.HostServer) func() {
	h.SetDisconnected(true)
	return func() { h.SetDisconnected(false) }
}

// restartDisconnected disconnects a host, and has it lose power and restart meanwhile.
func restartDisconnected(h *fake.HostServer) func() {
	h.SetDisconnected(true)
	h.RestartAfterPowerLoss()
	return func() { h.SetDisconnected(false) }
}

// noEnd is the end of a fault that needs none.
func noEnd() {}

var faultKinds = []fault{
	{"node killed", func(s *faultSeries) func() {
		n := s.node()
		n.current().Kill()
		return func() { s.c.start(n) }
	}},
	{"node stopped as planned", func(s *faultSeries) func() {
		n := s.node()
		n.current().Terminate()
		return func() {
			n.current().Kill() // if the planned stop is still going on
			s.c.start(n)
		}
	}},
	{"node paused", func(s *faultSeries) func() {
		n := s.node()
		p := n.current()
		p.Pause()
		return p.Resume
	}},
	{"all nodes killed", func(s *faultSeries) func() {
		for _, n := range s.c.nodes {
			n.current().Kill()
		}
		return func() {
			for _, n := range s.c.nodes {
				s.c.start(n)
			}
		}
	}},
	{"link delayed", func(s *faultSeries) func() {
		return s.link(proxytest.Mode{Delay: 80 * time.Millisecond, ForwardUp: true, ForwardDown: true})
	}},
	{"link reset", func(s *faultSeries) func() { s.proxy().Reset(); return noEnd }},
	{"link refused", func(s *faultSeries) func() { return s.link(proxytest.Mode{Refuse: true}) }},
	{"link silent", func(s *faultSeries) func() { return s.link(proxytest.Mode{}) }},
	{"link one way up", func(s *faultSeries) func() { return s.link(proxytest.Mode{ForwardUp: true}) }},
	{"link one way down", func(s *faultSeries) func() { return s.link(proxytest.Mode{ForwardDown: true}) }},
	{"open connections become silent", func(s *faultSeries) func() {
		n := s.node()
		n.store.Blackhole()
		n.peer.Blackhole()
		return noEnd
	}},
	{"all open connections become silent", func(s *faultSeries) func() {
		for _, n := range s.c.nodes {
			n.store.Blackhole()
			n.peer.Blackhole()
		}
		return noEnd
	}},
	{"store refuses", func(s *faultSeries) func() { return s.store(memstore.Faults{Refuse: true}) }},
	{"store silent", func(s *faultSeries) func() { return s.store(memstore.Faults{Hang: true}) }},
	{"store answers delayed", func(s *faultSeries) func() { return s.store(memstore.Faults{AnswerDelayMS: 150}) }},
	{"store loses answers", func(s *faultSeries) func() { return s.store(memstore.Faults{LoseAnswers: 5}) }},
	{"store loses requests", func(s *faultSeries) func() { return s.store(memstore.Faults{LoseRequests: 5}) }},
	{"store requests delayed", func(s *faultSeries) func() { return s.store(memstore.Faults{RequestDelayMS: 700}) }},
	{"store refuses one node", func(s *faultSeries) func() { return s.storeFor(memstore.Faults{Refuse: true}) }},
	{"store silent to one node", func(s *faultSeries) func() { return s.storeFor(memstore.Faults{Hang: true}) }},
	{"store compacted", func(s *faultSeries) func() { s.c.platform.Store.Compact(); return noEnd }},
	{"host replaced", func(s *faultSeries) func() { return s.powerOff(s.l.host()) }},
	{"host restarts", func(s *faultSeries) func() { s.l.host().Restart(); return noEnd }},
	{"hosts lose power and restart", func(s *faultSeries) func() {
		for range 4 {
			s.l.host().RestartAfterPowerLoss()
		}
		return noEnd
	}},
	{"host disconnected", func(s *faultSeries) func() { return disconnect(s.l.host()) }},
	{"host disconnected from the store as well", func(s *faultSeries) func() {
		h := s.l.host()
		h.SetStoreDisconnected(true)
		reconnect := disconnect(h)
		return func() { reconnect(); h.SetStoreDisconnected(false) }
	}},
	{"host restarts while disconnected", func(s *faultSeries) func() { return restartDisconnected(s.l.host()) }},
	{"connections to a host reset", func(s *faultSeries) func() { s.l.host().Reset(); return noEnd }},
	{"connections to all hosts reset", func(s *faultSeries) func() { s.eachHost((*fake.HostServer).Reset); return noEnd }},
	{"connections to a host become silent", func(s *faultSeries) func() { s.l.host().SilenceConnections(); return noEnd }},
	{"connections to all hosts become silent", func(s *faultSeries) func() { s.eachHost((*fake.HostServer).SilenceConnections); return noEnd }},
	{"calls to a host lost", func(s *faultSeries) func() {
		return s.callFaults(fake.CallFaults{LoseRequests: 0.5, LoseAnswers: 0.2})
	}},
	{"answers of a host lost", func(s *faultSeries) func() { return s.callFaults(fake.CallFaults{LoseAnswers: 0.7}) }},
	{"calls to a host delayed", func(s *faultSeries) func() {
		return s.callFaults(fake.CallFaults{DelayRequests: 0.7, MinDelay: minCallDelay, MaxDelay: maxCallDelay})
	}},
	{"host fails every task", func(s *faultSeries) func() {
		h := s.l.host().Host()
		h.SetFailTasks(true)
		return func() { h.SetFailTasks(false) }
	}},
	{"configuration changes", func(s *faultSeries) func() {
		s.c.platform.SetCatalog(testCatalog(time.Now().UnixMilli()))
		return noEnd
	}},
}

// inject injects a fault drawn at random, waits for 0.2 to 4.2 s, and ends it.
func (s *faultSeries) inject(begun time.Time) {
	f := faultKinds[s.l.intn(len(faultKinds))]
	lasts := time.Duration(200+s.l.intn(4000)) * time.Millisecond
	s.injected = append(s.injected, fmt.Sprintf("%v %s for %v", time.Since(begun).Round(time.Millisecond), f.name, lasts))
	end := f.inject(s)
	time.Sleep(lasts)
	end()
}

// injectFaults injects one fault after the other until the deadline.
func (s *faultSeries) injectFaults(begun, deadline time.Time) {
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(s.l.intn(1500)) * time.Millisecond)
		s.inject(begun)
	}
}
