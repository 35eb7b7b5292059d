package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
)

// Limits of trials: a job that was twice on a host that crashed starts on a host where
// nothing else has just begun, with nothing new beside it for a while, and on one host at a
// time. So a third crash speaks against that job alone, and innocent ones are not given up
// for what ran beside them.
const (
	// trialFor is for how long nothing new starts beside a job on trial. Tasks that crash
	// their hosts mostly do so right after their start.
	trialFor = 2 * time.Second
	// quietFor is for how long nothing must have been started on a host before a trial: by
	// then the end of the host would have been noticed.
	quietFor = 300 * time.Millisecond
	// hostsPerTrial is for how many hosts one may have a trial at the same time: it bounds
	// how much of a cell such jobs can take down at once, and how much others are kept from.
	hostsPerTrial = 8
)

// onTrial reports whether a job is on trial on the host.
func (h *hostState) onTrial(now time.Time) bool { return h.trialOf != nil && now.Before(h.trialUntil) }

// open reports whether a step may start on a host as far as trials go, and what the host
// has refused.
func (e *Engine) open(g *group, h *hostState, now time.Time) bool {
	if h.full(g.step.Booked(), now) {
		return false
	}
	if h.onTrial(now) && h.trialOf != g.job {
		return false
	}
	if g.standing < crashloop.OnTrial || h.trialOf == g.job && h.onTrial(now) {
		return true
	}
	if h.suspects > g.suspectsOn(h) || h.startedOf != g.job && now.Sub(h.startedAt) < quietFor {
		return false
	}
	if at := g.job.trialAt; !g.step.Gang && at != nil && at != h && at.trialOf == g.job && at.onTrial(now) {
		return false
	}
	return e.trials < max(1, len(e.sorted)/hostsPerTrial)
}

// noteStart notes that a task of a group was started on a host.
func (e *Engine) noteStart(g *group, h *hostState, now time.Time) {
	h.startedAt, h.startedOf = now, g.job
	if g.standing >= crashloop.Suspect {
		e.retried = true
		e.touch(g.job)
	}
	if g.standing < crashloop.OnTrial {
		return
	}
	if !h.onTrial(now) {
		e.trials++
	}
	h.trialOf, h.trialUntil = g.job, now.Add(trialFor)
	g.job.trialAt = h
}

// suspectsOn counts the suspect runs of the group's job on a host.
func (g *group) suspectsOn(h *hostState) int {
	n := 0
	if h.suspects == 0 {
		return 0
	}
	for _, r := range h.runs {
		if r.suspect && r.group != nil && r.group.job == g.job {
			n++
		}
	}
	return n
}

// endTrial notes that a run is over: the host is open again when nothing of the job on
// trial is left there.
func (e *Engine) endTrial(r *run) {
	h := r.on
	if r.suspect {
		h.suspects--
	}
	if h.trialOf == nil || r.group == nil || r.group.job != h.trialOf {
		return
	}
	for _, other := range h.runs {
		if other.group != nil && other.group.job == h.trialOf {
			return
		}
	}
	h.trialOf = nil
}
