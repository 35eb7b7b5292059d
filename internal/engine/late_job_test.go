package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
)

// TestLateJobOfFormerVersionIsStored guards against a long-running task that runs twice after two failovers.
// A holder of a version that stores no placements started it after the next holder had claimed the
// partition, and that holder learned of the job when its reconciliation was over. It took the run on
// without storing its placement, and stated that all placements were stored.
func TestLateJobOfFormerVersionIsStored(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 6)
	w.followsHosts = true
	w.repliesCut = map[host.ID]bool{}
	w.run(time.Second)
	w.claimedByNext = true
	w.submit("late", catalog.Rules{}, longRunningStep(2, 4, 4))
	for range 50 {
		for i := range w.engine.pendingStarts {
			w.engine.pendingStarts[i].batch = w.engine.durable // as a former version does
		}
		w.run(2 * time.Millisecond)
	}
	var busy []host.ID
	for _, h := range w.fleet.Hosts() {
		if len(h.Running()) > 0 {
			busy = append(busy, h.Info().ID)
		}
	}
	is.True(len(busy) > 0) // the former version has started it
	_, _, roster := w.stored()
	roster.PlacementsStored = false
	w.applyWrites([]platform.Write{putWrite(record.RosterKey(0), roster), {Key: record.JobKey(0, "late"), Delete: true}})
	w.failOver()
	w.run(100 * time.Millisecond)
	is.True(!w.engine.reconciling)
	rec := w.jobs["late"]
	w.applyWrites([]platform.Write{putWrite(record.JobKey(0, "late"), rec)})
	w.deliver(w.engine, func() { w.engine.Accept(rec, false, w.now(), w.now()) })
	w.run(formerVersionGrace + 10*time.Second)
	_, _, roster = w.stored()
	is.True(roster.PlacementsStored)
	for _, id := range busy {
		w.repliesCut[id] = true // the next holder gets no report for a moment
	}
	w.failOver()
	w.run(2 * time.Second)
	w.checkInvariants()
}
