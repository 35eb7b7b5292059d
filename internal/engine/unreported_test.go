package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
)

// These tests guard against jobs that are failed though no task of them failed often enough and no two
// hosts crashed under one. A failed job is final and reported to its caller, but the decision was summed
// up from starts that had not been answered, and from runs of which it was not known whether they were
// still on their hosts when these terminated. Each test is one way in which that happens to a job that
// crashes nothing, and is checked against what the hosts recorded.

// hostFault is what happens to a host as a start is sent to it, a millisecond before the start arrives.
type hostFault func(w *world, h *hostsim.Host)

// losePower ends the host before the start arrives: nothing is reset, and its next incarnation answers
// three seconds later.
func losePower(_ *world, h *hostsim.Host) { h.RestartAfterPowerLoss() }

// terminateForGood ends the host before the start arrives, and no other incarnation of it ever answers.
func terminateForGood(w *world, h *hostsim.Host) {
	h.Crash()
	w.after(entryLasts, func() { h.SetListed(false) })
}

// disconnectAfterAnswer disconnects the host after its answer, from the store as well, so that its entry
// is removed.
func disconnectAfterAnswer(d time.Duration) hostFault {
	return func(w *world, h *hostsim.Host) {
		w.after(50*time.Millisecond, func() { h.SetDisconnected(true) })
		w.after(entryLasts, func() { h.SetListed(false) })
		w.after(d, func() { h.SetDisconnected(false); h.SetListed(true) })
	}
}

// crashAfterAnswer ends the host a while after its answer, with its connections reset.
func crashAfterAnswer(w *world, h *hostsim.Host) { w.after(100*time.Millisecond, h.Restart) }

// crashRightAfterAnswer is crashAfterAnswer so soon after the answer that the crash is confirmed.
func crashRightAfterAnswer(w *world, h *hostsim.Host) { w.after(30*time.Millisecond, h.Restart) }

// injectAtStarts has a job of one task, of the given duration, meet one fault after the other, one at
// each start, in a cell of 16 hosts with nothing else to do.
func injectAtStarts(t *testing.T, keepsID bool, work time.Duration, hostFaults ...hostFault) *world {
	w := newWorld(t, 21)
	w.followsHosts, w.keepEvents = true, true
	w.fleet.KeepID = keepsID
	w.fleet.Add(16, "s", size(64, 128))
	w.failOver()
	w.run(10 * time.Second)
	w.onStart = func(s StartOrder) {
		if len(hostFaults) == 0 {
			return
		}
		hostFaults[0](w, w.host(s.To.ID))
		hostFaults = hostFaults[1:]
	}
	w.submit("job", catalog.Rules{MaxAttempts: 2}, step(1, 6, 10, work.Milliseconds()))
	return w
}

// mustComplete fails the test unless the job completes, and logs the events of the job.
func (w *world) mustComplete(t *testing.T, within time.Duration) {
	t.Helper()
	w.run(within)
	w.checkInvariants()
	if t.Failed() {
		t.Log("\n" + w.logOf("job"))
	}
	is.New(t).Equal(w.reported["job"], record.StateCompleted)
}

// logOf returns the logged events of a job and of lost hosts.
func (w *world) logOf(job string) string {
	var out strings.Builder
	for _, ev := range w.events {
		if ev.Job == job || strings.HasPrefix(ev.What, "host ") && ev.What != "host claimed" && ev.What != "host listed" || ev.What == "takeover settled" {
			fmt.Fprintf(&out, "%8.3f %-26s %-6s %s\n", ev.at.Seconds(), ev.What, ev.Host, ev.Why)
		}
	}
	return out.String()
}

// withBothIDs runs a test on hosts that restart under other ids, and under their own.
func withBothIDs(t *testing.T, test func(t *testing.T, keepsID bool)) {
	for name, keepsID := range map[string]bool{"other ids": false, "their own ids": true} {
		t.Run(name, func(t *testing.T) { test(t, keepsID) })
	}
}

// TestStartsAtHostsWithoutPower guards against unanswered starts that count as crashes. Three hosts had
// lost power before the starts of a task arrived, so nothing ever ran there; each start counted half as
// a crash, and three halves were enough.
func TestStartsAtHostsWithoutPower(t *testing.T) {
	for name, powerLoss := range map[string]hostFault{"temporary": losePower, "permanent": terminateForGood} {
		t.Run(name, func(t *testing.T) {
			withBothIDs(t, func(t *testing.T, keepsID bool) {
				injectAtStarts(t, keepsID, time.Second, powerLoss, powerLoss, powerLoss).mustComplete(t, 60*time.Second)
			})
		})
	}
}

// TestOneCrashAndTwoLostHosts guards against unanswered starts that add to a crash. One host crashed
// under a task, by itself; two more had terminated before the task's starts arrived there, and the three
// failed the job.
func TestOneCrashAndTwoLostHosts(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		injectAtStarts(t, keepsID, time.Second, crashAfterAnswer, terminateForGood, terminateForGood).mustComplete(t, 60*time.Second)
	})
}

// TestFiveLostHostsAmongMany guards against excused crashes that add up. Five hosts had terminated
// before a task's starts arrived, while so many others terminated as well that each of these losses was
// excused. Five crashes are enough whatever their causes, so the job was failed though not one of them
// counted by itself.
func TestFiveLostHostsAmongMany(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		w := injectAtStarts(t, keepsID, time.Second, terminateForGood, terminateForGood, terminateForGood, terminateForGood, terminateForGood)
		w.fleet.RestartDelay = 500 * time.Millisecond
		for i := range 500 {
			w.after(time.Duration(i)*100*time.Millisecond, func() { w.crashAt(6 + i%10) })
		}
		w.mustComplete(t, 80*time.Second)
	})
}

// TestPowerLossAndFailover guards against a start that the next holder takes for answered. A task under
// which one host had crashed was sent to a host that had just lost power, and the partition changed
// hands before the call timed out. The next holder found that host terminated. It knew from the store
// where the task had been started, but not that the start was never answered, and counted the crash in
// full, so two were enough.
func TestPowerLossAndFailover(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		losePowerAndFailover := func(w *world, h *hostsim.Host) {
			losePower(w, h)
			w.after(50*time.Millisecond, w.failOver)
		}
		injectAtStarts(t, keepsID, time.Second, crashAfterAnswer, losePowerAndFailover).mustComplete(t, 60*time.Second)
	})
}

// TestTerminatedAtFailovers guards against crashes counted for runs that were over. A task was done on a
// host that had been disconnected since the task started. The holder closed the unresponsive host in the
// roster with the run as started there; the next holder found the host in another incarnation and
// counted a crash under a run that had ended two seconds before. After three such failovers the job was
// failed.
func TestTerminatedAtFailovers(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		injectAtStarts(t, keepsID, time.Second, terminateAtFailover, terminateAtFailover, terminateAtFailover).mustComplete(t, 80*time.Second)
	})
}

// terminateAtFailover disconnects the host after its answer, replaces the holder after the host was
// closed in the roster, and restarts the host while it is disconnected.
func terminateAtFailover(w *world, h *hostsim.Host) {
	w.after(50*time.Millisecond, func() { h.SetDisconnected(true) })
	w.after(3200*time.Millisecond, w.failOver)
	w.after(3300*time.Millisecond, h.RestartAfterPowerLoss)
	w.after(6500*time.Millisecond, func() { h.SetDisconnected(false) })
}

// TestHostsDisconnectedForLong guards against decisions before a host can answer again. Three hosts were
// disconnected one after the other, from the store as well, with a long task on them. Its lease ended it
// there; no host crashed, and all three stayed up. Each was presumed crashed as its lease was over and
// its entry removed, and the job was failed before any of them could answer again in the same
// incarnation, which would have retracted the crashes.
func TestHostsDisconnectedForLong(t *testing.T) {
	withBothIDs(t, func(t *testing.T, keepsID bool) {
		disconnected := disconnectAfterAnswer(40 * time.Second)
		injectAtStarts(t, keepsID, 20*time.Second, disconnected, disconnected, disconnected).mustComplete(t, 90*time.Second)
	})
}

// TestUnreportedEnds guards against crashes counted for runs whose ends were not reported. A short task
// was done, and its host crashed before the end was reported: the view was late, or could not be
// delivered. As the start had been answered, both crashes counted in full as of a task just started, and
// two of them failed the job. Each run had been over for a tenth of a second when its host terminated.
func TestUnreportedEnds(t *testing.T) {
	for name, fault := range map[string]hostFault{"disconnected at its end": endWhileDisconnected, "late views": endInLateView} {
		t.Run(name, func(t *testing.T) {
			withBothIDs(t, func(t *testing.T, keepsID bool) {
				injectAtStarts(t, keepsID, 200*time.Millisecond, fault, fault).mustComplete(t, 40*time.Second)
			})
		})
	}
}

// endWhileDisconnected disconnects the host for a moment after its answer, and crashes it as that moment
// ends.
func endWhileDisconnected(w *world, h *hostsim.Host) {
	w.after(50*time.Millisecond, func() { h.SetDisconnected(true) })
	w.after(300*time.Millisecond, func() {
		h.SetDisconnected(false)
		h.Restart()
	})
}

// endInLateView crashes the host while the view that lists its run's end is in transit.
func endInLateView(w *world, h *hostsim.Host) {
	w.faults.lateViews = 1
	w.after(300*time.Millisecond, func() {
		h.Restart()
		w.faults.lateViews = 0
	})
}
