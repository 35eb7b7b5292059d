package hostsim

import (
	"cmp"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Start carries out a start that has arrived. A start that was sent to another incarnation does
// not arrive: its connection ended with that incarnation.
func (h *Host) Start(epoch uint64, s host.Start) (reply host.Reply) {
	h.withLock(func() {
		if !h.up || !h.isIncarnation(s.Incarnation) {
			return
		}
		reply = h.start(epoch, s)
		if reply.Refused != "" {
			h.fleet.checker.recordRefusal(h, s.Run, reply.Refused)
		}
	})
	return reply
}

// IsIncarnation reports whether the host is up in an incarnation; zero matches any.
func (h *Host) IsIncarnation(incarnation host.Incarnation) (is bool) {
	h.withLock(func() { is = h.up && h.isIncarnation(incarnation) })
	return is
}

func (h *Host) isIncarnation(incarnation host.Incarnation) bool {
	return incarnation == 0 || incarnation == h.info.Incarnation || h.fleet.AcceptEarlierStarts
}

func (h *Host) start(epoch uint64, s host.Start) host.Reply {
	reply := host.Reply{Clock: h.clock()}
	if epoch < h.epoch {
		reply.Refused = host.RefusedFenced
		return reply
	}
	h.epoch = epoch
	if _, there := h.runs[s.Run]; there {
		return reply
	}
	switch {
	case s.Deadline <= h.clock():
		reply.Refused = host.RefusedPastDeadline
		return reply
	case s.No <= h.highestEnded[s.Task]:
		h.renewLease(s.Deadline)
		reply.Refused = host.RefusedSuperseded
		return reply
	}
	if h.unhealthy {
		reply.Refused = host.RefusedUnhealthy
		return reply
	}
	rec := h.fleet.jobs[s.Task.Job]
	if rec == nil {
		h.fleet.checker.violationf("UNASKED start of %v", s.Task)
		return reply
	}
	if rec.Rules.PolicyQuery != nil && s.Ticket != TicketOf(s.Task.StepID, h.info.ID) {
		reply.Refused = host.RefusedTicket
		return reply
	}
	if h.lacksCapacity(rec.Graph.Steps[s.Task.Step]) {
		h.renewLease(s.Deadline)
		reply.Refused = host.RefusedNoCapacity
		return reply
	}
	h.renewLease(s.Deadline)
	r := &run{Run: s.Run, step: rec.Graph.Steps[s.Task.Step], speed: fullSpeed}
	if s.Checkpoint != "" {
		r.accrued = h.fleet.saved[s.Task]
	}
	h.runs[s.Run] = r
	h.fleet.checker.recordStart(h, r, epoch)
	if r.step.Gang {
		h.beginGang(r)
	} else {
		h.beginWork(r)
	}
	h.scheduleCrash(r)
	return reply
}

// TicketOf returns the ticket that the simulated policy service issues for a step on a host.
func TicketOf(step spec.StepID, h host.ID) string { return step.String() + string(h) }

// Throttle carries out a throttle order that has arrived. It takes effect immediately.
func (h *Host) Throttle(epoch uint64, target host.Run, percent int) (reply host.Reply) {
	h.withLock(func() { reply = h.setSpeed(epoch, target, percent) })
	return reply
}

func (h *Host) setSpeed(epoch uint64, target host.Run, percent int) host.Reply {
	reply := host.Reply{Clock: h.clock()}
	if epoch < h.epoch {
		reply.Refused = host.RefusedFenced
		return reply
	}
	h.epoch = epoch
	r := h.runs[target]
	if r == nil {
		reply.Refused = host.RefusedSuperseded
		return reply
	}
	r.accrued, r.speedSetAt = r.workDone(h.fleet.clock.Now()), h.fleet.clock.Now()
	r.speed = percent
	if !r.workStartedAt.IsZero() && !h.stalled && !r.step.LongRunning {
		h.scheduleEnd(r)
	}
	return reply
}

// tailLatency returns the tail latency of a serving task in milliseconds: half of its target
// if it is alone, and more the faster the backfill tasks on the host work.
func (h *Host) tailLatency(r *run) float64 {
	ratio := baseTailFraction
	for _, other := range h.sorted() {
		if other.step.Backfill {
			ratio += h.fleet.BackfillImpact[other.step.Image] * float64(other.speed) / fullSpeed
		}
	}
	return ratio * float64(r.step.TailLatencyTargetMillis)
}

// baseTailFraction is the tail latency of a serving task without backfill tasks, as a fraction of
// its target.
const baseTailFraction = 0.5

func (h *Host) answerPolls() {
	waitingPolls := h.waitingPolls
	h.waitingPolls = nil
	for _, answer := range waitingPolls {
		answer(h.view())
	}
}

// Stop carries out a stop that has arrived.
func (h *Host) Stop(epoch uint64, target host.Run) (reply host.Reply) {
	h.withLock(func() { reply = h.stop(epoch, target) })
	return reply
}

func (h *Host) stop(epoch uint64, target host.Run) host.Reply {
	reply := host.Reply{Clock: h.clock()}
	if epoch < h.epoch {
		reply.Refused = host.RefusedFenced
		return reply
	}
	h.epoch = epoch
	h.highestEnded[target.Task] = max(h.highestEnded[target.Task], target.No)
	r := h.runs[target]
	if r == nil || r.stopping {
		return reply
	}
	if !h.info.Draining {
		h.fleet.checker.checkDisruption(h, r)
	}
	r.stopping = true
	r.gen++
	h.fleet.after(h.fleet.Bounds.MaxStopTime/2, func() {
		if h.runs[target] == r && h.up {
			h.end(r, host.EndStopped)
		}
	})
	return reply
}

// Poll carries out a poll that has arrived. The answer is delayed if the poll waits for an end
// record.
func (h *Host) Poll(epoch uint64, p host.Poll, answer func(host.View)) {
	h.withLock(func() { h.poll(epoch, p, answer) })
}

func (h *Host) poll(epoch uint64, p host.Poll, answer func(host.View)) {
	if epoch < h.epoch {
		answer(host.View{Clock: h.clock(), Fenced: true})
		return
	}
	h.epoch = epoch
	if p.Lease > 0 {
		h.renewLease(p.Lease)
	}
	if p.Incarnation == 0 || p.Incarnation == h.info.Incarnation { // as host.Client guarantees
		h.forget(p.AckedEnds)
	}
	if p.Wait == 0 || len(h.ends) > 0 {
		answer(h.view())
		return
	}
	done, incarnation := false, h.earlierIncarnations
	once := func(v host.View) {
		if !done && h.up && !h.link.disconnected && h.earlierIncarnations == incarnation { // an ended incarnation does not answer
			done = true
			answer(v)
		}
	}
	h.waitingPolls = append(h.waitingPolls, once)
	h.fleet.after(p.Wait, func() { once(h.view()) })
}

// forget deletes acknowledged end records.
func (h *Host) forget(acked int64) {
	for len(h.ends) > 0 && h.ends[0].Number <= acked {
		h.fleet.checker.recordAck(h, h.ends[0])
		h.ends = h.ends[1:]
	}
}

// MaxListedEnds is the default maximum number of end records in one view.
const MaxListedEnds = 500

func (h *Host) view() host.View {
	limit := cmp.Or(h.fleet.ListedEnds, MaxListedEnds)
	listed := h.ends[:min(len(h.ends), limit)]
	v := host.View{
		Clock: h.clock(), Incarnation: h.reportedIncarnation(), Ended: append([]host.End(nil), listed...),
		EndsTruncated: len(listed) == limit, // whether there are more can not be seen on the wire
	}
	for _, r := range h.sorted() {
		row := host.Running{Run: r.Run, Percent: h.percent(r), Gauge: float64(r.step.Size.MilliCPU)}
		if r.step.TailLatencyTargetMillis > 0 {
			row.Gauge = h.tailLatency(r)
		}
		v.Running = append(v.Running, row)
	}
	return v
}

func (h *Host) reportedIncarnation() host.Incarnation {
	if h.fleet.OmitIncarnation {
		return 0
	}
	return h.info.Incarnation
}

func (h *Host) percent(r *run) float64 {
	if r.workStartedAt.IsZero() || h.stalled {
		return 0
	}
	if r.step.LongRunning {
		return 100
	}
	took := h.runTime(r)
	if took <= 0 {
		return 100
	}
	return min(100, 100*float64(r.workDone(h.fleet.clock.Now()))/float64(took))
}

// TailLatencies returns the tail latency of each serving task on the host as a fraction of its
// target.
func (h *Host) TailLatencies() map[host.Run]float64 {
	out := map[host.Run]float64{}
	h.withLock(func() {
		for key, r := range h.runs {
			if r.step.TailLatencyTargetMillis > 0 {
				out[key] = h.tailLatency(r) / float64(r.step.TailLatencyTargetMillis)
			}
		}
	})
	return out
}
