package engine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"pulleyquay/internal/denseset"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// A large cell has thousands of hosts that no work needs. Its working set are the hosts that may be given work; the
// others are parked. A parked host is not in the roster, so that nothing can start there and a next holder does not
// wait for it: a failover takes as long as the working set is large, and not as long as the cell is. Work also returns
// to the same hosts sooner, whose speed is then better known.
//
// A host runs nothing when it is parked, and is in the stored roster again before anything starts there. The working
// set grows with the work under way, and at once for steps that find no capacity in it.

const (
	// workingSetFactor is the size of the working set as a multiple of the work under way: enough for the policy
	// service to permit a step on a quarter of the hosts, and for the load to double.
	workingSetFactor = 4
	// workingSetSlack is how many times as large the working set has to be before hosts are parked, so that
	// hosts are not parked and unparked in turn.
	workingSetSlack = 2
	// maxParked bounds the hosts that are parked at a time.
	maxParked = 256
	// parkedPollInterval is the interval between polls of a parked host. Each opens a connection, and its entry
	// tells whether it is alive.
	parkedPollInterval = time.Minute
	// shortageDelay is how long a step finds no capacity, after the time in which the policy service answers
	// shortageQueries queries, before hosts are unparked for it. shortageInterval is the time between two such
	// extensions for a service, and shortageFactor the slots that are added for each that the step needs, on
	// hosts that the policy permits.
	shortageDelay    = 100 * time.Millisecond
	shortageQueries  = 2
	shortageInterval = 50 * time.Millisecond
	shortageFactor   = 2.0
	// dataRackDelay is how long a step waits for hosts that are unparked in the rack of its data: a write to the
	// store takes less.
	dataRackDelay = 100 * time.Millisecond
	// maxShortageSearch bounds the parked hosts that are examined for one step.
	maxShortageSearch = 2048
)

// WorkingSetTuning holds the parameters of working sets.
type WorkingSetTuning struct {
	// MinHosts is the number of hosts of a service up to which none is parked: a next holder claims as many in a
	// fraction of a second.
	MinHosts int
	// ParkAfter is how long a host has to be without work before it is parked, ParkInterval the time between two
	// searches for such hosts.
	ParkAfter, ParkInterval time.Duration
}

func defaultWorkingSetTuning() WorkingSetTuning {
	return WorkingSetTuning{MinHosts: 1000, ParkAfter: 10 * time.Second, ParkInterval: 5 * time.Second}
}

// parkedRank orders hosts for the working set: those that are known to be slow come last, the others in an arbitrary
// order that is the same for all holders and spreads the working set over racks and availability zones.
type parkedRank struct {
	slow bool
	hash uint32
	id   host.ID
}

func (r parkedRank) compare(other parkedRank) int {
	if r.slow != other.slow {
		if r.slow {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.hash, other.hash), cmp.Compare(r.id, other.id))
}

func (r parkedRank) before(other parkedRank) bool { return r.compare(other) < 0 }

func (h *hostState) parkedRank() parkedRank {
	f := fnv.New32a()
	_, _ = f.Write([]byte(h.info.ID)) // a hash never returns an error
	return parkedRank{h.speed.Slow(), f.Sum32(), h.info.ID}
}

// isOpen reports whether the host belongs to the working set of its service and may be given work once it has
// reported.
func (h *hostState) isOpen() bool {
	return !h.parked && h.listed && !h.terminated && !h.info.Draining && !h.cordoned && !h.evacuated
}

// mayUnpark reports whether a parked host could be given work.
func (h *hostState) mayUnpark() bool {
	usable := !h.terminated && !h.info.Draining && !h.cordoned && !h.evacuated && h.unresponsiveSince.IsZero()
	return h.parked && h.listed && usable
}

// mayPark reports whether nothing runs on a host, nothing can start there any more, and nothing is expected of it.
func (e *Engine) mayPark(h *hostState, now time.Time) bool {
	idle := len(h.runs) == 0 && len(h.reserved) == 0 && now.Sub(h.startedAt) >= e.cfg.Tuning.WorkingSet.ParkAfter
	settled := h.reported && h.openInRoster && h.unresponsiveSince.IsZero() && h.endsProcessed == h.endsAcked && len(h.orphanEnds) == 0 && len(h.possibleRuns) == 0
	undisturbed := !h.info.Draining && !h.cordoned && h.quarantinedJob == nil && len(h.pendingAttributions) == 0 && !now.Before(h.excludedUntil)
	return idle && settled && undisturbed
}

// adjustWorkingSets extends the working sets that are too small for the work under way, and parks hosts that have been
// without work for long.
func (e *Engine) adjustWorkingSets(now time.Time) {
	e.refreshHosts(now)
	for _, p := range e.pools {
		for p.parked.Len() > 0 && e.workingSetShort(p) {
			e.unpark(p.parked.First().Value, now)
			e.refreshHosts(now)
		}
	}
	if now.Sub(e.parkedAt) >= e.cfg.Tuning.WorkingSet.ParkInterval {
		e.parkedAt = now
		e.parkIdleHosts(now)
	}
}

// workingSetShort reports whether the working set of a service has to be extended.
func (e *Engine) workingSetShort(p *servicePool) bool {
	return p.open < e.cfg.Tuning.WorkingSet.MinHosts || !p.inUse.Times(workingSetFactor).Fits(p.openSize)
}

// unpark adds a host to the working set. Work starts there once the stored roster lists it and it has answered, as its
// clock, by which starts expire, is not known well after a long time without polls.
func (e *Engine) unpark(h *hostState, now time.Time) {
	h.parked, h.answerAwaited = false, true
	h.touch()
	e.rosterOutdated = true
	if !h.pollInFlight {
		h.schedulePoll(now)
	}
}

// park removes a host without work from the working set. Nothing is started there from now on.
func (e *Engine) park(h *hostState) {
	h.parked, h.openInRoster = true, false
	h.touch()
	e.rosterOutdated = true
}

// parkIdleHosts parks hosts of the services that have many more than their work needs, and replaces slow hosts while
// others are parked. It visits all hosts, but seldom.
func (e *Engine) parkIdleHosts(now time.Time) {
	var idle []*hostState
	for _, h := range e.hostsByID {
		if h.isOpen() && e.mayPark(h, now) && (e.mayShrink(h.servicePool) || h.servicePool.mayReplace(h)) {
			idle = append(idle, h)
		}
	}
	slices.SortFunc(idle, func(a, b *hostState) int { return b.parkedRank().compare(a.parkedRank()) })
	for _, h := range idle[:min(len(idle), maxParked)] {
		if e.mayShrink(h.servicePool) || h.servicePool.mayReplace(h) {
			e.park(h)
			e.refreshHosts(now)
		}
	}
}

// mayShrink reports whether the working set of a service is larger than needed.
func (e *Engine) mayShrink(p *servicePool) bool {
	return p.open > workingSetSlack*e.cfg.Tuning.WorkingSet.MinHosts && p.inUse.Times(workingSetSlack*workingSetFactor).Fits(p.openSize)
}

// mayReplace reports whether a slow host can be replaced by a parked one that is not known to be slow.
func (p *servicePool) mayReplace(h *hostState) bool {
	return h.speed.Slow() && p.parked.Len() > 0 && !p.parked.First().Priority().slow
}

// extendWorkingSet unparks hosts for a step that has waited for a while and does not fit into the working set.
func (e *Engine) extendWorkingSet(g *group, hosts []*hostState, now time.Time) {
	p := g.job.flow.pool
	if g.waiting == 0 || p.parked.Len() == 0 || now.Sub(g.dueSince) < e.shortageDelay(g) || now.Sub(p.extendedAt) < shortageInterval {
		return
	}
	p.extendedAt = now
	missing := e.missingSlots(g, hosts)
	examined := 0
	for h := range p.parked.All() {
		if examined++; missing <= 0 || examined > maxShortageSearch {
			return
		}
		if slots := g.slotsFor(h, h.info.Size); slots > 0 && rejectedBy(g, h) == "" {
			e.unpark(h, now)
			missing -= float64(slots)
		}
	}
}

// missingSlots returns how many more free slots a step needs, in the mean, to find enough that the policy service
// permits; zero or less if the hosts that take work have enough.
func (e *Engine) missingSlots(g *group, hosts []*hostState) float64 {
	missing := shortageFactor * float64(g.waiting) / e.permittedShare(g)
	for _, h := range hosts {
		if missing <= 0 {
			break
		}
		if rejectedBy(g, h) == "" {
			missing -= float64(g.slotsFor(h, h.free()))
		}
	}
	return missing
}

// shortageDelay returns how long a step has to wait before hosts are unparked for it.
func (e *Engine) shortageDelay(g *group) time.Duration {
	rules := g.job.rec.Rules.PolicyQuery
	if rules == nil {
		return shortageDelay
	}
	return shortageDelay + shortageQueries*rules.QueryDuration(e.cfg.Tuning.MaxHostsPerQuery)
}

// openDataRack unparks the hosts in the rack of a step's data, outside which its tasks take longer, and has the step
// wait for them.
func (e *Engine) openDataRack(g *group, now time.Time) {
	if g.step.DataRack == "" {
		return
	}
	rack := g.job.flow.pool.parkedRacks[g.step.DataRack]
	if rack == nil {
		return
	}
	for _, h := range rack.All() {
		e.unpark(h, now)
	}
	if rack.Len() > 0 {
		g.notBefore = later(g.notBefore, now.Add(dataRackDelay))
	}
}

// setWorkingSet updates what a host counts for in the working set of its service.
func (x *hostIndex) setWorkingSet(h *hostState) {
	if p := h.entry.workingSet; p != nil {
		p.uncountOpen(h)
	}
	if !h.entry.forgotten {
		h.servicePool.countOpen(h)
	}
	x.parked.Put(h, h.parked && !h.entry.forgotten)
}

// unparkedHosts returns the number of hosts that are not parked.
func (e *Engine) unparkedHosts() int { return len(e.hostsByID) - e.index.parked.Len() }

// parkedHostWeight is the part of the calls of other hosts that a parked one gets.
const parkedHostWeight = 1.0 / 16

// CalledHosts returns the number of hosts to which calls are made. Parked hosts, which are polled seldom, count for a
// part.
func (e *Engine) CalledHosts() int {
	return e.unparkedHosts() + int(parkedHostWeight*float64(e.index.parked.Len()))
}

func (p *servicePool) countOpen(h *hostState) {
	entry := &h.entry
	entry.workingSet, entry.used = p, h.used
	p.inUse = p.inUse.Add(entry.used)
	if h.isOpen() {
		entry.openSize = h.info.Size
		p.open++
		p.openSize = p.openSize.Add(entry.openSize)
	}
	if h.mayUnpark() {
		p.parked.Set(entry.parked, h.parkedRank())
		rack := p.parkedRacks[h.info.Rack]
		if rack == nil {
			rack = &denseset.Set[*hostState]{}
			p.parkedRacks[h.info.Rack] = rack
		}
		rack.Add(h)
		entry.parkedRack = rack
	}
}

func (p *servicePool) uncountOpen(h *hostState) {
	entry := &h.entry
	p.inUse = p.inUse.Sub(entry.used)
	if entry.openSize != (spec.Resources{}) {
		p.open--
		p.openSize = p.openSize.Sub(entry.openSize)
	}
	if entry.parkedRack != nil {
		p.parked.Remove(entry.parked)
		entry.parkedRack.Remove(h)
	}
	entry.workingSet, entry.used, entry.openSize, entry.parkedRack = nil, spec.Resources{}, spec.Resources{}, nil
}
