package engine

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
)

// The random test in this file replaces the holder at moments between an order, the batch that stores it and
// the replies, and checks all the time that the store names every run that the next holder has to know of.

var (
	momentsSeeds = flag.Int("moments.seeds", 1, "seeds of the search for runs that the store does not name")
	momentsSeed  = flag.Uint64("moments.seed", 3, "first seed")
	momentsKind  = flag.String("moments.faults", "", "kind of call faults; all if empty")
)

const (
	momentsPeriod = 40 * time.Second
	momentsCalm   = 25 * time.Second
	// momentsSampleInterval is the interval between checks of the store.
	momentsSampleInterval = 20 * time.Millisecond
	// lastHolderLease is the time from the claim of the next holder to the end of the last lease: three seconds
	// of authority, a lease by the slowest clock and the margin of the holder package.
	lastHolderLease = 9320 * time.Millisecond
)

// momentsCell is a cell whose holder is replaced at unfavourable moments.
type momentsCell struct {
	*world
	claimed time.Time // when the next holder claimed the partition
	found   map[string]bool
	// formerVersions makes some holders behave as those of a version that stores no placements and orders
	// starts before it has stored anything; former is true while the present holder is one.
	formerVersions, former bool
}

// TestStoreNamesRunsAtEveryMoment guards against a run of a long-running task that the store does not name
// when the holder dies, and against a closed host whose stored list lacks a run: the next holder starts
// these tasks at once.
func TestStoreNamesRunsAtEveryMoment(t *testing.T) {
	for _, name := range slices.SortedFunc(maps.Keys(callFaults), func(a, b string) int { return cmp.Compare(a, b) }) {
		if *momentsKind != "" && *momentsKind != name {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*momentsSeeds) {
				seed := *momentsSeed + i
				c := newMomentsCell(t, seed)
				c.formerVersions = seed%3 == 0
				c.execute(callFaults[name])
				for _, v := range slices.Sorted(maps.Keys(c.found)) {
					t.Errorf("seed %d: %s", seed, v)
				}
				for _, v := range c.fleet.Checker().Violations() {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// TestMomentsRepeat guards against failures of the search that its seed does not repeat: an order of runs or of records
// that hangs on a map.
func TestMomentsRepeat(t *testing.T) {
	for _, name := range []string{"none", "all"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			once := func() []loggedEvent {
				c := newMomentsCell(t, *momentsSeed)
				c.keepEvents = true
				c.execute(callFaults[name])
				return c.events
			}
			first, second := once(), once()
			for i := range min(len(first), len(second)) {
				is.Equal(first[i], second[i])
			}
			is.Equal(len(first), len(second))
		})
	}
}

func newMomentsCell(t testing.TB, seed uint64) *momentsCell {
	w := newWorld(t, seed)
	c := &momentsCell{world: w, found: map[string]bool{}}
	w.followsHosts, w.onWrite = true, c.written
	w.repliesCut = map[host.ID]bool{}
	w.fleet.KeepID = seed%2 == 0
	w.fleet.EnforceCapacity = seed%4 < 2
	w.fleet.RestartDelay = time.Duration(50+w.rnd.IntN(3000)) * time.Millisecond
	w.commitTakes = []time.Duration{0, 60 * time.Millisecond, 300 * time.Millisecond}[w.rnd.IntN(3)]
	w.fleet.Add(14, "s", size(64, 128))
	for i, h := range w.fleet.Hosts() {
		h.SetRate([]float64{slowestClock, 1, 2 - slowestClock}[i%3])
	}
	w.failOver()
	w.run(time.Second)
	return c
}

func (c *momentsCell) random(limit time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(limit)))
}

func (c *momentsCell) execute(kind faults) {
	for i := range 5 {
		c.after(c.random(momentsPeriod/2), func() { c.submitLasting(fmt.Sprint("lasting-", i)) })
	}
	for at, n := time.Duration(0), 0; at < momentsPeriod; at, n = at+500*time.Millisecond, n+1 {
		c.after(at, func() {
			c.submit(fmt.Sprint("short-", n), catalog.Rules{MaxAttempts: 20}, step(6, 6, 7, 900))
		})
	}
	c.faults = kind
	c.onDecision = func(time.Duration) { c.actAsFormerVersion() }
	c.onStart = func(s StartOrder) {
		if c.rnd.IntN(12) == 0 {
			c.after(c.random(15*time.Millisecond), c.claim)
		}
	}
	for at := time.Second; at < momentsPeriod; at += 50*time.Millisecond + c.random(time.Second) {
		c.after(at, c.injectMoment)
	}
	c.observeStore(momentsPeriod)
	c.onStart = nil
	c.faults = faults{}
	for _, h := range c.fleet.Hosts() {
		h.SetDisconnected(false)
		h.SetListed(h.Up())
	}
	c.repliesCut = map[host.ID]bool{}
	c.observeStore(momentsCalm)
}

func (c *momentsCell) submitLasting(id string) {
	s := longRunningStep(2+c.rnd.IntN(4), int64(4+c.rnd.IntN(12)), int64(4+c.rnd.IntN(12)))
	s.MaxPerHost = 1 + c.rnd.IntN(2)
	c.submit(id, catalog.Rules{MaxAttempts: 3}, s)
}

// injectMoment injects one random fault.
func (c *momentsCell) injectMoment() {
	all := c.fleet.Hosts()
	h := all[c.rnd.IntN(len(all))]
	outage := 200*time.Millisecond + c.random(9*time.Second)
	switch n := c.rnd.IntN(20); {
	case n < 3:
		c.claim()
	case n < 5:
		c.storeUnavailable = true
		c.after(min(outage, authorityTerm), func() { c.paused = c.paused || c.storeUnavailable })
		c.after(outage, func() { c.storeUnavailable = false; c.paused = c.claimedByNext && c.paused })
	case n < 7:
		id := h.Info().ID
		c.repliesCut[id] = true
		c.after(outage, func() { delete(c.repliesCut, id) })
	case n < 9:
		c.drain(h, outage)
	case n < 10:
		id := fmt.Sprint("lasting-", c.rnd.IntN(5))
		c.deliver(c.engine, func() { c.engine.Cancel(id, c.now()) })
		c.submitLasting(fmt.Sprint("lasting-more-", len(c.jobs)))
	case n < 11:
		h.SetFailTasks(true)
		c.after(outage, func() { h.SetFailTasks(false) })
	case n < 15:
		c.disconnect(h, outage)
		if c.rnd.IntN(2) == 0 {
			c.after(c.random(outage), h.RestartAfterPowerLoss)
		}
	default:
		h.Restart()
	}
}

// drain has a host drain for a while, perhaps disconnected meanwhile; then it stays after all, or restarts.
func (c *momentsCell) drain(h *hostsim.Host, d time.Duration) {
	if !h.Up() {
		return
	}
	h.Drain(d)
	if c.rnd.IntN(3) == 0 {
		c.after(c.random(d), func() { c.disconnect(h, d) })
	}
	c.after(d, func() {
		if c.rnd.IntN(2) == 0 {
			h.StopDraining()
		} else {
			h.Restart()
			c.after(c.fleet.RestartDelay+time.Second, h.StopDraining)
		}
	})
}

// claim has the next holder claim the partition, which takes over after it has read the store. Of the batch
// that is being written any groups may have taken effect, and the roster if all have.
func (c *momentsCell) claim() {
	if c.claimedByNext || c.storeUnavailable {
		return
	}
	if c.unstored != nil {
		stored := 0
		for _, group := range c.unstored.Groups {
			if c.rnd.IntN(2) == 0 {
				c.applyWrites(c.written(group))
				stored++
			}
		}
		if stored == len(c.unstored.Groups) && c.rnd.IntN(2) == 0 {
			c.applyWrites(c.written(c.unstored.Roster))
		}
	}
	c.claimedByNext, c.claimed = true, c.now()
	c.checkStore()
	reads := c.random([]time.Duration{5 * time.Millisecond, 100 * time.Millisecond, authorityTerm}[c.rnd.IntN(3)])
	if c.rnd.IntN(2) == 0 {
		c.after(c.random(reads), func() { c.submitLasting(fmt.Sprint("lasting-more-", len(c.jobs))) })
	}
	readBefore := maps.Clone(c.store)
	former := c.engine
	known := c.rnd.IntN(2) == 0
	c.after(reads, func() {
		if former != c.engine {
			return
		}
		c.paused = false
		ended := c.now()
		late := c.hideLateJobs(readBefore)
		c.failOver()
		e := c.engine
		c.former = c.formerVersions && c.rnd.IntN(2) == 0
		for _, rec := range late {
			c.store[record.JobKey(0, rec.ID)], _ = record.Encode(rec)
			c.after(c.random(jobsPollPause), func() {
				c.deliver(e, func() { e.Accept(rec, false, c.now(), c.now()) })
			})
		}
		e.reconcileDeadline = c.claimed.Add(lastHolderLease)
		if known {
			c.after(c.random(4*time.Second), func() {
				c.deliver(e, func() { e.PreviousHolderEnded(ended.Add(testLeaseEnd), c.now()) })
			})
		}
	})
}

// jobsPollPause is that of the holder package.
const jobsPollPause = 900 * time.Millisecond

// hideLateJobs removes from the store the jobs that were accepted after a copy of it was made, as the next
// holder had read the list of jobs by then, and returns them.
func (c *momentsCell) hideLateJobs(copied map[string][]byte) (late []*record.Job) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		key := record.JobKey(0, id)
		if _, early := copied[key]; !early && c.store[key] != nil {
			late = append(late, c.jobs[id])
			delete(c.store, key)
		}
	}
	return late
}

// actAsFormerVersion lets the present holder order starts before their placements are stored if it is of a
// former version.
func (c *momentsCell) actAsFormerVersion() {
	if !c.former {
		return
	}
	for i := range c.engine.pendingStarts {
		c.engine.pendingStarts[i].batch = max(1, c.engine.durable)
	}
}

// written returns writes as the present holder makes them: a holder of a former version stores no placements.
func (c *momentsCell) written(writes []platform.Write) []platform.Write {
	if !c.former {
		return writes
	}
	out := slices.Clone(writes)
	for i, x := range out {
		switch {
		case x.Delete:
		case strings.HasPrefix(x.Key, "progress/"):
			p, err := record.DecodeProgress(x.Value)
			for k := range p.Steps {
				p.Steps[k].Placements = nil
			}
			out[i] = putWrite(x.Key, p)
			if err != nil {
				c.t.Fatal(err)
			}
		case strings.HasPrefix(x.Key, "roster/"):
			roster, err := record.DecodeRoster(x.Value)
			roster.PlacementsStored = false
			out[i] = putWrite(x.Key, roster)
			if err != nil {
				c.t.Fatal(err)
			}
		}
	}
	return out
}

// observeStore runs the cell for a while and checks the store all the time.
func (c *momentsCell) observeStore(d time.Duration) {
	for range d / momentsSampleInterval {
		c.run(momentsSampleInterval)
		c.checkStore()
	}
}

func (c *momentsCell) violationf(format string, args ...any) {
	if len(c.found) < 6 {
		c.found[fmt.Sprintf(format, args...)] = true
	}
}

// checkStore checks that the next holder, if it read the store now, would know where each run may be.
func (c *momentsCell) checkStore() {
	jobs, progress, roster := c.stored()
	live := map[string]bool{}
	for _, j := range jobs {
		live[j.ID] = j.Ended == ""
	}
	entries := map[host.ID]record.RosterHost{}
	for _, r := range roster.Hosts {
		entries[host.ID(r.ID)] = r
	}
	for _, h := range c.fleet.Hosts() {
		if !h.Up() {
			continue
		}
		for _, r := range h.Running() {
			if live[r.Task.Job] {
				c.checkRun(r, h.Info().ID, entries, roster.PlacementsStored, progress[r.Task.Job])
			}
		}
	}
}

func (c *momentsCell) checkRun(r host.Run, id host.ID, entries map[host.ID]record.RosterHost, placementsStored bool, p *record.Progress) {
	at := c.now().Sub(simulationStart)
	entry, listed := entries[id]
	if !listed {
		c.violationf("ROSTER %v runs on %s, which the roster does not list, at %v", r, id, at)
		return
	}
	if entry.Closed {
		if !slices.ContainsFunc(entry.Tasks, func(x record.RosterTask) bool {
			return x.Job == r.Task.Job && x.Occurrence == r.Task.Occurrence && x.Step == r.Task.Step && x.Index == r.Task.Index
		}) {
			c.violationf("CLOSED %v runs on %s, which is closed without it, at %v", r, id, at)
		}
		return
	}
	if !placementsStored || !c.jobs[r.Task.Job].Graph.Steps[r.Task.Step].LongRunning {
		return
	}
	stored := p.PlacementsOf(r.Task.Occurrence, r.Task.Step)
	if !mayRunAnywhere(stored) && !slices.ContainsFunc(stored[r.Task.Index], func(on record.RunOn) bool { return host.ID(on.Host) == id }) {
		c.violationf("PLACEMENT %v runs on %s, stored are %v, at %v", r, id, stored[r.Task.Index], at)
	}
}
