package engine

import (
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

// askForTasks asks about hosts that have room for tasks that wait.
func (e *Engine) askForTasks(g *group, c []*hostState, now time.Time) {
	if g.advice.asking > 0 || now.Before(g.advice.askAfter) {
		return
	}
	var open []*hostState
	for _, h := range c {
		if refusedBy(g, h) == "" && mayUse(g, h) && !e.allowed(g, h, now) && g.fits(h, h.free()) > 0 {
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
	e.ask(g, e.enough(g, open, float64(g.waiting)), now)
}

// spareAsked is by how much the places asked about should exceed those needed.
const spareAsked = 1.6

// leastAsked is how many hosts a question names at least, if there are so many.
const leastAsked = 10

// enough takes hosts from the first on until they can be expected to hold n
// tasks.
func (e *Engine) enough(g *group, open []*hostState, n float64) []*hostState {
	want := n * spareAsked
	for i, h := range open {
		p := guessGood
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

// askForGang asks about every host that is not known yet, and, once there is
// room on good hosts, for tickets of those.
func (e *Engine) askForGang(g *group, c []*hostState, now time.Time) {
	if g.advice.asking > 0 || now.Before(g.advice.askAfter) {
		return
	}
	var unknown []*hostState
	for _, h := range c {
		if _, known := g.advice.known[h]; !known {
			unknown = append(unknown, h)
		}
	}
	if len(unknown) > 0 {
		sort.SliceStable(unknown, func(a, b int) bool {
			return g.fits(unknown[a], unknown[a].free()) > g.fits(unknown[b], unknown[b].free())
		})
		e.ask(g, unknown[:min(len(unknown), e.cfg.Tuning.AskMost)], now)
		return
	}
	seats := e.seats(g, c, g.left)
	hosts := make([]*hostState, 0, len(seats))
	for _, s := range seats {
		hosts = append(hosts, s.host)
	}
	e.ask(g, hosts, now)
}

// ask books a lane and sends the question.
func (e *Engine) ask(g *group, hosts []*hostState, now time.Time) {
	if len(hosts) == 0 {
		return
	}
	took := g.job.rec.Rules.Advice.Took(len(hosts))
	lane, answered, ok := e.lanes.Book(took, now)
	if !ok {
		return
	}
	q := &question{group: g, lane: lane}
	for _, h := range hosts {
		q.hosts = append(q.hosts, h.info.ID)
	}
	e.askID++
	e.asks[e.askID] = q
	g.advice.asking++
	e.out.Asks = append(e.out.Asks, AskOrder{
		ID: e.askID, Lane: lane, Step: g.id, Hosts: q.hosts, Patience: answered.Sub(now) + askSlack,
	})
}

// Advised takes in the outcome of a question.
func (e *Engine) Advised(o AskOrder, a advice.Answer, err error, now time.Time) {
	e.now = now
	q := e.asks[o.ID]
	if q == nil {
		return
	}
	delete(e.asks, o.ID)
	e.lanes.Answered(q.lane, err != nil, now)
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
	for _, id := range q.hosts {
		if h := e.hosts[id]; h != nil {
			g.advice.known[h] = false
		}
	}
	for _, t := range a.Good {
		if h := e.hosts[t.Host]; h != nil {
			g.advice.known[h] = true
			g.advice.tickets[h] = ticket{text: t.Ticket, until: now.Add(a.Valid)}
		}
	}
}
