package engine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/denseset"
	"pulleyquay/internal/prioqueue"
	"pulleyquay/internal/spec"
)

// checkIndex fails the test if the index of hosts differs from what a scan of all hosts finds. All simulations call
// it after decisions, so that the index is compared in every state that they reach.
func (w *world) checkIndex() {
	w.t.Helper()
	e, now := w.engine, w.now()
	e.refreshHosts(now)
	var placeable []*hostState
	totals, largest := map[*servicePool]spec.Resources{}, map[*servicePool]spec.Resources{}
	for _, h := range e.hostsByID {
		if e.placeable(h, now) {
			placeable = append(placeable, h)
			totals[h.servicePool] = totals[h.servicePool].Add(h.info.Size)
			largest[h.servicePool] = largest[h.servicePool].Max(h.free())
		}
	}
	if !slices.Equal(placeable, e.index.placeable) {
		w.t.Fatalf("%d hosts are placeable, the index has %d", len(placeable), len(e.index.placeable))
	}
	for service, p := range e.pools {
		if p.total != totals[p] || p.largestFree() != largest[p] {
			w.t.Fatalf("service %q has %v, at most %v free on a host; the index has %v and %v", service, totals[p], largest[p], p.total, p.largestFree())
		}
	}
	for _, h := range e.hostsByID {
		w.checkEntry(h)
	}
	w.checkWorkingSets()
}

// checkWorkingSets compares the sums of the working sets with those of a scan of all hosts.
func (w *world) checkWorkingSets() {
	w.t.Helper()
	type sums struct {
		open, parked    int
		openSize, inUse spec.Resources
	}
	want := map[*servicePool]sums{}
	for _, h := range w.engine.hostsByID {
		s := want[h.servicePool]
		s.inUse = s.inUse.Add(h.used)
		if h.isOpen() {
			s.open++
			s.openSize = s.openSize.Add(h.info.Size)
		}
		if h.mayUnpark() {
			s.parked++
		}
		want[h.servicePool] = s
	}
	for service, p := range w.engine.pools {
		if got := (sums{p.open, p.parked.Len(), p.openSize, p.inUse}); got != want[p] {
			w.t.Fatalf("service %q: the working set is %v, the index has %v", service, want[p], got)
		}
	}
}

// indexCheckHosts is the number of hosts for each of which the index is checked less often: a check visits all hosts.
const indexCheckHosts = 64

func (w *world) checkIndexSometimes() {
	w.decisions++
	if every := 4 + len(w.engine.hostsByID)/indexCheckHosts; w.benchmark || w.decisions%(every*every) != 0 {
		return
	}
	w.checkIndex()
}

// checkEntry compares the entry of one host with the host's state.
func (w *world) checkEntry(h *hostState) {
	w.t.Helper()
	x, id := w.engine.index, h.info.ID
	due := func(name string, i *prioqueue.Item[*hostState, time.Time], want time.Time) {
		if i.Queued() == want.IsZero() || i.Queued() && !i.Priority().Equal(want) {
			w.t.Fatalf("%s: %s is due at %v, the index has %t, %v", id, name, want, i.Queued(), i.Priority())
		}
	}
	due("a poll", h.entry.poll, h.nextPollCheck())
	due("a check for late ends", h.entry.lateEnd, h.nextLateEndCheck())
	member := func(name string, set *denseset.Set[*hostState], want bool) {
		if set.Has(h) != want {
			w.t.Fatalf("%s is among the %s hosts: %t, in the index: %t", id, name, want, set.Has(h))
		}
	}
	unreported := h.inherited && !h.reported && !h.terminated
	member("unreported", &x.unreported, unreported)
	member("troubled", &x.troubled, unreported || !h.unresponsiveSince.IsZero() || h.processEnded)
	member("busy", &x.busy, len(h.runs) > 0 || !h.overCapacitySince.IsZero() || h.speed.Known())
	member("quarantined", &x.quarantined, h.quarantinedJob != nil)
	member("unacknowledged", &x.unacked, h.endsProcessed > h.endsAcked)
}

// visitsPerStart returns how many hosts decisions examine for each start, with the same load in a cell of n hosts.
func visitsPerStart(t *testing.T, n int) float64 {
	w := newWorld(t, 5)
	w.fleet.Add(n, "s", size(64, 256))
	w.failOver()
	w.run(5 * time.Second)
	wholeFleet.arrive(w, 2*time.Second)
	starts := 0
	w.onStart = func(StartOrder) { starts++ }
	before := w.engine.index.visits
	w.run(2 * time.Second)
	w.checkInvariants()
	return float64(w.engine.index.visits-before) / float64(starts)
}

// TestDecisionsVisitOnlyHostsWithWork guards against decisions whose cost grows with the number of hosts: each visited
// every host, so that a start took five times as long in a cell of 6,000 hosts as in one of 1,100.
func TestDecisionsVisitOnlyHostsWithWork(t *testing.T) {
	is := is.New(t)
	small, large := visitsPerStart(t, 300), visitsPerStart(t, 1200)
	t.Logf("hosts examined for each start: %.1f with 300 hosts, %.1f with 1,200", small, large)
	is.True(large < 1.3*small)
}
