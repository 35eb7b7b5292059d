package fleet

import (
	"time"

	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform"
)

// follow brings the agents in line with the host list. The list is a hint: a
// worker that is missing from it takes nothing new, but its runs are renewed as
// long as it answers, and it is forgotten only when nothing can run on it.
func (f *Fleet) follow(hosts []platform.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]struct{}, len(f.agents))
	for i := range hosts {
		if hosts[i].Role == platform.RoleWorker {
			f.followHost(&hosts[i], listed, now)
		}
	}
	for name, a := range f.agents {
		if _, ok := listed[name]; ok {
			continue
		}
		if a.listed {
			a.listed = false
			f.setStatus(a)
		}
		if len(a.runs) == 0 && now.After(a.mayRunUntil) {
			f.dropAgent(a)
		}
	}
}

// readdress sends further calls to a new address. Another machine may answer
// there while the old one still runs tasks, so this waits until nothing can
// run at the old address.
func (f *Fleet) readdress(a *agent, addr string, now time.Time) {
	if a.addr == addr || a.busy || f.liveRuns(a) > 0 && !now.After(a.mayRunUntil) {
		return
	}
	a.addr, a.clock, a.retryAt = addr, anchor{}, time.Time{}
	a.restarted = true
	for _, r := range a.runs {
		r.excused = true
	}
	f.moveClaim(a, eventRestarted)
}

func (f *Fleet) followHost(h *platform.Host, listed map[string]struct{}, now time.Time) {
	p := f.parts[partition.OfRack(h.Rack, f.cfg.Partitions)]
	a := f.agents[h.Name]
	if p == nil {
		return // not ours, or no longer: the agent counts as not listed
	}
	if a != nil && a.part != p {
		return // moved to another rack: wait until its old agent is forgotten
	}
	listed[h.Name] = struct{}{}
	if a == nil {
		f.kick(f.newAgent(*h, p, now), now)
		return
	}
	f.readdress(a, h.Addr, now)
	if a.listed && a.leaving == h.Leaving {
		return
	}
	a.listed, a.leaving = true, h.Leaving
	f.setStatus(a)
}
