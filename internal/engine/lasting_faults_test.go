package engine

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/spec"
)

// The random test in this file searches for long-running tasks that are held back although the faults are
// over and there is capacity for them, and for bookkeeping that contradicts itself.

var (
	lastingSeeds = flag.Int("lasting.seeds", 6, "seeds of the search for long-running tasks that are held back")
	lastingSeed  = flag.Uint64("lasting.seed", 1, "first seed")
	lastingLog   = flag.Bool("lasting.log", false, "print the logged events of each job with a task that is held back")
	lastingGap   = flag.Duration("lasting.gap", lastingMaxGap, "time without a run from which a task counts as held back")
	lastingGaps  = flag.Bool("lasting.gaps", false, "print the longest time without a run for each seed")
)

// Times of the search.
const (
	lastingFaultPeriod = 16 * time.Second
	// lastingCalmPeriod is how long the cell is observed after the faults.
	lastingCalmPeriod = 22 * time.Second
	// lastingMaxGap is how long a long-running task may be without a run in a calm cell: a lease and
	// three seconds.
	lastingMaxGap         = 9 * time.Second
	lastingSampleInterval = 100 * time.Millisecond
)

// lastingCell is a cell with long-running tasks, the faults of one seed, and what was observed.
type lastingCell struct {
	*world
	share  float64 // of permitted hosts
	policy *catalog.PolicyQuery
	// freeSince is, for each long-running task without a run, since when there has been capacity for it.
	freeSince map[spec.StepTask]time.Time
	longest   time.Duration
	found     map[string]bool // violations
	busyUntil map[string]time.Time
	departed  int
}

// TestLongRunningTaskRunsAgainAfterFaults guards against long-running tasks that stay without a run after
// faults, and against counts that do not match what they count.
func TestLongRunningTaskRunsAgainAfterFaults(t *testing.T) {
	for i := range uint64(*lastingSeeds) {
		seed := *lastingSeed + i
		c := newLastingCell(t, seed)
		c.execute()
		for _, v := range slices.Sorted(maps.Keys(c.found)) {
			t.Errorf("seed %d: %s", seed, v)
		}
		for _, v := range c.fleet.Checker().Violations() {
			t.Errorf("seed %d: %s", seed, v)
		}
		if *lastingGaps {
			t.Logf("seed %d: longest gap %v", seed, c.longest)
		}
	}
}

func newLastingCell(t testing.TB, seed uint64) *lastingCell {
	w := newWorld(t, seed)
	c := &lastingCell{world: w, freeSince: map[spec.StepTask]time.Time{}, found: map[string]bool{}, busyUntil: map[string]time.Time{}}
	w.followsHosts, w.keepEvents = true, *lastingLog
	w.repliesCut = map[host.ID]bool{}
	w.fleet.KeepID = seed%2 == 0
	w.fleet.EnforceCapacity = true
	w.fleet.RestartDelay = time.Duration(100+w.rnd.IntN(4000)) * time.Millisecond
	c.share = []float64{1, 0.6, 0.3}[w.rnd.IntN(3)]
	c.policy = []*catalog.PolicyQuery{nil, {DecideMillis: 6, PerHostMillis: 0.2, ValidMillis: 1500}, {DecideMillis: 150, PerHostMillis: 2, ValidMillis: 1500}}[w.rnd.IntN(3)]
	w.permitted = c.permits
	w.policyDelay = c.delayOf
	w.accountOf = func(id string) string { return []string{"a", "b"}[len(id)%2] }
	w.fleet.Add(20, "s", size(64, 128))
	for _, a := range []string{"a", "b"} {
		w.quotas[a] = fairshare.Unlimited
		w.fleet.SetQuota(a, fairshare.Unlimited)
	}
	w.failOver()
	w.run(time.Second)
	return c
}

// permits reports whether the policy service permits a step on a host: always the same for both.
func (c *lastingCell) permits(s spec.StepID, id host.ID) bool {
	sum := fnv.New32a()
	fmt.Fprint(sum, s.String(), id)
	return float64(sum.Sum32()%1000) < 1000*c.share
}

// delayOf returns when a query is answered: each member's queries are answered one after the other.
func (c *lastingCell) delayOf(o QueryOrder) time.Duration {
	c.busyUntil[o.Member] = later(c.busyUntil[o.Member], c.now()).Add(c.policy.QueryDuration(len(o.Hosts)))
	return c.busyUntil[o.Member].Sub(c.now()) + 2*oneWay
}

func (c *lastingCell) rules() catalog.Rules {
	return catalog.Rules{MaxAttempts: 3, Priority: 1, PolicyQuery: c.policy}
}

// execute injects the faults and observes the cell.
func (c *lastingCell) execute() {
	for i := range 4 {
		s := longRunningStep(2+c.rnd.IntN(5), int64(4+c.rnd.IntN(12)), int64(4+c.rnd.IntN(12)))
		s.MaxPerHost = 1 + c.rnd.IntN(2)
		c.after(time.Duration(c.rnd.IntN(int(lastingFaultPeriod))), func() { c.submit(fmt.Sprint("lasting-", i), c.rules(), s) })
	}
	c.submitLoad(lastingFaultPeriod + lastingCalmPeriod)
	c.scheduleFaults()
	c.observe(lastingFaultPeriod, false)
	c.endFaults()
	c.observe(c.fleet.RestartDelay+time.Second, false)
	c.observe(lastingCalmPeriod, true)
}

// submitLoad submits short tasks for a while: about half of what the cell can run.
func (c *lastingCell) submitLoad(d time.Duration) {
	for at, n := time.Duration(0), 0; at < d; at, n = at+200*time.Millisecond, n+1 {
		c.after(at, func() {
			c.submit(fmt.Sprint("short-", n), catalog.Rules{MaxAttempts: 3, Priority: 1}, step(12, 6, 7, 900))
		})
	}
}

// scheduleFaults schedules random faults of one seed.
func (c *lastingCell) scheduleFaults() {
	kinds := slices.SortedFunc(maps.Keys(callFaults), func(a, b string) int { return cmp.Compare(a, b) })
	c.faults = callFaults[kinds[c.rnd.IntN(len(kinds))]]
	if c.policy != nil && c.rnd.IntN(2) == 0 {
		c.faults.lostQuery = 0.3
	}
	takeOvers := c.rnd.IntN(3) > 0
	pause := 100 + c.rnd.IntN(1200)
	for at := time.Second; at < lastingFaultPeriod; at += time.Duration(50+c.rnd.IntN(2*pause)) * time.Millisecond {
		c.after(at, func() { c.injectFault(takeOvers) })
	}
}

// injectFault injects one random fault that is over by the end of the faults or soon after it.
func (c *lastingCell) injectFault(takeOvers bool) {
	all := c.fleet.Hosts()
	h := all[c.rnd.IntN(len(all))]
	outage := time.Duration(200+c.rnd.IntN(7000)) * time.Millisecond
	switch c.rnd.IntN(14) {
	case 0:
		c.makeStoreUnavailable(outage)
	case 1:
		id := h.Info().ID
		c.repliesCut[id] = true
		c.after(outage, func() { delete(c.repliesCut, id) })
	case 2:
		h.SetStalled(true)
		c.after(outage, func() { h.SetStalled(false) })
	case 3:
		h.SetFailTasks(true)
		c.after(outage, func() { h.SetFailTasks(false) })
	case 4:
		c.setMembers(c.members[:1+c.rnd.IntN(len(c.members))])
		c.after(outage, func() { c.setMembers([]string{"m1", "m2", "m3", "m4", "m5"}) })
	case 5:
		c.drain(h, outage)
	case 6:
		c.cancelLasting()
	case 7:
		h.SetUnhealthy(true)
		c.after(outage, func() { h.SetUnhealthy(false) })
	default:
		c.injectHostFault(takeOvers)
	}
}

func (c *lastingCell) makeStoreUnavailable(d time.Duration) {
	c.storeUnavailable = true
	c.after(min(d, authorityTerm), func() { c.paused = c.storeUnavailable })
	c.after(d, func() { c.storeUnavailable, c.paused = false, false })
}

func (c *lastingCell) setMembers(names []string) {
	c.members = names
	c.deliver(c.engine, func() { c.engine.SetMembers(names) })
}

// maxDeparted bounds the hosts that drain and leave.
const maxDeparted = 3

func (c *lastingCell) drain(h *hostsim.Host, d time.Duration) {
	if c.departed == maxDeparted || !h.Up() {
		return
	}
	c.departed++
	h.Drain(d)
	c.after(d, func() {
		if h.Info().Draining {
			h.Crash()
			h.SetListed(false)
		}
	})
}

// cancelLasting cancels one long-running job and submits another.
func (c *lastingCell) cancelLasting() {
	id := fmt.Sprint("lasting-", c.rnd.IntN(4))
	c.deliver(c.engine, func() { c.engine.Cancel(id, c.now()) })
	s := longRunningStep(2+c.rnd.IntN(5), int64(4+c.rnd.IntN(12)), 6)
	c.submit(fmt.Sprint("lasting-more-", len(c.jobs)), c.rules(), s)
}

// endFaults ends all faults.
func (c *lastingCell) endFaults() {
	c.faults = faults{}
	c.repliesCut = map[host.ID]bool{}
	c.storeUnavailable, c.paused = false, false
	c.setMembers([]string{"m1", "m2", "m3", "m4", "m5"})
	for _, h := range c.fleet.Hosts() {
		h.SetDisconnected(false)
		h.SetStalled(false)
		h.SetFailTasks(false)
		h.SetUnhealthy(false)
		if h.Info().Draining {
			h.Crash()
		}
		h.SetListed(h.Up())
	}
}

// observe runs the cell for a while and checks it at short intervals.
func (c *lastingCell) observe(d time.Duration, calm bool) {
	for range d / lastingSampleInterval {
		c.run(lastingSampleInterval)
		c.checkCounts()
		if calm {
			c.checkLasting()
		}
	}
}

func (c *lastingCell) violationf(format string, args ...any) {
	if len(c.found) < 10 {
		c.found[fmt.Sprintf(format, args...)] = true
	}
}

// checkLasting checks how long each long-running task has been without a run while there was capacity.
func (c *lastingCell) checkLasting() {
	runs := map[spec.StepTask]bool{}
	for _, h := range c.fleet.Hosts() {
		for _, r := range h.Running() {
			runs[r.Task] = true
		}
	}
	for id, rec := range c.jobs {
		s := &rec.Graph.Steps[0]
		if !s.LongRunning || c.engine.live[id] == nil {
			continue
		}
		var missing []spec.StepTask
		for i := range s.Count {
			t := spec.StepTask{StepID: spec.StepID{Job: id}, Index: i}
			if runs[t] {
				delete(c.freeSince, t)
				continue
			}
			missing = append(missing, t)
		}
		room := c.slots(id, s) >= 2*len(missing)
		for _, t := range missing {
			c.checkMissing(t, room)
		}
	}
}

func (c *lastingCell) checkMissing(t spec.StepTask, room bool) {
	since, known := c.freeSince[t]
	if !room || !known {
		c.freeSince[t] = c.now()
		return
	}
	gap := c.now().Sub(since)
	c.longest = max(c.longest, gap)
	if gap <= *lastingGap || c.found[t.String()] {
		return
	}
	c.found[t.String()] = true
	g := c.engine.groupOf(t)
	c.violationf("HELD %v without a run since %v; %s", t, since.Sub(simulationStart), c.explain(g, t.Index))
	if *lastingLog {
		c.t.Logf("%s", c.logOf(t.Job))
	}
}

// slots returns how many tasks of a step the permitted hosts have capacity for.
func (c *lastingCell) slots(job string, s *spec.Step) int {
	n := 0
	for _, h := range c.fleet.Hosts() {
		info := h.Info()
		if !h.Listed() || !h.Reachable() || info.Draining || c.policy != nil && !c.permits(spec.StepID{Job: job}, info.ID) {
			continue
		}
		free, here := info.Size, 0
		for _, r := range h.Running() {
			rec := c.jobs[r.Task.Job]
			free = free.Sub(rec.Graph.Steps[r.Task.Step].Allocation())
			if r.Task.Job == job {
				here++
			}
		}
		n += max(0, min(free.FitCount(s.Size), s.MaxPerHost-here))
	}
	return n
}

// explain describes what the engine knows of a task, and the hosts with capacity for it.
func (c *lastingCell) explain(g *group, i int) string {
	e, t, now := c.engine, &g.tasks[i], c.now()
	out := fmt.Sprintf("state %d, %d superseded runs, crashes %v, suspicion of its step %d, blocked %t, reconciling %t, on %d unreported hosts, urgency %d, delayed for %v",
		t.state, t.superseded, t.crashes, g.suspicion, e.startBlocked(g, t), e.reconciling, e.possibleHosts[g.task(i)], g.job.urgency, max(0, t.notBefore.Sub(now), g.notBefore.Sub(now)))
	if t.cur != nil {
		out += fmt.Sprintf("; run %d %v on %s, stop %t, at %.0f%%", t.cur.No, t.cur.state, t.cur.placedOn.info.ID, t.cur.stopRequested, t.cur.percent)
	}
	for _, h := range e.hostsByID {
		if n := g.slotsFor(h, h.free()); n > 0 && rejectedBy(g, h) == "" {
			out += fmt.Sprintf("; %s has %d slots: %s", h.info.ID, n, c.explainHost(g, h))
		}
	}
	return out + "; " + e.waitReason(g, now)
}

// explainHost names what keeps a step off a host with capacity for it.
func (c *lastingCell) explainHost(g *group, h *hostState) string {
	e, now := c.engine, c.now()
	switch {
	case now.Before(h.excludedUntil):
		return fmt.Sprintf("excluded for %v", h.excludedUntil.Sub(now))
	case !e.placeable(h, now):
		return "not placeable"
	case !e.hasPermission(g, h, now):
		return "no ticket"
	case !e.startAllowed(g, h, now):
		return "no start allowed"
	case !g.step.Allocation().Fits(e.capacityFor(g, h, now)):
		return "reserved"
	}
	return "free"
}

// checkCounts checks that the engine's counts match what they count.
func (c *lastingCell) checkCounts() {
	e := c.engine
	used := map[*account]spec.Resources{}
	perHost := map[*group]map[*hostState]int{}
	superseded := map[spec.StepTask]int{}
	orphans := 0
	for _, h := range e.hostsByID {
		c.checkHostCounts(h)
		for _, r := range h.runs {
			if r.account != nil {
				used[r.account] = used[r.account].Add(r.charge())
			}
			if r.group == nil {
				orphans++
				continue
			}
			if perHost[r.group] == nil {
				perHost[r.group] = map[*hostState]int{}
			}
			perHost[r.group][h]++
			if r.superseded {
				superseded[r.Task]++
			}
		}
	}
	for _, a := range e.accounts {
		if a.used != used[a] {
			c.violationf("COUNT account %s has %v in use, recorded %v", a.name, used[a], a.used)
		}
	}
	if orphans != e.orphanRuns {
		c.violationf("COUNT %d orphans, counted %d", orphans, e.orphanRuns)
	}
	open := map[*group]int{}
	for _, q := range e.queries {
		open[q.group]++
	}
	for _, j := range e.live {
		for _, g := range j.groups {
			c.checkGroupCounts(g, perHost[g], superseded, open[g])
		}
	}
}

func (c *lastingCell) checkHostCounts(h *hostState) {
	var used spec.Resources
	suspects := 0
	for key, r := range h.runs {
		used = used.Add(r.size)
		if r.suspect {
			suspects++
		}
		if r.placedOn != h || r.Run != key {
			c.violationf("COUNT %v is recorded on %s and says it is on %s", key, h.info.ID, r.placedOn.info.ID)
		}
		if _, requested := c.engine.stopRequested[r]; requested != r.stopRequested {
			c.violationf("COUNT %v on %s: stop requested %t, listed %t", key, h.info.ID, r.stopRequested, requested)
		}
	}
	if used != h.used || suspects != h.suspectRuns {
		c.violationf("COUNT %s uses %v and has %d suspects, counted %v and %d", h.info.ID, used, suspects, h.used, h.suspectRuns)
	}
}

func (c *lastingCell) checkGroupCounts(g *group, perHost map[*hostState]int, superseded map[spec.StepTask]int, open int) {
	e := c.engine
	if len(perHost) != len(g.perHost) || !maps.Equal(perHost, g.perHost) && len(perHost) > 0 {
		c.violationf("COUNT %v per host %d hosts, counted on %d", g.id, len(perHost), len(g.perHost))
	}
	if g.policy.openQueries != open {
		c.violationf("COUNT %v has %d open queries, counted %d", g.id, open, g.policy.openQueries)
	}
	waiting, undone, total := 0, 0, 0
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state == taskWaiting {
			waiting++
		}
		if t.state != taskDone {
			undone++
		}
		n := superseded[g.task(i)]
		total += n
		if n != t.superseded {
			c.violationf("COUNT %v has %d superseded runs, counted %d", g.task(i), n, t.superseded)
		}
		if (t.state == taskActive) != (t.cur != nil && t.state != taskDone) || t.state == taskActive && !t.cur.recorded() {
			c.violationf("COUNT %v in state %d has run %v", g.task(i), t.state, t.cur)
		}
	}
	if waiting != g.waiting || undone != g.undone || total != g.superseded {
		c.violationf("COUNT %v: %d waiting, %d undone, %d superseded; counted %d, %d, %d", g.id, waiting, undone, total, g.waiting, g.undone, g.superseded)
	}
	if g.pendingDeps == 0 && waiting > 0 && !(g.ready && e.ready[g.id] == g && (g.queued && slices.Contains(e.queue, g) || g.incoming && slices.Contains(e.incoming, g))) {
		c.violationf("COUNT %v has %d tasks waiting: ready %t, queued %t, incoming %t", g.id, waiting, g.ready, g.queued, g.incoming)
	}
}
