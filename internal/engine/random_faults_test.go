package engine

import (
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
)

// The random test in this file searches for jobs that are failed without cause: whatever gets lost,
// arrives late or loses power, no task of these jobs ever crashes a host.

var (
	searchSeeds     = flag.Int("doubt.seeds", 12, "seeds for each kind of fault in the search for jobs failed without cause")
	firstSearchSeed = flag.Uint64("doubt.seed", 1, "first seed")
	searchLog       = flag.Bool("doubt.log", false, "print the logged events of each such job")
	searchFaults    = flag.String("doubt.kind", "", "run only this kind of fault; empty runs all")
)

// callFaults are the faults of calls, each of which is tested by itself.
var callFaults = map[string]faults{
	"none":                      {},
	"lost requests":             {lostRequest: 0.3},
	"lost answers":              {lostReply: 0.3},
	"late orders":               {delayedRequest: 0.3},
	"late polls and views":      {latePolls: 0.5, lateViews: 0.5},
	"late polls, views, orders": {delayedRequest: 0.3, latePolls: 0.5, lateViews: 0.5},
	"polls without acknowledgements, lost calls": {lostRequest: 0.2, lostReply: 0.2, unidentifiedPolls: 0.5},
	"few ends in a view":                         {listedEnds: 2},
	"few ends in a view, late polls, lost":       {listedEnds: 2, lostReply: 0.2, latePolls: 0.3, lateViews: 0.3, unidentifiedPolls: 0.3},
	"all":                                        {lostRequest: 0.1, lostReply: 0.1, delayedRequest: 0.1, unidentifiedPolls: 0.3, latePolls: 0.3, lateViews: 0.3},
}

// TestNoJobFailedWithoutCause has hosts that are disconnected, restart while disconnected or not, lose
// power or terminate for good, while holders change and calls get lost or late. With half of the seeds
// hosts keep their ids.
func TestNoJobFailedWithoutCause(t *testing.T) {
	for name, kind := range callFaults {
		if *searchFaults != "" && *searchFaults != name {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*searchSeeds) {
				seed := *firstSearchSeed + i
				w := searchSeed(t, seed, kind)
				for _, violation := range w.fleet.Checker().Violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
				for id, reported := range w.reported {
					if *searchLog && reported == record.StateFailed {
						t.Logf("seed %d: job %s:\n%s", seed, id, w.logOf(id))
					}
				}
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: %d jobs are not final, such as %s", seed, len(left), left[0])
				}
			}
		})
	}
}

// Durations of the search.
const (
	searchFaultPeriod  = 16 * time.Second // during which faults are injected
	searchSettlePeriod = 40 * time.Second // after that, for the jobs to end
	wideEvery          = 400 * time.Millisecond
)

// searchSeed runs one seed.
func searchSeed(t testing.TB, seed uint64, kind faults) *world {
	w := newWorld(t, seed)
	w.followsHosts, w.keepEvents = true, *searchLog
	w.fleet.KeepID = seed%2 == 0
	w.fleet.ListedEnds = kind.listedEnds
	w.fleet.RestartDelay = time.Duration(100+w.rnd.IntN(4000)) * time.Millisecond
	w.fleet.Add(16, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.faults = kind
	for at, n := time.Duration(0), 0; at < searchFaultPeriod; at, n = at+wideEvery, n+1 {
		w.after(at, func() {
			w.submit(fmt.Sprint("wide-", n), catalog.Rules{MaxAttempts: 2, Priority: 1}, step(10, 6, 7, 900))
		})
	}
	takeOvers := w.rnd.IntN(3) > 0
	pause := 100 + w.rnd.IntN(700)
	for at := time.Second; at < searchFaultPeriod; at += time.Duration(50+w.rnd.IntN(2*pause)) * time.Millisecond {
		w.after(at, func() { w.injectHostFault(takeOvers) })
	}
	w.run(searchFaultPeriod)
	w.faults = faults{}
	w.run(searchSettlePeriod)
	return w
}

// injectHostFault injects a random fault into a host, or replaces the holder.
func (w *world) injectHostFault(takeOvers bool) {
	all := w.fleet.Hosts()
	h := all[w.rnd.IntN(len(all))]
	outage := time.Duration(200+w.rnd.IntN(7000)) * time.Millisecond
	switch n := w.rnd.IntN(24); {
	case n == 0 && takeOvers:
		w.failOver()
	case n < 5:
		w.disconnect(h, outage)
	case n < 12:
		w.disconnect(h, outage)
		w.after(time.Duration(w.rnd.IntN(int(outage))), h.RestartAfterPowerLoss)
	case n < 17:
		h.Restart()
	case n < 23:
		h.RestartAfterPowerLoss()
	case len(w.fleet.Listed()) > 12:
		h.Crash()
		w.after(entryLasts, func() { h.SetListed(false) })
	}
}

// entryLasts is how long an entry stays in the list without heartbeats.
const entryLasts = 3 * heartbeat

// disconnect disconnects a host for a while, in half of the cases from the store as well.
func (w *world) disconnect(h *hostsim.Host, d time.Duration) {
	h.SetDisconnected(true)
	if w.rnd.IntN(2) == 0 && d > entryLasts {
		w.after(entryLasts, func() { h.SetListed(false) })
		w.after(d, func() { h.SetListed(h.Up()) })
	}
	w.after(d, func() { h.SetDisconnected(false) })
}

// unfinished lists the jobs that are not final.
func (w *world) unfinished() (left []string) {
	for id := range w.jobs {
		if !w.reported[id].Final() {
			left = append(left, id+" "+string(w.reported[id]))
		}
	}
	sort.Strings(left)
	return left
}

// TestUnacknowledgedStartOutlivesIncarnation guards against unacknowledged starts that leave no trace on
// their task. Starts were not answered, and their hosts crashed ten milliseconds later and restarted
// under the same ids. The starts moved over to the next incarnations, as they might yet start there, and
// nothing was attributed to their task: four hosts were lost to it before the first crash was
// attributed.
func TestUnacknowledgedStartOutlivesIncarnation(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		is := is.New(t)
		crashUnanswered := func(w *world, h *hostsim.Host) {
			w.faults.lostReply = 1
			w.after(10*time.Millisecond, h.Restart)
			w.after(20*time.Millisecond, func() { w.faults.lostReply = 0 })
		}
		w := injectAtStepStarts(t, keepsID, step(1, 6, 10, 2000), crashUnanswered, crashUnanswered)
		w.run(6 * time.Second)
		task := &w.engine.jobs["job"].groups[0].tasks[0]
		is.True(task.cur != nil && task.cur.suspect) // the second start is polled as a suspect
		is.Equal(len(task.crashes), 1)
		is.True(task.crashes[0].Unconfirmed)
		w.mustNotFail(t, 20*time.Second)
		is.Equal(w.reported["job"], record.StateCompleted)
	})
}
