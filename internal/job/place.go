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

// Limits of start requests to holders.
const (
	maxBatch          = 256             // slots per message
	maxCallsPerHolder = 4               // concurrent calls to one holder
	placeTimeout      = 8 * time.Second // longer than a preemption by the holder takes
	refusalBackoffMin = 200 * time.Millisecond
	refusalBackoffMax = 3 * time.Second
	probeInterval     = time.Second
)

// requestStarts takes ready tasks of a job and asks a holder to start them.
func (o *jobOwner) requestStarts(j *job, values settings.Values, s share, preempt bool, now time.Time) {
	n := min(s.n, len(j.ready))
	size := j.rec.Job.Task.Size
	if n == 0 || o.ledger.Reserve(j.rec.Job.Team, j.ledgerAccountOf(j.rec.TaskGeneration), values.Quota, size, n) != nil {
		return
	}
	slots := make([]taskmsg.Slot, 0, n)
	for _, index := range j.ready[:n] {
		slots = append(slots, o.newAttempt(j, index))
	}
	j.ready = j.ready[n:]
	capacity := o.requestedFrom(s.holder, now)
	capacity.requested = capacity.requested.Add(size.Times(int64(n)))
	o.callsInFlight[s.addr]++
	j.log.add(now, "asked", "holder "+s.member+", policy "+values.Placement.Policy+preemptNote(preempt))
	o.m.metrics.ordered.Add(float64(n))
	req := taskmsg.PlaceRequest{Home: o.identity(), Shape: o.shape(j, values), Slots: slots, Preempt: preempt}
	req.Shape.Aged = j.aged(now)
	o.background.Go(func() { o.sendPlaceRequest(j, s.holder, req) })
}

// aged reports whether the job has waited so long without a start that a holder without free
// capacity should reserve a host for it.
func (j *job) aged(now time.Time) bool {
	from := j.waitingSince
	if j.lastStart.After(from) {
		from = j.lastStart
	}
	return !j.waitingSince.IsZero() && now.Sub(from) >= fairshare.DefaultConfig().AgeAfter
}

// preemptNote is the addition to the decision log for a request that may preempt less urgent work.
func preemptNote(preempt bool) string {
	if preempt {
		return ", to make room by preemption as no holder has any"
	}
	return ""
}

// shape describes a job's tasks to holders.
func (o *jobOwner) shape(j *job, values settings.Values) taskmsg.Shape {
	return taskmsg.Shape{
		Job: j.id(), Kind: j.rec.Job.Kind, Urgent: j.rec.Job.Urgent, Task: j.rec.Job.Task,
		Avoid: o.health.Avoid(j.id()), RunningByZone: maps.Clone(j.zones),
		Policy: taskmsg.Policy{
			Name: values.Placement.Policy, SpreadZones: values.Placement.SpreadZones,
			SpreadRacks: values.Placement.SpreadRacks,
			Priority:    values.Task.Priority, MinReplicas: values.Task.MinReplicas,
		},
	}
}

// sendPlaceRequest asks a holder to start tasks and applies its reply.
func (o *jobOwner) sendPlaceRequest(j *job, target holder, req taskmsg.PlaceRequest) {
	var reply taskmsg.PlaceReply
	err := o.callHolder(target.addr, peer.KindPlace, placeTimeout, req, &reply)
	now := time.Now()
	o.mu.Lock()
	o.callsInFlight[target.addr]--
	o.applyPlaceReply(j, target, req.Slots, reply, err, now)
	o.mu.Unlock()
	o.wakeLoop()
}

// callHolder sends one request to a holder, provided that this process has the authority to act.
func (o *jobOwner) callHolder(addr string, kind peer.Kind, timeout time.Duration, req, reply any) error {
	if err := o.checkAuthority(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	o.m.metrics.messages.WithLabelValues(kindName(kind)).Inc()
	return o.m.cfg.Peers.Call(ctx, addr, kind, req, reply)
}

func kindName(k peer.Kind) string {
	switch k {
	case peer.KindPlace:
		return "place"
	case peer.KindGangReserve:
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

// applyPlaceReply applies a holder's reply to the attempts that were requested.
func (o *jobOwner) applyPlaceReply(j *job, target holder, slots []taskmsg.Slot, reply taskmsg.PlaceReply, err error, now time.Time) {
	if err != nil {
		reply = taskmsg.PlaceReply{}
	}
	results := make(map[taskmsg.Slot]taskmsg.SlotResult, len(reply.Results))
	for _, r := range reply.Results {
		results[r.Slot] = r
	}
	certain := err != nil && certainlyNotStarted(err)
	refused := 0
	for _, slot := range slots {
		r, ok := results[slot]
		if !o.awaitsOutcome(j, slot) {
			continue // a run report arrived first
		}
		switch {
		case ok && r.Outcome == taskmsg.OutcomeStarted:
			o.m.metrics.started.Inc()
			j.lastStart = now
			o.markRunning(j, slot.Index, o.location(r.Worker, r.Zone, r.Partition), r.Epoch)
			j.tasks[slot.Index].runningSince = now
		case certain || (ok && r.Outcome == taskmsg.OutcomeRefused):
			refused++
			o.releaseTask(j, slot.Index)
			o.requeue(j, slot.Index, 0, now)
		default:
			o.markUnacked(j, slot, target, now)
		}
	}
	o.m.metrics.rejected.Add(float64(refused))
	o.recordHolderReply(j, target, refused, reply.Refusal, err, now)
	o.finalizeIfDone(j, now)
}

// awaitsOutcome reports whether the slot is its task's current attempt and has no outcome yet.
func (o *jobOwner) awaitsOutcome(j *job, slot taskmsg.Slot) bool {
	if j.rec.State.Final() || slot.Index >= len(j.tasks) {
		return false
	}
	t := &j.tasks[slot.Index]
	return t.attempt == slot.Attempt && t.state == taskRequested
}

// certainlyNotStarted reports whether the error of a call guarantees that nothing was started.
func certainlyNotStarted(err error) bool { return result.From(err).Ran == result.RanNo }

// recordHolderReply records a holder's reply; after a refusal or an error the next request of the
// job to that holder is delayed.
func (o *jobOwner) recordHolderReply(j *job, target holder, refused int, refusal *taskmsg.Refusal, err error, now time.Time) {
	last := j.lastReply(target.member)
	last.refusal, last.err = refusal, err
	if refused == 0 && err == nil {
		o.clearRefusal(j, target)
		return
	}
	o.recordRefusal(j, target, now)
	if err != nil {
		j.log.add(now, "not placed", "holder "+target.member+": "+err.Error())
		return
	}
	j.log.add(now, "refused", "holder "+target.member+" has no room")
}
