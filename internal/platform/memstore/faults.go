package memstore

import (
	"time"

	"pulleyquay/internal/platform"
)

// All makes a counted fault strike every call until it is switched off.
const All = -1

// Faults is what goes wrong between clients and the store. The zero value is a
// healthy store. Counts are of coming writes; All means every one.
type Faults struct {
	// Refuse fails calls before anything is sent and breaks watches.
	Refuse bool `json:"refuse,omitempty"`
	// Hang swallows requests: they have no effect, and callers wait until
	// their context ends. Open watches stay open and deliver nothing.
	Hang bool `json:"hang,omitempty"`
	// RequestDelayMS is how long a request is on its way, in milliseconds. A
	// caller that gives up meanwhile does not call its request back.
	RequestDelayMS int64 `json:"request_delay_ms,omitempty"`
	// AnswerDelayMS is how long an answer is on its way, in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// LoseAnswers is the number of writes that take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseRequests is the number of writes that are sent and never arrive.
	LoseRequests int `json:"lose_requests,omitempty"`
	// StaleReads answers lists with the state of when it was switched on.
	StaleReads bool `json:"stale_reads,omitempty"`
	// BreakWatches ends open watches and refuses new ones.
	BreakWatches bool `json:"break_watches,omitempty"`
	// WatchDelayMS delays each delivery of a watch, in milliseconds.
	WatchDelayMS int64 `json:"watch_delay_ms,omitempty"`
}

// SetFaults replaces the faults that strike all clients.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.freeze(f)
	for _, c := range e.clients {
		c.changed()
	}
}

// Faults returns the faults that strike all clients; counts are what is left.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults that strike this client alone.
func (c *Client) SetFaults(f Faults) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.faults = f
	c.engine.freeze(f)
	c.changed()
}

// Faults returns the faults that strike this client alone.
func (c *Client) Faults() Faults {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.faults
}

// freeze keeps the present state for stale reads while any fault asks for it.
func (e *Engine) freeze(f Faults) {
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

// active is the sum of the faults that strike the client now.
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

// loseRequest reports whether a write that is under way never arrives, and
// uses up one of a counted fault.
func (c *Client) loseRequest() bool {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return take(&c.faults.LoseRequests) || take(&c.engine.faults.LoseRequests)
}

// loseAnswer reports whether a write's answer is lost, and uses up one of a
// counted fault.
func (c *Client) loseAnswer() bool {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return take(&c.faults.LoseAnswers) || take(&c.engine.faults.LoseAnswers)
}

// take uses up one of a counted fault.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count == All
}

// changed tells the client's waiting calls that its faults are others now. The
// engine's lock is held.
func (c *Client) changed() {
	close(c.faultsChanged)
	c.faultsChanged = make(chan struct{})
}

// onChange returns a channel that closes when the faults next change.
func (c *Client) onChange() <-chan struct{} {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.faultsChanged
}

// millis turns a count of milliseconds into a duration.
func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

var _ platform.Store = (*Client)(nil)
