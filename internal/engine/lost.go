package engine

import (
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// dropVanished takes runs out of the books that the host does not show: starts
// that have never taken effect and can not any more, and runs that the host has
// forgotten.
func (e *Engine) dropVanished(h *hostState, v host.View, sent, now time.Time) {
	if len(h.runs) == 0 {
		return
	}
	shown := shownIn(v)
	for key, r := range h.runs {
		if shown[key] || !vanished(r, v.Clock, sent) {
			if r.state == runDoubt && !shown[key] && !sent.Before(r.known) {
				e.unwant(r, "its start was not answered and it is not shown") // the stop settles it
			}
			continue
		}
		e.lose(r, "its host does not show it any more", now)
	}
}

// shownIn names the runs that a view shows, running or ended.
func shownIn(v host.View) map[host.Run]bool {
	shown := make(map[host.Run]bool, len(v.Running)+len(v.Ended))
	for _, row := range v.Running {
		shown[row.Run] = true
	}
	for _, end := range v.Ended {
		shown[end.Run] = true
	}
	return shown
}

// lose takes a run out of the books that has ended without an end that its host listed,
// and tells the log with which host and why.
func (e *Engine) lose(r *run, why string, now time.Time) {
	e.log(Event{
		What: "run lost", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(r.on.info.ID), Age: now.Sub(r.sent),
		Why: fmt.Sprintf("%s; task %d, run %d, %s, at %.0f%%, host silent for %d ms",
			why, r.Task.Index, r.No, r.state, r.percent, r.on.silentFor(now).Milliseconds()),
	})
	e.remove(r)
	e.released(r, now)
}

// clockGrain is how far a deadline must lie back before a start that was not
// seen can be said to come to nothing.
const clockGrain = 20 // milliseconds

// vanished reports whether a run that a look of sent does not show is surely
// not on the host, now or later.
func vanished(r *run, clock host.Millis, sent time.Time) bool {
	switch r.state {
	case runRunning, runStopping:
		return r.known.Before(sent)
	case runDoubt:
		return clock > r.deadline+clockGrain
	}
	return false
}

// hostGone drops a host that has ended for certain, with all that ran there.
func (e *Engine) hostGone(h *hostState, now time.Time, why string) {
	h.gone = true
	e.log(Event{What: "host gone", Host: string(h.info.ID), Why: fmt.Sprintf("%s; %d runs there", why, len(h.runs)), Age: h.silentFor(now)})
	accused := append(h.accused, e.accusations(h, now)...)
	e.dropRuns(h, why, now)
	e.resolve(h, now)
	e.accuse(h, accused, now)
	e.forgetHost(h)
}

func (e *Engine) dropRuns(h *hostState, why string, now time.Time) {
	for _, r := range h.runs {
		e.lose(r, why, now)
	}
}

// expireEvery is how often the hosts are looked through for silent ones: what follows
// from silence counts in hundreds of milliseconds, and each look costs time for every host.
const expireEvery = 20 * time.Millisecond

// expireHosts gives up what ran on hosts that have been silent until every lease
// there was over.
func (e *Engine) expireHosts(now time.Time) {
	if now.Sub(e.expiredAt) < expireEvery {
		return
	}
	e.expiredAt = now
	e.losses.Forget(now)
	e.giveVerdicts(now)
	e.forgetExiles(now)
	for _, h := range slices.Clone(e.sorted) {
		e.ageRoom(h, now)
		e.shutSilent(h, now)
		e.holdEnd(h, now)
		e.dropUnheard(h, now)
		if h.silent.IsZero() || !h.claimed || now.Before(e.leaseOver(h)) {
			continue
		}
		if len(h.runs) > 0 {
			const why = "silent until its lease was over"
			e.log(Event{What: "host lost", Host: string(h.info.ID), Why: why, Age: now.Sub(h.heard)})
			h.accused = append(h.accused, e.accusations(h, now)...)
			e.dropRuns(h, why, now)
			e.waitForWord(h, now)
		}
		if !h.listed {
			e.accuse(h, h.accused, now)
			e.forgetHost(h)
		}
	}
}
