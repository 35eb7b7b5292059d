package dispatch

import (
	"maps"
	"time"
)

// remote is another holder as this process knows it.
type remote struct {
	reported Remote // its last heartbeat
	// free is the number of free slots by service: from its last heartbeat or
	// answer, less what was sent since.
	free map[string]int
	// probedAt is when free was last set to one to try the holder again.
	probedAt map[string]time.Time
}

// probeEvery is how often a holder that was last known to be full is tried
// with one request, while requests wait here.
const remoteProbeInterval = 50 * time.Millisecond

// take makes a grant for one request to the holder.
func (r *remote) acquireSlot(service string) grant {
	r.free[service]--
	return grant{remote: r}
}

// hear applies what the other holders last told. What is older than their
// answers to this process changes nothing.
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
				d.pool(service, values) // so that it is known to be served
			}
		}
		for service := range d.pools {
			r.probe(service, now)
		}
		present[t.Name] = r
	}
	d.remotes = present
}

// probe lets one request try a holder that was full, or had no executors.
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

// learnForward notes what a forwarded request took, and the holder's free slots.
func (d *Dispatcher) recordForward(p *pool, r *remote, free int, took time.Duration) {
	d.mu.Lock()
	p.recordServiceTime(took)
	if p.queue.Len() > 0 {
		p.recordForwardGap(time.Now())
	}
	d.mu.Unlock()
	d.setRemoteFree(p, r, free)
}

// learnFree notes a holder's free slots from its answer and uses them.
func (d *Dispatcher) setRemoteFree(p *pool, r *remote, free int) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.free[p.service] = free
	d.forwardQueued(p, now)
}

// returnRemote gives back an unused grant of another holder's slot.
func (d *Dispatcher) returnRemoteSlot(p *pool, r *remote) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.free[p.service]++
	d.forwardQueued(p, now)
}
