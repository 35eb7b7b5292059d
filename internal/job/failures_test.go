package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// A job was failed one failure early after a failover. The previous job owner had counted and
// recorded a failed run but had not yet acknowledged it to the host's holder, which reported it
// again to the next job owner, so it was counted twice.

// nextOwner passes a job's record on to a job owner that acquires the partition.
func nextOwner(t *testing.T, of *jobOwner, j *job) (*jobOwner, *job) {
	t.Helper()
	stored, err := encodeRecord(j.rec)
	if err != nil {
		t.Fatal(err)
	}
	rec, err := decodeRecord(stored)
	if err != nil {
		t.Fatal(err)
	}
	o, _ := newStaticOwner(t, phaseReconciling, true, spec.KindBatch, 1)
	o.epoch = of.epoch + 1 // the prefix of attempt numbers
	next := newJob(rec)
	next.recordConfirmed, next.inherited = true, true
	o.add(next)
	return o, next
}

func TestFailureCountsOnceAcrossOwners(t *testing.T) {
	is := is.New(t)
	o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 2)
	now := time.Now()
	report := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunFinished, 1)
	o.applyReport(report, now)
	is.Equal(j.rec.Failures[0], 1)
	for range 2 {
		o, j = nextOwner(t, o, j)
		o.applyReport(report, now)
		is.Equal(j.rec.Failures[0], 1)
		is.Equal(j.tasks[0].state, taskPending)
	}
	o.finishRecovery(now)
	again := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunFinished, 1)
	o.applyReport(again, now)
	is.Equal(j.rec.Failures[0], 2)
	o, j = nextOwner(t, o, j)
	o.applyReport(again, now)
	o.applyReport(report, now)
	is.Equal(j.rec.Failures[0], 2)
}

// A gang whose members exited because one of them had ended was failed after its first run: each
// member's failure was counted for a different host ("failed on 3 different workers within 10m0s").
// A run of a gang must count as one failure.
func TestGangRunFailsOnce(t *testing.T) {
	const members = 5
	start := func(o *jobOwner, j *job) []taskmsg.RunReport {
		o.fireGangEvent(j, gangEventHold)
		o.fireGangEvent(j, gangEventStart)
		var failed []taskmsg.RunReport
		for i := range j.tasks {
			slot := o.newAttempt(j, i)
			n := reportOf(j, slot.Attempt, taskmsg.RunRunning, 0)
			n.Run.Task.Index, n.Worker = i, fmt.Sprint("w", i)
			o.applyReport(n, time.Now())
			n.State, n.ExitCode = taskmsg.RunFinished, 1
			failed = append(failed, n)
		}
		return failed
	}
	failures := func(j *job) int {
		n := 0
		for _, f := range j.rec.Failures {
			n += f
		}
		return n
	}
	t.Run("one job owner", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindGang, members)
		for run := 1; run <= 2; run++ {
			for _, n := range start(o, j) {
				o.applyReport(n, time.Now())
			}
			is.Equal(failures(j), run)
			is.True(!j.ending())
			is.Equal(j.active, 0)
			is.True(j.gang.is(gangIdle))
		}
	})
	t.Run("job owner changes", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindGang, members)
		failed := start(o, j)
		o.applyReport(failed[3], time.Now())
		o, j = nextOwner(t, o, j)
		for _, n := range failed {
			o.applyReport(n, time.Now())
		}
		is.Equal(failures(j), 1)
		is.True(!j.ending())
	})
	t.Run("reported to the next job owner first", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindGang, members)
		failed := start(o, j)
		o, j = nextOwner(t, o, j)
		for _, n := range failed {
			o.applyReport(n, time.Now())
		}
		is.Equal(failures(j), 1)
		is.True(!j.ending())
	})
}
