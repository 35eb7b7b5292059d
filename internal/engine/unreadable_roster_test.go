package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
)

// TestUnreadableRosterHoldsTasksBack guards against runs in two places: a holder that cannot read its predecessor's
// roster does not know on which hosts tasks may run. It took the roster for an empty one and started all tasks that
// no host had reported yet.
func TestUnreadableRosterHoldsTasksBack(t *testing.T) {
	tests := map[string]struct {
		unlisted  bool          // the host has no entry any more
		failovers int           // in succession, from the first unreadable roster on
		between   time.Duration // two of them
	}{
		"a silent host":                            {failovers: 1},
		"a host that is not listed":                {unlisted: true, failovers: 1},
		"a host that is not listed, two failovers": {unlisted: true, failovers: 2, between: 2 * time.Second},
		"a silent host, three failovers":           {failovers: 3, between: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := idleWorld(t, 8)
			w.submit("wide", catalog.Rules{}, step(16, 14, 8, 60000))
			w.submit("web", catalog.Rules{}, longRunningStep(4, 2, 2))
			w.run(time.Second)
			w.host("h02").SetDisconnected(true)
			if tc.unlisted {
				w.host("h02").SetListed(false)
				w.engine.DropHost("h02", w.now())
			}
			w.run(100 * time.Millisecond)
			w.store[record.RosterKey(0)] = []byte("garbage")
			for range tc.failovers {
				w.failOver()
				w.run(tc.between)
				w.checkInvariants()
			}
			w.submit("new", catalog.Rules{}, step(2, 4, 4, 300))
			w.run(testReconcile + 3*time.Second)
			w.checkInvariants()
			is.Equal(w.reported["new"], record.StateCompleted)
			w.run(150 * time.Second)
			w.checkInvariants()
			is.Equal(w.reported["wide"], record.StateCompleted)
		})
	}
}
