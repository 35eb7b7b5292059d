package dispatch

import (
	"maps"
	"time"
)

// remote is another holder as this process sees it.
type remote struct {
	reported Remote // from its last heartbeat
	// free is the number of free slots by service, from the holder's last heartbeat or answer, less
	// what was sent since.
	free map[string]int
	// probedAt is when free was last set to one to probe the holder again.
	probedAt map[string]time.Time
}

// remoteProbeInterval is how often a holder that was last known to be full is probed with one
// request, while requests are queued here.
const remoteProbeInterval = 50 * time.Millisecond

// acquireSlot returns a grant for one request to the holder.
func (r *remote) acquireSlot(service string) grant {
	r.free[service]--
	return grant{remote: r}
}

// applyRemotes applies what the other holders last reported. A report with the
// same address and free slots as the last one is taken to be that same report. The holder's answers
// to this process since then are newer, so the report changes nothing.
func (d *Dispatcher) applyRemotes(reported []Remote, now time.Time) {
	present := make(map[string]*remote, len(reported))
	for _, t := range reported {
		r := d.remotes[t.Name]
		if r == nil || r.reported.Addr != t.Addr || !maps.Equal(r.reported.Free, t.Free) {
			r = &remote{reported: t, free: map[string]int{}, probedAt: map[string]time.Time{}}
			maps.Copy(r.free, t.Free)
		}
		for service := range t.Free {
			if values, ok := d.cfg.Settings(service); ok {
				d.pool(service, values) // creates the pool, so that the service counts as served
			}
		}
		for service := range d.pools {
			r.probe(service, now)
		}
		present[t.Name] = r
	}
	d.remotes = present
}

// probe allows one request to a holder that was full, or had no executors.
func (r *remote) probe(service string, now time.Time) {
	if r.free[service] > 0 || now.Sub(r.probedAt[service]) < remoteProbeInterval {
		return
	}
	r.free[service] = 1
	r.probedAt[service] = now
}

// pickRemote returns the other holder with the most free slots, or nil.
func (d *Dispatcher) pickRemote(p *pool) *remote {
	var best *remote
	most := 0
	for _, r := range d.remotes {
		if free := r.free[p.service]; free > most {
			best, most = r, free
		}
	}
	return best
}

// recordForward records the time that a forwarded request took, and the holder's free slots.
func (d *Dispatcher) recordForward(p *pool, r *remote, free int, took time.Duration) {
	d.mu.Lock()
	p.recordServiceTime(took)
	if p.queue.Len() > 0 {
		p.recordForwardGap(time.Now())
	}
	d.mu.Unlock()
	d.setRemoteFree(p, r, free)
}

// setRemoteFree records a holder's free slots from its answer and forwards queued requests to them.
func (d *Dispatcher) setRemoteFree(p *pool, r *remote, free int) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.free[p.service] = free
	d.forwardQueued(p, now)
}

// returnRemoteSlot returns an unused grant for another holder.
func (d *Dispatcher) returnRemoteSlot(p *pool, r *remote) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.free[p.service]++
	d.forwardQueued(p, now)
}
