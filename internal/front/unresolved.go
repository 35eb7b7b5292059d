package front

import (
	"sync"
	"time"
)

// Limits of the set of unresolved jobs.
const (
	// unresolvedRetention is the time within which an unanswered call to the store may still take
	// effect.
	unresolvedRetention = 30 * time.Second
	// maxUnresolvedJobs bounds the number of entries, and so their memory.
	maxUnresolvedJobs = 16384
)

// unresolvedJobs holds the ids of jobs that an unanswered call may have stored. Callers submit
// such jobs again and must not get the answer that they are not accepted. The zero value is empty
// and safe for concurrent use.
type unresolvedJobs struct {
	mu         sync.Mutex
	addedAt    map[string]time.Time // by job id
	lastExpiry time.Time
}

// add records that the outcome of storing a job is unknown.
func (d *unresolvedJobs) add(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addedAt == nil {
		d.addedAt = map[string]time.Time{}
	}
	d.expire(now)
	if len(d.addedAt) < maxUnresolvedJobs {
		d.addedAt[id] = now
	}
}

// expire removes the entries that are older than unresolvedRetention.
func (d *unresolvedJobs) expire(now time.Time) {
	if now.Sub(d.lastExpiry) < unresolvedRetention {
		return
	}
	d.lastExpiry = now
	for id, at := range d.addedAt {
		if now.Sub(at) > unresolvedRetention {
			delete(d.addedAt, id)
		}
	}
}

// contains reports whether the outcome of storing a job is unknown.
func (d *unresolvedJobs) contains(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.addedAt[id]
	return ok && now.Sub(at) <= unresolvedRetention
}

// remove deletes a job after the store has answered for it.
func (d *unresolvedJobs) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.addedAt, id)
}
