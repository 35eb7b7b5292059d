package engine

import (
	"sort"
	"strings"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// fakeHost behaves as the platform's hosts do: it keeps the highest epoch, kills
// everything when its lease ends, lists ends until they are forgotten, and starts
// whatever it is told to.
type fakeHost struct {
	w      *world
	info   host.Info
	listed bool
	up     bool
	cut    bool // not reached, but running on
	born   time.Time
	rate   float64 // of its clock
	slow   float64 // factor on run times; zero is one
	fails  bool    // every task fails
	stuck  bool    // no task makes progress

	epoch uint64
	lease host.Millis
	runs  map[host.Run]*fakeRun
	over  map[spec.StepTask]int // highest run that was stopped or ended here
	ends  []host.End
	n     int64
	// waiting are looks that wait for an end.
	waiting []func(host.View)
}

type fakeRun struct {
	run     host.Run
	step    spec.Step
	begun   time.Time
	worked  time.Time // when its work began
	gen     int       // outdates scheduled ends
	stops   bool
	through bool // its work is done; a gang's member waits for the others
}

func (h *fakeHost) reachable() bool { return h.up && !h.cut }

func (h *fakeHost) clock() host.Millis {
	return host.Millis(float64(h.w.now.Sub(h.born).Milliseconds()) * h.rate)
}

func (h *fakeHost) grant(until host.Millis) {
	h.expire()
	h.lease = max(h.lease, min(until, h.clock()+6000))
	wait := time.Duration(float64(h.lease-h.clock())/h.rate+1) * time.Millisecond
	h.w.after(wait, h.expire)
}

// expire kills everything when the lease is over.
func (h *fakeHost) expire() {
	if !h.up || h.clock() < h.lease {
		return
	}
	for _, r := range h.sorted() {
		h.end(r, host.EndLapsed)
	}
}

func (h *fakeHost) sorted() []*fakeRun {
	var out []*fakeRun
	for _, r := range h.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].run.Task.String() < out[b].run.Task.String() })
	return out
}

func (h *fakeHost) start(epoch uint64, s host.Start) host.Reply {
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
	rec := h.w.jobs[s.Task.Job]
	if rec == nil {
		h.w.wrongf("UNASKED start of %v", s.Task)
		return reply
	}
	if rec.Rules.Advice != nil && s.Ticket != s.Task.StepID.String()+string(h.info.ID) {
		reply.Refused = host.RefusedTicket
		return reply
	}
	h.grant(s.Deadline)
	h.begin(s, rec.Graph.Steps[s.Task.Step])
	return reply
}

// begin starts a run and judges whether it may.
func (h *fakeHost) begin(s host.Start, step spec.Step) {
	w := h.w
	w.starts++
	r := &fakeRun{run: s.Run, step: step, begun: w.now}
	h.runs[s.Run] = r
	h.judgeStart(s, step)
	if w.running[s.Task] == nil {
		w.running[s.Task] = map[host.ID]int{}
	}
	w.running[s.Task][h.info.ID]++
	if step.Gang {
		h.beginGang(r)
		return
	}
	h.work(r)
}

func (h *fakeHost) judgeStart(s host.Start, step spec.Step) {
	w := h.w
	var used spec.Resources
	for _, r := range h.runs {
		used = used.Add(r.step.Booked())
	}
	if !used.Fits(h.info.Size) {
		w.wrongf("LIMIT %s holds %v of %v after the start of %v", h.info.ID, used, h.info.Size, s.Task)
	}
	for id, n := range w.running[s.Task] {
		if n > 0 && w.hosts[id].up {
			w.wrongf("TWICE %v starts on %s while it runs on %s", s.Run, h.info.ID, id)
		}
	}
	if w.noted[s.Task] {
		w.wrongf("TWICE %v starts after its end as done was noted", s.Run)
	}
	for _, before := range step.After {
		for k := range w.jobs[s.Task.Job].Graph.Steps[before].Count {
			t := spec.StepTask{StepID: spec.StepID{Job: s.Task.Job, Step: before}, Index: k}
			if !w.doneSeen[t] {
				w.wrongf("ORDER %v starts before %v is done", s.Task, t)
			}
		}
	}
	if len(w.failed[s.Task]) >= w.jobs[s.Task.Job].Rules.Attempts {
		w.wrongf("BUDGET %v starts after %d failures", s.Run, len(w.failed[s.Task]))
	}
}

// members are the present runs of a gang with the same number, on all hosts.
func (h *fakeHost) members(r *fakeRun) map[*fakeRun]*fakeHost {
	out := map[*fakeRun]*fakeHost{}
	for _, other := range h.w.hosts {
		for _, m := range other.runs {
			if other.up && m.run.Task.StepID == r.run.Task.StepID && m.run.No == r.run.No && !m.stops {
				out[m] = other
			}
		}
	}
	return out
}

// beginGang starts the work when all members are there; a member that waits too
// long ends alone.
func (h *fakeHost) beginGang(r *fakeRun) {
	all := h.members(r)
	if len(all) == r.step.Count {
		for m, on := range all {
			on.work(m)
		}
		return
	}
	gen := r.gen
	h.w.after(3*time.Second, func() {
		if h.runs[r.run] == r && r.gen == gen && r.worked.IsZero() && h.up {
			h.end(r, host.EndAlone)
		}
	})
}

// work schedules the end of a run.
func (h *fakeHost) work(r *fakeRun) {
	r.worked = h.w.now
	r.gen++
	gen := r.gen
	took := time.Duration(r.step.EstimateMillis) * time.Millisecond
	if r.step.Gang {
		took = time.Duration(float64(took) * h.w.uneven(r.run.Task.Index))
	}
	if h.slow > 0 {
		took = time.Duration(float64(took) * h.slow)
	}
	if h.stuck {
		return
	}
	how := host.EndDone
	if h.w.failNext > 0 && r.run.Task.Index == 0 {
		h.w.failNext--
		how = host.EndFailed
		took /= 2
	}
	if h.fails || strings.HasPrefix(r.run.Task.Job, "hopeless") {
		how = host.EndFailed
		took /= 2
	}
	h.w.after(took, func() {
		if h.runs[r.run] != r || r.gen != gen || !h.up || h.stuck {
			return
		}
		r.through = true
		if how == host.EndFailed || !r.step.Gang || h.gangThrough(r) {
			h.finish(r, how)
		}
	})
}

// gangThrough reports whether all members of a run have done their work.
func (h *fakeHost) gangThrough(r *fakeRun) bool {
	all := h.members(r)
	for m := range all {
		if !m.through {
			return false
		}
	}
	return len(all) == r.step.Count
}

// finish ends a run by itself, with its gang.
func (h *fakeHost) finish(r *fakeRun, how host.How) {
	if !r.step.Gang {
		h.end(r, how)
		return
	}
	for m, on := range h.members(r) {
		switch {
		case how == host.EndDone || m == r:
			on.end(m, how)
		default:
			on.end(m, host.EndBroken)
		}
	}
}

// end takes a run away and lists its end.
func (h *fakeHost) end(r *fakeRun, how host.How) {
	delete(h.runs, r.run)
	h.w.running[r.run.Task][h.info.ID]--
	h.over[r.run.Task] = max(h.over[r.run.Task], r.run.No)
	h.n++
	checkpoint := ""
	if r.step.Checkpointing {
		checkpoint = "c"
	}
	h.ends = append(h.ends, host.End{Number: h.n, Run: r.run, How: how, Checkpoint: checkpoint})
	if how == host.EndDone {
		h.w.doneSeen[r.run.Task] = true
	}
	waiting := h.waiting
	h.waiting = nil
	for _, answer := range waiting {
		answer(h.view())
	}
}

func (h *fakeHost) stop(epoch uint64, run host.Run) host.Reply {
	reply := host.Reply{Clock: h.clock()}
	if epoch < h.epoch {
		reply.Refused = host.RefusedFenced
		return reply
	}
	h.epoch = epoch
	h.over[run.Task] = max(h.over[run.Task], run.No)
	if r := h.runs[run]; r != nil && !r.stops {
		r.stops = true
		r.gen++
		h.w.after(100*time.Millisecond, func() {
			if h.runs[run] == r && h.up {
				h.end(r, host.EndStopped)
			}
		})
	}
	return reply
}

func (h *fakeHost) look(epoch uint64, l host.Look, answer func(host.View)) {
	if epoch < h.epoch {
		answer(host.View{Clock: h.clock(), Fenced: true})
		return
	}
	h.epoch = epoch
	if l.Lease > 0 {
		h.grant(l.Lease)
	}
	h.forget(l.Seen)
	if l.Wait == 0 || len(h.ends) > 0 {
		answer(h.view())
		return
	}
	done := false
	once := func(v host.View) {
		if !done {
			done = true
			answer(v)
		}
	}
	h.waiting = append(h.waiting, once)
	h.w.after(l.Wait, func() { once(h.view()) })
}

// forget drops acknowledged ends and notes what they say.
func (h *fakeHost) forget(seen int64) {
	for len(h.ends) > 0 && h.ends[0].Number <= seen {
		e := h.ends[0]
		h.ends = h.ends[1:]
		switch e.How {
		case host.EndDone:
			h.w.noted[e.Task] = true
		case host.EndFailed:
			if h.w.failed[e.Task] == nil {
				h.w.failed[e.Task] = map[int]bool{}
			}
			h.w.failed[e.Task][e.No] = true
		}
	}
}

func (h *fakeHost) view() host.View {
	v := host.View{Clock: h.clock(), Ended: append([]host.End(nil), h.ends...)}
	for _, r := range h.sorted() {
		took := float64(r.step.EstimateMillis)
		if h.slow > 0 {
			took *= h.slow
		}
		percent := 0.0
		if !r.worked.IsZero() && !h.stuck && took > 0 {
			if r.step.Gang {
				took *= h.w.uneven(r.run.Task.Index)
			}
			percent = min(100, 100*float64(h.w.now.Sub(r.worked).Milliseconds())/took)
		}
		v.Running = append(v.Running, host.Running{Run: r.run, Percent: percent})
	}
	return v
}

// crash ends the host for good; a new life of it may be added.
func (h *fakeHost) crash() {
	for _, r := range h.sorted() {
		h.w.running[r.run.Task][h.info.ID]--
		if r.step.Gang {
			r.stops = true
			for m, on := range h.members(r) {
				if on != h {
					on.end(m, host.EndBroken)
				}
			}
		}
	}
	h.up = false
	h.runs = map[host.Run]*fakeRun{}
}
