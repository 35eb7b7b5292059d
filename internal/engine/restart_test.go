package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// These tests guard against two faults with hosts that restart under the same id.
//
// A host that had crashed restarted two seconds later under the same id, without memory: its clock and
// the numbers of its run ends started anew. The holder took it for the host that it knew. Run ends of
// the new incarnation had lower numbers than the last one processed, so they were skipped, and the next
// poll had the host delete them; the runs then were missing there and were started again though they
// were done.
//
// The end of the leases on an unresponsive host was computed from the last deadline sent and the last
// clock reading. With a deadline by the clock of an incarnation of minutes and a reading from one of
// seconds it lay minutes ahead: what had run on such a host, terminated for good, was not taken for lost. In
// one deployment gangs that had been accepted never ran, for 111 s, though most of the cell was free; of
// the 438 hosts recorded for its 350, 57 counted as not placeable.

// newRestartWorld has a few hosts that restart under the same ids, each of which has finished some work
// before.
func newRestartWorld(t testing.TB, seed uint64, hosts int) *world {
	w := newWorld(t, seed)
	w.followsHosts = true
	w.fleet.KeepID, w.fleet.RestartDelay = true, 500*time.Millisecond
	w.fleet.Add(hosts, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.submit("before", catalog.Rules{}, step(30*hosts, 6, 10, 300))
	w.run(8 * time.Second)
	return w
}

// TestNewIncarnationUnderSameID restarts hosts under their ids while short work continues: run ends in a
// new incarnation are processed, and nothing runs again after its end.
func TestNewIncarnationUnderSameID(t *testing.T) {
	for name, tc := range map[string]struct {
		restart func(h *hostsim.Host)
		faults  faults
		commit  time.Duration // duration of a commit to the store
	}{
		"connections are reset": {restart: (*hostsim.Host).Restart},
		"power is lost":         {restart: (*hostsim.Host).RestartAfterPowerLoss},
		"answers get lost":      {restart: (*hostsim.Host).Restart, faults: faults{lostRequest: 0.1, lostReply: 0.2}},
		"orders come late":      {restart: (*hostsim.Host).RestartAfterPowerLoss, faults: faults{delayedRequest: 0.2}},
		"polls come late":       {restart: (*hostsim.Host).RestartAfterPowerLoss, faults: faults{latePolls: 0.7}},
		"views come late":       {restart: (*hostsim.Host).RestartAfterPowerLoss, faults: faults{lateViews: 0.5}},
		"the store is slow":     {restart: (*hostsim.Host).RestartAfterPowerLoss, commit: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestartWorld(t, 3, 4)
			w.faults, w.commitTakes = tc.faults, tc.commit
			w.fleet.RestartDelay = 50 * time.Millisecond
			for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
				w.after(at, func() { w.submit(fmt.Sprint("short-", at), catalog.Rules{}, step(2, 6, 10, 300)) })
			}
			for i := range 16 {
				w.after(time.Duration(1000+600*i)*time.Millisecond, func() { tc.restart(w.host(host.ID(fmt.Sprintf("h%02d", i%4)))) })
			}
			w.run(14 * time.Second)
			w.faults = faults{}
			w.run(30 * time.Second)
			w.checkInvariants()
			is.New(t).Equal(w.unrelatedNotCompleted(), nil)
		})
	}
}

// TestNewIncarnationIsLost terminates for good hosts that have restarted under their ids: what was
// started in the new incarnation is started elsewhere when its lease is over.
func TestNewIncarnationIsLost(t *testing.T) {
	for name, s := range map[string]spec.Step{
		"tasks":   step(12, 6, 10, 4000),
		"a gang":  gangOf(6, 18, 10, 4000),
		"service": longRunningStep(6, 6, 10),
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestartWorld(t, 4, 6)
			for _, h := range w.fleet.Hosts() {
				h.Restart()
			}
			w.run(5 * time.Second)
			w.submit("job", catalog.Rules{}, s)
			w.run(time.Second)
			w.terminateHosts(2)
			w.run(30 * time.Second)
			w.checkInvariants()
			if s.LongRunning {
				is.New(t).Equal(w.running("job"), s.Count)
				return
			}
			is.New(t).Equal(w.reported["job"], record.StateCompleted)
		})
	}
}

// terminateHosts terminates n busy hosts for good, by turns disconnected and removed from the list, or just
// stopped.
func (w *world) terminateHosts(n int) {
	for _, h := range w.fleet.Hosts() {
		if n == 0 || len(h.Running()) == 0 {
			continue
		}
		if n--; n%2 == 0 {
			h.Crash()
			continue
		}
		h.SetDisconnected(true)
		w.after(4500*time.Millisecond, func() { h.SetListed(false) })
	}
}

// TestTasksThatCrashHostsThatKeepTheirIDs checks that a crash is recognized though the host answers
// under the same id, and is attributed to what the host ran.
func TestTasksThatCrashHostsThatKeepTheirIDs(t *testing.T) {
	for name, tc := range crashCases() {
		t.Run(name, func(t *testing.T) {
			tc.keepsID = true
			tc.execute(t)
		})
	}
}

// gangOf returns a gang step.
func gangOf(count int, cores, gib, ms int64) spec.Step {
	s := step(count, cores, gib, ms)
	s.Gang = true
	return s
}

// TestRandomRestarts restarts hosts under their ids at random times, some by power loss, some for good,
// while holders change, calls get lost or late, and acknowledgements are left out.
func TestRandomRestarts(t *testing.T) {
	const seeds = 12
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testRandomRestarts(t, seed) })
	}
}

func testRandomRestarts(t *testing.T, seed uint64) {
	restartAtRandomTimes(t, seed, []faults{{}, {lostRequest: 0.1, lostReply: 0.2}, {delayedRequest: 0.2}, {unidentifiedPolls: 0.5}, {latePolls: 0.5}, {lateViews: 0.5}}[seed%6])
}

func restartAtRandomTimes(t *testing.T, seed uint64, f faults) {
	w := newRestartWorld(t, seed, 8)
	w.fleet.RestartDelay = time.Duration(100+w.rnd.IntN(2500)) * time.Millisecond
	w.faults = f
	const busy = 20 * time.Second
	w.submitUnrelated(busy)
	w.after(time.Second, func() { w.submit("gang", catalog.Rules{Priority: 1}, gangOf(6, 18, 20, 4000)) })
	w.after(time.Second, func() { w.submit("service", catalog.Rules{}, longRunningStep(6, 3, 4)) })
	for at := time.Second; at < busy; at += time.Duration(50+w.rnd.IntN(1000)) * time.Millisecond {
		w.after(at, func() { w.restartAtRandom() })
	}
	w.run(busy)
	w.faults = faults{}
	w.run(60 * time.Second)
	w.checkInvariants()
	is := is.New(t)
	if w.reported["service"] != record.StateFailed {
		is.Equal(w.running("service"), 6)
	}
	delete(w.jobs, "service")
	for id := range w.jobs { // a job is failed only if the checker saw hosts crash under it
		is.True(w.reported[id].Final())
	}
}

// restartAtRandom restarts a host, or replaces the holder.
func (w *world) restartAtRandom() {
	h := w.fleet.Hosts()[w.rnd.IntN(len(w.fleet.Hosts()))]
	switch n := w.rnd.IntN(12); {
	case n == 0:
		w.failOver()
	case n < 6:
		h.Restart()
	default:
		h.RestartAfterPowerLoss()
	}
}

// TestOnHostsThatKeepTheirIDs repeats the tests of crashes, disconnections and failovers on hosts that
// restart under the same ids.
func TestOnHostsThatKeepTheirIDs(t *testing.T) {
	hostsKeepIDs = true
	defer func() { hostsKeepIDs = false }()
	for name, test := range map[string]func(*testing.T){
		"many crashing jobs":              TestManyTasksThatCrashTheirHosts,
		"crashing jobs beside other work": TestCrashingJobsBesideOtherWork,
		"hosts crash by themselves":       TestHostsThatCrashByThemselves,
		"hosts depart":                    TestDeparturesAreNotCrashes,
		"a failed job stays failed":       TestFailedJobStaysFailed,
		"a stable service is cleared":     TestStableServiceIsCleared,
	} {
		t.Run(name, test)
	}
}

// TestAnswerOfEndedIncarnationIsIgnored checks that a late answer of an ended incarnation changes
// nothing once the next incarnation has answered.
func TestAnswerOfEndedIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newRestartWorld(t, 5, 2)
	former, asked := w.engine.hosts["h00"], w.now()
	w.host("h00").Restart()
	w.run(2 * time.Second)
	w.submit("job", catalog.Rules{}, step(4, 6, 10, 4000))
	w.run(time.Second)
	present := w.engine.hosts["h00"]
	is.True(present != former)
	runs := len(present.runs)
	late := host.View{Incarnation: former.incarnation, Clock: former.estimateClock(w.now())}
	for _, sent := range []time.Time{asked, w.now()} {
		w.engine.Polled(PollOrder{To: present.info}, sent, late, nil, w.now())
		is.True(w.engine.hosts["h00"] == present)
		is.Equal(len(present.runs), runs)
	}
	w.run(10 * time.Second)
	w.checkInvariants()
	is.Equal(w.reported["job"], record.StateCompleted)
}
