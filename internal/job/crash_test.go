package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// A run that is gone with its worker was replaced without an end, however many workers a
// task took with it: only failures that a worker reports counted against the branch's
// attempts. The home is told of each loss once, as "worker w0 is gone", and the task stood
// among the ready ones again right after.

// loseRepeatedly lets task 0 of a job start on one worker after the other, each of which is gone a
// moment later, and returns how many were until the job ended, at most ten.
func loseRepeatedly(o *jobOwner, j *job, now time.Time, each func(n int) (worker, zone string)) (int, time.Time) {
	for n := range 10 {
		if j.ending() {
			return n, now
		}
		slot := o.newAttempt(j, 0)
		for _, state := range []taskmsg.RunState{taskmsg.RunRunning, taskmsg.RunLost} {
			news := reportOf(j, slot.Attempt, state, 0)
			news.Worker, news.Zone = each(n)
			o.applyReport(news, now)
			now = now.Add(20 * time.Millisecond)
		}
		now = now.Add(10 * time.Second)
		o.replaceLost(now)
	}
	return 10, now
}

func distinctWorkers(n int) (worker, zone string) { return fmt.Sprint("w", n), fmt.Sprint("z", n%3) }

// TestTaskThatCrashesWorkers: a task under which three workers went is given up with its
// job, and the record tells the next home of those before.
func TestTaskThatCrashesWorkers(t *testing.T) {
	t.Run("batch", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		n, _ := loseRepeatedly(o, j, time.Now(), distinctWorkers)
		is.Equal(n, 3)
		is.Equal(j.rec.Code, result.JobCrashesHosts)
	})
	t.Run("homes change", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		now, all := time.Now(), 0
		for !j.ending() && all < 10 {
			slot := o.newAttempt(j, 0)
			news := reportOf(j, slot.Attempt, taskmsg.RunLost, 0)
			news.Worker, news.Zone = distinctWorkers(all)
			o.applyReport(news, now)
			now, all = now.Add(10*time.Second), all+1
			stored, err := encodeRecord(j.rec)
			is.NoErr(err)
			rec, err := decodeRecord(stored)
			is.NoErr(err)
			if j.ending() {
				break
			}
			o, _ = newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
			o.epoch = uint64(all + 1) // which numbers of attempts begin with
			j = newJob(rec)
			j.recordConfirmed = true
			o.add(j)
			o.enqueueAll(j)
		}
		is.Equal(j.rec.Code, result.JobCrashesHosts)
		is.True(all <= 4)
	})
	t.Run("service", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindService, 1)
		n, now := loseRepeatedly(o, j, time.Now(), distinctWorkers)
		is.Equal(n, 10) // services are tried for ever, ever more slowly
		is.True(len(j.delayed) > 0)
		is.True(j.delayed[len(j.delayed)-1].due.Sub(now) >= 5*time.Second)
	})
	t.Run("a zone is lost", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 20)
		now := time.Now()
		for range 3 {
			for i := range j.tasks {
				n := reportOf(j, o.newAttempt(j, i).Attempt, taskmsg.RunLost, 0)
				n.Run.Task.Index = i
				n.Worker = fmt.Sprint("w", i)
				o.applyReport(n, now)
			}
			now = now.Add(time.Minute)
			o.replaceLost(now)
		}
		is.True(!j.ending())
	})
}

// A job was given up (5212) though no worker had been seen to crash under its task: three
// starts had gone to workers that were silent already. "3 hosts crashed under it: w0 under
// run 1 (not seen there), w1 under run 2 (not seen there), w2 under run 3 (not seen there)".
// Doubt was added up until it was enough. It now makes the next start wait, ever longer.

// loseUnconfirmed lets task 0 be lost n times in a row without a crash that was seen, on one worker
// after the other, and returns the waits before its next starts.
func loseUnconfirmed(t *testing.T, o *jobOwner, j *job, now time.Time, n int) ([]time.Duration, time.Time) {
	var waits []time.Duration
	for lost := range n {
		news := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunLost, 0)
		news.Worker, news.Zone = distinctWorkers(lost)
		news.Unseen = true
		o.applyReport(news, now)
		if j.ending() {
			t.Fatalf("ended after %d losses: %s", lost+1, j.rec.Reason)
		}
		now = now.Add(time.Minute)
		j.ready, j.delayed = nil, nil
		o.replaceLost(now)
		waits = append(waits, nextStart(j, now).Sub(now))
	}
	return waits, now
}

// nextStart is when the only waiting task of a job may start.
func nextStart(j *job, now time.Time) time.Time {
	if len(j.delayed) > 0 {
		return j.delayed[0].due
	}
	return now
}

func TestUnconfirmedLossesNeverFailJob(t *testing.T) {
	t.Run("waits longer each time", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		waits, _ := loseUnconfirmed(t, o, j, time.Now(), 40)
		is.Equal(waits[0], time.Duration(0)) // once may be chance
		is.Equal(waits[1], failureBackoffMin)
		for i := 2; i < len(waits); i++ {
			is.Equal(waits[i], min(2*waits[i-1], failureBackoffMax))
		}
		is.True(len(j.rec.Crashes[0]) <= maxCrashes) // the record does not grow for ever
	})
	t.Run("beside crashes that were seen", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		_, now := loseUnconfirmed(t, o, j, time.Now(), maxCrashes)
		seen := 0
		for ; !j.ending() && seen < 10; seen++ {
			news := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunLost, 0)
			news.Worker = fmt.Sprint("v", seen)
			o.applyReport(news, now)
			now = now.Add(time.Minute)
			o.replaceLost(now)
		}
		is.Equal(seen, 3) // as many as without the others
		is.True(!strings.Contains(j.rec.Reason, "not seen"))
		is.True(strings.Contains(j.rec.Reason, "3 hosts"))
	})
	t.Run("seen later on", func(t *testing.T) {
		is := is.New(t)
		o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
		_, now := loseUnconfirmed(t, o, j, time.Now(), 3)
		for i, c := range slices.Clone(j.rec.Crashes[0]) {
			is.True(!j.ending())
			news := reportOf(j, c.Run, taskmsg.RunLost, 0)
			news.Worker, news.Zone = distinctWorkers(i)
			o.applyReport(news, now) // another life of the worker has answered
			o.applyReport(news, now) // told again
		}
		is.Equal(j.rec.Code, result.JobCrashesHosts)
	})
}

// A run whose start the holder had answered counted as one that an earlier home had begun:
// only news told since when it ran, and there is none after an answer. So a crash after
// hours was weighed as one after a second, and a service's old crashes were never forgotten,
// however long it ran in between.
func TestRunTimeCountsFromStartReply(t *testing.T) {
	cases := map[string]struct {
		ran  time.Duration
		kept int // losses on record
	}{
		"lost soon":       {crashloop.ProvenAfter - time.Second, 4},
		"proven, as lost": {crashloop.ProvenAfter, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, j := newStaticOwner(t, phaseReady, false, spec.KindService, 1)
			_, now := loseRepeatedly(o, j, time.Now(), distinctWorkers)
			j.rec.Crashes[0] = j.rec.Crashes[0][:3]
			slot := o.newAttempt(j, 0)
			result := taskmsg.SlotResult{Slot: slot, Outcome: taskmsg.OutcomeStarted, Worker: "w", Zone: "z", Partition: 1, Epoch: 1}
			o.applyPlaceReply(j, holder{member: "m"}, []taskmsg.Slot{slot}, taskmsg.PlaceReply{Results: []taskmsg.SlotResult{result}}, nil, now)
			o.applyReport(reportOf(j, slot.Attempt, taskmsg.RunLost, 0), now.Add(tc.ran))
			is.Equal(len(j.rec.Crashes[0]), tc.kept)
		})
	}
}

// A run that was there once, and may have ended unheard before its worker started again, was told
// as a crash: three of them gave a job up, whose reason said of each "there at its end".
//
// TestRunsThatWereThereOnce guards against verdicts on such news: less than five on workers of
// their own give nothing up, nor any number on one worker, until they turn out to be more.
func TestLossesWithoutCrashEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		workers func(n int) (worker, zone string)
		first   taskmsg.Sight // what is told of each at first
		delayed taskmsg.Sight // what is told of each in the end
		most    int           // losses until the job is given up; zero for never
	}{
		"told at once":                {workers: distinctWorkers, first: taskmsg.SightThere, delayed: taskmsg.SightThere, most: 5},
		"each on a worker of its own": {workers: distinctWorkers, delayed: taskmsg.SightThere, most: 5},
		"all on one worker":           {workers: func(int) (string, string) { return "w", "z" }, delayed: taskmsg.SightThere},
		"proven later":                {workers: distinctWorkers, delayed: taskmsg.SightCrash, most: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 1)
			lost, now := 0, time.Now()
			for ; !j.ending() && lost < 2*maxCrashes; lost++ {
				news := reportOf(j, o.newAttempt(j, 0).Attempt, taskmsg.RunLost, 0)
				news.Worker, news.Zone = tc.workers(lost)
				for s := tc.first; s <= tc.delayed; s++ {
					news.Saw(s)
					o.applyReport(news, now)
				}
				now = now.Add(time.Minute)
				j.ready, j.delayed = nil, nil
				o.replaceLost(now)
			}
			is.Equal(j.ending(), tc.most > 0)
			if tc.most > 0 {
				is.Equal(lost, tc.most)
				is.Equal(strings.Contains(j.rec.Reason, crashloop.HowProven), tc.delayed == taskmsg.SightCrash)
			}
		})
	}
}
