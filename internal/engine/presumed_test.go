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

// A task crashed its hosts, and these were away for minutes. Each crash was presumed only, as no
// other life had answered yet, and a presumed one never counts; so the task was started on one
// host after the other:
//
//	BUDGET run 6: started 3 times more after 3 hosts had crashed under it
//
// 22 of 32 hosts were gone after three minutes, and the job was shown as running.
func TestHostsThatStayAway(t *testing.T) {
	for name, dark := range map[string]bool{"their machines stay": false, "with their machines": true} {
		t.Run(name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, keepsID bool) {
				w := crashWorld(t, 5, 32)
				w.fleet.KeepsID, w.fleet.DarkCrashes, w.fleet.BackAfter = keepsID, dark, 200*time.Second
				w.submit(culprit, catalog.Rules{}, step(1, 6, 10, 640))
				w.run(190 * time.Second)
				w.check()
				t.Logf("%d hosts lost to it; shown as %s", w.fleet.Judge().HostsStruck(), w.shown[culprit])
			})
		})
	}
}

// A task crashed its hosts with their machines, which were back at their addresses after their
// entries had gone. The holder had changed before that, and the next one had the crash from the
// store without the address of the host: what answered there confirmed nothing, and the task was
// started again and again.
func TestBackAtItsAddressAfterATakeOver(t *testing.T) {
	for name, changes := range map[string]bool{"one holder": false, "holders change": true} {
		t.Run(name, func(t *testing.T) {
			w := crashWorld(t, 5, 32)
			w.fleet.DarkCrashes, w.fleet.BackAfter = true, 9*time.Second
			if changes {
				w.onStart = func(StartOrder) { w.after(8*time.Second, w.takeOver) }
			}
			w.submit(culprit, catalog.Rules{}, step(1, 6, 10, 640))
			w.run(150 * time.Second)
			w.check()
			t.Logf("%d hosts lost to it; shown as %s", w.fleet.Judge().HostsStruck(), w.shown[culprit])
		})
	}
}

// Three tasks crashed their hosts some seconds after their starts, while the holder changed every few
// seconds. Each holder left the next one the number of the hosts that had gone, without their names:
// those that a task itself had crashed then stood for hosts that go by themselves, and excused it.
// Each holder left what it had been left, too, as news.
func TestLateCrashersWhileHoldersChange(t *testing.T) {
	for _, every := range []time.Duration{5 * time.Second, 8 * time.Second} {
		for _, after := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("holders change every %v, hosts go after %v", every, after), func(t *testing.T) {
				w := crashWorld(t, 1, 16)
				w.fleet.Crashes = func(spec.StepTask) time.Duration { return after }
				const jobs = 3
				for i := range jobs {
					w.after(time.Duration(i)*7*time.Second, func() {
						w.submit(fmt.Sprint(culprit, i), catalog.Rules{}, step(1, 6, 10, 2*after.Milliseconds()))
					})
				}
				for at := every; at < 80*time.Second; at += every {
					w.after(at, w.takeOver)
				}
				w.run(160 * time.Second)
				w.check()
				t.Logf("%d hosts lost to %d jobs", w.fleet.Judge().HostsStruck(), jobs)
			})
		}
	}
}

// A host crashed and started again under another id, at the same address; the entry of the life
// before stayed in the list for a while. The next run's connections broke, and its host was cut off
// for a moment and lived on. The list was read anew meanwhile. Its old entry had been dropped from
// the books, and was taken for a later life at the address:
//
//	crash held against task  h00.1  task 0: 2 hosts crashed under it: h00.1 under run 2 (there at its end, after 10 ms, just started, host may live), h00 under run 1 (there at its end, after 101 ms, just started)
//	job ended                       2 hosts crashed under it: h00.1 under run 2 (there at its end, after 10 ms, just started), h00 under run 1 (there at its end, after 101 ms, just started)
func TestOldEntryAtTheAddress(t *testing.T) {
	lives := func(w *world, h *hostsim.Host) {
		w.after(10*time.Millisecond, func() { w.breakAndCut(h) })
		w.after(1500*time.Millisecond, func() { h.Cut(false) })
	}
	w := strikeWorld(t, 1, false, crashesSeen, lives)
	w.fleet.BackAfter = 200 * time.Millisecond
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.neverGivenUp(t, 30*time.Second)
}

// A version before this one had stored two crashes under a task, both of which it was told of as
// their runs were over: it wrote nothing of that, nor of hosts that may live. What it left out was
// taken for proof, and one crash more made a verdict:
//
//	task 0: 3 hosts crashed under it: h00 under run 1001 (there at its end, after 100 ms, just started), h91 under run 2 (there at its end), h90 under run 1 (there at its end)
func TestCrashesOfAFormerVersion(t *testing.T) { crashesOfAFormerVersion(t, crashesSeen) }

// TestCrashesOfAFormerVersionAndOneProven is the same with a crash that proves something.
func TestCrashesOfAFormerVersionAndOneProven(t *testing.T) { crashesOfAFormerVersion(t, crashesSoon) }

func crashesOfAFormerVersion(t *testing.T, crashes strike) {
	w := strikeWorld(t, 16, false, crashes)
	w.held = true
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.storeCrashes(map[int]crashloop.History{0: {{Run: 1, Host: "h90", Chance: 1e-3}, {Run: 2, Host: "h91", Chance: 1e-3}}})
	w.held = false
	w.takeOver()
	w.neverGivenUp(t, 40*time.Second)
}

// storeCrashes has the store hold crashes under tasks of the job.
func (w *world) storeCrashes(crashed map[int]crashloop.History) {
	p := record.Progress{Steps: []record.StepProgress{{Crashed: crashed}}}
	w.apply([]platform.Write{encoded(record.ProgressKey(0, "job"), p)})
}

// A former holder had found a task guilty, and the next one heard that it was done before the
// verdict was due. No verdict falls on a task that is done, and the step's standing stayed that of
// a guilty one: its other task, under which one host had crashed, waited for ever.
func TestDoneWhileTheVerdictWaits(t *testing.T) { doneWhileTheVerdictWaits(t, false) }

// TestDoneWhileAVerdictOnProvenCrashesWaits guards against the same where a verdict does wait:
// crashes that prove nothing, as above, bring none.
func TestDoneWhileAVerdictOnProvenCrashesWaits(t *testing.T) { doneWhileTheVerdictWaits(t, true) }

func doneWhileTheVerdictWaits(t *testing.T, proven bool) {
	w := newWorld(t, 21)
	w.follows, w.logs = true, true
	w.fleet.Add(16, "s", size(64, 128))
	w.takeOver()
	w.run(time.Second)
	w.submit("job", catalog.Rules{}, step(2, 40, 60, 5000))
	w.run(4900 * time.Millisecond) // a moment before both tasks are done
	w.hostOf(1).Crash()
	guilty := crashloop.History{
		{Run: 90, Host: "h90", Chance: 1e-4, RanMillis: 10, Recent: true, Proven: proven},
		{Run: 91, Host: "h91", Chance: 1e-4, RanMillis: 10, Recent: true, Proven: proven},
	}
	w.storeCrashes(map[int]crashloop.History{0: guilty, 1: guilty[:1]})
	w.takeOver()
	w.run(60 * time.Second)
	w.check()
	if w.shown["job"] != record.StateCompleted {
		t.Errorf("the job is shown as %s, its step's standing is %d: %s", w.shown["job"], w.engine.jobs["job"].groups[0].standing, w.describe("job"))
	}
}

// All connections of the holder were reset at a moment at which all hosts lived and could be reached.
// A look that breaks is made again after a quarter of a second, and a host whose connections broke
// is presumed to have crashed after a tenth: crashes were held against all tasks that ran, and
// stored, and taken back by the next view.
func TestOwnConnectionsReset(t *testing.T) {
	w := newWorld(t, 21)
	w.follows, w.logs = true, true
	w.fleet.Add(16, "s", size(64, 128))
	w.takeOver()
	for at := time.Duration(0); at < 6*time.Second; at += 20 * time.Millisecond {
		w.after(at, func() { w.submit(fmt.Sprint("short-", at), catalog.Rules{}, step(1, 6, 2, 1500)) })
	}
	w.run(4 * time.Second)
	w.tell(w.engine, func() {
		for _, h := range w.engine.sorted {
			if h.looking {
				w.engine.Viewed(LookOrder{To: h.info}, w.now(), host.View{}, host.ErrBroken, w.now())
			}
		}
	})
	w.run(2 * time.Second)
	held := 0
	for _, ev := range w.logged {
		if ev.What == "crash held against task" {
			held++
		}
	}
	if held > 0 {
		t.Errorf("%d crashes are held against tasks, and no host has crashed", held)
	}
}

// A host had started again under its id at another address, and its former address was another
// host's by then. That one turned away a call that had been under way since before, and the host's
// present life was taken for over: its runs were dropped, and started elsewhere while they ran on.
//
//	host gone                h00  another life answered; 1 runs there
//	crash held against task  h00  task 0: 1 hosts crashed under it: h00 under run 1 (there at its end, after 999 ms, just started, excused)
//	run stopped              h00  its task is cared for elsewhere
func TestLateAnswerFromAFormerAddress(t *testing.T) {
	w := newWorld(t, 21)
	w.follows, w.logs = true, true
	w.fleet.KeepsID, w.fleet.BackAfter = true, 100*time.Millisecond
	w.fleet.Add(3, "s", size(64, 128))
	w.takeOver()
	w.run(time.Second)
	late, sent := LookOrder{To: w.host("h00").Info(), Probe: true}, w.now()
	w.host("h00").Restart()
	w.host("h00").SetAddr("elsewhere")
	w.run(500 * time.Millisecond)
	w.submit("job", catalog.Rules{}, step(2, 40, 60, 5000))
	w.run(500 * time.Millisecond)
	w.tell(w.engine, func() { w.engine.Viewed(late, sent, host.View{}, host.ErrOtherLife, w.now()) })
	w.neverGivenUp(t, 20*time.Second)
}

// TestBrokenConnectionsOfTheNextLife is TestOldEntryAtTheAddress in a cell in which two hosts that
// go are improbable: the one host with room crashes, and as its next life is tried, connections
// to that break while it lives. It guards against broken connections that count as its end.
func TestBrokenConnectionsOfTheNextLife(t *testing.T) {
	lives := func(w *world, h *hostsim.Host) {
		w.after(20*time.Millisecond, func() { w.breakAndCut(h) })
		w.after(1500*time.Millisecond, func() { h.Cut(false) })
	}
	w := strikeWorld(t, 16, false, crashesSoon, lives)
	w.fleet.BackAfter = 200 * time.Millisecond
	w.submit("beside", catalog.Rules{}, step(15, 60, 100, 600000))
	w.run(time.Second)
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 5000))
	w.neverGivenUp(t, 30*time.Second)
}
