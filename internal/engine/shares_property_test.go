package engine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

var (
	shareSeeds  = flag.Int("shares.seeds", 40, "seeds of the search in simulated cells for accounts within their shares that wait too long")
	replaySeeds = flag.Int("shares.replays", 2000, "seeds of the same search in replays of the order alone")
	shareSeed   = flag.Uint64("shares.seed", 1, "first seed")
)

const (
	shareCellHosts = 3
	shareCellCores = shareCellHosts * 16
	// shareMaxRun is the longest run time of a task: that of the long batch work of HARD-LOAD.md. The
	// capacity of the cell comes free once in this time.
	shareMaxRun = 4800 * time.Millisecond
	// shareMaxDelay is how much longer a step of an account within its share may wait than alone: urgent
	// work has to start in 5.1 s. It leaves 0.3 s for reports of ends and for backoffs.
	shareMaxDelay = 5100 * time.Millisecond
	sharePeriod   = 10 * time.Second
	// shareMaxStep is the largest step of the accounts that exceed their shares, in tasks of one core.
	shareMaxStep = 2
)

// shareCell is a cell whose accounts "a0", "a1" and so on have random weights and quotas. Some stay within
// their shares, and the others send more than there is capacity for.
type shareCell struct {
	*world
	rnd      *rand.Rand
	weights  []float64
	modest   []int // tasks of a step of the account, if it stays within its share; zero otherwise
	accepted map[string]time.Time
	// startedAt is when the last task of a job was first started.
	startedAt map[string]time.Time
}

// newShareCell returns the cell of a seed. If weighted is false, the accounts have no weights.
func newShareCell(t testing.TB, seed uint64, weighted bool) *shareCell {
	c := &shareCell{rnd: rand.New(rand.NewPCG(seed, 3)), accepted: map[string]time.Time{}, startedAt: map[string]time.Time{}}
	c.world = accountWorld(t, seed, shareCellHosts)
	c.world.weights = map[string]float64{}
	sum := 0.0
	for range 2 + c.rnd.IntN(4) {
		c.weights = append(c.weights, 1+9*c.rnd.Float64())
		sum += c.weights[len(c.weights)-1]
	}
	for i, weight := range c.weights {
		// A step starts as a whole, so each of the other accounts may exceed its share by a step.
		share := int(weight/sum*shareCellCores) - shareMaxStep*(len(c.weights)-1)
		c.modest = append(c.modest, 0)
		quota := fairshare.Unlimited
		switch {
		case share > 0 && (i == 0 || c.rnd.IntN(2) == 0):
			c.modest[i] = 1 + c.rnd.IntN(share)
		case c.rnd.IntN(3) == 0:
			quota = cores(int64(1 + c.rnd.IntN(shareCellCores)))
		}
		if weighted {
			c.world.weights[c.name(i)] = weight
		}
		c.setQuota(c.name(i), quota)
	}
	c.onStart = func(o StartOrder) { c.startedAt[o.Start.Task.Job] = c.now() }
	c.failOver()
	c.run(time.Second)
	return c
}

func (c *shareCell) name(account int) string { return fmt.Sprint("a", account) }

// burst submits the work of the accounts that exceed their shares, of two priorities.
func (c *shareCell) burst(rnd *rand.Rand) {
	for i := range c.weights {
		if c.modest[i] > 0 {
			continue
		}
		for n := range 150 {
			priority, s := 1+rnd.IntN(2), step(1+rnd.IntN(shareMaxStep), 1, 1, 200+rnd.Int64N(shareMaxRun.Milliseconds()-200))
			c.after(time.Duration(rnd.Int64N(int64(sharePeriod))), func() { c.submit(fmt.Sprint(c.name(i), "-", n), catalog.Rules{Priority: priority}, s) })
		}
	}
}

// observe submits steps of the accounts within their shares, one at a time each, and returns the wait of
// each step until all of its tasks have started.
func (c *shareCell) observe() map[string]time.Duration {
	current, number := map[int]string{}, map[int]int{}
	for c.now().Before(simulationStart.Add(time.Second + sharePeriod)) {
		for i, tasks := range c.modest {
			if tasks == 0 || current[i] != "" && !c.reported[current[i]].Final() {
				continue
			}
			current[i] = fmt.Sprint(c.name(i), "-", number[i])
			number[i]++
			c.accepted[current[i]] = c.now()
			c.submit(current[i], catalog.Rules{Priority: 1}, step(tasks, 1, 1, 200+int64(hashOf(current[i]))%(shareMaxRun.Milliseconds()-200)))
		}
		c.run(20 * time.Millisecond)
	}
	c.run(shareMaxDelay)
	waits := map[string]time.Duration{}
	for id, at := range c.accepted {
		waits[id] = c.now().Sub(at)
		if c.startedAll(id) {
			waits[id] = c.startedAt[id].Sub(at)
		}
	}
	return waits
}

// startedAll reports whether all tasks of a job have started.
func (c *shareCell) startedAll(id string) bool { return c.engine.jobs[id].groups[0].waiting == 0 }

// TestAccountsWithinTheirSharesDoNotWaitForOthers searches for accounts that wait although what they run and
// what waits is within their shares: at most 5.1 s longer than if the others were absent. It also checks
// that no quota is exceeded.
func TestAccountsWithinTheirSharesDoNotWaitForOthers(t *testing.T) {
	const workers = 8
	for worker := range workers {
		t.Run(fmt.Sprint("worker ", worker), func(t *testing.T) {
			t.Parallel()
			for i := worker; i < *shareSeeds; i += workers {
				checkShares(t, *shareSeed+uint64(i), true)
			}
		})
	}
}

func checkShares(t *testing.T, seed uint64, weighted bool) {
	alone := 0 * time.Second
	for _, wait := range newShareCell(t, seed, weighted).observe() {
		alone = max(alone, wait)
	}
	c := newShareCell(t, seed, weighted)
	c.burst(rand.New(rand.NewPCG(seed, 4)))
	for id, wait := range c.observe() {
		if wait > alone+shareMaxDelay {
			t.Errorf("seed %d: %s with %d tasks waited %v, %v alone; weights %.1f", seed, id, len(c.engine.jobs[id].groups[0].tasks), wait, alone, c.weights)
		}
	}
	c.checkInvariants()
}

// shareReplay replays the order of steps and the quotas without hosts: a pass starts what fits into the free
// cores of the cell whenever something arrives or ends.
type shareReplay struct {
	engine  *Engine
	order   stepOrder
	now     time.Time
	free    int64 // cores
	queue   []*group
	arrive  []*group // by time of acceptance
	running []replayedTask
	// last is when the last task of each job started; toStart counts the tasks of the first account that
	// have not.
	last    map[string]time.Time
	toStart int
}

type replayedTask struct {
	group *group
	ends  time.Time
}

// newShareReplay draws the accounts of a seed and their steps. The first account stays within its share; if
// alone is set, the others send nothing.
func newShareReplay(seed uint64, weighted, alone bool) *shareReplay {
	rnd := rand.New(rand.NewPCG(seed, 5))
	r := &shareReplay{order: stepOrder{limit: 1 + rnd.IntN(maxOrderedSteps)}, now: simulationStart, free: shareCellCores, last: map[string]time.Time{}}
	r.engine = New(Config{})
	accounts := 2 + rnd.IntN(8)
	c, sum, first := &catalog.Catalog{}, 0.0, 1+9*rnd.Float64()
	for i := range accounts {
		a := catalog.Account{Name: fmt.Sprint("a", i), Weight: 1 + 9*rnd.Float64(), Quota: fairshare.Unlimited}
		if i == 0 {
			a.Weight = first * float64(accounts) // has room for steps within its share
		} else if rnd.IntN(3) == 0 {
			a.Quota = cores(int64(1 + rnd.IntN(shareCellCores)))
		}
		sum += a.Weight
		c.Accounts = append(c.Accounts, a)
	}
	share := int(c.Accounts[0].Weight/sum*shareCellCores) - shareMaxStep*(accounts-1)
	if !weighted {
		for i := range c.Accounts {
			c.Accounts[i].Weight = 0
		}
	}
	c.Index()
	r.engine.SetCatalog(c, r.now)
	r.engine.poolOf("s").total = size(shareCellCores, shareCellCores)
	r.submitWithin(rnd, max(share, 1))
	if !alone {
		r.submitOthers(rnd, accounts)
	}
	slices.SortStableFunc(r.arrive, func(a, b *group) int { return a.job.accepted.Compare(b.job.accepted) })
	return r
}

// submitWithin submits steps of the first account, each of at most its share. The next step arrives when
// the one before has ended, if that waited as long as it may.
func (r *shareReplay) submitWithin(rnd *rand.Rand, share int) {
	at := r.now
	for n := range 3 {
		at = at.Add(time.Duration(rnd.Int64N(int64(time.Second))))
		tasks := 1 + rnd.IntN(share)
		r.toStart += tasks
		run := r.submit(fmt.Sprint("a0-", n), "a0", tasks, at, rnd)
		at = at.Add(shareMaxDelay + run)
	}
}

func (r *shareReplay) submitOthers(rnd *rand.Rand, accounts int) {
	const steps = 500 // half as much again as the cell runs in the time
	for n := range steps {
		at := r.now.Add(time.Duration(rnd.Int64N(int64(20 * time.Second))))
		account := fmt.Sprint("a", 1+rnd.IntN(accounts-1))
		r.submit(fmt.Sprint(account, "-", n), account, 1+rnd.IntN(shareMaxStep), at, rnd)
	}
}

// submit adds a step of tasks with one core and returns its run time.
func (r *shareReplay) submit(id, account string, tasks int, at time.Time, rnd *rand.Rand) time.Duration {
	s := step(tasks, 1, 1, 200+rnd.Int64N(shareMaxRun.Milliseconds()-200))
	j := newJob(&record.Job{ID: id, Account: account, Service: "s", Graph: spec.Graph{Steps: []spec.Step{s}}}, at)
	j.account, j.flow, j.urgency = r.engine.accountOf(account), r.engine.flowOf(j), urgency(rnd.IntN(2))
	r.arrive = append(r.arrive, j.groups...)
	return s.Estimate()
}

// run replays until everything of the first account has started, and reports an exceeded quota.
func (r *shareReplay) run(t *testing.T, seed uint64) {
	for r.toStart > 0 {
		r.now = r.nextEvent()
		r.running = slices.DeleteFunc(r.running, func(task replayedTask) bool {
			if task.ends.After(r.now) {
				return false
			}
			r.count(task.group, -1)
			return true
		})
		for len(r.arrive) > 0 && !r.arrive[0].job.accepted.After(r.now) {
			at, _ := slices.BinarySearchFunc(r.queue, r.arrive[0], compareSteps)
			r.queue = slices.Insert(r.queue, at, r.arrive[0])
			r.arrive = r.arrive[1:]
		}
		r.pass()
		for _, a := range r.engine.accounts {
			if over := a.quota.Exceeds(a.used); over != "" {
				t.Errorf("seed %d: account %s exceeds its quota: %s", seed, a.name, over)
			}
		}
	}
}

func (r *shareReplay) nextEvent() time.Time {
	next := r.now.Add(time.Hour)
	if len(r.arrive) > 0 {
		next = r.arrive[0].job.accepted
	}
	for _, task := range r.running {
		next = earlier(next, task.ends)
	}
	return next
}

// count adds n tasks of a step to what runs.
func (r *shareReplay) count(g *group, n int64) {
	size := g.step.Size.Times(n)
	g.job.flow.used, g.job.account.used = g.job.flow.used.Add(size), g.job.account.used.Add(size)
	r.free -= size.MilliCPU / 1000
}

// pass starts what fits, in the order of the scheduling pass.
func (r *shareReplay) pass() {
	r.order.start(r.queue, r.engine.weighted, r.now)
	for g := r.order.next(); g != nil && r.free > 0; g = r.order.next() {
		for n := min(int64(r.engine.startableNow(g)), r.free); n > 0; n-- {
			g.waiting--
			r.count(g, 1)
			r.running = append(r.running, replayedTask{g, r.now.Add(g.step.Estimate())})
			r.last[g.job.id()] = r.now
			if g.job.rec.Account == "a0" {
				r.toStart--
			}
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(g *group) bool { return g.waiting == 0 })
}

// TestOrderBoundsTheWaitWithinShares is the search of TestAccountsWithinTheirSharesDoNotWaitForOthers over
// thousands of seeds, with the order and the quotas alone.
func TestOrderBoundsTheWaitWithinShares(t *testing.T) {
	for i := range *replaySeeds {
		seed := *shareSeed + uint64(i)
		alone, among := newShareReplay(seed, true, true), newShareReplay(seed, true, false)
		accepted := map[string]time.Time{}
		for _, g := range alone.arrive {
			accepted[g.job.id()] = g.job.accepted
		}
		alone.run(t, seed)
		among.run(t, seed)
		for id, at := range accepted {
			if among.last[id].Sub(alone.last[id]) > shareMaxDelay {
				t.Errorf("seed %d: %s waited %v, %v alone", seed, id, among.last[id].Sub(at), alone.last[id].Sub(at))
			}
		}
	}
}
