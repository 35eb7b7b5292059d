package engine

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
)

var (
	successionSeeds = flag.Int("succession.seeds", 2, "seeds of the search for runs in two places after failovers in succession")
	successionSeed  = flag.Uint64("succession.seed", 1, "first seed")
)

// slowStore is how long a write takes in a store in which no write ends before the next failover.
const slowStore = 5 * time.Second

// silentHostWorld has a service of eight tasks in its cell. The host of one of them was cut off as the first
// holder ended, and the second holder has stored for some seconds how long its lease may last.
func silentHostWorld(t *testing.T) (*world, *hostsim.Host) {
	w := idleWorld(t, 12)
	w.followsHosts = true
	s := longRunningStep(8, 8, 8)
	s.MaxPerHost = 1
	w.submit("web", catalog.Rules{}, s)
	w.run(3 * time.Second)
	silent := w.hostOfTask("web", 0)
	silent.SetDisconnected(true)
	w.failOver()
	w.run(4400 * time.Millisecond) // the last lease is not over yet
	return w, silent
}

// reconnectFor lets a host answer the present holder for a while, in which the store is slow.
func (w *world) reconnectFor(h *hostsim.Host, d time.Duration) {
	w.commitTakes = slowStore
	h.SetDisconnected(false)
	w.run(d)
	h.SetDisconnected(true)
	w.run(20 * time.Millisecond)
	w.commitTakes = 0
}

// TestLeaseIsWithheldUntilTheBoundIsReplaced guards against a run in two places: a silent host answers the
// holder that has stored how long its lease may last, the holder renews the lease, and ends before the
// store has the next roster. The next holder would start the task elsewhere when the stored time is over.
func TestLeaseIsWithheldUntilTheBoundIsReplaced(t *testing.T) {
	w, silent := silentHostWorld(t)
	w.reconnectFor(silent, 600*time.Millisecond) // two polls, the second of which may renew the lease
	w.failOver()
	w.run(testReconcile + 3*time.Second)
	w.checkInvariants()
	is.New(t).Equal(w.running("web"), 8)
}

// TestBoundOfAnEarlierHolderIsIgnored guards against a run in two places: a holder renews the lease of a host
// that has been silent under the holder before it, and ends before it has stored any roster, so that the
// store still has the time that the earlier holder stored.
func TestBoundOfAnEarlierHolderIsIgnored(t *testing.T) {
	w, silent := silentHostWorld(t)
	w.commitTakes = slowStore
	w.failOver()
	w.reconnectFor(silent, 200*time.Millisecond)
	w.failOver()
	w.run(testReconcile + 3*time.Second)
	w.checkInvariants()
	is.New(t).Equal(w.running("web"), 8)
}

// TestRenewalContinuesOnceTheBoundIsReplaced guards against a run that is lost though its host answers again
// in time: its lease is withheld for no longer than the store takes to have the next roster.
func TestRenewalContinuesOnceTheBoundIsReplaced(t *testing.T) {
	w := idleWorld(t, 4)
	w.followsHosts = true
	w.submit("web", catalog.Rules{}, longRunningStep(1, 8, 8))
	w.run(3 * time.Second)
	silent := w.hostOfTask("web", 0)
	before := silent.Running()
	silent.SetDisconnected(true)
	w.failOver()
	w.run(3 * time.Second)
	is := is.New(t)
	is.Equal(len(w.engine.listedBounds), 1)
	silent.SetDisconnected(false)
	w.run(10 * time.Second)
	is.Equal(len(w.engine.listedBounds), 0)
	is.Equal(silent.Running(), before)
	w.checkInvariants()
}

// TestNothingStartsBeforeTheBoundIsReplaced guards against a start on a host that the store lists with a
// bound: the next holder would not wait for it.
func TestNothingStartsBeforeTheBoundIsReplaced(t *testing.T) {
	w := idleWorld(t, 2)
	w.followsHosts = true
	w.run(time.Second)
	silent := w.host("h01")
	silent.SetDisconnected(true)
	w.failOver()
	w.engine.cfg.Tuning.UnresponsiveAfter = time.Minute // otherwise the host is closed in the roster as well
	w.run(3 * time.Second)
	w.commitTakes = slowStore
	silent.SetDisconnected(false)
	w.submit("wide", catalog.Rules{}, step(2, 64, 128, 60_000))
	w.run(slowStore - time.Second)
	is := is.New(t)
	is.Equal(len(w.host("h00").Running()), 1)
	is.Equal(len(silent.Running()), 0)
	w.commitTakes = 0
	w.run(slowStore + time.Second)
	is.Equal(len(silent.Running()), 1)
	w.checkInvariants()
}

// TestFailoversInSuccessionCauseNoDoubleRuns searches for tasks that run in two places after failovers one
// to five seconds apart: hosts are cut off around each of them and answer some of the holders for a moment,
// host clocks differ by as much as they may, orders arrive seconds late, writes take long or are never made,
// and holders pause or die between an order and the write that follows it.
func TestFailoversInSuccessionCauseNoDoubleRuns(t *testing.T) {
	for _, name := range slices.SortedFunc(maps.Keys(callFaults), func(a, b string) int { return cmp.Compare(a, b) }) {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*successionSeeds) {
				seed := *successionSeed + i
				w := failOverInSuccession(t, seed, callFaults[name])
				for _, violation := range w.fleet.Checker().Violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

func failOverInSuccession(t *testing.T, seed uint64, kind faults) *world {
	const (
		failovers = 12
		cutBefore = 100 * time.Millisecond // from the cuts to the failover
		calm      = 30 * time.Second
	)
	w := newWorld(t, seed)
	random := func(limit time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(limit))) }
	w.followsHosts, w.repliesCut = true, map[host.ID]bool{}
	w.fleet.KeepID = seed%2 == 0
	w.fleet.Add(12, "s", size(64, 128))
	for i, h := range w.fleet.Hosts() {
		h.SetRate([]float64{slowestClock, 1, 2 - slowestClock}[i%3])
	}
	w.failOver()
	for i := range 3 {
		w.submit(fmt.Sprint("web-", i), catalog.Rules{MaxAttempts: 20}, longRunningStep(5, 8, 8))
	}
	w.run(2 * time.Second)
	w.faults = kind
	for n := range failovers {
		w.submit(fmt.Sprint("long-", n), catalog.Rules{MaxAttempts: 20}, step(10, 8, 8, 6000))
		if w.rnd.IntN(3) == 0 {
			id := w.fleet.Hosts()[w.rnd.IntN(12)].Info().ID
			w.repliesCut[id] = true
			w.after(random(8*time.Second), func() { delete(w.repliesCut, id) })
		}
		w.commitTakes = []time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}[w.rnd.IntN(4)]
		w.run(time.Second + random(5*time.Second))
		for _, h := range w.fleet.Hosts()[:w.rnd.IntN(4)] {
			w.cutRepeatedly(h, random)
		}
		w.run(cutBefore)
		w.endHolder(random)
		w.failOver()
		if e, leaseEnd := w.engine, w.now().Add(testLeaseEnd); w.rnd.IntN(2) == 0 {
			w.after(random(2*time.Second), func() {
				w.deliver(e, func() { e.PreviousHolderEnded(leaseEnd, w.now()) })
			})
		}
	}
	w.faults, w.repliesCut, w.commitTakes = faults{}, map[host.ID]bool{}, 0
	w.run(calm)
	return w
}

// cutRepeatedly cuts a host off twice, with a moment between in which it answers.
func (w *world) cutRepeatedly(h *hostsim.Host, random func(time.Duration) time.Duration) {
	first, moment := 500*time.Millisecond+random(6*time.Second), 20*time.Millisecond+random(time.Second)
	w.disconnect(h, first)
	w.after(first+moment, func() { w.disconnect(h, 500*time.Millisecond+random(8*time.Second)) })
}

// endHolder ends the present holder: at once, after a pause without authority, or with orders that it gives
// after the next holder has claimed the partition. Of its last batch all transactions took effect, or none.
func (w *world) endHolder(random func(time.Duration) time.Duration) {
	if w.unstored != nil && w.rnd.IntN(2) == 0 {
		for _, group := range w.unstored.Groups {
			w.applyWrites(group)
		}
		w.applyWrites(w.unstored.Roster)
	}
	switch w.rnd.IntN(3) {
	case 0:
		w.paused = true
		w.run(random(3 * time.Second))
		w.paused = false
	case 1:
		w.claimedByNext = true
		w.run(random(authorityTerm))
	}
}
