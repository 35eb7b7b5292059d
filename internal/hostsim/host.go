package hostsim

import (
	"sort"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Host is a simulated host: one incarnation of it, or all of them if the fleet keeps ids.
type Host struct {
	fleet            *Fleet
	info             host.Info
	listed           bool
	size             spec.Resources   // its capacity; info.Size follows with a delay
	formerCapacities []formerCapacity // its former capacities
	up               bool
	link             *link // to its machine
	replaced         bool  // another incarnation answers at the address
	// refusing hosts are between two incarnations: connections to their address are refused.
	refusing            bool
	earlierIncarnations int // under the same id
	bootedAt            time.Time
	rate                float64 // of its clock
	slowdown            float64 // factor on run times; zero is one
	failTasks           bool    // every task fails
	stalled             bool    // no task makes progress
	unhealthy           bool    // every start is refused

	epoch uint64
	lease host.Millis
	// leaseExpiredAt is when the lease was last found to have expired.
	leaseExpiredAt time.Time
	runs           map[host.Run]*run
	highestEnded   map[spec.StepTask]int // highest run that was stopped or ended here
	ends           []host.End
	lastEndNumber  int64
	// resetCallbacks are called when the process ends.
	resetCallbacks []func()
	// waitingPolls are polls that wait for an end record.
	waitingPolls []func(host.View)
}

// run is one start of a task on a host.
type run struct {
	host.Run
	step          spec.Step
	workStartedAt time.Time     // when its work began
	speed         int           // in percent of full speed
	accrued       time.Duration // work done before speedSetAt
	speedSetAt    time.Time
	endReason     host.EndReason // with which it ends unless stopped
	gen           int            // incremented to invalidate scheduled ends
	stopping      bool
	finished      bool // its work is done; a gang's member waits for the others
	record        *startRecord
}

// link is the network link of a machine, shared by all incarnations of a host on it.
type link struct{ disconnected bool }

// withLock runs fn under the fleet's lock.
func (h *Host) withLock(fn func()) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	fn()
}

// Info returns the host's description of itself.
func (h *Host) Info() (info host.Info) {
	h.withLock(func() { info = h.info })
	return info
}

// Listed reports whether the host is in the platform's list.
func (h *Host) Listed() (listed bool) {
	h.withLock(func() { listed = h.listed })
	return listed
}

// Reachable reports whether calls reach the host.
func (h *Host) Reachable() (ok bool) {
	h.withLock(func() { ok = h.up && !h.link.disconnected })
	return ok
}

// Up reports whether the host's process is running, whether or not calls reach it.
func (h *Host) Up() (up bool) {
	h.withLock(func() { up = h.up })
	return up
}

// Running returns the runs on the host, in order.
func (h *Host) Running() (out []host.Run) {
	h.withLock(func() {
		for _, r := range h.sorted() {
			out = append(out, r.Run)
		}
	})
	return out
}

// SetAddr changes the address of the host, before it is listed.
func (h *Host) SetAddr(addr string) { h.withLock(func() { h.info.Addr = addr }) }

// SetDisconnected disconnects the host and all later incarnations on its machine, or connects them
// again. The host keeps running.
func (h *Host) SetDisconnected(disconnected bool) {
	h.withLock(func() { h.link.disconnected = disconnected })
}

// SetListed adds the host to the platform's list, or removes it.
func (h *Host) SetListed(listed bool) { h.withLock(func() { h.listed = listed }) }

// Drain makes the host report that it will leave.
func (h *Host) Drain(remaining time.Duration) {
	h.withLock(func() { h.info.Draining, h.info.Remaining = true, remaining })
}

// StopDraining makes the host report that it stays.
func (h *Host) StopDraining() { h.withLock(func() { h.info.Draining, h.info.Remaining = false, 0 }) }

// SetRate changes the rate of the host's clock from now on.
func (h *Host) SetRate(rate float64) {
	h.withLock(func() {
		reported := h.clock()
		h.rate = rate
		h.bootedAt = h.fleet.clock.Now().Add(-time.Duration(float64(reported)/rate) * time.Millisecond)
	})
}

// SetSlowdown multiplies the run time of tasks that start from now on.
func (h *Host) SetSlowdown(factor float64) { h.withLock(func() { h.slowdown = factor }) }

// SetFailTasks sets whether every task that starts from now on fails.
func (h *Host) SetFailTasks(failTasks bool) { h.withLock(func() { h.failTasks = failTasks }) }

// SetUnhealthy sets whether the host reports itself unhealthy and refuses every start.
func (h *Host) SetUnhealthy(unhealthy bool) { h.withLock(func() { h.unhealthy = unhealthy }) }

// SetStalled stops the progress of all tasks. Turned off again, it has an effect only on tasks that
// start from now on.
func (h *Host) SetStalled(stalled bool) { h.withLock(func() { h.stalled = stalled }) }

// Decommission ends the host for good by an order of the scheduler.
func (h *Host) Decommission() {
	h.withLock(func() {
		for _, r := range h.sorted() {
			h.fleet.checker.checkDisruption(h, r)
		}
		h.listed = false
		h.endIncarnation(statusHostLeft)
	})
}

// Crash ends the host for good, with all that runs on it.
func (h *Host) Crash() { h.withLock(func() { h.crash(nil) }) }

// ReplaceIncarnation ends the host's incarnation; from now on another one answers at its address.
func (h *Host) ReplaceIncarnation() {
	h.Crash()
	h.withLock(func() {
		h.link.disconnected = false
		if h.fleet.KeepID {
			h.restartSameID()
			return
		}
		h.replaced = true
	})
}

// OtherIncarnation reports whether another incarnation answers at the host's address.
func (h *Host) OtherIncarnation() (other bool) {
	h.withLock(func() { other = h.replaced && !h.link.disconnected })
	return other
}

// KeptEnds returns the number of end records that the host keeps because they are not acknowledged.
func (h *Host) KeptEnds() (n int) {
	h.withLock(func() { n = len(h.ends) })
	return n
}

// breakGang ends the members of a run on other hosts, because one of them has ended.
func (h *Host) breakGang(r *run) {
	r.stopping = true
	for _, m := range h.members(r) {
		if m.on != h {
			m.on.end(m.run, host.EndGangBroken)
		}
	}
}

func (h *Host) clock() host.Millis {
	return host.Millis(float64(h.fleet.clock.Now().Sub(h.bootedAt).Milliseconds()) * h.rate)
}

// renewLease renews the host's lease.
func (h *Host) renewLease(until host.Millis) {
	h.expire()
	h.lease = max(h.lease, min(until, h.clock()+host.Millis(h.fleet.Bounds.MaxLease.Milliseconds())))
	wait := time.Duration(float64(h.lease-h.clock())/h.rate+1) * time.Millisecond
	h.fleet.after(wait, h.expire)
}

// expire kills everything if the lease has expired.
func (h *Host) expire() {
	if !h.up || h.clock() < h.lease {
		return
	}
	h.leaseExpiredAt = h.fleet.clock.Now()
	for _, r := range h.sorted() {
		h.end(r, host.EndLeaseExpired)
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
