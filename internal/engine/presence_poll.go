package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
)

// The host of a suspected task is polled repeatedly, so that a further loss yields evidence.

// suspectPollWait is how long a host holds back the answer to a poll while suspect runs are on it,
// quarantinePollWait while a quarantined one is: each loss of a quarantined run should yield evidence.
const (
	suspectPollWait    = 100 * time.Millisecond
	quarantinePollWait = 50 * time.Millisecond
)

// pollWait returns how long a host with suspect runs holds back the answer to a poll.
func (h *hostState) pollWait() time.Duration {
	for _, r := range h.runs {
		if r.suspect && r.group != nil && r.group.suspicion >= crashloop.Quarantined {
			return quarantinePollWait
		}
	}
	return suspectPollWait
}

// presencePollOffsets are the times after the start of a suspect run at which its host is polled. The
// first polls are close together because an answer may get lost and because tasks that crash their hosts
// do so some ten milliseconds after they start; the later ones detect
// sooner that a host has terminated silently.
var presencePollOffsets = []time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond, 8 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}

// presencePollInterval is the polling interval after those: an answer that is not held back gives the
// reading of the host's clock at a known time.
const presencePollInterval = time.Second

// schedulePresencePolls schedules the polls of a host on which a suspect run starts now.
func (h *hostState) schedulePresencePolls(now time.Time) {
	h.presencePollsFrom, h.presencePolls = now, 0
	h.touch()
}

// planPresencePoll polls a host on which a suspect run was started, if a poll is due.
func (e *Engine) planPresencePoll(h *hostState, now time.Time) {
	if h.presencePollsFrom.IsZero() {
		return
	}
	if now.Before(h.nextPresencePoll()) {
		return
	}
	if h.suspectRuns == 0 {
		h.presencePollsFrom = time.Time{}
		return
	}
	h.requestProbe()
	h.presencePolls++
}

// nextPresencePoll returns when the next poll of planPresencePoll is due.
func (h *hostState) nextPresencePoll() time.Time {
	if h.presencePolls < len(presencePollOffsets) {
		return h.presencePollsFrom.Add(presencePollOffsets[h.presencePolls])
	}
	return h.presencePollsFrom.Add(time.Duration(h.presencePolls-len(presencePollOffsets)+1) * presencePollInterval)
}
