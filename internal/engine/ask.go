package engine

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/host"
)

// question is one that the policy service was asked.
type question struct {
	group *group
	hosts []host.ID
	lane  string
	asked time.Time
}

// Pauses before a step is asked about again.
const (
	askPause     = 20 * time.Millisecond
	askFailPause = 150 * time.Millisecond
	// askSlack is how much longer than worked out an answer is waited for.
	askSlack = 400 * time.Millisecond
)

// guessGood is the share of hosts that are expected to be good where nothing is
// known yet.
const guessGood = 0.5

// mostWeighed is how many hosts with room are weighed against each other before a
// question; in a cell of thousands all of them would cost more than they gain.
const mostWeighed = 128

// askForTasks asks about hosts that have room for tasks that wait.
func (e *Engine) askForTasks(g *group, c []*hostState, now time.Time) {
	size := g.step.Booked()
	if !size.Fits(e.poolOf(g.job.rec.Service).roomiest) || !e.mayAsk(g, now) {
		return
	}
	var open []*hostState
	first := 0
	if len(c) > mostWeighed {
		first = e.rnd.IntN(len(c))
	}
	for i := range c {
		h := c[(first+i)%len(c)]
		if len(open) == mostWeighed {
			break
		}
		if size.Fits(h.free()) && !e.allowed(g, h, now) && refusedBy(g, h) == "" && g.fits(h, e.roomFor(g, h, now)) > 0 {
			open = append(open, h)
		}
	}
	if len(open) == 0 {
		return
	}
	cost := make(map[*hostState]float64, len(open))
	for _, h := range open {
		cost[h] = e.cost(g, h)
	}
	sort.SliceStable(open, func(a, b int) bool { return cost[open[a]] < cost[open[b]] })
	e.ask(g, e.enough(g, open, float64(e.allowedNow(g))), now)
}

// spareAsked is by how much the places asked about should exceed those needed.
const spareAsked = 1.6

// spareAskedGang is the same for a gang, which needs all its places at once, a second
// after it has asked, on hosts that others fill meanwhile. Asked about fewer, gangs find
// too few places; asked about more, the policy service, which works on each host, has no
// time left for other gangs.
const spareAskedGang = 6.0

// leastAsked is how many hosts a question names at least, if there are so many.
const leastAsked = 10

// enough takes hosts from the first on until they can be expected to hold n
// tasks.
func (e *Engine) enough(g *group, open []*hostState, n float64) []*hostState {
	want := n * spareAsked
	for i, h := range open {
		p := e.goodShare(g)
		if g.advice.known[h] {
			p = 1
		}
		want -= p * float64(g.fits(h, h.free()))
		if want <= 0 && i+1 >= leastAsked || i+1 >= e.cfg.Tuning.AskMost {
			return open[:i+1]
		}
	}
	return open
}

// askAhead is how long before a gang's places are expected to be free its tickets
// are asked for, beyond the time that the answer takes.
const askAhead = 100 * time.Millisecond

// placesComeSoon reports whether a gang's places will be free when an answer of the
// policy service comes. While they will not, other hosts are worth asking about.
func (e *Engine) placesComeSoon(g *group, now time.Time) bool {
	took := g.job.rec.Rules.Advice.Took(len(g.reserved))
	return g.reservedFrom.Sub(now) <= took+askAhead
}

// askForTickets asks for tickets on the hosts that a gang has places reserved on, so
// that they come when the places do, and on others that it may use in their stead.
func (e *Engine) askForTickets(g *group, good []*hostState, now time.Time) {
	advice := g.job.rec.Rules.Advice
	hosts := append(slices.Clone(g.reserved), e.spareHosts(g, good, now)...)
	took := advice.Took(min(len(hosts), e.cfg.Tuning.AskMost))
	if !e.askInParts(g, hosts, now) {
		return
	}
	g.settled = now.Add(took + advice.Valid())
	e.clearAhead(g, took, now)
}

// spareHosts are those that will have most room for a gang when an answer comes, of the
// good hosts where it has nothing reserved.
func (e *Engine) spareHosts(g *group, good []*hostState, now time.Time) []*hostState {
	var all []seat
	in := g.job.rec.Rules.Advice.Took(e.cfg.Tuning.AskMost)
	for _, h := range good {
		if slices.Contains(g.reserved, h) {
			continue
		}
		if n := g.fits(h, e.roomAt(g, h, in, now)); n > 0 {
			all = append(all, seat{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b seat) int { return cmp.Compare(b.n, a.n) })
	spare := int((spareTickets - 1) * float64(g.waiting))
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

// askForPlaces asks about more hosts: as many as it takes, as things go, until the
// gang has room on good ones.
func (e *Engine) askForPlaces(g *group, good, unknown []*hostState, now time.Time) {
	room, could := 0, 0
	for _, h := range good {
		could += g.fits(h, h.info.Size)
		room += g.fits(h, e.roomFor(g, h, now))
	}
	e.askInParts(g, e.worthAsking(g, unknown, room, could, now), now)
}

// goodHosts are the hosts that a step is known to be permitted on and that take work.
func (e *Engine) goodHosts(g *group, now time.Time) []*hostState {
	out := make([]*hostState, 0, len(g.advice.good))
	for _, h := range g.advice.good {
		if e.placeable(h, now) && refusedBy(g, h) == "" {
			out = append(out, h)
		}
	}
	return out
}

// mostUnknown is how many hosts that nothing is known of are weighed for a question: more
// than the largest gangs ask about.
const mostUnknown = 2048

// unknownHosts are hosts, of those that take work, that a step was never asked about.
func (e *Engine) unknownHosts(g *group, hosts []*hostState) []*hostState {
	out := make([]*hostState, 0, min(len(hosts), mostUnknown))
	first := 0
	if len(hosts) > mostUnknown {
		first = e.rnd.IntN(len(hosts))
	}
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if _, known := g.advice.known[h]; !known && refusedBy(g, h) == "" {
			out = append(out, h)
		}
		if len(out) == mostUnknown {
			break
		}
	}
	return out
}

// spareTickets is how many more places than the gang needs are asked for when
// its tickets are renewed, as some may be taken meanwhile.
const spareTickets = 1.3

// worthAsking chooses hosts to ask about: first those with room now, until the
// gang can be expected to find its room; then, where even empty hosts that are
// known to be good could not hold it, those that could hold most.
func (e *Engine) worthAsking(g *group, unknown []*hostState, room, could int, now time.Time) []*hostState {
	p := e.goodShare(g)
	take := func(fits func(*hostState) int, want float64) (out, rest []*hostState) {
		all := make([]seat, 0, len(unknown))
		for _, h := range unknown {
			all = append(all, seat{h, fits(h)})
		}
		slices.SortStableFunc(all, fastestFirst)
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
	first, rest := take(func(h *hostState) int { return g.fits(h, e.roomFor(g, h, now)) }, spareAskedGang*float64(g.waiting)-float64(room))
	for _, h := range first {
		could += int(p * float64(g.fits(h, h.info.Size)))
	}
	unknown = rest
	more, _ := take(func(h *hostState) int { return g.fits(h, h.info.Size) }, spareAskedGang*float64(g.waiting)-float64(could))
	return append(first, more...)
}

// askInParts asks about hosts through several members at the same time. It reports
// whether it asked about any.
func (e *Engine) askInParts(g *group, hosts []*hostState, now time.Time) (asked bool) {
	for len(hosts) > 0 {
		n := min(len(hosts), e.cfg.Tuning.AskMost)
		if !e.ask(g, hosts[:n], now) {
			return asked
		}
		asked = true
		hosts = hosts[n:]
	}
	return asked
}

// goodShare is the share of hosts that steps of the queue may run on, as learned.
func (e *Engine) goodShare(g *group) float64 {
	if p, ok := e.good[g.job.rec.Queue]; ok {
		return p
	}
	return guessGood
}

// goodMemory is over about how many answers the share of good hosts is taken.
const goodMemory = 8

// learnGood takes in how many hosts of a question were good.
func (e *Engine) learnGood(g *group, good, asked int) {
	if asked == 0 {
		return
	}
	share := max(float64(good)/float64(asked), 1/float64(2*asked))
	e.good[g.job.rec.Queue] = e.goodShare(g) + (share-e.goodShare(g))/goodMemory
}

// mayAsk reports whether a question about a step may be asked now.
func (e *Engine) mayAsk(g *group, now time.Time) bool {
	return g.advice.asking == 0 && !now.Before(g.advice.askAfter) && e.lanes.Open(g.job.rec.Rules.Advice.Took(1), now)
}

// ask books a lane and sends the question, or reports that no lane is open.
func (e *Engine) ask(g *group, hosts []*hostState, now time.Time) bool {
	if len(hosts) == 0 {
		return false
	}
	took := g.job.rec.Rules.Advice.Took(len(hosts))
	lane, answered, ok := e.lanes.Book(took, now)
	if !ok {
		return false
	}
	q := &question{group: g, lane: lane, asked: now}
	for _, h := range hosts {
		q.hosts = append(q.hosts, h.info.ID)
	}
	e.askID++
	e.asks[e.askID] = q
	g.advice.asking++
	e.out.Asks = append(e.out.Asks, AskOrder{
		ID: e.askID, Lane: lane, Step: g.id, Hosts: q.hosts, Patience: answered.Sub(now) + askSlack,
	})
	return true
}

// Advised takes in the outcome of a question.
func (e *Engine) Advised(o AskOrder, a advice.Answer, err error, now time.Time) {
	e.now = now
	q := e.asks[o.ID]
	if q == nil {
		return
	}
	delete(e.asks, o.ID)
	e.lanes.Answered(q.lane, err != nil, q.asked, now)
	g := q.group
	g.advice.asking--
	if err != nil {
		g.advice.askAfter = now.Add(askFailPause)
		e.log(Event{What: "no advice", Job: g.job.id(), Step: g.id.String(), Why: err.Error()})
		return
	}
	g.advice.askAfter = now.Add(askPause)
	g.advice.answers++
	if g.advice.known == nil {
		g.advice.known = map[*hostState]bool{}
		g.advice.tickets = map[*hostState]ticket{}
	}
	fresh, good := 0, 0
	for _, id := range q.hosts {
		if h := e.hosts[id]; h != nil {
			if _, known := g.advice.known[h]; !known {
				fresh++
			}
			if !g.advice.known[h] {
				g.advice.known[h] = false
			}
		}
	}
	for _, t := range a.Good {
		if h := e.hosts[t.Host]; h != nil {
			if !g.advice.known[h] {
				g.advice.good = append(g.advice.good, h)
			}
			g.advice.known[h] = true
			g.advice.tickets[h] = ticket{text: t.Ticket, until: now.Add(a.Valid)}
			good++
		}
	}
	if fresh == len(q.hosts) {
		e.learnGood(g, good, fresh)
	}
}
