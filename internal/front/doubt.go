package front

import (
	"sync"
	"time"
)

// Bounds of the doubts.
const (
	// doubtFor is for how long a call to the store that was not answered may still take
	// effect there.
	doubtFor = 30 * time.Second
	// mostDoubts bounds their number, and so their memory.
	mostDoubts = 16384
)

// doubts are the jobs that may be stored by a call that was not answered. Their callers
// hand them in again, and must not be told that they are not accepted. The zero value is
// empty and safe for concurrent use.
type doubts struct {
	mu    sync.Mutex
	since map[string]time.Time // by the job's id
	swept time.Time
}

// note notes that a job is in doubt.
func (d *doubts) note(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since == nil {
		d.since = map[string]time.Time{}
	}
	d.sweep(now)
	if len(d.since) < mostDoubts {
		d.since[id] = now
	}
}

// sweep lets go of what is settled by its age.
func (d *doubts) sweep(now time.Time) {
	if now.Sub(d.swept) < doubtFor {
		return
	}
	d.swept = now
	for id, at := range d.since {
		if now.Sub(at) > doubtFor {
			delete(d.since, id)
		}
	}
}

// has reports whether a job is in doubt.
func (d *doubts) has(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.since[id]
	return ok && now.Sub(at) <= doubtFor
}

// settle notes that the store has answered about a job.
func (d *doubts) settle(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.since, id)
}
