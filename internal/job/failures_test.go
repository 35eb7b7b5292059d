package job

import (
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
