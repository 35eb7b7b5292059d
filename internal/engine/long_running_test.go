package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/record"
)

// These tests guard against a long-running task that has no run at work while neither the log nor the
// metrics tell why.

// gapLines returns the logged descriptions of the gaps of a job, and fails the test if they come more often
// than each longRunningGapLogged.
func (w *world) gapLines(t *testing.T, job string) []string {
	t.Helper()
	var out []string
	last := -longRunningGapLogged
	for _, ev := range w.events {
		if ev.What != eventLongRunningWaits || ev.Job != job {
			continue
		}
		if ev.at-last < longRunningGapLogged || ev.Age < longRunningGapLogged {
			t.Errorf("logged at %v after %v, age %v: %s", ev.at, last, ev.Age, ev.Why)
		}
		last = ev.at
		out = append(out, ev.Why)
	}
	return out
}

// mustSay fails the test unless one of the lines contains all the words.
func mustSay(t *testing.T, lines []string, words ...string) {
	t.Helper()
	for _, line := range lines {
		missing := 0
		for _, word := range words {
			if !strings.Contains(line, word) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
	}
	t.Errorf("no line says %q:\n%s", words, strings.Join(lines, "\n"))
}

// gapWorld is an idle cell whose events are kept.
func gapWorld(t *testing.T, hosts int) *world {
	w := idleWorld(t, hosts)
	w.followsHosts, w.keepEvents = true, true
	w.run(time.Second)
	return w
}

func TestFullCellIsNamedForWaitingLongRunningTask(t *testing.T) {
	is := is.New(t)
	w := gapWorld(t, 1)
	w.submit("work", catalog.Rules{}, step(1, 60, 100, 9000))
	w.run(100 * time.Millisecond)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 16, 32))
	w.run(8 * time.Second)
	lines := w.gapLines(t, "web")
	is.Equal(len(lines), 2)
	mustSay(t, lines, "task 0", "of 1 tasks 1 wait, 0 are unconfirmed", "position 1 of 1", "blocked by: nothing", "1 placeable hosts known as permitted, 0 of them with capacity")
	is.True(w.engine.LongRunningGaps(w.now())[0].Gap > 7*time.Second)
	w.run(6 * time.Second)
	ends := 0
	for _, ev := range w.events {
		switch ev.What {
		case eventLongRunningRuns:
			ends++
			is.True(ev.Age > 8*time.Second)
		case eventLongRunningWaits:
			is.Equal(ends, 0) // not after it runs again
		}
	}
	is.Equal(ends, 1)
	is.Equal(w.engine.LongRunningGaps(w.now()), []LongRunningGap{{Queue: "q"}})
	is.Equal(len(w.gapLines(t, "web")), 3) // the gap lasts for 11 s
	w.engine.Cancel("web", w.now())
	is.Equal(len(w.engine.LongRunningGaps(w.now())), 0)
}

func TestSupersededRunIsNamedForWaitingLongRunningTask(t *testing.T) {
	w := gapWorld(t, 2)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 16, 32))
	w.run(4 * time.Second)
	g := w.engine.jobs["web"].groups[0]
	r := g.tasks[0].cur
	r.superseded = true // as if a view had shown it beside a later run, which has ended
	g.countSuperseded(r, 1)
	w.host(r.placedOn.info.ID).SetDisconnected(true)
	w.engine.runEnded(r)
	w.run(5 * time.Second)
	mustSay(t, w.gapLines(t, "web"), "superseded run 1 on "+string(r.placedOn.info.ID), "unresponsive for", "1 wait", "task 0")
}

func TestUnreportedHostIsNamedForUnconfirmedLongRunningTask(t *testing.T) {
	w := gapWorld(t, 3)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 16, 32))
	w.run(4 * time.Second)
	h := w.engine.jobs["web"].groups[0].tasks[0].cur.placedOn.info.ID
	w.host(h).SetDisconnected(true)
	w.failOver()
	w.run(5 * time.Second)
	mustSay(t, w.gapLines(t, "web"), "0 wait, 1 are unconfirmed", "unconfirmed on "+string(h)+", which has not reported since the failover", "not in the queue")
}

func TestUnreportedHostIsNamedWithoutStoredPlacements(t *testing.T) {
	w := gapWorld(t, 3)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 16, 32))
	w.run(4 * time.Second)
	h := w.engine.jobs["web"].groups[0].tasks[0].cur.placedOn.info.ID
	_, _, roster := w.stored()
	roster.PlacementsStored = false // as a holder of a former version has it
	w.applyWrites([]platform.Write{putWrite(record.RosterKey(0), roster)})
	w.host(h).SetDisconnected(true)
	w.failOver()
	w.run(5 * time.Second)
	mustSay(t, w.gapLines(t, "web"), "0 wait, 1 are unconfirmed", "have not reported since the failover, first "+string(h), "not in the queue")
}

func TestSilentHostIsNamedForRecordedLongRunningRun(t *testing.T) {
	w := gapWorld(t, 1)
	w.submit("web", catalog.Rules{}, longRunningStep(1, 16, 32))
	w.run(4 * time.Second)
	h := w.engine.jobs["web"].groups[0].tasks[0].cur.placedOn.info.ID
	w.host(h).SetDisconnected(true)
	w.run(6 * time.Second)
	mustSay(t, w.gapLines(t, "web"), "1 have a run that is not at work", "run 1 recorded on "+string(h)+": running", "task last ready", "last answer")
}

func TestSlotsAtQueryAndAnswerAreLogged(t *testing.T) {
	is := is.New(t)
	w := gapWorld(t, 2)
	rules := catalog.Rules{PolicyQuery: &catalog.PolicyQuery{DecideMillis: 560, PerHostMillis: 8, ValidMillis: 1500}}
	w.policyDelay = func(QueryOrder) time.Duration { return 600 * time.Millisecond }
	w.submit("web", rules, longRunningStep(2, 50, 32))
	w.run(100 * time.Millisecond)
	w.submit("work", catalog.Rules{}, step(1, 60, 32, 3000)) // fills a host before the answer
	w.run(2 * time.Second)
	var why string
	for _, ev := range w.events {
		if ev.What == eventPolicyAnswered && why == "" {
			why = ev.Why
			is.True(ev.Age >= 600*time.Millisecond)
		}
	}
	mustSay(t, []string{why}, "2 hosts named, 2 permitted", "2 when sent, 1 when answered; tasks wanted: 2 when sent, 2 when answered")
}
