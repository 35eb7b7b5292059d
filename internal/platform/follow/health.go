// Package follow keeps up with a part of the platform's store, and tells how
// well the store answers this process.
package follow

import (
	"sync"
	"time"
)

// Health is what this process's calls say of the store. It is safe for
// concurrent use.
type Health struct {
	mu       sync.Mutex
	answered time.Time // last answer
	failing  bool      // the last call that ended went unanswered
	since    time.Time // when failing began
	// waiting is when the first of the calls was sent that nothing was answered after;
	// zero when there is none.
	waiting  time.Time
	restored chan struct{}
	renewed  chan struct{}
	// onChange is told when the store is lost or regained.
	onChange func(up bool, away time.Duration)
}

// NewHealth returns the health of a store that was not asked yet. The function
// is told each time that the store stops or starts answering; it may be nil.
func NewHealth(onChange func(up bool, away time.Duration)) *Health {
	if onChange == nil {
		onChange = func(bool, time.Duration) {}
	}
	return &Health{restored: make(chan struct{}), renewed: make(chan struct{}), onChange: onChange}
}

// Note takes in the outcome of a call that ended at now.
func (h *Health) Note(answered bool, now time.Time) {
	h.mu.Lock()
	var changed, up bool
	var away time.Duration
	switch {
	case answered && h.failing:
		changed, up, away = true, true, now.Sub(h.since)
		h.failing = false
		close(h.restored)
		h.restored = make(chan struct{})
	case !answered && !h.failing:
		changed, h.failing, h.since = true, true, now
	}
	if answered {
		h.answered, h.waiting = now, time.Time{}
	}
	h.mu.Unlock()
	if changed {
		h.onChange(up, away)
	}
}

// Asked takes in that a call was sent which is answered at once where the store is
// well.
func (h *Health) Asked(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting.IsZero() {
		h.waiting = now
	}
}

// Silent is since how long calls have been waiting with no answer to any; zero when
// none waits. It knows of a store that has fallen silent before the first call is given
// up.
func (h *Health) Silent(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting.IsZero() {
		return 0
	}
	return now.Sub(h.waiting)
}

// Age is how long ago the store last answered.
func (h *Health) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.answered)
}

// Failing is for how long calls have gone unanswered; zero while they do not.
func (h *Health) Failing(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		return 0
	}
	return max(now.Sub(h.since), 1)
}

// Restored returns a channel that is closed when the store answers again after
// it did not.
func (h *Health) Restored() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restored
}

// Renew has questions that wait asked again: the connections that they wait on may
// have fallen silent.
func (h *Health) Renew() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.renewed)
	h.renewed = make(chan struct{})
}

// Renewed returns a channel that is closed at the next call of Renew.
func (h *Health) Renewed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewed
}
