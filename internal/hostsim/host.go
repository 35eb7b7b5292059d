package hostsim

import (
	"sort"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Host is a simulated host: one life of it, or, where the fleet keeps ids, all of them.
type Host struct {
	fleet  *Fleet
	info   host.Info
	listed bool
	size   spec.Resources // its room, of which info tells a little later
	rooms  []room         // what that was before
	up     bool
	link   *link // to its machine
	reborn bool  // another life answers at the address
	// refusing hosts are between two lives: their address turns calls away.
	refusing bool
	lives    int // that it has had under its id, before this one
	born     time.Time
	rate     float64 // of its clock
	slow     float64 // factor on run times; zero is one
	fails    bool    // every task fails
	stuck    bool    // no task makes progress

	epoch uint64
	lease host.Millis
	runs  map[host.Run]*run
	over  map[spec.StepTask]int // highest run that was stopped or ended here
	ends  []host.End
	n     int64
	// resets are told when the process ends.
	resets []func()
	// waiting are looks that wait for an end.
	waiting []func(host.View)
}

// run is one start of a task on a host.
type run struct {
	host.Run
	step    spec.Step
	worked  time.Time     // when its work began
	pace    int           // percent of its speed that it may work at
	accrued time.Duration // work done before pacedAt
	pacedAt time.Time
	how     host.How // how it ends by itself
	gen     int      // outdates scheduled ends
	stops   bool
	through bool // its work is done; a gang's member waits for the others
	record  *startRecord
}

// link is how calls come to a machine, whichever life of a host runs on it.
type link struct{ cut bool }

// change alters a host under the fleet's lock.
func (h *Host) change(fn func()) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	fn()
}

// Info is what the host says of itself.
func (h *Host) Info() (info host.Info) {
	h.change(func() { info = h.info })
	return info
}

// Listed reports whether the host stands in the platform's list.
func (h *Host) Listed() (listed bool) {
	h.change(func() { listed = h.listed })
	return listed
}

// Reachable reports whether calls reach the host.
func (h *Host) Reachable() (ok bool) {
	h.change(func() { ok = h.up && !h.link.cut })
	return ok
}

// Up reports whether the host's process runs, whether or not calls reach it.
func (h *Host) Up() (up bool) {
	h.change(func() { up = h.up })
	return up
}

// Running names what runs on the host, in order.
func (h *Host) Running() (out []host.Run) {
	h.change(func() {
		for _, r := range h.sorted() {
			out = append(out, r.Run)
		}
	})
	return out
}

// SetAddr changes where the host is reached, before it is listed.
func (h *Host) SetAddr(addr string) { h.change(func() { h.info.Addr = addr }) }

// Cut lets no call reach the host, or any later life of its machine, any more, or again; it
// runs on.
func (h *Host) Cut(cut bool) { h.change(func() { h.link.cut = cut }) }

// List puts the host into the platform's list, or takes it out.
func (h *Host) List(listed bool) { h.change(func() { h.listed = listed }) }

// Drain lets the host say that it will leave.
func (h *Host) Drain(remaining time.Duration) {
	h.change(func() { h.info.Draining, h.info.Remaining = true, remaining })
}

// SetRate lets the host's clock run faster or slower from now on.
func (h *Host) SetRate(rate float64) {
	h.change(func() {
		shown := h.clock()
		h.rate = rate
		h.born = h.fleet.clock.Now().Add(-time.Duration(float64(shown)/rate) * time.Millisecond)
	})
}

// Slow lets tasks started from now on take so many times as long.
func (h *Host) Slow(factor float64) { h.change(func() { h.slow = factor }) }

// Fail lets every task started from now on fail, or none.
func (h *Host) Fail(fails bool) { h.change(func() { h.fails = fails }) }

// Stall lets no task make progress, or again those started from now on.
func (h *Host) Stall(stuck bool) { h.change(func() { h.stuck = stuck }) }

// TakeDown ends the host for good by an order of the scheduler's.
func (h *Host) TakeDown() {
	h.change(func() {
		for _, r := range h.sorted() {
			h.fleet.judge.takenAway(h, r)
		}
		h.listed = false
		h.finishLife(fateLeft)
	})
}

// Crash ends the host for good, with all that runs on it.
func (h *Host) Crash() { h.change(func() { h.crash(nil) }) }

// Reborn ends the host's life; from now on another one answers at its address.
func (h *Host) Reborn() {
	h.Crash()
	h.change(func() {
		h.link.cut = false
		if h.fleet.KeepsID {
			h.startAnew()
			return
		}
		h.reborn = true
	})
}

// OtherLife reports whether another life answers at the host's address.
func (h *Host) OtherLife() (other bool) {
	h.change(func() { other = h.reborn && !h.link.cut })
	return other
}

// breakGang ends the members of a run on other hosts, as one of them is gone.
func (h *Host) breakGang(r *run) {
	r.stops = true
	for _, m := range h.members(r) {
		if m.on != h {
			m.on.end(m.run, host.EndBroken)
		}
	}
}

func (h *Host) clock() host.Millis {
	return host.Millis(float64(h.fleet.clock.Now().Sub(h.born).Milliseconds()) * h.rate)
}

// grant renews the host's lease.
func (h *Host) grant(until host.Millis) {
	h.expire()
	h.lease = max(h.lease, min(until, h.clock()+host.Millis(h.fleet.Bounds.LeaseLimit.Milliseconds())))
	wait := time.Duration(float64(h.lease-h.clock())/h.rate+1) * time.Millisecond
	h.fleet.after(wait, h.expire)
}

// expire kills everything when the lease is over.
func (h *Host) expire() {
	if !h.up || h.clock() < h.lease {
		return
	}
	for _, r := range h.sorted() {
		h.end(r, host.EndLapsed)
	}
}

func (h *Host) sorted() []*run {
	out := make([]*run, 0, len(h.runs))
	for _, r := range h.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a].Task, out[b].Task
		if x.StepID != y.StepID {
			return x.StepID.String() < y.StepID.String()
		}
		return x.Index < y.Index
	})
	return out
}
