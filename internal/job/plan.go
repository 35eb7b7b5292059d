package job

import (
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

// roundShare bounds the part of the time that ordering the waiting jobs may
// take: after a round, the next one waits so many times as long as it took.
const roundShare = 50

// roundPauseMost bounds the wait between two rounds.
const roundPauseMost = 2 * time.Second

// plan is the order in which waiting jobs are to start tasks, as far as it has
// not been carried out, and what is known about the present moment.
type plan struct {
	picks []fairshare.Pick
	// next is when the jobs may be put in order again.
	next time.Time
	// due is when the first waiting job that backs off may go on.
	due time.Time
	// urgent jobs were submitted since the last round and go first.
	urgent []string
}

// planStarts decides what to start where and sends it off. The order is worked
// out once for many starts, as it costs time for each waiting job; it is carried
// out as holders answer.
func (h *home) planStarts(table *view.Table, now time.Time) {
	if len(h.waiting) == 0 || table == nil {
		h.plan = plan{next: h.plan.next}
		return
	}
	m := h.moment(table, now)
	for _, id := range h.plan.urgent {
		if j := h.waiting[id]; j != nil && j.certain {
			h.planPick(m, fairshare.Pick{Job: id, Tasks: len(j.ready)})
		}
	}
	h.plan.urgent = h.plan.urgent[:0]
	if len(h.plan.picks) == 0 && !now.Before(h.plan.next) {
		h.newRound(m)
	}
	for len(h.plan.picks) > 0 && m.lanes() {
		pick := h.plan.picks[0]
		h.plan.picks = h.plan.picks[1:]
		h.planPick(m, pick)
	}
}

// newRound puts the waiting jobs in order.
func (h *home) newRound(m *moment) {
	began := time.Now()
	h.plan.picks = merge(h.round(m.holders, m.now))
	pause := min(roundShare*time.Since(began), roundPauseMost)
	h.plan.next = m.now.Add(pause)
}

// planPick starts tasks of one job.
func (h *home) planPick(m *moment, pick fairshare.Pick) {
	j := h.waiting[pick.Job]
	if j == nil || !j.certain {
		return
	}
	values, ok := h.m.cfg.Values(j.rec.Job.Branch)
	switch {
	case !ok:
		j.log.add(m.now, "waiting", "the settings have no branch "+j.rec.Job.Branch+" any more")
	case j.isGang() && j.gang.is(gangIdle):
		h.planGang(j, values, m)
	default:
		h.planJob(j, values, m, pick.Tasks)
	}
}

// merge joins picks of the same job that follow each other, for larger messages.
func merge(picks []fairshare.Pick) []fairshare.Pick {
	out := picks[:0]
	for _, p := range picks {
		if n := len(out); n > 0 && out[n-1].Job == p.Job {
			out[n-1].Tasks += p.Tasks
			continue
		}
		out = append(out, p)
	}
	return out
}

// moment is what one pass of decisions knows: the holders, and which makes of
// task have found no room at any of them.
type moment struct {
	h       *home
	now     time.Time
	holders []holder
	full    map[taskMake]bool
}

func (h *home) moment(table *view.Table, now time.Time) *moment {
	return &moment{h: h, now: now, holders: h.m.holders(table, now), full: map[taskMake]bool{}}
}

// lanes reports whether any holder may be sent another call.
func (m *moment) lanes() bool {
	for _, at := range m.holders {
		if m.h.busy[at.addr] < maxCalls {
			return true
		}
	}
	return false
}

// planJob starts up to n tasks of a job, as quota and holders seem to allow.
func (h *home) planJob(j *job, values settings.Values, m *moment, n int) {
	kind := makeOf(j)
	if m.full[kind] && !j.rec.Job.Urgent {
		j.log.add(m.now, "waiting", whyNoRoom)
		return
	}
	n = h.ledger.Room(j.rec.Job.Team, values.Quota, j.rec.Job.Task.Size, min(n, len(j.ready)))
	if n == 0 {
		if len(j.ready) > 0 {
			j.log.add(m.now, "waiting", whyNoQuota)
		}
		return
	}
	shares, preempt, full := h.shares(j, m, n)
	if full {
		m.full[kind] = true
	}
	if len(shares) == 0 {
		j.log.add(m.now, "waiting", whyNoRoom)
		return
	}
	divide(n, shares, values.Placement.Policy)
	for _, s := range shares {
		if s.n > 0 {
			h.order(j, values, s, preempt, m.now)
		}
	}
	h.enqueue(j)
}

// Reasons to wait, as the explanation gives them.
const (
	whyNoRoom  = "no holder has room"
	whyNoQuota = "the team's quota is used up"
)

// shares returns the holders that may be asked now for up to n tasks. When none
// seems to have room, urgent work makes the holders preempt; for other work one
// holder is asked for one task now and then, as digests are only hints. Aged work
// has such asks of its own, which make the holder keep a worker for it. full is
// true when no holder's digest shows any room.
func (h *home) shares(j *job, m *moment, n int) (out []share, preempt, full bool) {
	var crowded []share
	full = true
	for _, at := range m.holders {
		room, ever := h.room(j.rec.Job.Task, at, m.now)
		full = full && room == 0
		asked := h.standing(j, at, m.now)
		if h.busy[at.addr] >= maxCalls || asked == backingOff {
			continue
		}
		if room > 0 && !(j.rec.Job.Urgent && asked == refusedBefore) {
			out = append(out, share{holder: at, room: min(room, maxBatch)})
		} else if ever {
			crowded = append(crowded, share{holder: at, room: 1})
		}
	}
	switch {
	case len(out) > 0 || len(crowded) == 0:
		return out, false, full
	case j.rec.Job.Urgent:
		for i := range crowded {
			crowded[i].room = (n + len(crowded) - 1) / len(crowded)
		}
		return crowded, true, full
	case j.aged(m.now):
		if m.now.Before(h.agedProbe) {
			return nil, false, full
		}
		h.agedProbe = m.now.Add(probeInterval)
		return crowded[:1], false, full
	case m.now.Before(h.probeAt):
		return nil, false, full
	}
	h.probeAt = m.now.Add(probeInterval)
	return crowded[:1], false, full
}
