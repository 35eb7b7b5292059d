// Package follow follows the changes under a key prefix of the platform's store, and tracks whether
// the store replies to this process.
package follow

import (
	"sync"
	"time"
)

// Health tracks the store's availability as observed by this process's calls. It is safe for
// concurrent use.
type Health struct {
	mu           sync.Mutex
	replied      time.Time // time of the last reply
	failing      bool      // the last finished call got no reply
	failingSince time.Time // start of the outage
	// waitingSince is when the first call since the last reply was sent; zero if there was none.
	waitingSince  time.Time
	restored      chan struct{}
	pollsRepeated chan struct{}
	// onChange is called when the store becomes unavailable or available.
	onChange func(up bool, outage time.Duration)
}

// NewHealth returns the health of a store that has not been called yet. onChange, which may be nil,
// is called when the store stops or resumes replying; outage is how long it did not reply.
func NewHealth(onChange func(up bool, outage time.Duration)) *Health {
	if onChange == nil {
		onChange = func(bool, time.Duration) {}
	}
	return &Health{restored: make(chan struct{}), pollsRepeated: make(chan struct{}), onChange: onChange}
}

// RecordCall records the outcome of a call that ended at now.
func (h *Health) RecordCall(replied bool, now time.Time) {
	h.mu.Lock()
	var changed, up bool
	var outage time.Duration
	switch {
	case replied && h.failing:
		changed, up, outage = true, true, now.Sub(h.failingSince)
		h.failing = false
		close(h.restored)
		h.restored = make(chan struct{})
	case !replied && !h.failing:
		changed, h.failing, h.failingSince = true, true, now
	}
	if replied {
		h.replied, h.waitingSince = now, time.Time{}
	}
	h.mu.Unlock()
	if changed {
		h.onChange(up, outage)
	}
}

// RecordSend records that a call was sent to which an available store replies at once.
func (h *Health) RecordSend(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waitingSince.IsZero() {
		h.waitingSince = now
	}
}

// UnansweredFor returns for how long calls have been waiting without a reply to any of them; 0 if none
// waits. It detects an unresponsive store before the first call times out.
func (h *Health) UnansweredFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(h.waitingSince)
}

// SinceLastReply returns the time since the store's last reply.
func (h *Health) SinceLastReply(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.replied)
}

// FailingFor returns for how long calls have failed; 0 if the last call did not.
func (h *Health) FailingFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		return 0
	}
	return max(now.Sub(h.failingSince), 1)
}

// Restored returns a channel that is closed when the store next replies after an outage.
func (h *Health) Restored() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restored
}

// RepeatPolls makes followers repeat their pending polls, whose connections may have become silent.
func (h *Health) RepeatPolls() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.pollsRepeated)
	h.pollsRepeated = make(chan struct{})
}

// PollsRepeated returns a channel that is closed at the next call of RepeatPolls.
func (h *Health) PollsRepeated() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pollsRepeated
}
