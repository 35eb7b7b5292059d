package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/overload"
)

// TestDump: while a task crashes its hosts, the dump lists the recorded crashes and the
// unresponsive hosts, and at the end the reason for which the job has failed.
func TestDump(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 21, 16)
	w.submit("bystander", catalog.Rules{}, step(16, 6, 10, 60000))
	w.run(time.Second)
	is.Equal(w.engine.Dump(w.now()), Dump{Suspects: []DumpedTask{}, Failed: []DumpedFailure{}, Silent: []DumpedHost{}, Decisions: []DumpedDecision{}, Accounts: []DumpedAccount{}, Admission: []overload.Row{}})
	w.submit(crashingJob+"0", catalog.Rules{}, step(1, 6, 10, 640))
	suspected, silent := false, false
	var d Dump
	for range 600 {
		w.run(100 * time.Millisecond)
		if d = w.engine.Dump(w.now()); len(d.Failed) > 0 {
			break
		}
		for _, row := range d.Suspects {
			if row.Task == crashingJob+"0/0/0/0" {
				suspected = true
				is.True(row.Suspicion != "")
				is.Equal(row.Crashes, w.engine.jobs[crashingJob+"0"].groups[0].tasks[0].crashes.String())
				is.Equal(row.Run == 0, row.Host == "")
				is.Equal(row.Run == 0, row.State == "")
			}
		}
		for _, row := range d.Silent {
			if row.Runs > 0 {
				silent = true
				is.True(row.Reported)
				is.True(row.SilentMillis+row.UnreachedMillis > 0)
				is.True(row.LeaseOverMillis > 0 && row.LeaseOverMillis <= 7000)
			}
		}
	}
	is.True(suspected)
	is.True(silent)
	is.Equal(len(d.Failed), 1)
	is.Equal(d.Failed[0].Job, crashingJob+"0")
	is.True(strings.HasPrefix(d.Failed[0].Why, "5212 job-crashes-hosts: task "+crashingJob+"0/0/0/0"))
	w.run(time.Second) // it is stored
	w.failOver()
	is.Equal(w.engine.Dump(w.now()).Failed[0].Why, d.Failed[0].Why) // the next holder has the reason as well
}

// TestDumpOfDeferredDecisions: after a failover, the dump lists inherited hosts that have not reported,
// those with most possible runs first, and deferred decisions.
func TestDumpOfDeferredDecisions(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 22, 8)
	w.submit("a", catalog.Rules{}, step(8, 20, 10, 60000))
	w.run(3 * time.Second)
	w.host("h01").Crash()
	w.run(3500 * time.Millisecond) // the roster has it closed, with what may run there
	w.failOver()
	silent := w.engine.Dump(w.now()).Silent
	is.True(len(silent) > 0)
	is.True(strings.HasPrefix(silent[0].Host, "h01")) // it has the most possible runs
	is.True(!silent[0].Reported)
	is.True(silent[0].PossibleRuns > 0)
	is.True(silent[0].LeaseOverMillis > 0)
	w.engine.deferredDecisions = []deferredDecision{{due: w.now().Add(crashDecisionDelay), incarnation: "h01", list: []attribution{{run: host.Run{Task: w.engine.jobs["a"].groups[0].task(3)}}}}}
	is.Equal(w.engine.Dump(w.now()).Decisions, []DumpedDecision{{DueMillis: 1000, Host: "h01", Tasks: []string{"a/0/0/3"}, Count: 1}})
}

// TestDumpIsBounded: the size of a dump is bounded, however many tasks and hosts have failed.
func TestDumpIsBounded(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 23, 3*maxDumpRows)
	w.submit("a", catalog.Rules{}, step(3*maxDumpRows, 4, 4, 60000))
	w.run(time.Second)
	e := w.engine
	g := e.jobs["a"].groups[0]
	var list []attribution
	for i := range g.tasks {
		g.tasks[i].crashes = crashloop.History{{Run: i + 1, Host: fmt.Sprint("gone", i)}}
		list = append(list, attribution{run: host.Run{Task: g.task(i)}})
	}
	worst := &g.tasks[len(g.tasks)-1]
	worst.crashes = append(worst.crashes, crashloop.Crash{Run: 999, Host: "other"})
	for _, h := range e.hostsByID {
		h.unresponsiveSince = w.now()
	}
	for range 2 * maxDumpRows {
		e.deferredDecisions = append(e.deferredDecisions, deferredDecision{due: w.now(), incarnation: "gone", list: list})
	}
	d := e.Dump(w.now())
	is.Equal(len(d.Suspects), maxDumpRows)
	is.Equal(len(d.Silent), maxDumpRows)
	is.Equal(len(d.Decisions), maxDumpRows)
	is.Equal(d.LeftOut, DumpLeftOut{Suspects: 2 * maxDumpRows, Silent: 2 * maxDumpRows, Decisions: maxDumpRows})
	is.Equal(d.Suspects[0].Task, g.task(len(g.tasks)-1).String()) // the worst comes first
	is.Equal(len(d.Decisions[0].Tasks), maxDumpTasks)
	is.Equal(d.Decisions[0].Count, len(list))
	text, err := json.Marshal(d)
	is.NoErr(err)
	is.True(len(text) < 256<<10)
}

func TestSuspicionLevelNames(t *testing.T) {
	is := is.New(t)
	for s, want := range map[crashloop.Suspicion]string{
		crashloop.Unsuspected: "unsuspected", crashloop.Suspect: "suspect", crashloop.Quarantined: "on trial", crashloop.Failed: "given up",
	} {
		is.Equal(suspicionLevelName(s), want)
	}
}
