package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/spec"
)

// parksEarly makes the engines of new simulations park nearly all hosts as soon as they have no work.
var parksEarly bool

// earlyParking are the settings with which parksEarly parks hosts.
var earlyParking = WorkingSetTuning{MinHosts: 2, ParkAfter: 300 * time.Millisecond, ParkInterval: 100 * time.Millisecond}

// TestParkedHostsKeepTheRules repeats tests of failovers, disconnections, lost calls and capacity that shrinks while
// hosts are parked and unparked all the time: no task is lost, runs twice or starts on a host that the stored roster
// lacks.
func TestParkedHostsKeepTheRules(t *testing.T) {
	parksEarly = true
	defer func() { parksEarly = false }()
	for name, test := range map[string]func(*testing.T){
		"random faults":                TestNoJobFailedWithoutCause,
		"failovers in succession":      TestFailoversInSuccessionCauseNoDoubleRuns,
		"faults of long-running tasks": TestLongRunningTaskRunsAgainAfterFaults,
		"silent hosts":                 TestSilentHostsDoNotHoldATakeoverUp,
		"drained hosts":                TestDrainedHostHoldsATakeoverUp,
		"replaced hosts":               TestTasksOfAReplacedHostStartAgain,
		"job found after its runs":     TestJobFoundAfterItsRuns,
		"all power is lost":            TestAllPowerIsLost,
		"long-running tasks restarted": TestLongRunningTasksAreRestarted,
	} {
		t.Run(name, test)
	}
}

// claimsOfAFailover returns how many hosts a next holder has claimed when it knows all runs of the one before, and the
// longest time from the acceptance of an urgent job, of those that come in the next second, to its first start.
func claimsOfAFailover(t *testing.T, hosts int) (claims int, slowest time.Duration) {
	is := is.New(t)
	w := newWorld(t, 11)
	w.fleet.Add(hosts, "s", size(64, 256))
	w.failOver()
	w.run(6 * time.Second)
	load := wholeFleet
	load.reviews, load.surveys, load.tickets = 1, 2, 40
	load.arrive(w, 3*time.Second)
	w.run(3 * time.Second)
	w.keepEvents = true
	counting := true
	w.onPoll = func(o PollOrder) {
		if counting && !o.Probe && o.Poll.Lease == 0 {
			claims++
		}
	}
	w.failOver()
	from := w.now()
	first := map[string]time.Duration{}
	w.onStart = func(s StartOrder) {
		if _, known := first[s.Start.Task.Job]; !known {
			first[s.Start.Task.Job] = w.now().Sub(from)
		}
	}
	for range 100 {
		w.run(5 * time.Millisecond)
		if !w.engine.reconciling {
			break
		}
	}
	counting = false
	is.True(!w.engine.reconciling)
	rules := catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 250, PolicyQuery: &catalog.PolicyQuery{DecideMillis: 6.5, PerHostMillis: 0.093, ValidMillis: 1500}}
	for i := range 40 {
		id, accepted := fmt.Sprint("ticket-next", i), time.Duration(i)*25*time.Millisecond
		w.after(accepted, func() { w.submit(id, rules, spec.Step{Count: 4, Size: size(14, 10), EstimateMillis: 640}) })
	}
	begun := w.now().Sub(from)
	w.run(7 * time.Second)
	w.checkInvariants()
	for i := range 40 {
		at, started := first[fmt.Sprint("ticket-next", i)]
		is.True(started)
		slowest = max(slowest, at-begun-time.Duration(i)*25*time.Millisecond)
	}
	return claims, slowest
}

// TestFailoverFollowsTheWork guards against a failover that waits for all hosts that exist: the next holder of 6,000
// hosts claimed all of them, eight seconds long, before the tasks of the one before could start, though 5,500 ran
// nothing.
func TestFailoverFollowsTheWork(t *testing.T) {
	const urgentStart = time.Second // 95 of 100 urgent starts after a failover are to be as soon as this
	is := is.New(t)
	small, slowest := claimsOfAFailover(t, 1500)
	is.True(slowest <= urgentStart)
	large, slowestOfLarge := claimsOfAFailover(t, 3000)
	is.True(slowestOfLarge <= urgentStart)
	t.Logf("claims until the runs are known: %d of 1,500 hosts, %d of 3,000; slowest urgent start %v, %v", small, large, slowest, slowestOfLarge)
	is.True(float64(large) < 1.1*float64(small))
}

// TestWorkingSetFollowsTheWork checks that a burst unparks hosts, that they are parked again after it, and that work
// for hosts which are parked, by size or by the rack of its data, finds them.
func TestWorkingSetFollowsTheWork(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.workingSet = WorkingSetTuning{MinHosts: 10, ParkAfter: time.Second, ParkInterval: 500 * time.Millisecond}
	w.fleet.Add(200, "s", size(64, 128))
	w.failOver()
	w.run(3 * time.Second)
	is.Equal(w.engine.unparkedHosts(), 10)
	w.submit("burst", catalog.Rules{}, step(400, 30, 8, 2000)) // needs 200 hosts
	w.run(time.Second)
	is.Equal(w.running("burst"), 400)
	w.run(20 * time.Second)
	is.Equal(w.completed(), 1)
	is.True(w.engine.unparkedHosts() <= 2*10)

	var rack string
	for _, h := range w.engine.index.parked.All() {
		rack = h.info.Rack
	}
	s := step(1, 4, 4, 300)
	s.DataRack = rack
	started := ""
	w.onStart = func(o StartOrder) { started = o.To.Rack }
	w.submit("near its data", catalog.Rules{}, s)
	w.run(time.Second)
	is.Equal(started, rack)
	w.checkInvariants()
}
