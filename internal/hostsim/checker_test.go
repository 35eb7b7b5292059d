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

// testFleet is a fleet of eight hosts and a job whose tasks work for a second.
type testFleet struct {
	fleet *Fleet
	hosts []*Host
}

func newTestFleet(change func(*spec.Step)) *testFleet {
	f := &testFleet{fleet: NewFleet(RealClock{})}
	f.hosts = f.fleet.Add(8, "s", spec.Resources{MilliCPU: 64_000, MemoryMiB: 1 << 17})
	step := spec.Step{Count: 3, Size: spec.Resources{MilliCPU: 1000, MemoryMiB: 1000}, EstimateMillis: 1000}
	if change != nil {
		change(&step)
	}
	f.fleet.AddJob(&record.Job{ID: "job", Rules: catalog.Rules{MaxAttempts: 2}, Graph: spec.Graph{Steps: []spec.Step{step}}})
	return f
}

func taskNo(i int) spec.StepTask { return spec.StepTask{StepID: spec.StepID{Job: "job"}, Index: i} }

// start starts a run of a task on a host under an epoch.
func (f *testFleet) start(epoch uint64, on, task, no int) {
	f.hosts[on].Start(epoch, host.Start{Run: host.Run{Task: taskNo(task), No: no}, Deadline: math.MaxInt64 / 4})
}

// crashUnder starts a run of a task on a host and then crashes the host.
func (f *testFleet) crashUnder(on, task, no int) {
	f.start(1, on, task, no)
	time.Sleep(time.Millisecond)
	f.hosts[on].Restart()
}

const reasonTask1 = "5212 job-crashes-hosts: task job/0/0/1: 2 hosts crashed under it: h00 under run 1, h01 under run 2"

// TestFailedJobCheck: a job may be reported as failed only because of what its hosts recorded for
// a single task.
func TestFailedJobCheck(t *testing.T) {
	gang := func(s *spec.Step) { s.Gang = true }
	for name, tc := range map[string]struct {
		change        func(*spec.Step)
		setup         func(f *testFleet)
		reason        string
		wantViolation bool // the checker has to report the failed job as a violation
	}{
		"nothing has happened": {setup: func(*testFleet) {}, wantViolation: true},
		"two hosts crashed under a task": {
			setup: func(f *testFleet) { f.crashUnder(0, 1, 1); f.crashUnder(1, 1, 2) }, reason: reasonTask1,
		},
		"under another task than the named one": {
			setup: func(f *testFleet) { f.crashUnder(0, 2, 1); f.crashUnder(1, 2, 2); f.crashUnder(2, 1, 1) }, reason: reasonTask1, wantViolation: true,
		},
		"one host under each of two tasks": {
			setup: func(f *testFleet) { f.crashUnder(0, 1, 1); f.crashUnder(1, 2, 1) }, wantViolation: true,
		},
		"one host crashed with all tasks": {
			setup: func(f *testFleet) { f.start(1, 0, 0, 1); f.start(1, 0, 2, 1); f.crashUnder(0, 1, 1) }, wantViolation: true,
		},
		"a run had ended before its host crashed": {
			setup: func(f *testFleet) {
				f.crashUnder(0, 1, 1)
				f.start(1, 1, 1, 2)
				time.Sleep(2 * time.Second)
				f.hosts[1].Restart()
			}, reason: reasonTask1, wantViolation: true,
		},
		"hosts crashed while disconnected": {
			setup: func(f *testFleet) {
				f.hosts[0].SetDisconnected(true)
				f.hosts[1].SetDisconnected(true)
				f.crashUnder(0, 1, 1)
				f.crashUnder(1, 1, 2)
			}, reason: reasonTask1,
		},
		"hosts crashed for good": {
			setup: func(f *testFleet) {
				for i := range 2 {
					f.start(1, i, 1, i+1)
					f.hosts[i].Crash()
				}
			}, reason: reasonTask1,
		},
		"hosts left after a drain": {
			setup: func(f *testFleet) {
				for i := range 2 {
					f.start(1, i, 1, i+1)
					f.hosts[i].Drain(0)
					f.hosts[i].Crash()
				}
			}, reason: reasonTask1, wantViolation: true,
		},
		"hosts were decommissioned": {
			setup: func(f *testFleet) {
				for i := range 2 {
					f.start(1, i, 1, i+1)
					f.hosts[i].Decommission()
				}
			}, reason: reasonTask1, wantViolation: true,
		},
		"a task has failed as often as it may": {
			setup: func(f *testFleet) { f.failRuns(1, 2) },
		},
		"a task has failed once": {
			setup: func(f *testFleet) { f.failRuns(1, 1) }, wantViolation: true,
		},
		"a task has failed once, and a host crashed under it": {
			setup: func(f *testFleet) { f.failRuns(1, 1); f.crashUnder(7, 1, 9) }, wantViolation: true,
		},
		"another task has failed than the named one": {
			setup: func(f *testFleet) { f.failRuns(2, 2); f.crashUnder(7, 1, 9) }, reason: reasonTask1, wantViolation: true,
		},
		"two members of one run of a gang have failed": {
			change: gang, setup: func(f *testFleet) { f.failGang(1) }, wantViolation: true,
		},
		"two runs of a gang have failed": {
			change: gang, setup: func(f *testFleet) { f.failGang(1); f.failGang(2) },
		},
		"a long-running task has failed twice": {
			change: func(s *spec.Step) { s.LongRunning = true }, setup: func(f *testFleet) { f.failRuns(1, 2) }, wantViolation: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(tc.change)
				tc.setup(f)
				before := len(f.fleet.Checker().Violations())
				f.fleet.Checker().CheckFailedJob("job", tc.reason)
				is.New(t).Equal(len(f.fleet.Checker().Violations()) > before, tc.wantViolation)
			})
		})
	}
}

// failRuns lets the given number of runs of a task be reported as failed, each on another host.
func (f *testFleet) failRuns(task, runs int) {
	for i := range runs {
		h := f.hosts[i]
		f.start(1, i, task, i+1)
		h.withLock(func() { h.end(h.runs[host.Run{Task: taskNo(task), No: i + 1}], host.EndFailed) })
	}
}

// failGang lets two members of one run of the gang be reported as failed.
func (f *testFleet) failGang(no int) {
	for i := range 3 {
		f.start(1, i, i, no)
	}
	for i := range 2 {
		h := f.hosts[i]
		h.withLock(func() { h.end(h.runs[host.Run{Task: taskNo(i), No: no}], host.EndFailed) })
	}
}

// TestCrashLimitCheck: after three hosts have crashed under a task that crashes its hosts, the
// task is started at most twice more, whether or not anybody observed the crashes.
func TestCrashLimitCheck(t *testing.T) {
	crashTask1 := func(task spec.StepTask) time.Duration {
		if task.Index == 1 {
			return 10 * time.Millisecond
		}
		return 0
	}
	for name, tc := range map[string]struct {
		change            func(*spec.Step)
		setup             func(f *testFleet)
		starts            int
		epoch, laterEpoch uint64 // of the first four starts, and of the others
		wantViolation     bool
	}{
		"five starts":                      {starts: 5, epoch: 1, laterEpoch: 1},
		"six starts":                       {starts: 6, epoch: 1, laterEpoch: 1, wantViolation: true},
		"all hosts disconnected":           {starts: 6, epoch: 1, laterEpoch: 1, setup: func(f *testFleet) { f.disconnectAll() }, wantViolation: true},
		"late orders of a previous holder": {starts: 6, epoch: 2, laterEpoch: 1, wantViolation: true},
		"speculative copies":               {starts: 6, epoch: 1, laterEpoch: 1, change: speculative, wantViolation: true},
		"late speculative copies":          {starts: 6, epoch: 2, laterEpoch: 1, change: speculative},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(tc.change)
				f.fleet.CrashAfter = crashTask1
				if tc.setup != nil {
					tc.setup(f)
				}
				for i := range tc.starts {
					epoch := tc.epoch
					if i >= 4 {
						epoch = tc.laterEpoch
					}
					f.start(epoch, i, 1, i+1)
					time.Sleep(100 * time.Millisecond)
				}
				is.New(t).Equal(strings.Contains(strings.Join(f.fleet.Checker().Violations(), "\n"), "BUDGET"), tc.wantViolation)
				is.New(t).Equal(f.fleet.Checker().HostsCrashedByTasks(), tc.starts)
			})
		})
	}
}

func speculative(s *spec.Step) { s.Speculative = true }

func (f *testFleet) disconnectAll() {
	for _, h := range f.hosts {
		h.SetDisconnected(true)
	}
}

// TestViolationListsStarts: the text of a violation states the outcome of each start.
func TestViolationListsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(nil)
		j := f.fleet.Checker()
		j.RecordOrder("h03", host.Run{Task: taskNo(1), No: 1})
		j.RecordOrder("h00", host.Run{Task: taskNo(1), No: 2})
		time.Sleep(time.Second)
		f.start(1, 0, 1, 2)
		j.RecordReply("h00", host.Run{Task: taskNo(1), No: 2})
		time.Sleep(100 * time.Millisecond)
		f.hosts[0].SetDisconnected(true)
		f.hosts[0].Restart()
		j.CheckFailedJob("job", reasonTask1)
		text := strings.Join(j.Violations(), "\n")
		for _, part := range []string{
			"LOST job job", "1 hosts have crashed under task job/0/0/1", "run 1 on h03/", "ordered at 0s, never arrived, its host is up",
			"run 2 on h00/", "began at 1s, answered, host crashed at 1.1s, while disconnected",
		} {
			is.True(strings.Contains(text, part)) // the violation states it
		}
	})
}

// TestDisconnectionSurvivesRestart: a disconnected machine stays disconnected after a restart,
// under the same id or another one, until it is connected again.
func TestDisconnectionSurvivesRestart(t *testing.T) {
	for name, keepsID := range map[string]bool{"same id": true, "new id": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(nil)
				f.fleet.KeepID = keepsID
				reset := false
				f.hosts[0].OnReset(func() { reset = true })
				f.hosts[0].SetDisconnected(true)
				f.hosts[0].Restart()
				is.True(!reset && !f.hosts[0].Refusing()) // nothing reaches the caller
				time.Sleep(restartDelay + time.Millisecond)
				next := f.hosts[0]
				if !keepsID {
					next = f.fleet.Host("h00.1")
				}
				is.True(next.Listed() && !next.Reachable())
				is.True(!f.hosts[0].OtherIncarnation())
				f.hosts[0].SetDisconnected(false)
				is.True(next.Reachable())
				is.Equal(f.hosts[0].OtherIncarnation(), !keepsID)
			})
		})
	}
}

// TestStartBetweenEndAndAcknowledgement: a start after an end as done that is acknowledged later is a violation,
// unless the lease of the host has expired in between.
func TestStartBetweenEndAndAcknowledgement(t *testing.T) {
	for name, tc := range map[string]struct {
		lease         host.Millis // that the first start grants
		change        func(*spec.Step)
		wantViolation bool
	}{
		"leased":         {lease: 5000, wantViolation: true},
		"lease expired":  {lease: 1500},
		"a copy may run": {lease: 5000, change: speculative},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(tc.change)
				f.hosts[0].Poll(1, host.Poll{}, func(v host.View) {
					tc.lease += v.Clock
				})
				f.hosts[0].Start(1, host.Start{Run: host.Run{Task: taskNo(0), No: 1}, Deadline: tc.lease})
				time.Sleep(2 * time.Second)
				f.start(1, 1, 0, 2)
				is.New(t).Equal(len(f.fleet.Checker().Violations()), 0)
				f.hosts[0].Poll(1, host.Poll{AckedEnds: 1}, func(host.View) {})
				is.New(t).Equal(len(f.fleet.Checker().Violations()) > 0, tc.wantViolation)
			})
		})
	}
}
