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
	lastAdded  time.Time
	lastExpiry time.Time
}

// add records that the outcome of storing a job is unknown.
func (u *unresolvedJobs) add(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.addedAt == nil {
		u.addedAt = map[string]time.Time{}
	}
	u.expire(now)
	u.lastAdded = now
	if len(u.addedAt) < maxUnresolvedJobs {
		u.addedAt[id] = now
	}
}

// expire removes the entries that are older than unresolvedRetention.
func (u *unresolvedJobs) expire(now time.Time) {
	if now.Sub(u.lastExpiry) < unresolvedRetention {
		return
	}
	u.lastExpiry = now
	for id, at := range u.addedAt {
		if now.Sub(at) > unresolvedRetention {
			delete(u.addedAt, id)
		}
	}
}

// contains reports whether the outcome of storing a job is unknown.
func (u *unresolvedJobs) contains(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.addedAt[id]
	return ok && now.Sub(at) <= unresolvedRetention
}

// addedSince reports whether a job was added since a time, and not all jobs have been removed.
func (u *unresolvedJobs) addedSince(at time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.addedAt) > 0 && !u.lastAdded.Before(at)
}

// remove deletes a job after the store has answered for it.
func (u *unresolvedJobs) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.addedAt, id)
}
