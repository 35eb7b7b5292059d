package httplimit

import (
	"container/list"
	"sync"
	"time"
)

// phase is what a connection does.
type phase int

const (
	phaseHead    phase = iota // its first request's head, or a later one's of which something has arrived, is read
	phaseIdle                 // it waits for the next request
	phaseBody                 // a request's body is read
	phaseDrain                // what remains of a refused request is read
	phaseServing              // a request is handled
	phaseCount
)

// String returns the name of the phase in metrics.
func (p phase) String() string { return [...]string{"head", "idle", "body", "drain", "serving"}[p] }

// phaseGrace is the time in which an ordinary client sends a head or a body. A connection that has been longer in such
// a phase is closed before idle ones.
const phaseGrace = time.Second

// evictionOrder lists in which order the longest of each phase are considered when one more connection than allowed is
// open: those that are stuck, then those that do nothing, then those that may be about to finish. Requests that are
// handled are never given up.
var evictionOrder = [...]struct {
	phase phase
	after time.Duration
}{
	{phaseHead, phaseGrace}, {phaseDrain, phaseGrace}, {phaseBody, phaseGrace}, {phaseIdle, 0}, {phaseDrain, 0}, {phaseHead, 0}, {phaseBody, 0},
}

// evictFrom returns the phase whose longest connection is closed; ok is false if none is to be closed. since holds the time
// since which that connection has been in each phase, zero for a phase without connections.
func evictFrom(since [phaseCount]time.Time, now time.Time) (p phase, ok bool) {
	for _, next := range evictionOrder {
		if at := since[next.phase]; !at.IsZero() && now.Sub(at) >= next.after {
			return next.phase, true
		}
	}
	return 0, false
}

// table holds the open connections of a listener, those of each phase in the order in which they entered it.
type table struct {
	limit int

	mu     sync.Mutex
	open   int
	phases [phaseCount]list.List // of *Conn
}

// add adds a connection that has been accepted. It returns the connection to be closed if there are too many, which
// may be the new one and is no longer in the table.
func (t *table) add(c *Conn, now time.Time) (victim *Conn, from phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit {
		if victim, from = t.longest(now); victim == nil {
			return c, phaseServing
		}
		t.drop(victim)
	}
	t.open++
	c.since = now
	c.place = t.phases[phaseHead].PushBack(c)
	return victim, from
}

// longest returns the connection that is to be closed for a new one, or nil.
func (t *table) longest(now time.Time) (*Conn, phase) {
	var since [phaseCount]time.Time
	for p := range phaseServing {
		if e := t.phases[p].Front(); e != nil {
			since[p] = e.Value.(*Conn).since
		}
	}
	p, ok := evictFrom(since, now)
	if !ok {
		return nil, 0
	}
	return t.phases[p].Front().Value.(*Conn), p
}

// move records that a connection has entered a phase.
func (t *table) move(c *Conn, to phase, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.place == nil || c.in(to) {
		return
	}
	t.phases[c.phase.Load()].Remove(c.place)
	c.phase.Store(int32(to))
	c.since = now
	c.place = t.phases[to].PushBack(c)
}

// remove removes a connection that has been closed, or is no longer an HTTP connection.
func (t *table) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(c)
}

func (t *table) drop(c *Conn) {
	if c.place == nil {
		return
	}
	t.phases[c.phase.Load()].Remove(c.place)
	c.place = nil
	t.open--
}
