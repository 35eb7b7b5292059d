package engine

import (
	"fmt"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// TestHostsThatStayDown guards against crashes that never count because the hosts stay down for minutes.
// Each crash was only presumed, as no other incarnation had answered yet, so the task was started on one
// host after another: it was started three times more after three hosts had crashed under it, and 22 of
// 32 hosts were lost after three minutes with the job still running.
func TestHostsThatStayDown(t *testing.T) {
	for name, powerLoss := range map[string]bool{"their machines stay up": false, "with their machines": true} {
		t.Run(name, func(t *testing.T) {
			withBothIDs(t, func(t *testing.T, keepsID bool) {
				w := crashWorld(t, 5, 32)
				w.fleet.KeepID, w.fleet.PowerLossCrashes, w.fleet.RestartDelay = keepsID, powerLoss, 200*time.Second
				w.submit(crashingJob, catalog.Rules{}, step(1, 6, 10, 640))
				w.run(190 * time.Second)
				w.checkInvariants()
				t.Logf("%d hosts lost to it; reported as %s", w.fleet.Checker().HostsCrashedByTasks(), w.reported[crashingJob])
			})
		})
	}
}

// TestReturnAtSameAddressAfterFailover guards against a crash that the next holder can not confirm. A
// task crashed its hosts with their machines, which were back at their addresses after their entries had
// been removed. The holder had changed before that, and the next one read the crash from the store without
// the host's address, so it took no answer there as confirmation and started the task again and again.
func TestReturnAtSameAddressAfterFailover(t *testing.T) {
	for name, changes := range map[string]bool{"one holder": false, "holders change": true} {
		t.Run(name, func(t *testing.T) {
			w := crashWorld(t, 5, 32)
			w.fleet.PowerLossCrashes, w.fleet.RestartDelay = true, 9*time.Second
			if changes {
				w.onStart = func(StartOrder) { w.after(8*time.Second, w.failOver) }
			}
			w.submit(crashingJob, catalog.Rules{}, step(1, 6, 10, 640))
			w.run(150 * time.Second)
			w.checkInvariants()
			t.Logf("%d hosts lost to it; reported as %s", w.fleet.Checker().HostsCrashedByTasks(), w.reported[crashingJob])
		})
	}
}

// TestLateCrashesWhileHoldersChange guards against crashes of a task that excuse it. Three tasks crashed
// their hosts some seconds after their starts, while the holder changed every few seconds. Each holder
// passed on only the number of terminated hosts, not their names: those that a task itself had crashed
// then counted as hosts that crash by themselves. What a holder had been passed it also passed on as
// new.
func TestLateCrashesWhileHoldersChange(t *testing.T) {
	for _, every := range []time.Duration{5 * time.Second, 8 * time.Second} {
		for _, after := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("holders change every %v, hosts crash after %v", every, after), func(t *testing.T) {
				w := crashWorld(t, 1, 16)
				w.fleet.CrashAfter = func(spec.StepTask) time.Duration { return after }
				const jobs = 3
				for i := range jobs {
					w.after(time.Duration(i)*7*time.Second, func() {
						w.submit(fmt.Sprint(crashingJob, i), catalog.Rules{}, step(1, 6, 10, 2*after.Milliseconds()))
					})
				}
				for at := every; at < 80*time.Second; at += every {
					w.after(at, w.failOver)
				}
				w.run(160 * time.Second)
				w.checkInvariants()
				t.Logf("%d hosts lost to %d jobs", w.fleet.Checker().HostsCrashedByTasks(), jobs)
			})
		}
	}
}

// TestStaleEntryAtSameAddress guards against a stale entry that is taken for a later incarnation. A host
// crashed and restarted under another id at the same address, and its old entry stayed in the list for a
// while. The next run's connections broke, and its host was disconnected for a moment without ending. The
// list was read again meanwhile; the old entry had been dropped from the state and was taken for a later
// incarnation at the address.
func TestStaleEntryAtSameAddress(t *testing.T) {
	survives := func(w *world, h *hostsim.Host) {
		w.after(10*time.Millisecond, func() { w.breakAndDisconnect(h) })
		w.after(1500*time.Millisecond, func() { h.SetDisconnected(false) })
	}
	w := newInjectionWorld(t, 1, false, crashAfterAnswer, survives)
	w.fleet.RestartDelay = 200 * time.Millisecond
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.mustNotFail(t, 30*time.Second)
}

// TestCrashesStoredByPreviousVersion guards against stored crashes that lack newer fields and count as
// confirmed. An earlier version had stored two crashes under a task whose runs were over; it stored
// neither that nor whether a host might still be alive. The missing fields were read as proof, and one more crash
// failed the job.
func TestCrashesStoredByPreviousVersion(t *testing.T) {
	testCrashesStoredByPreviousVersion(t, crashAfterAnswer)
}

// TestCrashesStoredByPreviousVersionAndOneConfirmed is the same with a crash that is confirmed.
func TestCrashesStoredByPreviousVersionAndOneConfirmed(t *testing.T) {
	testCrashesStoredByPreviousVersion(t, crashRightAfterAnswer)
}

func testCrashesStoredByPreviousVersion(t *testing.T, crashes hostFault) {
	w := newInjectionWorld(t, 16, false, crashes)
	w.paused = true
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.storeCrashes(map[int]crashloop.History{0: {{Run: 1, Host: "h90", Chance: 1e-3}, {Run: 2, Host: "h91", Chance: 1e-3}}})
	w.paused = false
	w.failOver()
	w.mustNotFail(t, 40*time.Second)
}

// storeCrashes writes crashes under tasks of the job to the store.
func (w *world) storeCrashes(crashed map[int]crashloop.History) {
	p := record.Progress{Steps: []record.StepProgress{{Crashed: crashed}}}
	w.applyWrites([]platform.Write{putWrite(record.ProgressKey(0, "job"), p)})
}

// TestDoneWhileDecisionPending guards against a step that waits for ever. A previous holder had found
// that a task crashes its hosts, and the next one observed that the task was done before the decision was
// due. No decision falls on a task that is done, and the step kept the suspicion level of a crashing
// task: its other task, under which one host had crashed, was never started again.
func TestDoneWhileDecisionPending(t *testing.T) { testDoneWhileDecisionPending(t, false) }

// TestDoneWhileDecisionOnConfirmedCrashesPending guards against the same where a decision is pending:
// unconfirmed crashes, as above, schedule none.
func TestDoneWhileDecisionOnConfirmedCrashesPending(t *testing.T) {
	testDoneWhileDecisionPending(t, true)
}

func testDoneWhileDecisionPending(t *testing.T, confirmed bool) {
	w := newWorld(t, 21)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.Add(16, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	w.submit("job", catalog.Rules{}, step(2, 40, 60, 5000))
	w.run(4900 * time.Millisecond) // shortly before both tasks are done
	w.hostOf(1).Crash()
	crashing := crashloop.History{
		{Run: 90, Host: "h90", Chance: 1e-4, RunMillis: 10, JustStarted: true, Proven: confirmed},
		{Run: 91, Host: "h91", Chance: 1e-4, RunMillis: 10, JustStarted: true, Proven: confirmed},
	}
	w.storeCrashes(map[int]crashloop.History{0: crashing, 1: crashing[:1]})
	w.failOver()
	w.run(60 * time.Second)
	w.checkInvariants()
	if w.reported["job"] != record.StateCompleted {
		t.Errorf("the job is reported as %s, its step's suspicion level is %d: %s", w.reported["job"], w.engine.jobs["job"].groups[0].suspicion, w.describe("job"))
	}
}

// TestOwnConnectionsReset guards against crashes attributed when only the holder's own connections fail.
// All of them were reset while all hosts were up and reachable. A poll that breaks is repeated
// after a quarter of a second, and a host whose connections broke was presumed crashed after a tenth:
// crashes were attributed to all running tasks, stored, and retracted by the next view.
func TestOwnConnectionsReset(t *testing.T) {
	w := newWorld(t, 21)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.Add(16, "s", size(64, 128))
	w.failOver()
	for at := time.Duration(0); at < 6*time.Second; at += 20 * time.Millisecond {
		w.after(at, func() { w.submit(fmt.Sprint("short-", at), catalog.Rules{}, step(1, 6, 2, 1500)) })
	}
	w.run(4 * time.Second)
	w.deliver(w.engine, func() {
		for _, h := range w.engine.hostsByID {
			if h.pollInFlight {
				w.engine.Polled(PollOrder{To: h.info}, w.now(), host.View{}, host.ErrConnectionBroken, w.now())
			}
		}
	})
	w.run(2 * time.Second)
	held := 0
	for _, ev := range w.events {
		if ev.What == "crash held against task" {
			held++
		}
	}
	if held > 0 {
		t.Errorf("%d crashes are attributed to tasks, and no host has crashed", held)
	}
}

// TestLateAnswerFromPreviousAddress guards against an answer from an address that a host no longer has.
// The host had restarted under its id at another address, and its former address belonged to another
// host. That host refused a call sent before the restart, and the current incarnation was taken for
// ended: its runs were dropped, and started elsewhere while they ran on.
func TestLateAnswerFromPreviousAddress(t *testing.T) {
	w := newWorld(t, 21)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.KeepID, w.fleet.RestartDelay = true, 100*time.Millisecond
	w.fleet.Add(3, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	late, sent := PollOrder{To: w.host("h00").Info(), Probe: true}, w.now()
	w.host("h00").Restart()
	w.host("h00").SetAddr("elsewhere")
	w.run(500 * time.Millisecond)
	w.submit("job", catalog.Rules{}, step(2, 40, 60, 5000))
	w.run(500 * time.Millisecond)
	w.deliver(w.engine, func() { w.engine.Polled(late, sent, host.View{}, host.ErrOtherIncarnation, w.now()) })
	w.mustNotFail(t, 20*time.Second)
}

// TestBrokenConnectionsOfNextIncarnation is TestStaleEntryAtSameAddress in a cell in which two
// terminated hosts are improbable: the one host with free capacity crashes, and connections to its
// next incarnation break although that is still up. It guards against counting broken connections as its
// end.
func TestBrokenConnectionsOfNextIncarnation(t *testing.T) {
	survives := func(w *world, h *hostsim.Host) {
		w.after(20*time.Millisecond, func() { w.breakAndDisconnect(h) })
		w.after(1500*time.Millisecond, func() { h.SetDisconnected(false) })
	}
	w := newInjectionWorld(t, 16, false, crashRightAfterAnswer, survives)
	w.fleet.RestartDelay = 200 * time.Millisecond
	w.submit("beside", catalog.Rules{}, step(15, 60, 100, 600000))
	w.run(time.Second)
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.mustNotFail(t, 30*time.Second)
}
