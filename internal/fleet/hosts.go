package fleet

import (
	"time"

	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform"
)

// syncHosts updates the workers from the host list. The list is a hint: a worker
// that is missing from it receives no new tasks, but its leases are renewed as long
// as it answers, and it is removed only when nothing can be running on it.
func (f *Fleet) syncHosts(hosts []platform.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]struct{}, len(f.workers))
	for i := range hosts {
		if hosts[i].Role == platform.RoleWorker {
			f.syncHost(&hosts[i], listed, now)
		}
	}
	for name, w := range f.workers {
		if _, ok := listed[name]; ok {
			continue
		}
		if w.listed {
			w.listed = false
			f.setStatus(w)
		}
		if len(w.runs) == 0 && now.After(w.leasesEndBy) {
			f.removeWorker(w)
		}
	}
}

// changeAddress sends further calls to a new address. Another machine may answer
// there while the old one still runs tasks, so the change is deferred until nothing
// can be running at the old address.
func (f *Fleet) changeAddress(w *managedWorker, addr string, now time.Time) {
	if w.addr == addr || w.busy || f.countLiveRuns(w) > 0 && !now.After(w.leasesEndBy) {
		return
	}
	w.addr, w.clock, w.retryAt = addr, clockAnchor{}, time.Time{}
	w.restarted = true
	for _, r := range w.runs {
		r.crashExempt = true
	}
	f.applyClaimEvent(w, eventRestarted)
}

func (f *Fleet) syncHost(h *platform.Host, listed map[string]struct{}, now time.Time) {
	p := f.partitions[partition.OfRack(h.Rack, f.cfg.Partitions)]
	w := f.workers[h.Name]
	if p == nil {
		return // the partition is not held: the worker counts as not listed
	}
	if w != nil && w.heldPartition != p {
		return // moved to another rack: wait until its old entry is removed
	}
	listed[h.Name] = struct{}{}
	if w == nil {
		f.startDriver(f.addWorker(*h, p, now), now)
		return
	}
	f.changeAddress(w, h.Addr, now)
	if w.listed && w.leaving == h.Leaving {
		return
	}
	w.listed, w.leaving = true, h.Leaving
	f.setStatus(w)
}
