package hostsim

import (
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Start carries out a start that has arrived. One that was sent to another life does not
// arrive: its connection has ended with that.
func (h *Host) Start(epoch uint64, s host.Start) (reply host.Reply) {
	h.change(func() {
		if !h.up || !h.isLife(s.Life) {
			return
		}
		reply = h.start(epoch, s)
		if reply.Refused != "" {
			h.fleet.judge.refused(h, s.Run, reply.Refused)
		}
	})
	return reply
}

// IsLife reports whether the host is up in a life; zero stands for any.
func (h *Host) IsLife(life host.Life) (is bool) {
	h.change(func() { is = h.up && h.isLife(life) })
	return is
}

func (h *Host) isLife(life host.Life) bool {
	return life == 0 || life == h.info.Life || h.fleet.CarriesOver
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
		reply.Refused = host.RefusedLate
		return reply
	case s.No <= h.over[s.Task]:
		h.grant(s.Deadline)
		reply.Refused = host.RefusedOld
		return reply
	}
	rec := h.fleet.jobs[s.Task.Job]
	if rec == nil {
		h.fleet.judge.wrongf("UNASKED start of %v", s.Task)
		return reply
	}
	if rec.Rules.Advice != nil && s.Ticket != TicketOf(s.Task.StepID, h.info.ID) {
		reply.Refused = host.RefusedTicket
		return reply
	}
	if h.guarded(rec.Graph.Steps[s.Task.Step]) {
		h.grant(s.Deadline)
		reply.Refused = host.RefusedFull
		return reply
	}
	h.grant(s.Deadline)
	r := &run{Run: s.Run, step: rec.Graph.Steps[s.Task.Step], pace: fullPace}
	if s.Checkpoint != "" {
		r.accrued = h.fleet.saved[s.Task]
	}
	h.runs[s.Run] = r
	h.fleet.judge.started(h, r, epoch)
	if r.step.Gang {
		h.beginGang(r)
	} else {
		h.work(r)
	}
	h.scheduleCrash(r)
	return reply
}

// TicketOf is the ticket that the simulated policy service gives for a step on a
// host.
func TicketOf(step spec.StepID, h host.ID) string { return step.String() + string(h) }

// Pace carries out a pace that has arrived; it acts at once.
func (h *Host) Pace(epoch uint64, which host.Run, percent int) (reply host.Reply) {
	h.change(func() { reply = h.setPace(epoch, which, percent) })
	return reply
}

func (h *Host) setPace(epoch uint64, which host.Run, percent int) host.Reply {
	reply := host.Reply{Clock: h.clock()}
	if epoch < h.epoch {
		reply.Refused = host.RefusedFenced
		return reply
	}
	h.epoch = epoch
	r := h.runs[which]
	if r == nil {
		reply.Refused = host.RefusedOld
		return reply
	}
	r.accrued, r.pacedAt = r.workDone(h.fleet.clock.Now()), h.fleet.clock.Now()
	r.pace = percent
	if !r.worked.IsZero() && !h.stuck && !r.step.LongRunning {
		h.scheduleEnd(r)
	}
	return reply
}

// tail is the tail of a serving task's response times, in milliseconds: half of
// its target alone, and more the more the fillers beside it work.
func (h *Host) tail(r *run) float64 {
	ratio := tailAlone
	for _, other := range h.sorted() {
		if other.step.Filler {
			ratio += h.fleet.Harm[other.step.Image] * float64(other.pace) / fullPace
		}
	}
	return ratio * float64(r.step.TailTargetMillis)
}

// tailAlone is the tail of a serving task without fillers, as a share of its
// target.
const tailAlone = 0.5

func (h *Host) answerLooks() {
	waiting := h.waiting
	h.waiting = nil
	for _, answer := range waiting {
		answer(h.view())
	}
}

// Stop carries out a stop that has arrived.
func (h *Host) Stop(epoch uint64, which host.Run) (reply host.Reply) {
	h.change(func() { reply = h.stop(epoch, which) })
	return reply
}

func (h *Host) stop(epoch uint64, which host.Run) host.Reply {
	reply := host.Reply{Clock: h.clock()}
	if epoch < h.epoch {
		reply.Refused = host.RefusedFenced
		return reply
	}
	h.epoch = epoch
	h.over[which.Task] = max(h.over[which.Task], which.No)
	r := h.runs[which]
	if r == nil || r.stops {
		return reply
	}
	if !h.info.Draining {
		h.fleet.judge.takenAway(h, r)
	}
	r.stops = true
	r.gen++
	h.fleet.after(h.fleet.Bounds.StopTakes/2, func() {
		if h.runs[which] == r && h.up {
			h.end(r, host.EndStopped)
		}
	})
	return reply
}

// Look carries out a look that has arrived. The answer comes later when the look
// waits for an end.
func (h *Host) Look(epoch uint64, l host.Look, answer func(host.View)) {
	h.change(func() { h.look(epoch, l, answer) })
}

func (h *Host) look(epoch uint64, l host.Look, answer func(host.View)) {
	if epoch < h.epoch {
		answer(host.View{Clock: h.clock(), Fenced: true})
		return
	}
	h.epoch = epoch
	if l.Lease > 0 {
		h.grant(l.Lease)
	}
	if l.Life == 0 || l.Life == h.info.Life { // what a host.Client promises
		h.forget(l.Seen)
	}
	if l.Wait == 0 || len(h.ends) > 0 {
		answer(h.view())
		return
	}
	done, asked := false, h.lives
	once := func(v host.View) {
		if !done && h.up && !h.link.cut && h.lives == asked { // a host that is gone answers nothing
			done = true
			answer(v)
		}
	}
	h.waiting = append(h.waiting, once)
	h.fleet.after(l.Wait, func() { once(h.view()) })
}

// forget drops acknowledged ends.
func (h *Host) forget(seen int64) {
	for len(h.ends) > 0 && h.ends[0].Number <= seen {
		h.fleet.judge.noted(h.ends[0])
		h.ends = h.ends[1:]
	}
}

// mostEnds is how many ends one view lists.
const mostEnds = 500

func (h *Host) view() host.View {
	v := host.View{Clock: h.clock(), Life: h.toldLife(), Ended: append([]host.End(nil), h.ends[:min(len(h.ends), mostEnds)]...)}
	for _, r := range h.sorted() {
		row := host.Running{Run: r.Run, Percent: h.percent(r), Gauge: float64(r.step.Size.MilliCPU)}
		if r.step.TailTargetMillis > 0 {
			row.Gauge = h.tail(r)
		}
		v.Running = append(v.Running, row)
	}
	return v
}

func (h *Host) toldLife() host.Life {
	if h.fleet.Lifeless {
		return 0
	}
	return h.info.Life
}

func (h *Host) percent(r *run) float64 {
	if r.worked.IsZero() || h.stuck {
		return 0
	}
	if r.step.LongRunning {
		return 100
	}
	took := h.takes(r)
	if took <= 0 {
		return 100
	}
	return min(100, 100*float64(r.workDone(h.fleet.clock.Now()))/float64(took))
}

// Tails gives, for each serving task on the host, its tail as a share of its
// target.
func (h *Host) Tails() map[host.Run]float64 {
	out := map[host.Run]float64{}
	h.change(func() {
		for key, r := range h.runs {
			if r.step.TailTargetMillis > 0 {
				out[key] = h.tail(r) / float64(r.step.TailTargetMillis)
			}
		}
	})
	return out
}
