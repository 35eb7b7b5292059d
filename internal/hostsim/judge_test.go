package hostsim

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// trial is a few hosts, and a job of some tasks that work for a second.
type trial struct {
	fleet *Fleet
	hosts []*Host
}

func newTrial(change func(*spec.Step)) *trial {
	tr := &trial{fleet: NewFleet(RealClock{})}
	tr.hosts = tr.fleet.Add(8, "s", spec.Resources{MilliCPU: 64_000, MemoryMiB: 1 << 17})
	step := spec.Step{Count: 3, Size: spec.Resources{MilliCPU: 1000, MemoryMiB: 1000}, EstimateMillis: 1000}
	if change != nil {
		change(&step)
	}
	tr.fleet.Know(&record.Job{ID: "job", Rules: catalog.Rules{Attempts: 2}, Graph: spec.Graph{Steps: []spec.Step{step}}})
	return tr
}

func taskNo(i int) spec.StepTask { return spec.StepTask{StepID: spec.StepID{Job: "job"}, Index: i} }

// start starts a run of a task on a host, under an epoch.
func (tr *trial) start(epoch uint64, on, task, no int) {
	tr.hosts[on].Start(epoch, host.Start{Run: host.Run{Task: taskNo(task), No: no}, Deadline: math.MaxInt64 / 4})
}

// crashUnder crashes a host with a run of a task that has just begun there.
func (tr *trial) crashUnder(on, task, no int) {
	tr.start(1, on, task, no)
	time.Sleep(time.Millisecond)
	tr.hosts[on].Restart()
}

const becauseOfTask1 = "5212 job-crashes-hosts: task job/0/0/1: 2 hosts crashed under it: h00 under run 1, h01 under run 2"

// TestGaveUp: a job may be shown as failed for what its hosts saw of one task, and of no
// other cause.
func TestGaveUp(t *testing.T) {
	gang := func(s *spec.Step) { s.Gang = true }
	for name, tc := range map[string]struct {
		change func(*spec.Step)
		play   func(tr *trial)
		why    string
		lost   bool // that the verdict is without cause
	}{
		"nothing has happened": {play: func(*trial) {}, lost: true},
		"two hosts crashed under a task": {
			play: func(tr *trial) { tr.crashUnder(0, 1, 1); tr.crashUnder(1, 1, 2) }, why: becauseOfTask1,
		},
		"under another task than the one that is named": {
			play: func(tr *trial) { tr.crashUnder(0, 2, 1); tr.crashUnder(1, 2, 2); tr.crashUnder(2, 1, 1) }, why: becauseOfTask1, lost: true,
		},
		"one host each under two tasks": {
			play: func(tr *trial) { tr.crashUnder(0, 1, 1); tr.crashUnder(1, 2, 1) }, lost: true,
		},
		"one host crashed with all tasks": {
			play: func(tr *trial) { tr.start(1, 0, 0, 1); tr.start(1, 0, 2, 1); tr.crashUnder(0, 1, 1) }, lost: true,
		},
		"a run was over before its host crashed": {
			play: func(tr *trial) {
				tr.crashUnder(0, 1, 1)
				tr.start(1, 1, 1, 2)
				time.Sleep(2 * time.Second)
				tr.hosts[1].Restart()
			}, why: becauseOfTask1, lost: true,
		},
		"hosts crashed while they were cut off": {
			play: func(tr *trial) {
				tr.hosts[0].Cut(true)
				tr.hosts[1].Cut(true)
				tr.crashUnder(0, 1, 1)
				tr.crashUnder(1, 1, 2)
			}, why: becauseOfTask1,
		},
		"hosts are gone for good": {
			play: func(tr *trial) {
				for i := range 2 {
					tr.start(1, i, 1, i+1)
					tr.hosts[i].Crash()
				}
			}, why: becauseOfTask1,
		},
		"hosts left as they had said": {
			play: func(tr *trial) {
				for i := range 2 {
					tr.start(1, i, 1, i+1)
					tr.hosts[i].Drain(0)
					tr.hosts[i].Crash()
				}
			}, why: becauseOfTask1, lost: true,
		},
		"hosts were taken down by order": {
			play: func(tr *trial) {
				for i := range 2 {
					tr.start(1, i, 1, i+1)
					tr.hosts[i].TakeDown()
				}
			}, why: becauseOfTask1, lost: true,
		},
		"a task has failed as often as it may": {
			play: func(tr *trial) { tr.failRuns(1, 2) },
		},
		"a task has failed once": {
			play: func(tr *trial) { tr.failRuns(1, 1) }, lost: true,
		},
		"a task has failed once, and a host crashed under it": {
			play: func(tr *trial) { tr.failRuns(1, 1); tr.crashUnder(7, 1, 9) }, lost: true,
		},
		"another task has failed than the one that is named": {
			play: func(tr *trial) { tr.failRuns(2, 2); tr.crashUnder(7, 1, 9) }, why: becauseOfTask1, lost: true,
		},
		"two members of one run of a gang have failed": {
			change: gang, play: func(tr *trial) { tr.failGang(1) }, lost: true,
		},
		"two runs of a gang have failed": {
			change: gang, play: func(tr *trial) { tr.failGang(1); tr.failGang(2) },
		},
		"a task that lasts has failed twice": {
			change: func(s *spec.Step) { s.LongRunning = true }, play: func(tr *trial) { tr.failRuns(1, 2) }, lost: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(tc.change)
				tc.play(tr)
				before := len(tr.fleet.Judge().Wrong())
				tr.fleet.Judge().GaveUpFor("job", tc.why)
				is.New(t).Equal(len(tr.fleet.Judge().Wrong()) > before, tc.lost)
			})
		})
	}
}

// failRuns lets so many runs of a task be listed as failed, each on a host of its own.
func (tr *trial) failRuns(task, runs int) {
	for i := range runs {
		h := tr.hosts[i]
		tr.start(1, i, task, i+1)
		h.change(func() { h.end(h.runs[host.Run{Task: taskNo(task), No: i + 1}], host.EndFailed) })
	}
}

// failGang lets two members of one run of the gang be listed as failed.
func (tr *trial) failGang(no int) {
	for i := range 3 {
		tr.start(1, i, i, no)
	}
	for i := range 2 {
		h := tr.hosts[i]
		h.change(func() { h.end(h.runs[host.Run{Task: taskNo(i), No: no}], host.EndFailed) })
	}
}

// TestStartedAgain: a task that crashes its hosts is started twice more at the most after
// three have crashed under it, whoever saw it.
func TestStartedAgain(t *testing.T) {
	guilty := func(task spec.StepTask) time.Duration {
		if task.Index == 1 {
			return 10 * time.Millisecond
		}
		return 0
	}
	for name, tc := range map[string]struct {
		change       func(*spec.Step)
		play         func(tr *trial)
		starts       int
		epoch, later uint64 // of the first four starts, and of the others
		budget       bool
	}{
		"five starts":                    {starts: 5, epoch: 1, later: 1},
		"six starts":                     {starts: 6, epoch: 1, later: 1, budget: true},
		"nobody saw the hosts":           {starts: 6, epoch: 1, later: 1, play: func(tr *trial) { tr.cutAll() }, budget: true},
		"late orders of a former holder": {starts: 6, epoch: 2, later: 1, budget: true},
		"copies may run":                 {starts: 6, epoch: 1, later: 1, change: speculative, budget: true},
		"late copies":                    {starts: 6, epoch: 2, later: 1, change: speculative},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(tc.change)
				tr.fleet.Crashes = guilty
				if tc.play != nil {
					tc.play(tr)
				}
				for i := range tc.starts {
					epoch := tc.epoch
					if i >= 4 {
						epoch = tc.later
					}
					tr.start(epoch, i, 1, i+1)
					time.Sleep(100 * time.Millisecond)
				}
				is.New(t).Equal(strings.Contains(strings.Join(tr.fleet.Judge().Wrong(), "\n"), "BUDGET"), tc.budget)
				is.New(t).Equal(tr.fleet.Judge().HostsStruck(), tc.starts)
			})
		})
	}
}

func speculative(s *spec.Step) { s.Speculative = true }

func (tr *trial) cutAll() {
	for _, h := range tr.hosts {
		h.Cut(true)
	}
}

// TestBreachTellsStarts: the text of a breach tells what hosts made of each start.
func TestBreachTellsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTrial(nil)
		j := tr.fleet.Judge()
		j.Ordered("h03", host.Run{Task: taskNo(1), No: 1})
		j.Ordered("h00", host.Run{Task: taskNo(1), No: 2})
		time.Sleep(time.Second)
		tr.start(1, 0, 1, 2)
		j.Answered("h00", host.Run{Task: taskNo(1), No: 2})
		time.Sleep(100 * time.Millisecond)
		tr.hosts[0].Cut(true)
		tr.hosts[0].Restart()
		j.GaveUpFor("job", becauseOfTask1)
		text := strings.Join(j.Wrong(), "\n")
		for _, part := range []string{
			"LOST job job", "1 hosts have crashed under task job/0/0/1", "run 1 on h03/", "ordered at 0s, never came there, its host lives",
			"run 2 on h00/", "began at 1s, answered, host crashed at 1.1s, while cut off",
		} {
			is.True(strings.Contains(text, part)) // the breach tells it
		}
	})
}

// TestCutLastsOverLives: a machine that is cut off stays so when it starts again, under
// whichever id, until the cut is over.
func TestCutLastsOverLives(t *testing.T) {
	for name, keepsID := range map[string]bool{"under its id": true, "under another id": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tr := newTrial(nil)
				tr.fleet.KeepsID = keepsID
				reset := false
				tr.hosts[0].OnReset(func() { reset = true })
				tr.hosts[0].Cut(true)
				tr.hosts[0].Restart()
				is.True(!reset && !tr.hosts[0].Refusing()) // nothing comes through
				time.Sleep(backAfter + time.Millisecond)
				next := tr.hosts[0]
				if !keepsID {
					next = tr.fleet.Host("h00.1")
				}
				is.True(next.Listed() && !next.Reachable())
				is.True(!tr.hosts[0].OtherLife())
				tr.hosts[0].Cut(false)
				is.True(next.Reachable())
				is.Equal(tr.hosts[0].OtherLife(), !keepsID)
			})
		})
	}
}
