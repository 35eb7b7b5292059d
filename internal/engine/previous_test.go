package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
)

// testLeaseEnd is the time from the end of a holder to the end of its last lease: that of the holder
// package for testBounds and DefaultTuning. slowestClock is the rate of the slowest clock of a host.
const (
	testLeaseEnd = 6530 * time.Millisecond
	slowestClock = 0.98
)

// eventTime returns when an event was first logged, and fails the test if it was not.
func (w *world) eventTime(what string) time.Duration {
	w.t.Helper()
	for _, ev := range w.events {
		if ev.What == what {
			return ev.at
		}
	}
	w.t.Fatalf("not logged: %s", what)
	return 0
}

// TestLostWorkWaitsForPreviousHoldersAuthority guards against work of vanished hosts that waits for the
// authority of a previous holder whose end is known: its hosts vanished in the second in which the
// holder was killed, and the work started only 13 s later although there was capacity.
func TestLostWorkWaitsForPreviousHoldersAuthority(t *testing.T) {
	const restartTime = time.Second // from the end of the reconciliation until the tasks run again
	vanishings := map[string]struct {
		clockRate float64
		vanish    func(h *hostsim.Host)
	}{
		"crashed":                         {1, func(h *hostsim.Host) { h.Crash() }},
		"cut off, runs on":                {1, func(h *hostsim.Host) { h.SetDisconnected(true) }},
		"cut off, runs on, slowest clock": {slowestClock, func(h *hostsim.Host) { h.SetDisconnected(true) }},
	}
	for name, tc := range vanishings {
		for _, known := range []time.Duration{0, 2 * time.Second, testLeaseEnd + 500*time.Millisecond} {
			t.Run(fmt.Sprintf("%s, end known after %v", name, known), func(t *testing.T) {
				is := is.New(t)
				w := idleWorld(t, 4)
				w.keepEvents = true
				lost := w.host("h02")
				lost.SetRate(tc.clockRate)
				w.submit("wide", catalog.Rules{}, step(12, 14, 8, 60000))
				service := step(2, 2, 2, 0)
				service.LongRunning = true
				w.submit("service", catalog.Rules{}, service)
				w.run(2 * time.Second)
				is.True(len(lost.Running()) > 0)
				w.after(20*time.Millisecond, func() { tc.vanish(lost) })
				w.run(25 * time.Millisecond)
				w.events = nil
				ended := w.now()
				w.failOver()
				w.after(known, func() {
					e := w.engine
					w.deliver(e, func() { e.PreviousHolderEnded(ended.Add(testLeaseEnd), w.now()) })
				})
				w.run(max(known, testLeaseEnd) + restartTime)
				w.checkInvariants()
				w.eventTime("previous holder has ended")
				settled := w.eventTime("takeover settled") - ended.Sub(simulationStart)
				is.True(settled >= testLeaseEnd && settled < max(known, testLeaseEnd)+200*time.Millisecond)
				running := 0
				for _, h := range w.fleet.Hosts() {
					if h != lost {
						running += len(h.Running())
					}
				}
				is.Equal(running, 14)
				w.run(90 * time.Second)
				w.checkInvariants()
				is.Equal(w.reported["wide"], record.StateCompleted)
			})
		}
	}
}

// TestReconciliationIsNeverExtended guards against a late bound that replaces an earlier one, and
// against one at a holder that has no predecessor.
func TestReconciliationIsNeverExtended(t *testing.T) {
	is := is.New(t)
	w := idleWorld(t, 1)
	w.engine.PreviousHolderEnded(w.now().Add(time.Hour), w.now())
	is.True(w.engine.reconcileDeadline.IsZero())
	w.failOver()
	former := w.engine.reconcileDeadline
	w.engine.PreviousHolderEnded(former.Add(time.Millisecond), w.now())
	is.Equal(w.engine.reconcileDeadline, former)
	w.engine.PreviousHolderEnded(former.Add(-time.Second), w.now())
	w.engine.PreviousHolderEnded(former, w.now())
	is.Equal(w.engine.reconcileDeadline, former.Add(-time.Second))
}

// TestKnownEndsCauseNoDoubleRuns searches for tasks that run in two places because the end of the
// previous holder was known: hosts are cut off right before each failover and keep running, their
// clocks differ by as much as they may, and orders of the ended holder arrive seconds after its end.
func TestKnownEndsCauseNoDoubleRuns(t *testing.T) {
	const (
		seeds       = 6 // for each kind of fault
		failovers   = 4
		minCut      = 4 * time.Second
		maxCut      = 12 * time.Second
		maxBefore   = 200 * time.Millisecond // from a cut to the failover
		maxKnown    = 5 * time.Second
		settleTime  = 40 * time.Second
		betweenMean = 8 * time.Second
	)
	for name, kind := range callFaults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := newWorld(t, seed+100)
				random := func(limit time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(limit))) }
				w.followsHosts = true
				w.fleet.KeepID = seed%2 == 0
				w.fleet.Add(12, "s", size(64, 128))
				for i, h := range w.fleet.Hosts() {
					h.SetRate([]float64{slowestClock, 1, 2 - slowestClock}[i%3])
				}
				w.failOver()
				w.run(time.Second)
				w.faults = kind
				for n := range failovers {
					w.submit(fmt.Sprint("long-", n), catalog.Rules{MaxAttempts: 20}, step(30, 8, 8, 9000))
					w.run(betweenMean/2 + random(betweenMean))
					w.submit(fmt.Sprint("short-", n), catalog.Rules{MaxAttempts: 20}, step(60, 2, 2, 400)) // their ends let polls return
					w.run(time.Second / 2)
					for _, h := range w.fleet.Hosts()[:1+w.rnd.IntN(4)] {
						w.after(random(maxBefore), func() { w.disconnect(h, minCut+random(maxCut)) })
					}
					w.run(maxBefore)
					w.failOver()
					e, leaseEnd := w.engine, w.now().Add(testLeaseEnd)
					w.after(random(maxKnown), func() {
						w.deliver(e, func() { e.PreviousHolderEnded(leaseEnd, w.now()) })
					})
				}
				w.faults = faults{}
				w.run(settleTime)
				for _, violation := range w.fleet.Checker().Violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: not final: %s", seed, left)
				}
			}
		})
	}
}
