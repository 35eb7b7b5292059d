package job

import (
	"testing"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// newStaticOwner returns a job owner whose loop does not run, with one job.
func newStaticOwner(t testing.TB, phase phase, inherited bool, kind spec.Kind, tasks int) (*jobOwner, *job) {
	c := newCell(t, 1)
	p := c.start("a")
	o := newJobOwner(p.jobs, c.claim(p, 0))
	o.phase = phase
	s := batch(0, tasks, time.Minute)
	s.Kind = kind
	j := newJob(&record{Job: s, State: jobmsg.StateWaiting, Generation: 1, TaskGeneration: 1})
	j.recordConfirmed, j.inherited = true, inherited
	o.add(j)
	if !o.recovering(j) {
		o.enqueueAll(j)
	}
	return o, j
}

// reportOf returns a report of an attempt at task 0, on a host of partition 1 at epoch 1.
func reportOf(j *job, attempt int, state taskmsg.RunState, exit int) taskmsg.RunReport {
	return taskmsg.RunReport{
		Run:   worker.Attempt{Task: spec.TaskID{Job: j.id()}, Attempt: attempt},
		State: state, ExitCode: exit, Worker: "w", Zone: "z", Partition: 1, Epoch: 1,
	}
}

// TestApply applies sequences of reports about one task and checks the outcome of the last one and
// the state of the task.
func TestApply(t *testing.T) {
	const old = 5 // an attempt of a previous job owner
	type step struct {
		attempt int // 0: the current attempt
		state   taskmsg.RunState
		exit    int
	}
	running := step{old, taskmsg.RunRunning, 0}
	cases := []struct {
		name          string
		recovering    bool
		order         bool // task 0 is requested before the reports
		steps         []step
		reportOutcome reportOutcome
		state         taskState
		failures      int
		active        int
		wantPending   bool // the task waits for a start, once
	}{
		{"adopted during recovery", true, false, []step{running}, reportApplied, taskRunning, 0, 1, false},
		{"reported twice", true, false, []step{running, running}, reportApplied, taskRunning, 0, 1, false},
		{"second run of an adopted task", true, false, []step{running, {old - 1, taskmsg.RunRunning, 0}}, reportOrphan, taskRunning, 0, 1, false},
		{"adopted, then ended", true, false, []step{running, {old, taskmsg.RunFinished, 0}}, reportApplied, taskDone, 0, 0, false},
		{"finished before the failover", true, false, []step{{old, taskmsg.RunFinished, 0}}, reportApplied, taskDone, 0, 0, false},
		{"failed before the failover, reported twice", true, false, []step{{old, taskmsg.RunFinished, 1}, {old, taskmsg.RunFinished, 1}}, reportApplied, taskPending, 1, 0, false},
		{"stopped before the failover", true, false, []step{{old, taskmsg.RunStopped, 0}}, reportAcked, taskPending, 0, 0, false},
		{"running after its end was reported", true, false, []step{{old, taskmsg.RunLost, 0}, running}, reportOrphan, taskPending, 0, 0, false},
		{"unknown run after recovery", false, false, []step{running}, reportOrphan, taskPending, 0, 0, true},
		{"requested, runs", false, true, []step{{0, taskmsg.RunRunning, 0}}, reportApplied, taskRunning, 0, 1, false},
		{"requested, never ran", false, true, []step{{0, taskmsg.RunNotStarted, 0}}, reportAcked, taskPending, 0, 0, true},
		{"never ran, reported twice", false, true, []step{{0, taskmsg.RunNotStarted, 0}, {0, taskmsg.RunNotStarted, 0}}, reportAcked, taskPending, 0, 0, true},
		{"another attempt than the requested one", false, true, []step{running}, reportOrphan, taskRequested, 0, 1, false},
		{"end of another attempt", false, true, []step{{old, taskmsg.RunLost, 0}}, reportAcked, taskRequested, 0, 1, false},
		{"failed, reported twice", false, true, []step{{0, taskmsg.RunFinished, 3}, {0, taskmsg.RunFinished, 3}}, reportApplied, taskPending, 1, 0, true},
		{"preempted", false, true, []step{{0, taskmsg.RunPreempted, 0}}, reportAcked, taskPending, 0, 0, true},
		{"reported running after its end", false, true, []step{{0, taskmsg.RunFinished, 0}, {0, taskmsg.RunRunning, 0}}, reportOrphan, taskDone, 0, 0, false},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			phase := phaseReady
			if tt.recovering {
				phase = phaseReconciling
			}
			o, j := newStaticOwner(t, phase, tt.recovering, spec.KindBatch, 2)
			now, present := time.Now(), 0
			if tt.order {
				j.ready = j.ready[1:]
				present = o.newAttempt(j, 0).Attempt
				o.ledger.Restore(j.rec.Job.Team, j.ledgerAccount(present), j.rec.Job.Task.Size, 1)
			}
			var got reportOutcome
			for _, s := range tt.steps {
				attempt := s.attempt
				if attempt == 0 {
					attempt = present
				}
				got = o.applyReport(reportOf(j, attempt, s.state, s.exit), now)
			}
			is := o.m.cfg.Source.(*cell).is
			is.Equal(got, tt.reportOutcome)
			is.Equal(j.tasks[0].state, tt.state)
			is.Equal(j.rec.Failures[0], tt.failures)
			is.Equal(j.active, tt.active)
			is.Equal(o.ledger.Used(j.rec.Job.Team), j.rec.Job.Task.Size.Times(int64(tt.active)))
			waits := 0
			for _, i := range j.ready {
				if i == 0 {
					waits++
				}
			}
			for _, d := range j.delayed {
				if d.index == 0 {
					waits++
				}
			}
			is.Equal(waits, map[bool]int{true: 1}[tt.wantPending])
		})
	}
}

// TestAcknowledgedOnlyOnceRecorded checks that the end of a run is acknowledged only once it is in
// the store, and how reports about an unknown job are handled.
func TestAcknowledgedOnlyOnceRecorded(t *testing.T) {
	o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 2)
	is := o.m.cfg.Source.(*cell).is
	j.ready = j.ready[1:]
	n := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunFinished, 0)
	is.Equal(o.applyReport(n, time.Now()), reportApplied)
	is.Equal(o.applyReport(n, time.Now()), reportApplied)
	o.writesInFlight++
	o.applyWriteResult(pendingWrite{job: j, version: j.version, doneTasks: append(bitmap(nil), j.rec.Done...)}, 7, nil, time.Now())
	is.Equal(o.applyReport(n, time.Now()), reportAcked)
	n.Run.Task.Job = "nobody's"
	is.Equal(o.applyReport(n, time.Now()), reportAcked)
	n.State = taskmsg.RunRunning
	is.Equal(o.applyReport(n, time.Now()), reportOrphan)
}
