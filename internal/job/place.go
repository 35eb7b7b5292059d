package job

import (
	"context"
	"sort"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// Limits of asking holders to start tasks.
const (
	maxBatch       = 256 // slots in one message
	maxCalls       = 4   // calls under way to one holder
	placeTimeout   = 5 * time.Second
	refusedPause   = 200 * time.Millisecond
	refusedLongest = 3 * time.Second
	probeInterval  = time.Second
)

// planStarts decides what to start where and sends it off.
func (h *home) planStarts(table *view.Table, now time.Time) {
	queue := h.startable(now)
	if len(queue) == 0 || table == nil {
		return
	}
	holders := holdersOf(table, h.m.cfg.Digests())
	for _, j := range queue {
		values, ok := h.m.cfg.Values(j.rec.Job.Branch)
		if !ok {
			j.log.add(now, "waiting", "the settings have no branch "+j.rec.Job.Branch+" any more")
			continue
		}
		if j.rec.Job.Kind == spec.KindGang {
			h.planGang(j, values, holders, now)
			continue
		}
		h.planJob(j, values, holders, now)
	}
}

// startable returns the jobs with tasks to start, most urgent first.
func (h *home) startable(now time.Time) []*job {
	var queue []*job
	for _, j := range h.live {
		if !j.certain || j.ending() || h.recovering(j) {
			continue
		}
		j.promote(now)
		if len(j.ready) > 0 {
			queue = append(queue, j)
		}
	}
	sort.Slice(queue, func(a, b int) bool { return before(queue[a].rec, queue[b].rec) })
	return queue
}

// before orders jobs: urgent ones, then the earliest submitted.
func before(a, b *record) bool {
	if a.Job.Urgent != b.Job.Urgent {
		return a.Job.Urgent
	}
	if a.Submitted != b.Submitted {
		return a.Submitted < b.Submitted
	}
	return a.Job.ID < b.Job.ID
}

// planJob starts as many tasks of a job as quota and holders seem to allow.
func (h *home) planJob(j *job, values settings.Values, holders []holder, now time.Time) {
	n := min(len(j.ready), h.quotaRoom(j, values.Quota))
	if n == 0 {
		j.log.add(now, "waiting", "the quota of team "+j.rec.Job.Team+" is used up")
		return
	}
	shares := h.shares(j, holders, now)
	if len(shares) == 0 {
		j.log.add(now, "waiting", "no holder has room")
		return
	}
	divide(n, shares, values.Placement.Policy)
	for _, s := range shares {
		if s.n > 0 {
			h.order(j, values, s, now)
		}
	}
}

// quotaRoom returns how many more tasks of a job its team's quota allows.
func (h *home) quotaRoom(j *job, q settings.Quota) int {
	use := h.team(j.rec.Job.Team).use
	left := func(limit, used int64) int64 {
		if limit < 0 {
			return 1 << 50
		}
		return limit - used
	}
	return int(times(j.size, spec.Resources{
		MilliCPU:     left(q.MilliCPU, use.MilliCPU),
		MemoryMiB:    left(q.MemoryMiB, use.MemoryMiB),
		Accelerators: left(q.Accelerators, use.Accelerators),
	}))
}

// shares returns the holders that may be asked now. When none seems to have
// room, one is asked for one task now and then, as digests are only hints.
func (h *home) shares(j *job, holders []holder, now time.Time) []share {
	var out []share
	var probe *share
	for _, at := range holders {
		if h.busy[at.addr] >= maxCalls || j.memory(at.member).until.After(now) {
			continue
		}
		n, ever := h.room(j.rec.Job.Task, at, now)
		if n > 0 {
			out = append(out, share{holder: at, room: min(n, maxBatch)})
		} else if ever && probe == nil {
			probe = &share{holder: at, room: 1}
		}
	}
	if len(out) > 0 || probe == nil {
		return out
	}
	if !j.rec.Job.Urgent && now.Before(h.probeAt) {
		return nil
	}
	h.probeAt = now.Add(probeInterval)
	return []share{*probe}
}

// order takes tasks from the ready ones and asks a holder to start them.
func (h *home) order(j *job, values settings.Values, s share, now time.Time) {
	n := min(s.n, len(j.ready))
	slots := make([]taskmsg.Slot, 0, n)
	for _, index := range j.ready[:n] {
		slots = append(slots, taskmsg.Slot{Index: index, Attempt: h.reserve(j, index)})
	}
	j.ready = j.ready[n:]
	a := h.askedOf(s.holder, now)
	a.asked = a.asked.Add(j.size.Times(int64(n)))
	h.busy[s.addr]++
	h.m.metrics.ordered.Add(float64(n))
	req := taskmsg.PlaceRequest{
		Home: h.self(), Shape: h.shape(j, values), Slots: slots,
		Preempt: j.rec.Job.Urgent && j.memory(s.member).pause > 0,
	}
	h.work.Go(func() { h.place(j, s.holder, req) })
}

// shape describes a job's tasks to holders.
func (h *home) shape(j *job, values settings.Values) taskmsg.Shape {
	zones := make(map[string]int, len(j.zones))
	for z, n := range j.zones {
		zones[z] = n
	}
	return taskmsg.Shape{
		Job: j.id(), Kind: j.rec.Job.Kind, Urgent: j.rec.Job.Urgent, Task: j.rec.Job.Task,
		Avoid: append([]string(nil), j.avoid...), Zones: zones,
		Policy: taskmsg.Policy{
			Name: values.Placement.Policy, SpreadZones: values.Placement.SpreadZones,
			SpreadRacks: values.Placement.SpreadRacks, LeaseMS: values.Task.LeaseMS, Priority: values.Task.Priority,
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
