package engine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/spec"
)

// The random test in this file has the store carry out each transaction of a batch by itself, in any order and some of
// them seconds late, while hosts leave in all ways and holders are replaced as an outage of the store ends.

var (
	batchSeeds = flag.Int("batch.seeds", 14, "seeds for each kind of fault in the search for starts after a lost part of a batch")
	batchSeed  = flag.Uint64("batch.seed", 11, "first seed")
)

// Durations of the search.
const (
	batchFaultPeriod = 30 * time.Second
	batchCalmPeriod  = 40 * time.Second
	batchMaxLate     = 3 * time.Second // of a late transaction
	batchLateShare   = 0.35
)

// batchFaults are the faults of calls with which the search is made.
var batchFaults = []string{"none", "lost answers", "late orders", "few ends in a view"}

// TestBatchesInParts guards against tasks that are started again after they have ended, and steps that are never
// started, because a part of a batch was carried out and the rest was not before the next holder read the store.
func TestBatchesInParts(t *testing.T) {
	for _, kind := range batchFaults {
		t.Run(kind, func(t *testing.T) {
			for i := range uint64(*batchSeeds) {
				seed := *batchSeed + i
				w := searchBatchSeed(t, seed, callFaults[kind])
				for _, violation := range w.fleet.Checker().Violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: %d jobs are not final, such as %s: %s", seed, len(left), left[0], w.describe(firstWord(left[0])))
				}
			}
		})
	}
}

func firstWord(s string) (word string) {
	_, _ = fmt.Sscan(s, &word) // it has a word
	return word
}

// searchBatchSeed runs one seed.
func searchBatchSeed(t testing.TB, seed uint64, kind faults) *world {
	w := newWorld(t, seed)
	w.followsHosts = true
	w.fleet.KeepID = seed%2 == 0
	w.fleet.ListedEnds = kind.listedEnds
	w.fleet.RestartDelay = time.Duration(100+w.rnd.IntN(4000)) * time.Millisecond
	w.fleet.Add(20, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.faults = kind
	w.transactionTakes = w.drawTransactionTime
	for at, n := time.Duration(0), 0; at < batchFaultPeriod; at, n = at+150*time.Millisecond, n+1 {
		w.after(at, func() { w.submitGraph(fmt.Sprint("graph-", n), catalog.Rules{MaxAttempts: 20}, w.drawGraph()) })
	}
	for at := 2 * time.Second; at < batchFaultPeriod; at += time.Duration(4000+w.rnd.IntN(5000)) * time.Millisecond {
		w.after(at, w.endAnOutage)
	}
	w.run(batchFaultPeriod)
	w.faults, w.transactionTakes = faults{}, nil
	w.run(batchCalmPeriod)
	return w
}

func (w *world) drawTransactionTime() time.Duration {
	if w.rnd.Float64() < batchLateShare {
		return time.Duration(w.rnd.Int64N(int64(batchMaxLate)))
	}
	return commitTakes
}

// drawGraph draws one or two steps, some of them gangs.
func (w *world) drawGraph() spec.Graph {
	first, second := step(1+w.rnd.IntN(3), 6, 7, int64(300+w.rnd.IntN(900))), step(1+w.rnd.IntN(3), 6, 7, int64(300+w.rnd.IntN(900)))
	first.Gang, second.Gang = w.rnd.IntN(4) == 0, w.rnd.IntN(4) == 0
	second.After = []int{0}
	if w.rnd.IntN(2) == 0 {
		return spec.Graph{Steps: []spec.Step{first}}
	}
	return spec.Graph{Steps: []spec.Step{first, second}}
}

// endAnOutage has the store be away for a while; hosts leave meanwhile, or as it comes back, or fail what they run, and the
// holder is replaced soon after that.
func (w *world) endAnOutage() {
	outage := time.Duration(1000+w.rnd.IntN(3500)) * time.Millisecond
	w.storeUnavailable = true
	w.after(min(outage, authorityTerm), func() { w.paused = w.storeUnavailable })
	w.after(outage, func() { w.storeUnavailable, w.paused = false, false })
	for _, h := range w.fleet.Hosts() {
		if w.rnd.IntN(3) == 0 {
			w.after(outage-time.Duration(w.rnd.Int64N(int64(outage))), func() { w.leaveForAWhile(h) })
		}
	}
	if failing := w.fleet.Hosts()[w.rnd.IntN(20):]; w.rnd.IntN(2) == 0 {
		for _, h := range failing {
			h.SetFailTasks(true)
			w.after(outage+time.Second, func() { h.SetFailTasks(false) })
		}
	}
	if w.rnd.IntN(4) > 0 {
		w.after(outage+time.Duration(w.rnd.IntN(900))*time.Millisecond, w.replaceHolder)
	}
}

// leaveForAWhile has a host leave, in one of all ways, and be there again.
func (w *world) leaveForAWhile(h *hostsim.Host) {
	if !h.Up() {
		return
	}
	away := time.Duration(500+w.rnd.IntN(4000)) * time.Millisecond
	switch w.rnd.IntN(6) {
	case 0, 1: // its entry expires
		h.SetListed(false)
		w.after(away, func() { h.SetListed(h.Up()) })
	case 2, 3:
		w.disconnect(h, away)
	case 4:
		h.Drain(away)
		w.after(away, func() {
			h.Restart() // another comes in its place
			h.StopDraining()
		})
	default:
		h.Restart()
	}
}

// replaceHolder has the next holder claim the partition and, after a while, take it over.
func (w *world) replaceHolder() {
	if w.claimedByNext || w.storeUnavailable {
		return
	}
	w.claimedByNext = true
	former := w.engine
	w.after(time.Duration(5+w.rnd.IntN(300))*time.Millisecond, func() {
		if former == w.engine {
			w.failOver()
		}
	})
}
