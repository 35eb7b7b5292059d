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
)

// TestDump: at each moment of a task that crashes its hosts an operator sees what is held
// against it, which hosts are silent, and in the end why its job has failed.
func TestDump(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 21, 16)
	w.submit("bystander", catalog.Rules{}, step(16, 6, 10, 60000))
	w.run(time.Second)
	is.Equal(w.engine.Dump(w.now()), Dump{Suspects: []DumpedTask{}, Failed: []DumpedEnd{}, Silent: []DumpedHost{}, Verdicts: []DumpedVerdict{}, Accounts: []DumpedAccount{}})
	w.submit(culprit+"0", catalog.Rules{}, step(1, 6, 10, 640))
	suspected, silent := false, false
	var d Dump
	for range 600 {
		w.run(100 * time.Millisecond)
		if d = w.engine.Dump(w.now()); len(d.Failed) > 0 {
			break
		}
		for _, row := range d.Suspects {
			if row.Task == culprit+"0/0/0/0" {
				suspected = true
				is.True(row.Standing != "")
				is.Equal(row.Crashes, w.engine.jobs[culprit+"0"].groups[0].tasks[0].crashes.String())
				is.Equal(row.Run == 0, row.Host == "")
				is.Equal(row.Run == 0, row.State == "")
			}
		}
		for _, row := range d.Silent {
			if row.Runs > 0 {
				silent = true
				is.True(row.Heard)
				is.True(row.SilentMillis+row.UnreachedMillis > 0)
				is.True(row.LeaseOverMillis > 0 && row.LeaseOverMillis <= 7000)
			}
		}
	}
	is.True(suspected)
	is.True(silent)
	is.Equal(len(d.Failed), 1)
	is.Equal(d.Failed[0].Job, culprit+"0")
	is.True(strings.HasPrefix(d.Failed[0].Why, "5212 job-crashes-hosts: task "+culprit+"0/0/0/0"))
	w.run(time.Second) // it is stored
	w.takeOver()
	is.Equal(w.engine.Dump(w.now()).Failed[0].Why, d.Failed[0].Why) // a next holder tells it as well
}

// TestDumpOfVerdicts: hosts that a new holder finds gone have verdicts wait.
func TestDumpOfVerdicts(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 22, 8)
	w.submit("a", catalog.Rules{}, step(8, 20, 10, 60000))
	w.run(3 * time.Second)
	w.host("h01").Crash()
	w.run(3500 * time.Millisecond) // the roster has it closed, with what may run there
	w.takeOver()
	unheard := w.engine.Dump(w.now()).Silent
	is.True(len(unheard) > 0)
	is.True(strings.HasPrefix(unheard[0].Host, "h01")) // what may run there comes first
	is.True(!unheard[0].Heard)
	is.True(unheard[0].MayRun > 0)
	is.True(unheard[0].LeaseOverMillis > 0)
	w.engine.verdicts = []verdict{{due: w.now().Add(verdictAfter), life: "h01", list: []accusation{{run: host.Run{Task: w.engine.jobs["a"].groups[0].task(3)}}}}}
	is.Equal(w.engine.Dump(w.now()).Verdicts, []DumpedVerdict{{DueMillis: 1000, Host: "h01", Tasks: []string{"a/0/0/3"}, Count: 1}})
}

// TestDumpIsBounded: whatever goes wrong at once, a dump can be read and costs little.
func TestDumpIsBounded(t *testing.T) {
	is := is.New(t)
	w := crashWorld(t, 23, 3*mostDumped)
	w.submit("a", catalog.Rules{}, step(3*mostDumped, 4, 4, 60000))
	w.run(time.Second)
	e := w.engine
	g := e.jobs["a"].groups[0]
	var list []accusation
	for i := range g.tasks {
		g.tasks[i].crashes = crashloop.History{{Run: i + 1, Host: fmt.Sprint("gone", i)}}
		list = append(list, accusation{run: host.Run{Task: g.task(i)}})
	}
	worst := &g.tasks[len(g.tasks)-1]
	worst.crashes = append(worst.crashes, crashloop.Crash{Run: 999, Host: "other"})
	for _, h := range e.sorted {
		h.silent = w.now()
	}
	for range 2 * mostDumped {
		e.verdicts = append(e.verdicts, verdict{due: w.now(), life: "gone", list: list})
	}
	d := e.Dump(w.now())
	is.Equal(len(d.Suspects), mostDumped)
	is.Equal(len(d.Silent), mostDumped)
	is.Equal(len(d.Verdicts), mostDumped)
	is.Equal(d.LeftOut, DumpLeftOut{Suspects: 2 * mostDumped, Silent: 2 * mostDumped, Verdicts: mostDumped})
	is.Equal(d.Suspects[0].Task, g.task(len(g.tasks)-1).String()) // the worst comes first
	is.Equal(len(d.Verdicts[0].Tasks), mostTasksDumped)
	is.Equal(d.Verdicts[0].Count, len(list))
	text, err := json.Marshal(d)
	is.NoErr(err)
	is.True(len(text) < 256<<10)
}

func TestNamesOfStandings(t *testing.T) {
	is := is.New(t)
	for s, want := range map[crashloop.Standing]string{
		crashloop.Unsuspected: "unsuspected", crashloop.Suspect: "suspect", crashloop.OnTrial: "on trial", crashloop.GivenUp: "given up",
	} {
		is.Equal(standingName(s), want)
	}
}
