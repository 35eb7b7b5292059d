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
	j.log.add(now, "asked", "holder "+s.member+", policy "+values.Placement.Policy+why(preempt))
	h.m.metrics.ordered.Add(float64(n))
	req := taskmsg.PlaceRequest{Home: h.self(), Shape: h.shape(j, values), Slots: slots, Preempt: preempt}
	req.Shape.Aged = j.aged(now)
	h.work.Go(func() { h.place(j, s.holder, req) })
}

// aged reports whether the job has waited so long without a start that a holder
// without room is to keep a worker for it.
func (j *job) aged(now time.Time) bool {
	from := j.since
	if j.lastStart.After(from) {
		from = j.lastStart
	}
	return !j.since.IsZero() && now.Sub(from) >= fairshare.DefaultConfig().AgeAfter
}

// why adds to the record that an order may stop less urgent work.
func why(preempt bool) string {
	if preempt {
		return ", to make room by preemption as no holder has any"
	}
	return ""
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
			j.lastStart = now
			h.runs(j, slot.Index, h.site(r.Worker, r.Zone, r.Partition), r.Epoch)
			j.tasks[slot.Index].since = now
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
		h.admits(j, at)
		return
	}
	h.refuse(j, at, now)
	if err != nil {
		j.log.add(now, "not placed", "holder "+at.member+": "+err.Error())
		return
	}
	j.log.add(now, "refused", "holder "+at.member+" has no room")
}
