package soak

import (
	"fmt"
	"time"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/proxytest"
	"pulleyquay/platform/fake"
)

// fault is one kind of trouble. It strikes and returns what ends it.
type fault struct {
	name   string
	strike func(s *storm) (end func())
}

// storm draws faults at random, in series that overlap.
type storm struct {
	c    *cell
	l    *load
	said []string
}

func (s *storm) node() *node { return s.c.nodes[s.l.intn(len(s.c.nodes))] }

// proxies of a node or the store, one drawn at random.
func (s *storm) proxy() *proxytest.Proxy {
	n := s.node()
	if s.l.intn(2) == 0 {
		return n.store
	}
	return n.peer
}

func (s *storm) link(m proxytest.Mode) func() {
	p := s.proxy()
	p.Set(m)
	return func() { p.Set(proxytest.Open) }
}

func (s *storm) store(f memstore.Faults) func() {
	s.c.platform.Store.SetFaults(f)
	return func() { s.c.platform.Store.SetFaults(memstore.Faults{}) }
}

func (s *storm) storeFor(f memstore.Faults) func() {
	client := s.c.platform.Store.Client(s.node().name)
	client.SetFaults(f)
	return func() { client.SetFaults(memstore.Faults{}) }
}

// calls has those to one host struck more than by the seed's faults.
func (s *storm) calls(f fake.CallFaults) func() {
	h := s.l.host()
	h.SetFaults(f)
	return func() { h.SetFaults(s.c.world.calls) }
}

func (s *storm) eachHost(do func(*fake.HostServer)) {
	for _, h := range s.c.platform.Hosts() {
		do(h)
	}
}

// powerOff ends a host for good; another one comes in its place.
func (s *storm) powerOff(h *fake.HostServer) func() {
	h.PowerOff()
	return func() { s.c.addHosts(1) }
}

func cutOff(h *fake.HostServer) func() {
	h.Cut(true)
	return func() { h.Cut(false) }
}

// restartBehindCut has a host crash and start again while nothing comes through to it.
func restartBehindCut(h *fake.HostServer) func() {
	h.Cut(true)
	h.RestartDark()
	return func() { h.Cut(false) }
}

func nothing() {}

var faultKinds = []fault{
	{"node killed", func(s *storm) func() {
		n := s.node()
		n.running().Kill()
		return func() { s.c.start(n) }
	}},
	{"node stopped in order", func(s *storm) func() {
		n := s.node()
		n.running().Terminate()
		return func() {
			n.running().Kill() // when its time is over
			s.c.start(n)
		}
	}},
	{"node paused", func(s *storm) func() {
		n := s.node()
		p := n.running()
		p.Pause()
		return p.Resume
	}},
	{"all nodes killed", func(s *storm) func() {
		for _, n := range s.c.nodes {
			n.running().Kill()
		}
		return func() {
			for _, n := range s.c.nodes {
				s.c.start(n)
			}
		}
	}},
	{"link delayed", func(s *storm) func() {
		return s.link(proxytest.Mode{Delay: 80 * time.Millisecond, Up: true, Down: true})
	}},
	{"link reset", func(s *storm) func() { s.proxy().Reset(); return nothing }},
	{"link refused", func(s *storm) func() { return s.link(proxytest.Mode{Refuse: true}) }},
	{"link silent", func(s *storm) func() { return s.link(proxytest.Mode{}) }},
	{"link one way up", func(s *storm) func() { return s.link(proxytest.Mode{Up: true}) }},
	{"link one way down", func(s *storm) func() { return s.link(proxytest.Mode{Down: true}) }},
	{"open connections fall silent", func(s *storm) func() {
		n := s.node()
		n.store.Mute()
		n.peer.Mute()
		return nothing
	}},
	{"all open connections fall silent", func(s *storm) func() {
		for _, n := range s.c.nodes {
			n.store.Mute()
			n.peer.Mute()
		}
		return nothing
	}},
	{"store refuses", func(s *storm) func() { return s.store(memstore.Faults{Refuse: true}) }},
	{"store silent", func(s *storm) func() { return s.store(memstore.Faults{Hang: true}) }},
	{"store slow", func(s *storm) func() { return s.store(memstore.Faults{AnswerDelayMS: 150}) }},
	{"store loses answers", func(s *storm) func() { return s.store(memstore.Faults{LoseAnswers: 5}) }},
	{"store loses requests", func(s *storm) func() { return s.store(memstore.Faults{LoseRequests: 5}) }},
	{"store late", func(s *storm) func() { return s.store(memstore.Faults{RequestDelayMS: 700}) }},
	{"store away for one", func(s *storm) func() { return s.storeFor(memstore.Faults{Refuse: true}) }},
	{"store silent to one", func(s *storm) func() { return s.storeFor(memstore.Faults{Hang: true}) }},
	{"store forgets its history", func(s *storm) func() { s.c.platform.Store.Compact(); return nothing }},
	{"host gone for good", func(s *storm) func() { return s.powerOff(s.l.host()) }},
	{"host starts again", func(s *storm) func() { s.l.host().Restart(); return nothing }},
	{"hosts lose power and start again", func(s *storm) func() {
		for range 4 {
			s.l.host().RestartDark()
		}
		return nothing
	}},
	{"host cut off", func(s *storm) func() { return cutOff(s.l.host()) }},
	{"host cut off from the store, too", func(s *storm) func() {
		h := s.l.host()
		h.CutFromStore(true)
		heal := cutOff(h)
		return func() { heal(); h.CutFromStore(false) }
	}},
	{"host starts again behind a cut", func(s *storm) func() { return restartBehindCut(s.l.host()) }},
	{"connections to a host reset", func(s *storm) func() { s.l.host().Reset(); return nothing }},
	{"connections to all hosts reset", func(s *storm) func() { s.eachHost((*fake.HostServer).Reset); return nothing }},
	{"connections to a host fall silent", func(s *storm) func() { s.l.host().Silence(); return nothing }},
	{"connections to all hosts fall silent", func(s *storm) func() { s.eachHost((*fake.HostServer).Silence); return nothing }},
	{"calls to a host get lost", func(s *storm) func() {
		return s.calls(fake.CallFaults{LoseRequests: 0.5, LoseAnswers: 0.2})
	}},
	{"answers of a host get lost", func(s *storm) func() { return s.calls(fake.CallFaults{LoseAnswers: 0.7}) }},
	{"calls to a host come late", func(s *storm) func() {
		return s.calls(fake.CallFaults{Late: 0.7, LateLeast: lateLeast, LateMost: lateMost})
	}},
	{"host fails everything", func(s *storm) func() {
		h := s.l.host().Host()
		h.Fail(true)
		return func() { h.Fail(false) }
	}},
	{"configuration changes", func(s *storm) func() {
		s.c.platform.SetCatalog(testCatalog(time.Now().UnixMilli()))
		return nothing
	}},
}

// strike draws a fault, lets it last for a while, and ends it.
func (s *storm) strike(begun time.Time) {
	f := faultKinds[s.l.intn(len(faultKinds))]
	lasts := time.Duration(200+s.l.intn(4000)) * time.Millisecond
	s.said = append(s.said, fmt.Sprintf("%v %s for %v", time.Since(begun).Round(time.Millisecond), f.name, lasts))
	end := f.strike(s)
	time.Sleep(lasts)
	end()
}

// blow strikes again and again, one fault after the other, until the deadline.
func (s *storm) blow(begun, deadline time.Time) {
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(s.l.intn(1500)) * time.Millisecond)
		s.strike(begun)
	}
}
