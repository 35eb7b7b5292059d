package job

import (
	"context"
	"maps"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// Limits of asking holders to start tasks.
const (
	maxBatch       = 256             // slots in one message
	maxCalls       = 4               // calls under way to one holder
	placeTimeout   = 8 * time.Second // longer than a holder's preemption takes
	refusedPause   = 200 * time.Millisecond
	refusedLongest = 3 * time.Second
	probeInterval  = time.Second
)

// planStarts decides what to start where and sends it off.
func (h *home) planStarts(table *view.Table, now time.Time) {
	if len(h.waiting) == 0 || table == nil {
		return
	}
	holders := holdersOf(table, h.m.cfg.Digests())
	for _, pick := range merge(h.round(holders, now)) {
		j := h.waiting[pick.Job]
		if j == nil {
			continue
		}
		values, ok := h.m.cfg.Values(j.rec.Job.Branch)
		switch {
		case !ok:
			j.log.add(now, "waiting", "the settings have no branch "+j.rec.Job.Branch+" any more")
		case j.isGang() && j.gang.is(gangIdle):
			h.planGang(j, values, holders, now)
		default:
			h.planJob(j, values, holders, pick.Tasks, now)
		}
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

// planJob starts up to n tasks of a job, as quota and holders seem to allow.
func (h *home) planJob(j *job, values settings.Values, holders []holder, n int, now time.Time) {
	n = h.ledger.Room(j.rec.Job.Team, values.Quota, j.rec.Job.Task.Size, min(n, len(j.ready)))
	if n == 0 {
		j.log.add(now, "waiting", "the quota of team "+j.rec.Job.Team+" is used up")
		return
	}
	shares, preempt := h.shares(j, holders, n, now)
	if len(shares) == 0 {
		j.log.add(now, "waiting", "no holder has room")
		return
	}
	divide(n, shares, values.Placement.Policy)
	for _, s := range shares {
		if s.n > 0 {
			h.order(j, values, s, preempt, now)
		}
	}
	h.enqueue(j)
}

// shares returns the holders that may be asked now for up to n tasks. When none
// seems to have room, urgent work makes the holders preempt; for other work one
// holder is asked for one task now and then, as digests are only hints.
func (h *home) shares(j *job, holders []holder, n int, now time.Time) (out []share, preempt bool) {
	var full []share
	for _, at := range holders {
		m := j.memory(at.member)
		if h.busy[at.addr] >= maxCalls || m.until.After(now) {
			continue
		}
		room, ever := h.room(j.rec.Job.Task, at, now)
		if room > 0 && !(j.rec.Job.Urgent && m.pause > 0) {
			out = append(out, share{holder: at, room: min(room, maxBatch)})
		} else if ever {
			full = append(full, share{holder: at, room: 1})
		}
	}
	switch {
	case len(out) > 0 || len(full) == 0:
		return out, false
	case j.rec.Job.Urgent:
		for i := range full {
			full[i].room = (n + len(full) - 1) / len(full)
		}
		return full, true
	case now.Before(h.probeAt):
		return nil, false
	}
	h.probeAt = now.Add(probeInterval)
	return full[:1], false
}

// order takes tasks from the ready ones and asks a holder to start them.
func (h *home) order(j *job, values settings.Values, s share, preempt bool, now time.Time) {
	n := min(s.n, len(j.ready))
	size := j.rec.Job.Task.Size
	if n == 0 || h.ledger.Reserve(j.rec.Job.Team, j.accountOf(j.rec.TaskGeneration), values.Quota, size, n) != nil {
		return
	}
	slots := make([]taskmsg.Slot, 0, n)
	for _, index := range j.ready[:n] {
		slots = append(slots, h.reserve(j, index))
	}
	j.ready = j.ready[n:]
	a := h.askedOf(s.holder, now)
	a.asked = a.asked.Add(size.Times(int64(n)))
	h.busy[s.addr]++
	h.m.metrics.ordered.Add(float64(n))
	req := taskmsg.PlaceRequest{Home: h.self(), Shape: h.shape(j, values), Slots: slots, Preempt: preempt}
	h.work.Go(func() { h.place(j, s.holder, req) })
}

// shape describes a job's tasks to holders.
func (h *home) shape(j *job, values settings.Values) taskmsg.Shape {
	return taskmsg.Shape{
		Job: j.id(), Kind: j.rec.Job.Kind, Urgent: j.rec.Job.Urgent, Task: j.rec.Job.Task,
		Avoid: h.health.Avoid(j.id()), Zones: maps.Clone(j.zones),
		Policy: taskmsg.Policy{
			Name: values.Placement.Policy, SpreadZones: values.Placement.SpreadZones,
			SpreadRacks: values.Placement.SpreadRacks,
			Priority:    values.Task.Priority, MinReplicas: values.Task.MinReplicas,
		},
	}
}

// place asks a holder to start tasks and applies its answer.
func (h *home) place(j *job, at holder, req taskmsg.PlaceRequest) {
	var reply taskmsg.PlaceReply
	err := h.ask(at.addr, peer.KindPlace, placeTimeout, req, &reply)
	now := time.Now()
	h.mu.Lock()
	h.busy[at.addr]--
	h.placed(j, at, req.Slots, reply, err, now)
	h.mu.Unlock()
	h.rouse()
}

// ask sends one message to a holder, provided that this process may still act.
func (h *home) ask(addr string, kind peer.Kind, timeout time.Duration, req, reply any) error {
	if err := h.checkRight(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	h.m.metrics.messages.WithLabelValues(kindName(kind)).Inc()
	return h.m.cfg.Peers.Call(ctx, addr, kind, req, reply)
}

func kindName(k peer.Kind) string {
	switch k {
	case peer.KindPlace:
		return "place"
	case peer.KindGangHold:
		return "gang-hold"
	case peer.KindGangEnd:
		return "gang-end"
	case peer.KindStopTasks:
		return "stop"
	case peer.KindInventory:
		return "inventory"
	}
	return "other"
}

// placed applies a holder's answer to the very attempts that it is about.
func (h *home) placed(j *job, at holder, slots []taskmsg.Slot, reply taskmsg.PlaceReply, err error, now time.Time) {
	if err != nil {
		reply = taskmsg.PlaceReply{}
	}
	results := make(map[taskmsg.Slot]taskmsg.SlotResult, len(reply.Results))
	for _, r := range reply.Results {
		results[r.Slot] = r
	}
	certain := err != nil && certainlyNot(err)
	refused := 0
	for _, slot := range slots {
		r, ok := results[slot]
		if !h.awaits(j, slot) {
			continue // news of it came first
		}
		switch {
		case ok && r.Outcome == taskmsg.OutcomeStarted:
			h.m.metrics.started.Inc()
			h.runs(j, slot.Index, h.site(r.Worker, r.Zone, r.Partition), r.Epoch)
		case certain || (ok && r.Outcome == taskmsg.OutcomeRefused):
			refused++
			h.freed(j, slot.Index)
			h.again(j, slot.Index, 0, now)
		default:
			h.doubtful(j, slot, at, now)
		}
	}
	h.m.metrics.turnedDown.Add(float64(refused))
	h.remember(j, at, refused, reply.Refusal, err, now)
	h.settle(j, now)
}

// awaits reports whether the slot is its task's present attempt and still
// without an outcome.
func (h *home) awaits(j *job, slot taskmsg.Slot) bool {
	if j.rec.State.Final() || slot.Index >= len(j.tasks) {
		return false
	}
	t := &j.tasks[slot.Index]
	return t.attempt == slot.Attempt && t.state == taskOrdered
}

// certainlyNot reports whether a failed call promises that nothing was started.
func certainlyNot(err error) bool { return result.From(err).Ran == result.RanNo }

// remember makes the job wait before it asks a holder again that refused.
func (h *home) remember(j *job, at holder, refused int, why *taskmsg.Refusal, err error, now time.Time) {
	m := j.memory(at.member)
	m.refusal, m.err = why, err
	if refused == 0 && err == nil {
		m.pause, m.until = 0, time.Time{}
		return
	}
	m.pause = min(max(2*m.pause, refusedPause), refusedLongest)
	m.until = now.Add(m.pause)
	if err != nil {
		j.log.add(now, "not placed", "holder "+at.member+": "+err.Error())
		return
	}
	j.log.add(now, "refused", "holder "+at.member+" has no room")
}
