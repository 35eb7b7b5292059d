package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// The tests below guard against crashes that count as confirmed though the run was over before its host
// terminated. Its presence at the end of the host was derived from the task's estimate with a margin of
// a factor of two. But estimates are rough, a task that resumes from a checkpoint has less left to do,
// and a run also ends by its own failure, by an order to stop, with its lease, or with another member of
// its gang. Each row has one such end while the host is disconnected, with the host restarted before it
// is reachable again.

// injectAtStepStarts is injectAtStarts for a step of any kind.
func injectAtStepStarts(t *testing.T, keepsID bool, s spec.Step, hostFaults ...hostFault) *world {
	w := newInjectionWorld(t, 16, keepsID, hostFaults...)
	w.submit("job", catalog.Rules{MaxAttempts: 5}, s)
	return w
}

// newInjectionWorld has the starts of one job meet one fault after the other, each run once.
func newInjectionWorld(t *testing.T, hosts int, keepsID bool, hostFaults ...hostFault) *world {
	return newSeededInjectionWorld(t, 21, hosts, keepsID, hostFaults...)
}

func newSeededInjectionWorld(t *testing.T, seed uint64, hosts int, keepsID bool, hostFaults ...hostFault) *world {
	w := newWorld(t, seed)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.KeepID = keepsID
	w.fleet.Add(hosts, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	injected := map[int]bool{}
	w.onStart = func(s StartOrder) {
		if s.Start.Task.Job != "job" || len(hostFaults) == 0 || injected[s.Start.No] {
			return
		}
		injected[s.Start.No] = true
		next := hostFaults[0]
		hostFaults = hostFaults[1:]
		next(w, w.host(s.To.ID))
	}
	return w
}

// mustNotFail fails the test if the job is reported as failed, or an invariant is violated.
func (w *world) mustNotFail(t *testing.T, within time.Duration) {
	t.Helper()
	w.run(within)
	w.checkInvariants()
	if w.reported["job"] == record.StateFailed {
		t.Errorf("the job is reported as failed: %s", w.endReason("job"))
	}
	if t.Failed() && *searchLog {
		t.Log("\n" + w.logOf("job"))
	}
}

// restartDisconnected disconnects a host after its answer, restarts it while disconnected, and
// reconnects it.
func restartDisconnected(disconnect, restart, reconnect time.Duration) hostFault {
	return func(w *world, h *hostsim.Host) {
		w.after(disconnect, func() { h.SetDisconnected(true) })
		w.after(restart, h.RestartAfterPowerLoss)
		w.after(reconnect, func() { h.SetDisconnected(false) })
	}
}

// restartSoon restarts a host half a second after it was disconnected.
var restartSoon = restartDisconnected(30*time.Millisecond, 500*time.Millisecond, time.Second)

// preemptLater has the run on a host stopped after a while.
func (w *world) preemptLater(h *hostsim.Host, after time.Duration) {
	id := h.Info().ID
	w.after(after, func() {
		w.deliver(w.engine, func() { w.engine.requestStop(w.runOn(id), "to make room") })
	})
}

// runOn returns a run recorded on a host.
func (w *world) runOn(id host.ID) *run {
	for _, r := range w.engine.hosts[id].runs {
		return r
	}
	w.t.Fatalf("no run is recorded on %s", id)
	return nil
}

// workNext sets how long the starts that arrive within the next 20 ms run.
func (w *world) workNext(d time.Duration) {
	w.fleet.RunTime = func(spec.StepTask) time.Duration { return d }
	w.after(20*time.Millisecond, func() { w.fleet.RunTime = nil })
}

// TestRunsEndedWhileDisconnected runs the rows described above. In the first row the hosts listed each
// of three runs as lapsed two seconds before they terminated, and the job was failed for three confirmed
// crashes.
func TestRunsEndedWhileDisconnected(t *testing.T) {
	long, lasting, saving := step(1, 6, 10, 60000), step(1, 6, 10, 0), step(1, 6, 10, 20000)
	lasting.LongRunning, saving.Checkpointing = true, true
	lapse := restartDisconnected(time.Second, 8*time.Second, 12*time.Second)
	doneEarly := func(w *world, h *hostsim.Host) {
		w.workNext(100 * time.Millisecond)
		restartSoon(w, h)
	}
	fails := func(w *world, h *hostsim.Host) {
		w.fleet.FailNext(1)
		w.workNext(200 * time.Millisecond)
		restartSoon(w, h)
	}
	stopped := func(w *world, h *hostsim.Host) {
		w.preemptLater(h, 20*time.Millisecond)
		restartSoon(w, h)
	}
	saves := func(w *world, h *hostsim.Host) { w.preemptLater(h, 19500*time.Millisecond) }
	resumed := restartDisconnected(30*time.Millisecond, 1200*time.Millisecond, 1500*time.Millisecond)
	for name, tc := range map[string]struct {
		step       spec.Step
		hostFaults []hostFault
	}{
		"lease expired":                        {long, []hostFault{lapse, lapse, lapse}},
		"lease expired, a service":             {lasting, []hostFault{lapse, lapse, lapse}},
		"done sooner than estimated":           {long, []hostFault{doneEarly, doneEarly}},
		"failed by its own fault":              {long, []hostFault{fails, fails}},
		"stopped for preemption":               {long, []hostFault{stopped, stopped}},
		"done from a checkpoint, one crash":    {saving, []hostFault{crashAfterAnswer, saves, resumed}},
		"the same, and the crash is confirmed": {saving, []hostFault{crashRightAfterAnswer, saves, resumed}},
	} {
		t.Run(name, func(t *testing.T) {
			withBothIDs(t, func(t *testing.T, keepsID bool) {
				injectAtStepStarts(t, keepsID, tc.step, tc.hostFaults...).mustNotFail(t, 80*time.Second)
			})
		})
	}
}

// TestGangMemberEndedWhileDisconnected guards against a crash counting under a gang member that had
// ended before. The member ended on a disconnected host, because the host of another member crashed, and
// its own host restarted a moment later. One host had really crashed under each of the two
// members, and with the other crash the job was failed for two.
func TestGangMemberEndedWhileDisconnected(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		gang := step(2, 40, 60, 60000)
		gang.Gang = true
		breaks := func(disconnect, crashed int) hostFault {
			return func(w *world, _ *hostsim.Host) {
				w.after(100*time.Millisecond, func() {
					restartDisconnected(0, 500*time.Millisecond, time.Second)(w, w.hostOf(disconnect))
					w.after(50*time.Millisecond, w.hostOf(crashed).Restart)
				})
			}
		}
		injectAtStepStarts(t, keepsID, gang, breaks(0, 1), breaks(1, 0)).mustNotFail(t, 60*time.Second)
	})
}

// hostOf returns the host on which a task of the job runs.
func (w *world) hostOf(i int) *hostsim.Host {
	return w.host(w.engine.jobs["job"].groups[0].tasks[i].cur.placedOn.info.ID)
}

// TestThreeUnreportedEnds guards against unconfirmed crashes that add up. Three short tasks were done,
// and their hosts crashed before the ends were reported. No crash was confirmed, but each was
// improbable, as hosts seldom crash by themselves; the fault that hid the ends had struck the hosts as
// well, so the crashes were not independent of each other.
func TestThreeUnreportedEnds(t *testing.T) {
	for name, fault := range map[string]hostFault{"disconnected at its end": endWhileDisconnected, "late views": endInLateView} {
		t.Run(name, func(t *testing.T) {
			withBothIDs(t, func(t *testing.T, keepsID bool) {
				injectAtStepStarts(t, keepsID, step(1, 6, 10, 200), fault, fault, fault).mustNotFail(t, 40*time.Second)
			})
		})
	}
}

// TestTerminatedAtFailoverInLargeCell is TestTerminatedAtFailovers in a cell of 200 hosts: with more
// hosts three terminations are less probable, though there is no more evidence for them.
func TestTerminatedAtFailoverInLargeCell(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		w := newInjectionWorld(t, 200, keepsID, terminateAtFailover, terminateAtFailover, terminateAtFailover)
		w.submit("job", catalog.Rules{}, step(1, 6, 10, 1000))
		w.mustNotFail(t, 80*time.Second)
	})
}

// TestConnectionsBrokenAtDisconnect guards against a broken connection counting as the host's end. The
// network reset the connections to a host and was down from then on. The host stayed up, its task was done,
// and it restarted while disconnected.
func TestConnectionsBrokenAtDisconnect(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		reset := func(w *world, h *hostsim.Host) {
			w.after(50*time.Millisecond, func() { w.breakAndDisconnect(h) })
			w.after(time.Second, h.RestartAfterPowerLoss)
			w.after(1500*time.Millisecond, func() { h.SetDisconnected(false) })
		}
		injectAtStepStarts(t, keepsID, step(1, 6, 10, 400), reset, reset).mustNotFail(t, 40*time.Second)
	})
}

// breakAndDisconnect breaks the connections to a live host, and disconnects it.
func (w *world) breakAndDisconnect(h *hostsim.Host) {
	id := h.Info().ID
	h.SetDisconnected(true)
	w.deliver(w.engine, func() { w.engine.hosts[id].recordFailedCall(host.ErrConnectionBroken, w.now()) })
}

// TestStartsThatNeverArrived guards against starts counting as arrived because they were sent a moment
// before. The starts were delayed, and their hosts ended by themselves shortly after, which broke the
// connection of a poll. Nothing of the task ever ran there.
func TestStartsThatNeverArrived(t *testing.T) { startsThatNeverArrive(t, 320*time.Millisecond) }

// TestStartsThatNeverArriveRightAfterView guards against the same where a view of the host came just
// before: such a view is no evidence about a start that it does not list.
func TestStartsThatNeverArriveRightAfterView(t *testing.T) {
	for at := time.Duration(0); at < 600*time.Millisecond; at += 25 * time.Millisecond {
		startsThatNeverArrive(t, at)
	}
}

// startsThatNeverArrive submits the job a given time after the tasks that keep the hosts in contact.
func startsThatNeverArrive(t *testing.T, after time.Duration) {
	ends := func(w *world, h *hostsim.Host) {
		w.lateStart()
		w.after(20*time.Millisecond, h.Restart)
	}
	w := newInjectionWorld(t, 16, false, ends, ends, ends)
	const every = 600 * time.Millisecond
	for at := time.Duration(0); at < 40*time.Second; at += every { // keeps the hosts in contact
		w.after(at, func() { w.submit(fmt.Sprint("beside-", at), catalog.Rules{MaxAttempts: 9}, step(16, 40, 60, 250)) })
	}
	w.run(6*time.Second + after)
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.mustNotFail(t, 60*time.Second)
}

// lateStart delays the start that is sent now.
func (w *world) lateStart() {
	w.faults.delayedRequest = 1
	w.after(0, func() { w.faults.delayedRequest = 0 })
}

// TestLateStartInNextIncarnation guards against two runs of one task. A start was delayed, and its host
// ended by itself and restarted under the same id. The start was taken for one that had arrived in the
// previous incarnation, and the task was started elsewhere; then it started in the current incarnation
// as well, as its deadline was by the previous clock.
func TestLateStartInNextIncarnation(t *testing.T) {
	w := newWorld(t, 21)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.KeepID, w.fleet.RestartDelay = true, 150*time.Millisecond
	w.fleet.Add(2, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	held := true
	w.onStart = func(s StartOrder) {
		if s.Start.Task.Job != "job" || !held {
			return
		}
		held = false
		w.lateStart() // by itself it would end with the incarnation that it was sent to
		h, epoch := w.host(s.To.ID), w.epoch
		w.after(20*time.Millisecond, h.Restart)
		w.after(450*time.Millisecond, func() { h.Start(epoch, s.Start) })
	}
	w.submit("beside", catalog.Rules{}, step(2, 40, 60, 5000))
	w.run(150 * time.Millisecond)
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.mustNotFail(t, 30*time.Second)
}

// TestOneMachineRepeatedlyDisconnected guards against one machine that fails a job alone. The only
// machine with free capacity in a full cell was disconnected and restarted while disconnected, again and again,
// so it was given the same tasks each time. Their leases were over before it terminated, yet three
// incarnations of it counted as three confirmed crashes.
func TestOneMachineRepeatedlyDisconnected(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		w := newWorld(t, 1)
		w.followsHosts = true
		w.fleet.KeepID, w.fleet.RestartDelay = keepsID, 500*time.Millisecond
		w.fleet.Add(16, "s", size(64, 128))
		w.failOver()
		w.run(10 * time.Second)
		for n := range 40 {
			w.after(time.Duration(n)*100*time.Millisecond, func() {
				w.submit(fmt.Sprint("long-", n), catalog.Rules{}, step(4, 8, 12, 60000))
			})
		}
		for at := 5 * time.Second; at < 80*time.Second; at += 9500 * time.Millisecond {
			w.after(at, func() { restartDisconnected(0, 6650*time.Millisecond, 7*time.Second)(w, w.currentHost("h05")) })
		}
		w.run(120 * time.Second)
		w.checkInvariants()
	})
}

// currentHost returns the current incarnation of the machine whose first incarnation had this id.
func (w *world) currentHost(id string) *hostsim.Host {
	for _, h := range w.fleet.Hosts() {
		if name := string(h.Info().ID); h.Up() && (name == id || strings.HasPrefix(name, id+".")) {
			return h
		}
	}
	w.t.Fatalf("no incarnation of %s is up", id)
	return nil
}
