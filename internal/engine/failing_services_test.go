package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
)

// TestFailingServicesExcludeAllHosts guards against a cell in which nothing starts because of a few tasks
// that always fail. Tasks of two services failed on one host after the other. Each failure counted against
// its host as well, so that every host of the cell was excluded at the same time, for up to half a minute.
func TestFailingServicesExcludeAllHosts(t *testing.T) {
	w := idleWorld(t, 24)
	for i := range 2 {
		s := longRunningStep(2, 4, 4)
		s.EstimateMillis = 200
		w.submit(fmt.Sprint(hostsim.AlwaysFailsPrefix, i), catalog.Rules{}, s)
	}
	longest, since := time.Duration(0), w.now()
	for end := w.now().Add(time.Minute); w.now().Before(end); w.run(lastingSampleInterval) {
		for _, h := range w.engine.hostsByID {
			if w.engine.placeable(h, w.now()) {
				since = w.now()
				break
			}
		}
		longest = max(longest, w.now().Sub(since))
	}
	t.Logf("no host took work for %v at a time", longest)
	is.New(t).True(longest < time.Second)
	w.checkInvariants()
}

// TestHostThatFailsServicesIsExcluded guards against a host that fails every long-running task and takes
// more of them all the same.
func TestHostThatFailsServicesIsExcluded(t *testing.T) {
	w := idleWorld(t, 4)
	w.host("h00").SetFailTasks(true)
	for i := range 4 {
		s := longRunningStep(4, 4, 4)
		s.EstimateMillis, s.MaxPerHost = 200, 1
		w.submit(fmt.Sprint("web-", i), catalog.Rules{}, s)
	}
	w.run(2 * time.Second)
	is := is.New(t)
	is.True(w.now().Before(w.engine.hosts["h00"].excludedUntil))
	for _, id := range []host.ID{"h01", "h02", "h03"} {
		is.True(w.engine.placeable(w.engine.hosts[id], w.now()))
	}
	w.checkInvariants()
}
