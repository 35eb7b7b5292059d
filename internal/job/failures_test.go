package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// A job was given up one failure early after its home had moved. The home had counted a
// failed run and written it; the worker's holder had not heard so yet, and told the next
// home of the same run: "a task ended with a failure on worker w", once at each home.

// nextHome gives what the store has of a job to a home that takes over.
func nextHome(t *testing.T, of *home, j *job) (*home, *job) {
	t.Helper()
	stored, err := encodeRecord(j.rec)
	if err != nil {
		t.Fatal(err)
	}
	rec, err := decodeRecord(stored)
	if err != nil {
		t.Fatal(err)
	}
	h, _ := still(t, phaseReconciling, true, spec.KindBatch, 1)
	h.epoch = of.epoch + 1 // which numbers of attempts begin with
	next := newJob(rec)
	next.certain, next.recoverable = true, true
	h.add(next)
	return h, next
}

func TestAFailureCountsOnceAcrossHomes(t *testing.T) {
	is := is.New(t)
	h, j := still(t, phaseReady, false, spec.KindBatch, 2)
	now := time.Now()
	news := runOf(j, h.reserve(j, 0).Attempt, taskmsg.RunFinished, 1)
	h.apply(news, now)
	is.Equal(j.rec.Failures[0], 1)
	for range 2 {
		h, j = nextHome(t, h, j)
		h.apply(news, now)
		is.Equal(j.rec.Failures[0], 1)
		is.Equal(j.tasks[0].state, taskPending)
	}
	h.recovered(now)
	again := runOf(j, h.reserve(j, 0).Attempt, taskmsg.RunFinished, 1)
	h.apply(again, now)
	is.Equal(j.rec.Failures[0], 2)
	h, j = nextHome(t, h, j)
	h.apply(again, now)
	h.apply(news, now)
	is.Equal(j.rec.Failures[0], 2)
}

// A gang whose members broke off, as one of them had ended, was stopped as faulty after its
// first run: each member's failure counted on a worker of its own, "failed on 3 different
// workers within 10m0s". One run of a gang fails once.
func TestAGangsRunFailsOnce(t *testing.T) {
	const members = 5
	start := func(h *home, j *job) []taskmsg.RunNews {
		h.moveGang(j, gangEventHold)
		h.moveGang(j, gangEventStart)
		var failed []taskmsg.RunNews
		for i := range j.tasks {
			slot := h.reserve(j, i)
			n := runOf(j, slot.Attempt, taskmsg.RunRunning, 0)
			n.Run.Task.Index, n.Worker = i, fmt.Sprint("w", i)
			h.apply(n, time.Now())
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
	t.Run("one home", func(t *testing.T) {
		is := is.New(t)
		h, j := still(t, phaseReady, false, spec.KindGang, members)
		for run := 1; run <= 2; run++ {
			for _, n := range start(h, j) {
				h.apply(n, time.Now())
			}
			is.Equal(failures(j), run)
			is.True(!j.ending())
			is.Equal(j.active, 0)
			is.True(j.gang.is(gangIdle))
		}
	})
	t.Run("homes change", func(t *testing.T) {
		is := is.New(t)
		h, j := still(t, phaseReady, false, spec.KindGang, members)
		failed := start(h, j)
		h.apply(failed[3], time.Now())
		h, j = nextHome(t, h, j)
		for _, n := range failed {
			h.apply(n, time.Now())
		}
		is.Equal(failures(j), 1)
		is.True(!j.ending())
	})
	t.Run("told to the next home first", func(t *testing.T) {
		is := is.New(t)
		h, j := still(t, phaseReady, false, spec.KindGang, members)
		failed := start(h, j)
		h, j = nextHome(t, h, j)
		for _, n := range failed {
			h.apply(n, time.Now())
		}
		is.Equal(failures(j), 1)
		is.True(!j.ending())
	})
}
