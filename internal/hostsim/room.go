package hostsim

import (
	"time"

	"pulleyquay/internal/spec"
)

// roomCounts is for how long after a host's room has shrunk starts are still judged by what
// it was: the news comes with a heartbeat, and orders are on their way.
const roomCounts = 4500 * time.Millisecond

// room is a size that a host had until a moment.
type room struct {
	size  spec.Resources
	until time.Time
}

// Resize changes the host's room while it runs; what it says of itself follows.
func (h *Host) Resize(size spec.Resources, saidAfter time.Duration) {
	h.change(func() {
		h.rooms = append(h.rooms, room{h.size, h.fleet.clock.Now()})
		h.size = size
		h.fleet.after(saidAfter, func() {
			if h.size == size {
				h.info.Size = size
			}
		})
	})
}

// largestRoom is the largest room by which a start may be judged now.
func (h *Host) largestRoom() spec.Resources {
	most := h.size
	for _, r := range h.rooms {
		if h.fleet.clock.Now().Sub(r.until) < roomCounts {
			most = most.Max(r.size)
		}
	}
	return most
}

// booked is what the runs on the host take of its room.
func (h *Host) booked() (sum spec.Resources) {
	for _, r := range h.runs {
		sum = sum.Add(r.step.Booked())
	}
	return sum
}

// Over reports whether what runs on the host is more than its room.
func (h *Host) Over() (over bool) {
	h.change(func() { over = h.up && !h.booked().Fits(h.size) })
	return over
}

// guarded refuses a start that a host which guards its room has none for.
func (h *Host) guarded(step spec.Step) bool {
	if !h.fleet.Guards || h.booked().Add(step.Booked()).Fits(h.size) {
		return false
	}
	h.fleet.judge.full++
	return true
}

// RefusedForRoom is how many starts were refused by hosts that had no room.
func (j *Judge) RefusedForRoom() int {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return j.full
}
