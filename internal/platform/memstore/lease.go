package memstore

import (
	"sort"
	"time"

	"pulleyquay/internal/platform"
)

// grant creates a lease that expires after its term.
func (e *Engine) grant(ttlSeconds int64) platform.LeaseID {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastLease++
	id := e.lastLease
	ttl := time.Duration(ttlSeconds) * time.Second
	l := &lease{ttl: ttl, keys: map[string]struct{}{}}
	l.timer = time.AfterFunc(ttl, func() { e.expire(id) })
	e.leases[id] = l
	return id
}

// keepAlive restarts a lease's term.
func (e *Engine) keepAlive(id platform.LeaseID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.leases[id]
	// A timer that has already fired will end the lease.
	if !ok || !l.timer.Stop() {
		return platform.ErrLeaseGone
	}
	l.timer.Reset(l.ttl)
	return nil
}

// revoke ends a lease and deletes its keys.
func (e *Engine) revoke(id platform.LeaseID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.leases[id]
	if !ok {
		return platform.ErrLeaseGone
	}
	l.timer.Stop()
	e.end(id, l)
	return nil
}

// expire ends a lease whose term has passed.
func (e *Engine) expire(id platform.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.leases[id]; ok {
		e.end(id, l)
	}
}

// end removes a lease and deletes its keys at one revision, in key order.
func (e *Engine) end(id platform.LeaseID, l *lease) {
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	delete(e.leases, id)
	writes := make([]platform.Write, 0, len(keys))
	for _, k := range keys {
		writes = append(writes, platform.Write{Key: k, Delete: true})
	}
	e.apply(writes)
}
