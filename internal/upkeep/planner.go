package upkeep

import (
	"slices"
	"sort"
	"time"

	"pulleyquay/internal/host"
)

// Times of a planner.
const (
	// listEvery is how often the machines are listed while a wave is under way; each
	// listing is priced.
	listEvery = 1500 * time.Millisecond
	// retryAfter is the pause before a machine is ordered down again after an answer
	// that was lost, or that said it is busy.
	retryAfter = time.Second
	// patience is for how long a host is waited for to become empty before what
	// still runs there is ended with it. Work that is thrown away costs more than a
	// wave that is late.
	patience = 30 * time.Second
	// longestDown is after how long a machine that is up with the same host is taken
	// to have had its upkeep before: its order was a repetition.
	longestDown = 6 * time.Second
	// missingLists is in how many lists on end a machine has to be missing before it
	// is taken to have left.
	missingLists = 2
)

// Cell is what a planner can ask and do about hosts.
type Cell interface {
	// Empty keeps new work from a host and moves work off it; it reports whether
	// nothing runs there any more.
	Empty(h host.ID) bool
	// MayEnd reports whether what still runs on a host may be ended with it.
	MayEnd(h host.ID) bool
	// Keep lets a host take work again.
	Keep(h host.ID)
	// Load is how much runs on a host; the least loaded goes first.
	Load(h host.ID) int
}

// phase is where a machine stands in its wave.
type phase uint8

const (
	waiting  phase = iota
	emptying       // its host gets nothing new
	ordered        // the order was sent; it may be down
	down           // its upkeep has begun
	done           // it is up again after its upkeep
	gone           // it has left the platform, or the wave
)

// member is one machine of a wave.
type member struct {
	id    MachineID
	phase phase
	// since is when the phase began; host the life that is to end.
	since time.Time
	host  host.ID
	// asking is true while an order is under way; notBefore delays the next.
	asking    bool
	notBefore time.Time
	missing   int // lists on end that lacked it
}

// wave is a wave with what has come of it.
type wave struct {
	Wave
	members   []*member
	completed bool
	// changed is true while the stored progress is behind.
	changed bool
}

// Order takes a machine down.
type Order struct {
	Machine MachineID
	Wave    int64
	Host    host.ID // the life that ends
}

// Progress is what has to be kept of a wave.
type Progress struct {
	Wave      int64       `cbor:"1,keyasint"`
	Begun     []MachineID `cbor:"2,keyasint"`
	Completed bool        `cbor:"3,keyasint"`
}

// Planner plans the waves of a cell. It is pure: times are passed in, and what it
// wants done is returned. Calls must not overlap.
type Planner struct {
	// from is when the first order may be given: no earlier holder can give one any
	// more.
	from     time.Time
	waves    map[int64]*wave
	stored   map[int64]Progress
	machines map[MachineID]Machine
	listed   time.Time // when the present list was asked for
	listing  bool
	listAt   time.Time
}

// NewPlanner returns a planner that gives no order before from. Stored is what
// former holders have kept.
func NewPlanner(from time.Time, stored []Progress) *Planner {
	p := &Planner{from: from, waves: map[int64]*wave{}, stored: map[int64]Progress{}, machines: map[MachineID]Machine{}}
	for _, s := range stored {
		p.stored[s.Wave] = s
	}
	return p
}

// SetWave takes in a wave that an operator has asked for.
func (p *Planner) SetWave(w Wave) {
	if p.waves[w.ID] != nil {
		return // a wave does not change
	}
	w.AtOnce = max(w.AtOnce, 1)
	kept := p.stored[w.ID]
	next := &wave{Wave: w, completed: kept.Completed, changed: !kept.Completed}
	for _, id := range w.Machines {
		m := &member{id: id}
		if slices.Contains(kept.Begun, id) {
			m.phase = down
		}
		next.members = append(next.members, m)
	}
	p.waves[w.ID] = next
}

// Listed takes in the machines as the platform listed them, asked for at asked.
func (p *Planner) Listed(machines []Machine, err error, asked, now time.Time) {
	p.listing = false
	p.listAt = now.Add(listEvery)
	if err != nil {
		return
	}
	p.machines = make(map[MachineID]Machine, len(machines))
	for _, m := range machines {
		p.machines[m.ID] = m
	}
	p.listed = asked
	for _, w := range p.waves {
		for _, m := range w.members {
			if _, there := p.machines[m.id]; there {
				m.missing = 0
			} else {
				m.missing++
			}
		}
	}
}

// Active reports whether any wave is not completed.
func (p *Planner) Active() bool {
	for _, w := range p.waves {
		if !w.completed {
			return true
		}
	}
	return false
}

// Next returns the machines to take down now, and whether the machines should be
// listed.
func (p *Planner) Next(cell Cell, now time.Time) (orders []Order, list bool) {
	if !p.Active() || now.Before(p.from) {
		return nil, false
	}
	if !p.listing && !now.Before(p.listAt) {
		p.listing, list = true, true
	}
	if p.listed.Before(p.from) || p.listed.IsZero() {
		return nil, list // what was seen before may have been changed by a former holder
	}
	for _, w := range p.inOrder() {
		p.settle(w, cell, now)
		orders = append(orders, p.advance(w, cell, now)...)
		w.complete()
	}
	return orders, list
}

// inOrder are the waves that are under way, the first asked for first.
func (p *Planner) inOrder() []*wave {
	var out []*wave
	for _, w := range p.waves {
		if !w.completed {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// settle takes in what the list of machines says of a wave's members.
func (p *Planner) settle(w *wave, cell Cell, now time.Time) {
	for _, m := range w.members {
		listed := p.machines[m.id]
		back := listed.Up && (listed.Host != m.host || now.Sub(m.since) > longestDown)
		switch {
		case m.phase == done || m.phase == gone:
		case m.missing >= missingLists && !m.asking:
			m.leave(cell)
		case m.phase == down && back && m.since.Before(p.listed):
			m.phase = done
		}
	}
}

// leave takes a member out of its wave.
func (m *member) leave(cell Cell) {
	if m.phase == emptying {
		cell.Keep(m.host)
	}
	m.phase = gone
}

// advance moves a wave's members on.
func (p *Planner) advance(w *wave, cell Cell, now time.Time) []Order {
	var orders []Order
	for _, m := range w.members {
		if m.phase == emptying && p.machines[m.id].Host != m.host {
			m.phase = waiting // another life has come up there
		}
		if m.phase != emptying && m.phase != ordered || m.asking || now.Before(m.notBefore) {
			continue
		}
		if m.phase == emptying && !p.ready(m, cell, now) {
			continue
		}
		if m.phase == emptying {
			m.phase, m.since = ordered, now
		}
		m.asking = true
		orders = append(orders, Order{Machine: m.id, Wave: w.ID, Host: m.host})
	}
	p.begin(w, cell, now)
	return orders
}

// ready reports whether a member's host may go down now.
func (p *Planner) ready(m *member, cell Cell, now time.Time) bool {
	return cell.Empty(m.host) || now.Sub(m.since) > patience && cell.MayEnd(m.host)
}

// begin empties the hosts of as many more members as may be down at once, the
// least loaded first.
func (p *Planner) begin(w *wave, cell Cell, now time.Time) {
	busy := 0
	var next []*member
	for _, m := range w.members {
		switch {
		case m.phase == emptying || m.phase == ordered || m.phase == down:
			busy++
		case m.phase == waiting && p.machines[m.id].InUpkeep:
			busy++ // taken down by an order of a former holder that was not kept
		case m.phase == waiting && p.machines[m.id].Up && !now.Before(m.notBefore):
			next = append(next, m)
		}
	}
	sort.SliceStable(next, func(a, b int) bool {
		return cell.Load(p.machines[next[a].id].Host) < cell.Load(p.machines[next[b].id].Host)
	})
	for _, m := range next[:max(min(len(next), w.AtOnce-busy), 0)] {
		m.phase, m.since, m.host = emptying, now, p.machines[m.id].Host
		cell.Empty(m.host)
	}
}

// complete ends a wave when every member is up again or has left.
func (w *wave) complete() {
	for _, m := range w.members {
		if m.phase != done && m.phase != gone {
			return
		}
	}
	w.completed, w.changed = true, true
}

// Answered takes in the outcome of an order. That the upkeep has begun says
// nothing about the host that was meant: it may have begun, and ended, before that
// host came up.
func (p *Planner) Answered(o Order, out Outcome, err error, cell Cell, now time.Time) {
	w := p.waves[o.Wave]
	if w == nil {
		return
	}
	i := slices.IndexFunc(w.members, func(m *member) bool { return m.id == o.Machine })
	if i < 0 {
		return
	}
	m := w.members[i]
	m.asking, m.notBefore = false, now.Add(retryAfter)
	switch {
	case err != nil: // asked again: it may be down, so it counts
	case out == Begun:
		m.phase, m.since, w.changed = down, now, true
		cell.Keep(m.host)
	case out == NotInWave:
		m.phase = emptying
		m.leave(cell)
	case out == Busy:
		cell.Keep(m.host)
		m.phase = waiting
	}
}

// Changed returns what has to be stored of the waves since the last call. The
// caller keeps it until it is stored.
func (p *Planner) Changed() []Progress {
	var out []Progress
	for _, w := range p.waves {
		if !w.changed {
			continue
		}
		w.changed = false
		s := Progress{Wave: w.ID, Completed: w.completed}
		for _, m := range w.members {
			if m.phase == down || m.phase == done {
				s.Begun = append(s.Begun, m.id)
			}
		}
		out = append(out, s)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Wave < out[b].Wave })
	return out
}

// Behind reports whether Changed has something to return.
func (p *Planner) Behind() bool {
	for _, w := range p.waves {
		if w.changed {
			return true
		}
	}
	return false
}
