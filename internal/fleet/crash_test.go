package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
	"pulleyquay/internal/worker/workersim"
)

// These tests guard against reporting runs as crashes that were lost in another way. Workers that
// were only disconnected until their leases had expired answer again in the same incarnation, and
// others leave as planned; reported as crashes, these losses would fail jobs whose tasks crashed no
// worker. A loss counts as a crash only if the worker has reported the run just before its next
// incarnation started. If more time lies between, the run may have ended before the restart without
// being reported.

// lossCase is a sequence of events in which a run is lost.
type lossCase struct {
	// beforeStart happens before the start is ordered, afterStart after it.
	beforeStart, afterStart func(b *testbed)
	// afterLoss happens after the run was reported as lost.
	afterLoss func(b *testbed)
	// want is the evidence reported with the loss, wantFinally the last one reported.
	want, wantFinally taskmsg.LossEvidence
}

func (b *testbed) worker0() *workersim.Worker { return b.sim.Worker("w0") }

func (b *testbed) setFaults(f workersim.Faults) { b.worker0().SetFaults(f) }

// waitForUpdates waits until updates and claims have been processed and leases have expired.
func waitForUpdates() { time.Sleep(3 * testLease) }

func (b *testbed) announceDeparture() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[0].Leaving = true
}

func (b *testbed) cancelDeparture() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[0].Leaving = false
}

func TestWhichLossesCountAsCrashes(t *testing.T) {
	unreachable := workersim.Faults{Unreachable: true}
	noFaults := workersim.Faults{}
	cases := map[string]lossCase{
		"worker restarted": {
			afterStart: func(b *testbed) { b.worker0().Restart() }, want: taskmsg.EvidenceCrash, wantFinally: taskmsg.EvidenceCrash,
		},
		"worker unresponsive": {
			afterStart: func(b *testbed) { b.setFaults(unreachable) },
			afterLoss:  func(b *testbed) { b.setFaults(noFaults) },
		},
		"worker unresponsive permanently": {afterStart: func(b *testbed) { b.setFaults(unreachable) }},
		"worker unresponsive, then restarted": {
			afterStart:  func(b *testbed) { b.setFaults(unreachable) },
			afterLoss:   func(b *testbed) { b.worker0().Restart(); b.setFaults(noFaults) },
			wantFinally: taskmsg.EvidencePresent,
		},
		"worker unresponsive, restarted long after": {
			afterStart: func(b *testbed) { b.setFaults(unreachable) },
			afterLoss:  func(b *testbed) { b.setFaults(noFaults); waitForUpdates(); b.worker0().Restart() },
		},
		"worker leaving": {
			afterStart: func(b *testbed) { b.announceDeparture(); time.Sleep(time.Second); b.setFaults(unreachable) },
			afterLoss:  func(b *testbed) { b.worker0().Restart(); b.cancelDeparture(); b.setFaults(noFaults) },
		},
		"worker leaving, restarted before its leases have expired": {
			afterStart: func(b *testbed) { b.announceDeparture(); time.Sleep(time.Second); b.worker0().Restart() },
		},
		"name moved to another machine": {
			afterStart: func(b *testbed) { b.setFaults(unreachable) },
			afterLoss: func(b *testbed) {
				b.sim.Add("w0-new", worker.Info{Name: "w0", Rack: "r0", Zone: "z0", Size: testSize})
				b.mu.Lock()
				defer b.mu.Unlock()
				b.hosts = []platform.Host{{Name: "w0", Role: platform.RoleWorker, Addr: "w0-new", Rack: "r0", Zone: "z0"}}
			},
		},
		"start delayed": {
			beforeStart: func(b *testbed) { b.setFaults(workersim.Faults{Delay: 10 * time.Second}) },
			afterStart: func(b *testbed) {
				time.Sleep(13 * time.Second) // by then the worker has refused the expired order
				b.worker0().Restart()
				b.setFaults(noFaults)
			},
		},
		"start delayed, carried out by another incarnation that becomes unresponsive": {
			beforeStart: func(b *testbed) { b.setFaults(workersim.Faults{Delay: 5 * time.Second, OmitIncarnation: true}) },
			afterStart: func(b *testbed) {
				b.worker0().Restart()
				b.setFaults(workersim.Faults{OmitIncarnation: true})
				time.Sleep(testLease / 2)
				b.is.Equal(b.running(), 1)
				b.setFaults(unreachable)
			},
		},
		"start delayed, refused by another incarnation": {
			beforeStart: func(b *testbed) { b.setFaults(workersim.Faults{Delay: 5 * time.Second}) },
			afterStart: func(b *testbed) {
				b.worker0().Restart()
				b.setFaults(noFaults)
				time.Sleep(testLease / 2)
				b.is.Equal(b.running(), 0)
			},
		},
		"connection broken during the start, worker restarted": {
			beforeStart: func(b *testbed) { b.setFaults(workersim.Faults{LoseAnswers: 1}) },
			afterStart:  func(b *testbed) { b.worker0().Restart() }, want: taskmsg.EvidenceCrash, wantFinally: taskmsg.EvidenceCrash,
		},
		"connection broken during the start, no recent reply": {
			beforeStart: func(b *testbed) { time.Sleep(4 * time.Second); b.setFaults(workersim.Faults{LoseAnswers: 1}) },
			afterStart:  func(b *testbed) { b.worker0().Restart() },
		},
		"connection broken during the start, worker unresponsive": {
			beforeStart: func(b *testbed) { b.setFaults(workersim.Faults{LoseAnswers: 1}) },
			afterStart:  func(b *testbed) { b.setFaults(unreachable) },
			afterLoss:   func(b *testbed) { b.setFaults(noFaults) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) { b.runLossCase(c) })
		})
	}
}

// runLossCase runs one case and checks the reported evidence.
func (b *testbed) runLossCase(c lossCase) {
	m := b.member("a")
	defer m.stop()
	m.accept(1, nil)
	time.Sleep(testLease)
	m.placeTasks(shapeOf("earlier", 1000, 0), 1) // so that the worker has replied recently
	if c.beforeStart != nil {
		c.beforeStart(b)
	}
	m.placeTasks(shapeOf("job", 1000, 0), 1)
	c.afterStart(b)
	id := attempt("job", 0)
	for range 1000 {
		if b.home.state(id) == taskmsg.RunLost {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.is.Equal(b.home.state(id), taskmsg.RunLost)
	b.is.Equal(b.home.lossEvidence(id), c.want)
	if c.afterLoss != nil {
		c.afterLoss(b)
	}
	waitForUpdates()
	b.is.Equal(b.home.state(id), taskmsg.RunLost)
	b.is.Equal(b.home.lossEvidence(id), c.wantFinally)
}

// TestLaterEvidenceIsReportedToHome checks that evidence found before the job owner has
// acknowledged a loss is reported to it as well.
func TestLaterEvidenceIsReportedToHome(t *testing.T) {
	noFaults, unreachable := workersim.Faults{}, workersim.Faults{Unreachable: true}
	cases := map[string]struct {
		reconnect func(b *testbed, m *member) // the worker answers again
		want      taskmsg.LossEvidence
	}{
		"in another incarnation, home unavailable": {func(b *testbed, _ *member) {
			b.home.setUnavailable(true)
			time.Sleep(2 * testLease)
			b.worker0().Restart()
			b.setFaults(noFaults)
			time.Sleep(testLease)
		}, taskmsg.EvidencePresent},
		"soon in another incarnation, home unavailable": {func(b *testbed, m *member) {
			b.home.setUnavailable(true)
			b.setFaults(noFaults)
			time.Sleep(testLease / 2)
			m.placeTasks(shapeOf("beside", 1000, 0), 1) // so that it has replied recently
			b.worker0().Restart()
			time.Sleep(testLease)
		}, taskmsg.EvidenceCrash},
		"in the same incarnation, then in another, home unavailable": {func(b *testbed, _ *member) {
			b.home.setUnavailable(true)
			time.Sleep(2 * testLease)
			b.setFaults(noFaults)
			time.Sleep(testLease)
			b.worker0().Restart()
			time.Sleep(testLease)
		}, taskmsg.EvidenceNone},
		"in another incarnation, home slow to reply": {func(b *testbed, m *member) {
			b.home.setDelay(updateTimeout - time.Millisecond)
			for b.home.state(attempt("job", 0)) != taskmsg.RunLost {
				time.Sleep(10 * time.Millisecond)
			}
			b.worker0().Restart()
			b.setFaults(noFaults)
			m.mu.Lock()
			m.workers["w0"].retryAt = time.Now()
			m.mu.Unlock()
			time.Sleep(testLease)
			b.home.setDelay(0)
		}, taskmsg.EvidencePresent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runTestbed(t, 1, func(b *testbed) {
				m := b.member("a")
				defer m.stop()
				m.accept(1, nil)
				synctest.Wait()
				m.placeTasks(shapeOf("job", 1000, 0), 1)
				time.Sleep(time.Second)
				b.setFaults(unreachable)
				c.reconnect(b, m)
				b.home.setUnavailable(false)
				waitForUpdates()
				b.is.Equal(b.home.state(attempt("job", 0)), taskmsg.RunLost)
				b.is.Equal(b.home.lossEvidence(attempt("job", 0)), c.want)
			})
		})
	}
}
