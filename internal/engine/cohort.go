package engine

import (
	"slices"
	"time"
)

// cohort is a set of hosts on which a quarantined job has started tasks together. Most tasks of such a job
// crash no host, and on one host at a time they would wait for each other for nothing. So a cohort may have
// twice as many hosts as the one before had, once all of those have answered after their quarantine. A crash
// under the job ends the growth, and so does a host that has not answered: the next cohort has one host.
type cohort struct {
	hosts   []*hostState
	size    int  // how many hosts it may have
	crashed bool // a host has crashed under the job since the cohort began
}

// admitsHost reports whether the job may start on one more host.
func (j *job) admitsHost(now time.Time) bool {
	c := &j.cohort
	if slices.ContainsFunc(c.hosts, func(h *hostState) bool { return j.inQuarantineOn(h, now) }) {
		return len(c.hosts) < c.size && !c.crashed
	}
	return c.crashed || !slices.ContainsFunc(c.hosts, func(h *hostState) bool { return j.answerPending(h, now) })
}

// addToCohort records a start on a host. It begins the next cohort if no host of the present one is in
// quarantine any more.
func (j *job) addToCohort(h *hostState, now time.Time) {
	c := &j.cohort
	if !slices.ContainsFunc(c.hosts, func(h *hostState) bool { return j.inQuarantineOn(h, now) }) {
		*c = cohort{size: j.nextCohortSize()}
	}
	if !slices.Contains(c.hosts, h) {
		c.hosts = append(c.hosts, h)
	}
}

func (j *job) nextCohortSize() int {
	c := &j.cohort
	survived := !slices.ContainsFunc(c.hosts, func(h *hostState) bool { return !j.survivedOn(h) })
	if len(c.hosts) == 0 || c.crashed || !survived {
		return 1
	}
	return 2 * len(c.hosts)
}

// inQuarantineOn reports whether the host takes only starts of the job.
func (j *job) inQuarantineOn(h *hostState, now time.Time) bool {
	return h.quarantinedJob == j && h.hasQuarantine(now)
}

// survivedOn reports whether the host is known to have outlived its quarantine for the job, which ends
// early with the last run of the job there.
func (j *job) survivedOn(h *hostState) bool {
	if h.terminated || !h.unresponsiveSince.IsZero() {
		return false
	}
	return h.quarantinedJob != j || !h.viewProducedAt.Before(h.quarantineUntil)
}

// answerPending reports whether the host may soon be known to have outlived its quarantine.
func (j *job) answerPending(h *hostState, now time.Time) bool {
	return !h.terminated && !j.survivedOn(h) && now.Before(h.quarantineUntil.Add(quietPeriod))
}

// quarantineProbeInterval is the interval between polls of a host that ask whether it has outlived its
// quarantine; a poll or its answer may get lost.
const quarantineProbeInterval = 50 * time.Millisecond

// planQuarantineProbe polls a host at the end of its quarantine.
func (e *Engine) planQuarantineProbe(h *hostState, now time.Time) {
	due := h.nextQuarantineProbe()
	if due.IsZero() || now.Before(due) {
		return
	}
	if now.Before(h.quarantineUntil.Add(quietPeriod)) {
		h.requestProbe()
	}
	h.quarantineProbedAt = now
}

// nextQuarantineProbe returns when the next poll of planQuarantineProbe is due; zero if none is.
func (h *hostState) nextQuarantineProbe() time.Time {
	j := h.quarantinedJob
	if j == nil || j.survivedOn(h) || h.terminated {
		return time.Time{}
	}
	due := later(h.quarantineUntil, h.quarantineProbedAt.Add(quarantineProbeInterval))
	if !due.Before(h.quarantineUntil.Add(quietPeriod)) {
		return time.Time{}
	}
	return due
}
