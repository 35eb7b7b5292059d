package dispatch

import (
	"time"

	"pulleyquay/internal/dispatch/queue"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/retrybudget"
)

// grant is permission to send one request: to a slot of an executor held here or to another holder.
// It permits nothing when err is set.
type grant struct {
	endpoint *endpoint
	host     *platform.Host // the endpoint's host as of the grant
	remote   *remote
	err      *result.Error
}

// pool holds one service's executors in the partitions held here, and its queued requests.
type pool struct {
	service   string
	endpoints map[string]*endpoint
	queue     *queue.Queue[chan<- grant]
	// meanServiceTime is the moving mean of a request's time at an executor.
	meanServiceTime time.Duration
	// meanForwardGap is the moving mean of the time between two answers of other holders while
	// requests were queued here; lastForwardAt is when the last one was received.
	meanForwardGap time.Duration
	lastForwardAt  time.Time
	// servedAt is when the service was last seen to have executors in use.
	servedAt time.Time
	healthy  int // listed endpoints in the healthy state
	budget   *retrybudget.Budget
}

// endpoint is what this process records about one executor in a partition held here.
type endpoint struct {
	host      *platform.Host // replaced as a whole, never modified
	partition int
	// held is the holding for which usableAt was computed.
	held  *heldPartition
	slots int
	busy  int
	// usableAt is when the last dispatch of a previous holder has certainly ended.
	usableAt time.Time
	listed   bool
	health   *health
	// leavingSignalled is set when the executor itself has signalled that it accepts no new
	// requests.
	leavingSignalled bool
	// authorityLost is set when this process was found to have lost its authority for the
	// partition.
	authorityLost bool
}

// usable reports whether new requests may be sent to the endpoint.
func (e *endpoint) usable(now time.Time) bool {
	return e.listed && !e.host.Leaving && !e.leavingSignalled && !e.authorityLost && !now.Before(e.usableAt)
}

// addrChanged reports whether the endpoint now has another address than host, so that another
// process runs under its name: outcomes of requests to the earlier process say nothing about this
// one.
func (e *endpoint) addrChanged(host *platform.Host) bool { return e.host.Addr != host.Addr }

// acquireSlot marks one slot busy and returns its grant.
func (e *endpoint) acquireSlot() grant {
	e.busy++
	return grant{endpoint: e, host: e.host}
}

// limit is the number of slots that may be busy now.
func (p *pool) limit(e *endpoint, now time.Time) int {
	if !e.usable(now) {
		return 0
	}
	return e.health.limit(e.slots, p.meanServiceTime, p.healthy == 0, now)
}

// free is the number of slots that a new request may use.
func (p *pool) free(e *endpoint, now time.Time) int {
	return max(p.limit(e, now)-e.busy, 0)
}

// freeSlots is the number of free slots, less the queued requests.
func (p *pool) freeSlots(now time.Time) int {
	n := -p.queue.Len()
	for _, e := range p.endpoints {
		n += p.free(e, now)
	}
	return max(n, 0)
}

// recordServiceTime records the time of an answered request.
func (p *pool) recordServiceTime(took time.Duration) {
	if p.meanServiceTime == 0 {
		p.meanServiceTime = took
	}
	p.meanServiceTime += (took - p.meanServiceTime) / outcomeWeight
}

// recordForwardGap records that another holder has answered a request.
func (p *pool) recordForwardGap(now time.Time) {
	gap := now.Sub(p.lastForwardAt)
	if p.meanForwardGap == 0 {
		p.meanForwardGap = gap
	}
	p.meanForwardGap += (gap - p.meanForwardGap) / outcomeWeight
	p.lastForwardAt = now
}

// updateHealthyCount counts the listed endpoints that are healthy. It is called after each change
// of a state, so that limits need not iterate over every endpoint.
func (p *pool) updateHealthyCount() {
	p.healthy = 0
	for _, e := range p.endpoints {
		if e.listed && e.health.machine.Current() == stateHealthy {
			p.healthy++
		}
	}
}

// meanFailureRateExcept is the mean failure rate of all listed endpoints but one.
func (p *pool) meanFailureRateExcept(except *endpoint) float64 {
	sum, n := 0.0, 0
	for _, e := range p.endpoints {
		if e != except && e.listed {
			sum += e.health.failureRate
			n++
		}
	}
	if n == 0 {
		return 1 // no other endpoint to compare with
	}
	return sum / float64(n)
}

// applyHosts updates the pools from the host list and the partitions held. Endpoints with requests
// in flight stay until these have ended.
func (d *Dispatcher) applyHosts(hosts []platform.Host, now time.Time) {
	for _, p := range d.pools {
		for _, e := range p.endpoints {
			e.listed = false
			e.authorityLost = false
		}
	}
	for _, h := range hosts {
		if h.Role == platform.RoleExecutor {
			d.applyHost(h)
		}
	}
	for _, p := range d.pools {
		for name, e := range p.endpoints {
			if !e.listed && e.busy == 0 && !now.Before(e.usableAt) {
				delete(p.endpoints, name)
			}
		}
		p.updateHealthyCount()
	}
}

// applyHost adds or updates one executor if its partition is held here.
func (d *Dispatcher) applyHost(h platform.Host) {
	id := partition.OfExecutor(h.Name, d.cfg.Partitions)
	part := d.parts[id]
	if part == nil || part.releasing {
		return
	}
	values, ok := d.cfg.Settings(h.Service)
	if !ok {
		return
	}
	p := d.pool(h.Service, values)
	e := p.endpoints[h.Name]
	if e == nil {
		e = &endpoint{partition: id, health: newHealth()}
		p.endpoints[h.Name] = e
	}
	if e.held != part {
		e.held = part
		e.usableAt = part.usableAt(h.Name, values)
		e.leavingSignalled = e.leavingSignalled || part.leaving[h.Name] == h.Addr
	}
	if e.host != nil && e.host.Addr != h.Addr {
		e.leavingSignalled, e.health = false, newHealth() // another process under the same name
	}
	e.host = &h
	e.listed = true
	e.slots = int(min(values.Executor.Slots, values.Executor.Connections))
}

// pick returns the endpoint for the next request, among those whose partition this process still
// has authority for, or nil.
func (d *Dispatcher) pick(p *pool, now time.Time) *endpoint {
	for {
		best := d.choose(p, now)
		if best == nil {
			return nil
		}
		if _, err := d.cfg.Authorizer.Check(best.partition); err == nil {
			return best
		}
		best.authorityLost = true
	}
}

// dispatchQueued assigns free slots to queued requests. The caller holds the lock.
func (d *Dispatcher) dispatchQueued(p *pool, now time.Time) {
	for p.queue.Len() > 0 {
		e := d.pick(p, now)
		if e == nil {
			return
		}
		it := d.popQueued(p, now)
		if it == nil {
			return
		}
		it.Value <- e.acquireSlot()
	}
}

// forwardQueued assigns free slots of other holders to queued requests. The caller holds the lock.
func (d *Dispatcher) forwardQueued(p *pool, now time.Time) {
	for p.queue.Len() > 0 {
		r := d.pickRemote(p)
		if r == nil {
			return
		}
		it := d.popQueued(p, now)
		if it == nil {
			return
		}
		it.Value <- r.acquireSlot(p.service)
	}
}

// popQueued removes and returns the next request that meets its deadline if it takes the mean
// service time, and answers those that cannot.
func (d *Dispatcher) popQueued(p *pool, now time.Time) *queuedRequest {
	it, expired := p.queue.Pop(now.Add(p.meanServiceTime))
	for _, l := range expired {
		l.Value <- grant{err: deadlineQueuedError(p)}
	}
	return it
}

// release frees a slot and assigns it to a queued request, if any.
func (d *Dispatcher) release(p *pool, e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.busy--
	d.dispatchQueued(p, time.Now())
}
