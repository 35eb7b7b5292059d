package engine

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/host"
)

// policyQuery is a query to the policy service that is not answered yet.
type policyQuery struct {
	group  *group
	hosts  []host.ID
	slot   string
	sentAt time.Time
	// snapshot is nil unless the step is long-running.
	snapshot *querySnapshot
}

// Delays before the next query about a step, after an answer and after a failure.
const (
	queryDelay      = 20 * time.Millisecond
	queryRetryDelay = 150 * time.Millisecond
	// queryTimeoutSlack is added to the expected time of an answer to give its time-out.
	queryTimeoutSlack = 400 * time.Millisecond
)

// defaultPermittedShare is the assumed share of permitted hosts for a queue until its first answer.
const defaultPermittedShare = 0.5

// maxCompared bounds how many hosts with free capacity are compared by cost before a query:
// in a cell of thousands, comparing all of them costs more time than it gains.
const maxCompared = 128

// queryForTasks queries the policy service about hosts that have free capacity for waiting tasks.
func (e *Engine) queryForTasks(g *group, hosts []*hostState, now time.Time) {
	size := g.step.Allocation()
	ahead := e.mayQueryAhead(g, now)
	if !ahead && !size.Fits(e.poolOf(g.job.rec.Service).maxFree) || !e.mayQuery(g, now) {
		return
	}
	var candidates []*hostState
	first := 0
	if len(hosts) > maxCompared {
		first = e.rnd.IntN(len(hosts))
	}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if len(candidates) == maxCompared {
			break
		}
		if size.Fits(h.free()) && !e.hasPermission(g, h, now) && rejectedBy(g, h) == "" && g.slotsFor(h, e.capacityFor(g, h, now)) > 0 {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 && !ahead {
		return
	}
	cost := make(map[*hostState]float64, len(candidates))
	for _, h := range candidates {
		cost[h] = e.cost(g, h)
	}
	sort.SliceStable(candidates, func(a, b int) bool { return cost[candidates[a]] < cost[candidates[b]] })
	chosen := e.enoughHosts(g, candidates, float64(e.startableNow(g)))
	if ahead && len(chosen) == len(candidates) {
		chosen = e.addBusyHosts(g, chosen, hosts, now)
	}
	e.query(g, chosen, now)
}

// querySlotFactor is the factor by which the slots that a query covers exceed those needed.
const querySlotFactor = 1.6

// gangQuerySlotFactor is the same factor for a gang, which needs all its slots at once, a second
// after its query, on hosts that others fill meanwhile. With a lower factor gangs find too
// few slots; with a higher one the policy service, whose work grows with the hosts of a
// query, has no time left for other gangs.
const gangQuerySlotFactor = 6.0

// minQueryHosts is the minimum number of hosts in a query, if there are so many.
const minQueryHosts = 10

// enoughHosts returns the first hosts of the list that together can be expected to hold n tasks.
func (e *Engine) enoughHosts(g *group, candidates []*hostState, n float64) []*hostState {
	want := n * querySlotFactor
	for i, h := range candidates {
		p := e.permittedShare(g)
		if g.policy.permission[h] {
			p = 1
		}
		want -= p * float64(g.slotsFor(h, h.free()))
		if want <= 0 && i+1 >= minQueryHosts || i+1 >= e.cfg.Tuning.MaxHostsPerQuery {
			return candidates[:i+1]
		}
	}
	return candidates
}

// ticketLeadTime is how long before the reserved slots of a gang are expected to be free its
// tickets are requested, in addition to the time that the answer takes.
const ticketLeadTime = 100 * time.Millisecond

// slotsDueSoon reports whether the reserved slots of a gang will be free by the time the
// policy service has answered. Until then, a query about other hosts may find slots sooner.
func (e *Engine) slotsDueSoon(g *group, now time.Time) bool {
	queryTime := g.job.rec.Rules.PolicyQuery.QueryDuration(len(g.reserved))
	return g.reservedFrom.Sub(now) <= queryTime+ticketLeadTime
}

// requestTickets requests tickets for alternative hosts and for the hosts on which a gang has
// slots reserved, so that they arrive when these slots become free.
func (e *Engine) requestTickets(g *group, permitted []*hostState, now time.Time) {
	rules := g.job.rec.Rules.PolicyQuery
	hosts := append(slices.Clone(g.reserved), e.alternativeHosts(g, permitted, now)...)
	queryTime := rules.QueryDuration(min(len(hosts), e.cfg.Tuning.MaxHostsPerQuery))
	if !e.queryInBatches(g, hosts, now) {
		return
	}
	g.keepUntil = earlier(now, g.reservedFrom).Add(queryTime + rules.TicketTTL()) // slots that are overdue are not kept
	e.schedulePreemption(g, queryTime, now)
}

// alternativeHosts returns the permitted hosts without a reservation of the gang that will have
// most free capacity for it when an answer arrives.
func (e *Engine) alternativeHosts(g *group, permitted []*hostState, now time.Time) []*hostState {
	var all []hostSlots
	queryTime := g.job.rec.Rules.PolicyQuery.QueryDuration(e.cfg.Tuning.MaxHostsPerQuery)
	for _, h := range permitted {
		if slices.Contains(g.reserved, h) {
			continue
		}
		if n := g.slotsFor(h, e.capacityAt(g, h, queryTime, now)); n > 0 {
			all = append(all, hostSlots{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b hostSlots) int { return cmp.Compare(b.n, a.n) })
	spare := int((ticketSlotFactor - 1) * float64(g.waiting))
	var out []*hostState
	for _, s := range all {
		if spare <= 0 {
			break
		}
		out = append(out, s.host)
		spare -= s.n
	}
	return out
}

// queryForSlots queries about further hosts: as many as the gang is expected to need to have
// all of its slots on permitted hosts.
func (e *Engine) queryForSlots(g *group, permitted, unknown []*hostState, now time.Time) {
	slots, slotsIfEmpty := 0, 0
	for _, h := range permitted {
		slotsIfEmpty += g.slotsFor(h, h.info.Size)
		slots += g.slotsFor(h, e.capacityFor(g, h, now))
	}
	e.queryInBatches(g, e.hostsToQuery(g, unknown, slots, slotsIfEmpty, now), now)
}

// knownPermitted returns the hosts that are known to be permitted for a step and that take work.
func (e *Engine) knownPermitted(g *group, now time.Time) []*hostState {
	out := make([]*hostState, 0, len(g.policy.permitted))
	for _, h := range g.policy.permitted {
		if e.placeable(h, now) && rejectedBy(g, h) == "" {
			out = append(out, h)
		}
	}
	return out
}

// maxUnqueried bounds how many hosts without an answer are considered for a query. It is more
// than the queries of the largest gangs name.
const maxUnqueried = 2048

// unqueriedHosts returns those of hosts about which the policy service has not answered for
// a step.
func (e *Engine) unqueriedHosts(g *group, hosts []*hostState) []*hostState {
	out := make([]*hostState, 0, min(len(hosts), maxUnqueried))
	first := 0
	if len(hosts) > maxUnqueried {
		first = e.rnd.IntN(len(hosts))
	}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if _, known := g.policy.permission[h]; !known && rejectedBy(g, h) == "" {
			out = append(out, h)
		}
		if len(out) == maxUnqueried {
			break
		}
	}
	return out
}

// ticketSlotFactor is the factor by which the slots for which tickets are renewed exceed those
// that the gang needs, as some may be taken meanwhile.
const ticketSlotFactor = 1.3

// hostsToQuery chooses the hosts of a query: first those with free capacity now, until the
// gang can be expected to fit; then, if it would not fit on the permitted hosts even when
// they are empty, those that could hold most of its members.
func (e *Engine) hostsToQuery(g *group, unknown []*hostState, slots, slotsIfEmpty int, now time.Time) []*hostState {
	p := e.permittedShare(g)
	take := func(slotsFor func(*hostState) int, want float64) (out, rest []*hostState) {
		all := make([]hostSlots, 0, len(unknown))
		for _, h := range unknown {
			all = append(all, hostSlots{h, slotsFor(h)})
		}
		slices.SortStableFunc(all, compareForGang)
		for _, s := range all {
			if s.n > 0 && want > 0 {
				out = append(out, s.host)
				want -= p * float64(s.n)
			} else {
				rest = append(rest, s.host)
			}
		}
		return out, rest
	}
	first, rest := take(func(h *hostState) int { return g.slotsFor(h, e.capacityFor(g, h, now)) }, gangQuerySlotFactor*float64(g.waiting)-float64(slots))
	for _, h := range first {
		slotsIfEmpty += int(p * float64(g.slotsFor(h, h.info.Size)))
	}
	unknown = rest
	more, _ := take(func(h *hostState) int { return g.slotsFor(h, h.info.Size) }, gangQuerySlotFactor*float64(g.waiting)-float64(slotsIfEmpty))
	return append(first, more...)
}

// queryInBatches splits the hosts over queries through several members at the same time. It
// reports whether it sent any.
func (e *Engine) queryInBatches(g *group, hosts []*hostState, now time.Time) (sent bool) {
	for len(hosts) > 0 {
		n := min(len(hosts), e.cfg.Tuning.MaxHostsPerQuery)
		if !e.query(g, hosts[:n], now) {
			return sent
		}
		sent = true
		hosts = hosts[n:]
	}
	return sent
}

// permittedShare returns the estimated share of hosts that are permitted for steps of the queue.
func (e *Engine) permittedShare(g *group) float64 {
	if p, ok := e.permittedByQueue[g.job.rec.Queue]; ok {
		return p
	}
	return defaultPermittedShare
}

// permittedShareWindow is about how many answers the moving average of the permitted share spans.
const permittedShareWindow = 8

// updatePermittedShare updates the permitted share with the answer to a query: permitted of
// queried hosts are permitted.
func (e *Engine) updatePermittedShare(g *group, permitted, queried int) {
	if queried == 0 {
		return
	}
	share := max(float64(permitted)/float64(queried), 1/float64(2*queried))
	e.permittedByQueue[g.job.rec.Queue] = e.permittedShare(g) + (share-e.permittedShare(g))/permittedShareWindow
}

// mayQuery reports whether a query about a step may be sent now.
func (e *Engine) mayQuery(g *group, now time.Time) bool {
	return g.policy.openQueries == 0 && !now.Before(g.policy.nextQueryAt) && e.querySlots.MayAssign(e.queryRequest(g, 1), now)
}

// queryRequest describes a query about n hosts for the step that is being planned.
func (e *Engine) queryRequest(g *group, n int) advice.Request {
	class, length := g.queryClass()
	return advice.Request{Class: class, Length: length, Duration: g.job.rec.Rules.PolicyQuery.QueryDuration(n), Use: e.queryOrder.use, Share: e.queryOrder.share}
}

// query orders a query through a free query slot. It returns false if there are no hosts or no
// slot is free.
func (e *Engine) query(g *group, hosts []*hostState, now time.Time) bool {
	if len(hosts) == 0 {
		return false
	}
	slot, answeredAt, ok := e.querySlots.Assign(e.queryRequest(g, len(hosts)), now)
	if !ok {
		return false
	}
	q := &policyQuery{group: g, slot: slot, sentAt: now, snapshot: e.snapshotQuery(g, hosts, now)}
	for _, h := range hosts {
		q.hosts = append(q.hosts, h.info.ID)
	}
	e.queryID++
	e.queries[e.queryID] = q
	g.policy.openQueries++
	e.out.Queries = append(e.out.Queries, QueryOrder{
		ID: e.queryID, Member: slot, Step: g.id, Hosts: q.hosts, Timeout: answeredAt.Sub(now) + queryTimeoutSlack,
	})
	return true
}

// PolicyAnswered handles the outcome of a query to the policy service.
func (e *Engine) PolicyAnswered(o QueryOrder, a advice.Reply, err error, now time.Time) {
	e.now = now
	q := e.queries[o.ID]
	if q == nil {
		return
	}
	delete(e.queries, o.ID)
	e.querySlots.RecordReply(q.slot, err != nil, q.sentAt, now)
	g := q.group
	g.policy.openQueries--
	if err != nil {
		g.policy.nextQueryAt = now.Add(queryRetryDelay)
		e.log(Event{What: "no advice", Job: g.job.id(), Step: g.id.String(), Why: err.Error()})
		return
	}
	g.policy.nextQueryAt = now.Add(queryDelay)
	g.policy.answers++
	if g.policy.permission == nil {
		g.policy.permission = map[*hostState]bool{}
		g.policy.tickets = map[*hostState]ticket{}
	}
	fresh, permitted := 0, 0
	var permittedIDs []host.ID
	for _, id := range q.hosts {
		if h := e.hosts[id]; h != nil {
			if _, known := g.policy.permission[h]; !known {
				fresh++
			}
			if !g.policy.permission[h] {
				g.policy.permission[h] = false
			}
		}
	}
	for _, t := range a.Permitted {
		if h := e.hosts[t.Host]; h != nil {
			if !g.policy.permission[h] {
				g.policy.permitted = append(g.policy.permitted, h)
			}
			g.policy.permission[h] = true
			g.policy.tickets[h] = ticket{text: t.Ticket, until: now.Add(a.ValidFor)}
			permitted++
			permittedIDs = append(permittedIDs, t.Host)
		}
	}
	e.logPolicyAnswer(q, permittedIDs, now)
	if fresh == len(q.hosts) {
		e.updatePermittedShare(g, permitted, fresh)
	}
}
