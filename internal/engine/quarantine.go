package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
)

// Limits of quarantine. A job that was on two hosts as they crashed starts only on a host where nothing
// else has just started, with nothing new started beside it for a while, and on few hosts at a time: see
// cohort. A third crash is then evidence against that job alone, and unrelated jobs are not failed for what
// ran beside them.
const (
	// quarantinePeriod is how long nothing new starts beside a quarantined job. Tasks that crash their
	// hosts mostly do so right after their start.
	quarantinePeriod = 2 * time.Second
	// quietPeriod is how long nothing may have been started on a host before it takes a quarantined job:
	// by then the end of the host would have been noticed.
	quietPeriod = 300 * time.Millisecond
	// hostsPerQuarantine is how many hosts the cell must have for each host that is in use by a
	// quarantined job. It bounds how much of a cell such jobs can take down at once, and how much is
	// withheld from other jobs.
	hostsPerQuarantine = 8
)

// hasQuarantine reports whether the host takes only starts of a quarantined job at present.
func (h *hostState) hasQuarantine(now time.Time) bool {
	return h.quarantinedJob != nil && now.Before(h.quarantineUntil)
}

// startAllowed reports whether the step may start on the host, considering quarantine and recent
// capacity refusals of the host.
func (e *Engine) startAllowed(g *group, h *hostState, now time.Time) bool {
	if h.recentlyRefused(g.step.Allocation(), now) {
		return false
	}
	if h.hasQuarantine(now) && h.quarantinedJob != g.job {
		return false
	}
	if g.suspicion < crashloop.Quarantined || h.quarantinedJob == g.job && h.hasQuarantine(now) {
		return true
	}
	if h.suspectRuns > g.suspectRunsOn(h) || h.startedJob != g.job && now.Sub(h.startedAt) < quietPeriod {
		return false
	}
	if !g.step.Gang && !g.job.admitsHost(now) {
		return false
	}
	return e.quarantines < max(1, e.unparkedHosts()/hostsPerQuarantine)
}

// recordStart records that a task of the group was started on the host.
func (e *Engine) recordStart(g *group, h *hostState, now time.Time) {
	h.startedAt, h.startedJob = now, g.job
	if g.suspicion >= crashloop.Suspect {
		e.runsUnstored = true
		e.markDirty(g.job)
	}
	if g.suspicion < crashloop.Quarantined {
		return
	}
	if !h.hasQuarantine(now) {
		e.quarantines++
	}
	g.job.addToCohort(h, now)
	h.quarantinedJob, h.quarantineUntil = g.job, now.Add(quarantinePeriod)
	h.touch()
}

// suspectRunsOn counts the suspect runs of the group's job on the host.
func (g *group) suspectRunsOn(h *hostState) int {
	n := 0
	if h.suspectRuns == 0 {
		return 0
	}
	for _, r := range h.runs {
		if r.suspect && r.group != nil && r.group.job == g.job {
			n++
		}
	}
	return n
}

// endQuarantine handles the end of a run: the host takes other work again when no run of the quarantined
// job is left there.
func (e *Engine) endQuarantine(r *run) {
	h := r.placedOn
	if r.suspect {
		h.suspectRuns--
	}
	if h.quarantinedJob == nil || r.group == nil || r.group.job != h.quarantinedJob {
		return
	}
	for _, other := range h.runs {
		if other.group != nil && other.group.job == h.quarantinedJob {
			return
		}
	}
	h.quarantinedJob = nil
	h.touch()
}
