package engine

import (
	"testing"
	"time"

	"pulleyquay/internal/catalog"
)

// TestHeldStartExceedsShrunkCapacity guards against a start of a long-running task that is ordered on a host
// whose entry has shown for seconds that it lacks the capacity: the start had been planned before, and
// waited for the store, which is slow.
func TestHeldStartExceedsShrunkCapacity(t *testing.T) {
	w := capacityWorld(t, 1)
	w.commitTakes = 1800 * time.Millisecond
	h := w.host("h00")
	h.Resize(size(16, 32), heartbeat)
	w.run(time.Second)
	w.submit("first", catalog.Rules{}, longRunningStep(1, 4, 4)) // its batch is being written when the second is planned
	w.run(200 * time.Millisecond)
	w.submit("second", catalog.Rules{}, longRunningStep(1, 50, 50))
	w.run(3 * time.Second)
	if got := w.engine.hosts["h00"].capacity; got != size(16, 32) {
		t.Fatalf("the engine knows the capacity as %v", got)
	}
	w.run(3 * time.Second)
	w.checkInvariants()
}
