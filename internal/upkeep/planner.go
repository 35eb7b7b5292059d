package upkeep

import (
	"slices"
	"sort"
	"time"

	"pulleyquay/internal/host"
)

const (
	// listInterval is how often the machines are listed while a rollout is active; the
	// platform charges for each listing.
	listInterval = 1500 * time.Millisecond
	// retryDelay is the pause before an order is repeated, after a lost reply or the reply Busy.
	retryDelay = time.Second
	// drainTimeout is how long a host may drain before the runs that are left on it may be
	// terminated with it. It is long, as lost work costs more than a late rollout.
	drainTimeout = 30 * time.Second
	// maxDowntime is the time after the reply Started by which the host has ended. A machine
	// that is then still up with the same host is considered to have had its maintenance
	// before that host came up: the order was a repetition.
	maxDowntime = 6 * time.Second
	// maxMissingLists is the number of consecutive lists without a machine after which the
	// machine is considered removed from the platform.
	maxMissingLists = 2
)

// HostControl gives a planner control of the hosts of a cell.
type HostControl interface {
	// Drain cordons a host and evicts its runs; it reports whether the host is drained.
	Drain(h host.ID) bool
	// MayTerminate reports whether the runs that are left on a host may be terminated with it.
	MayTerminate(h host.ID) bool
	// Uncordon makes a cordoned host schedulable again.
	Uncordon(h host.ID)
	// Load is a measure of the work on a host; the least loaded host is drained first.
	Load(h host.ID) int
}

// phase is the state of a machine in its rollout.
type phase uint8

const (
	waiting  phase = iota
	draining       // its host is cordoned and being drained
	ordered        // the order was sent; the machine may be down
	refused        // refused as busy: whether an earlier order has taken it down shows in a later list
	down           // its maintenance has started
	done           // it is up again after its maintenance
	removed        // it is no longer part of the platform or of the rollout
)

// target is one machine of a rollout.
type target struct {
	id    MachineID
	phase phase
	// since is when the phase began; host is the incarnation that the maintenance ends.
	since time.Time
	host  host.ID
	// orderPending is true until an order is answered; notBefore delays the next order.
	orderPending bool
	notBefore    time.Time
	missing      int // consecutive lists without the machine
}

// rolloutState is a requested rollout with its progress.
type rolloutState struct {
	Rollout
	targets   []*target
	completed bool
	// unsaved is true if the stored progress is out of date.
	unsaved bool
}

// Order is an order to take a machine down for its maintenance.
type Order struct {
	Machine MachineID
	Rollout int64
	Host    host.ID // the incarnation that the maintenance ends
}

// Progress is the stored progress of a rollout.
type Progress struct {
	Rollout   int64       `cbor:"1,keyasint"`
	Started   []MachineID `cbor:"2,keyasint"`
	Completed bool        `cbor:"3,keyasint"`
}

// Planner plans the rollouts of a cell. It reads no clock and sends nothing: times are
// passed in, and orders are returned. It is not safe for concurrent use.
type Planner struct {
	// from is when the first order may be given: by then, no previous holder can give orders.
	from            time.Time
	rollouts        map[int64]*rolloutState
	stored          map[int64]Progress
	machines        map[MachineID]Machine
	listRequestedAt time.Time // of the current list
	listPending     bool
	nextListAt      time.Time
}

// NewPlanner returns a planner that gives its first order at the time from or later. The
// progress in stored was saved by previous holders.
func NewPlanner(from time.Time, stored []Progress) *Planner {
	p := &Planner{from: from, rollouts: map[int64]*rolloutState{}, stored: map[int64]Progress{}, machines: map[MachineID]Machine{}}
	for _, s := range stored {
		p.stored[s.Rollout] = s
	}
	return p
}

// SetWave adds a rollout that an operator has requested.
func (p *Planner) SetWave(r Rollout) {
	if p.rollouts[r.ID] != nil {
		return // a rollout does not change
	}
	r.MaxUnavailable = max(r.MaxUnavailable, 1)
	saved := p.stored[r.ID]
	added := &rolloutState{Rollout: r, completed: saved.Completed, unsaved: !saved.Completed}
	for _, id := range r.Machines {
		m := &target{id: id}
		if slices.Contains(saved.Started, id) {
			m.phase = down
		}
		added.targets = append(added.targets, m)
	}
	p.rollouts[r.ID] = added
}

// UpdateMachines replaces the list of machines by one that was requested at requestedAt. After
// an error the previous list stays in use.
func (p *Planner) UpdateMachines(machines []Machine, err error, requestedAt, now time.Time) {
	p.listPending = false
	p.nextListAt = now.Add(listInterval)
	if err != nil {
		return
	}
	p.machines = make(map[MachineID]Machine, len(machines))
	for _, m := range machines {
		p.machines[m.ID] = m
	}
	p.listRequestedAt = requestedAt
	for _, r := range p.rollouts {
		for _, m := range r.targets {
			if _, found := p.machines[m.id]; found {
				m.missing = 0
			} else {
				m.missing++
			}
		}
	}
}

// Active reports whether any rollout is not completed.
func (p *Planner) Active() bool {
	for _, r := range p.rollouts {
		if !r.completed {
			return true
		}
	}
	return false
}

// Plan returns the machines to take down now, and whether the caller should request a new
// list of the machines.
func (p *Planner) Plan(cell HostControl, now time.Time) (orders []Order, list bool) {
	if !p.Active() || now.Before(p.from) {
		return nil, false
	}
	if !p.listPending && !now.Before(p.nextListAt) {
		p.listPending, list = true, true
	}
	if p.listRequestedAt.Before(p.from) || p.listRequestedAt.IsZero() {
		return nil, list // the list may predate orders of a previous holder
	}
	for _, r := range p.activeRollouts() {
		p.reconcile(r, cell, now)
		orders = append(orders, p.advance(r, cell, now)...)
		r.updateCompleted()
	}
	return orders, list
}

// activeRollouts returns the rollouts that are not completed, sorted by ID.
func (p *Planner) activeRollouts() []*rolloutState {
	var out []*rolloutState
	for _, r := range p.rollouts {
		if !r.completed {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// reconcile updates the machines of a rollout from the last list of machines.
func (p *Planner) reconcile(r *rolloutState, cell HostControl, now time.Time) {
	for _, m := range r.targets {
		machine := p.machines[m.id]
		back := machine.Up && (machine.Host != m.host || now.Sub(m.since) > maxDowntime)
		switch {
		case m.phase == done || m.phase == removed:
		case m.missing >= maxMissingLists && !m.orderPending:
			m.remove(cell)
		case m.phase == down && back && m.since.Before(p.listRequestedAt):
			m.phase = done
		case m.phase == refused && m.since.Before(p.listRequestedAt):
			m.phase = waiting
		}
	}
}

// remove takes a machine out of its rollout.
func (m *target) remove(cell HostControl) {
	if m.phase == draining {
		cell.Uncordon(m.host)
	}
	m.phase = removed
}

// advance starts drains and returns the orders that are due for a rollout's machines.
func (p *Planner) advance(r *rolloutState, cell HostControl, now time.Time) []Order {
	var orders []Order
	for _, m := range r.targets {
		if m.phase == draining && p.machines[m.id].Host != m.host {
			m.phase = waiting // another incarnation runs on the machine
		}
		if m.phase != draining && m.phase != ordered || m.orderPending || now.Before(m.notBefore) {
			continue
		}
		if m.phase == draining && !p.mayTakeDown(m, cell, now) {
			continue
		}
		if m.phase == draining {
			m.phase, m.since = ordered, now
		}
		m.orderPending = true
		orders = append(orders, Order{Machine: m.id, Rollout: r.ID, Host: m.host})
	}
	p.startDrains(r, cell, now)
	return orders
}

// mayTakeDown reports whether a machine may be taken down now.
func (p *Planner) mayTakeDown(m *target, cell HostControl, now time.Time) bool {
	return cell.Drain(m.host) || now.Sub(m.since) > drainTimeout && cell.MayTerminate(m.host)
}

// startDrains begins to drain hosts, the least loaded first, up to the rollout's limit of
// machines that may be unavailable at once.
func (p *Planner) startDrains(r *rolloutState, cell HostControl, now time.Time) {
	unavailable := 0
	var candidates []*target
	for _, m := range r.targets {
		switch {
		case m.phase == draining || m.phase == ordered || m.phase == refused || m.phase == down:
			unavailable++
		case m.phase == waiting && p.machines[m.id].InMaintenance:
			unavailable++ // taken down by an order that got no answer, or of a previous holder that was not saved
		case m.phase == waiting && p.machines[m.id].Up && !now.Before(m.notBefore):
			candidates = append(candidates, m)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool {
		return cell.Load(p.machines[candidates[a].id].Host) < cell.Load(p.machines[candidates[b].id].Host)
	})
	for _, m := range candidates[:max(min(len(candidates), r.MaxUnavailable-unavailable), 0)] {
		m.phase, m.since, m.host = draining, now, p.machines[m.id].Host
		cell.Drain(m.host)
	}
}

// updateCompleted completes a rollout when every machine is up again or was removed.
func (r *rolloutState) updateCompleted() {
	for _, m := range r.targets {
		if m.phase != done && m.phase != removed {
			return
		}
	}
	r.completed, r.unsaved = true, true
}

// RecordOutcome records the outcome of an order. Started does not tell whether the order's host
// was affected: the maintenance may have started, and ended, before that host came up.
func (p *Planner) RecordOutcome(o Order, out Outcome, err error, cell HostControl, now time.Time) {
	r := p.rollouts[o.Rollout]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.targets, func(m *target) bool { return m.id == o.Machine })
	if i < 0 {
		return
	}
	m := r.targets[i]
	m.orderPending, m.notBefore = false, now.Add(retryDelay)
	switch {
	case err != nil: // the order is repeated; until then the machine counts as unavailable
	case out == Started:
		m.phase, m.since, r.unsaved = down, now, true
		cell.Uncordon(m.host)
	case out == NotInRollout:
		m.phase = draining
		m.remove(cell)
	case out == Busy:
		cell.Uncordon(m.host)
		m.phase, m.since = refused, now
	}
}

// TakeProgress returns the progress that has changed since the last call. The caller retains it
// until it is stored.
func (p *Planner) TakeProgress() []Progress {
	var out []Progress
	for _, r := range p.rollouts {
		if !r.unsaved {
			continue
		}
		r.unsaved = false
		s := Progress{Rollout: r.ID, Completed: r.completed}
		for _, m := range r.targets {
			if m.phase == down || m.phase == done {
				s.Started = append(s.Started, m.id)
			}
		}
		out = append(out, s)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Rollout < out[b].Rollout })
	return out
}

// HasUnsavedProgress reports whether any progress has changed since it was last returned.
func (p *Planner) HasUnsavedProgress() bool {
	for _, r := range p.rollouts {
		if r.unsaved {
			return true
		}
	}
	return false
}
