package memstore

import (
	"time"

	"pulleyquay/internal/platform"
)

// EveryCall makes a counted fault affect every call until it is switched off.
const EveryCall = -1

// Faults are the faults between clients and the store. The zero value is a healthy store. Counts are
// of the next writes; EveryCall means every write.
type Faults struct {
	// Refuse fails calls before anything is sent, and ends watches.
	Refuse bool `json:"refuse,omitempty"`
	// Hang drops requests: they have no effect, and callers wait until their context ends. Open
	// watches stay open and deliver nothing.
	Hang bool `json:"hang,omitempty"`
	// RequestDelayMS is the delay of a request in milliseconds. A request whose caller cancels in
	// the meantime still arrives.
	RequestDelayMS int64 `json:"request_delay_ms,omitempty"`
	// AnswerDelayMS is the delay of a reply in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// LoseAnswers is the number of writes that take effect and whose reply is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of writes that are sent and never arrive.
	LoseRequests int `json:"lose_requests,omitempty"`
	// StaleReads makes lists return the state at the time when it was switched on.
	StaleReads bool `json:"stale_reads,omitempty"`
	// BreakWatches ends open watches and refuses new ones.
	BreakWatches bool `json:"break_watches,omitempty"`
	// WatchDelayMS is the delay of each delivery of a watch in milliseconds.
	WatchDelayMS int64 `json:"watch_delay_ms,omitempty"`
}

// SetFaults replaces the faults that affect all clients.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.updateSnapshot(f)
	for _, c := range e.clients {
		c.notifyFaultsChanged()
	}
}

// Faults returns the faults that affect all clients; counts are the remaining ones.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults that affect this client only.
func (c *Client) SetFaults(f Faults) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.faults = f
	c.engine.updateSnapshot(f)
	c.notifyFaultsChanged()
}

// Faults returns the faults that affect this client only.
func (c *Client) Faults() Faults {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.faults
}

// updateSnapshot keeps a snapshot for stale reads for as long as any fault needs it.
func (e *Engine) updateSnapshot(f Faults) {
	if f.StaleReads && e.stale == nil {
		e.stale = &snapshot{records: e.records.Clone(), revision: e.revision}
		return
	}
	if e.faults.StaleReads {
		return
	}
	for _, c := range e.clients {
		if c.faults.StaleReads {
			return
		}
	}
	e.stale = nil
}

// active returns the combined faults that currently affect the client.
func (c *Client) active() Faults {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	a, b := c.engine.faults, c.faults
	return Faults{
		Refuse:         a.Refuse || b.Refuse,
		Hang:           a.Hang || b.Hang,
		RequestDelayMS: a.RequestDelayMS + b.RequestDelayMS,
		AnswerDelayMS:  a.AnswerDelayMS + b.AnswerDelayMS,
		StaleReads:     a.StaleReads || b.StaleReads,
		BreakWatches:   a.BreakWatches || b.BreakWatches,
		WatchDelayMS:   a.WatchDelayMS + b.WatchDelayMS,
	}
}

// loseRequest reports whether a write in flight never arrives, and decrements the counted fault.
func (c *Client) loseRequest() bool {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return consume(&c.faults.LoseRequests) || consume(&c.engine.faults.LoseRequests)
}

// loseReply reports whether a write's reply is lost, and decrements the counted fault.
func (c *Client) loseReply() bool {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return consume(&c.faults.LoseAnswers) || consume(&c.engine.faults.LoseAnswers)
}

// consume decrements a counted fault and reports whether it applies.
func consume(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count == EveryCall
}

// notifyFaultsChanged wakes the client's waiting calls after a change of its faults. The engine's
// lock is held.
func (c *Client) notifyFaultsChanged() {
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// faultChange returns a channel that is closed at the next change of the faults.
func (c *Client) faultChange() <-chan struct{} {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.faultsChanged
}

// millis converts a number of milliseconds to a duration.
func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

var _ platform.Store = (*Client)(nil)
