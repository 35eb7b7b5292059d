package job

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// urgentStartLimit is the time within which urgent work must start in a full cell.
const urgentStartLimit = 5100 * time.Millisecond

// TestUrgentWorkStartsInTime submits urgent work to a cell filled with less urgent work.
func TestUrgentWorkStartsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, b := twoPlacers(t, 2)
		background := batch(2, 64, time.Hour)
		_, err := b.submit(background)
		c.is.NoErr(err)
		time.Sleep(20 * time.Second)
		c.is.Equal(c.checker.Record(time.Now(), false).Running, 64)
		job := batch(0, 6, 10*time.Second)
		job.Urgent = true
		c.setBranch("storm", func(v *settings.Values) { v.Task.Priority = 100 })
		job.Branch = "storm"
		submittedAt := time.Now()
		_, err = a.submit(job)
		c.is.NoErr(err)
		for {
			s, err := a.get(job.ID)
			c.is.NoErr(err)
			if s.TaskCounts.Running == 6 {
				break
			}
			if time.Since(submittedAt) > urgentStartLimit {
				t.Fatalf("urgent job does not run completely after %s: %+v", time.Since(submittedAt), s)
			}
			time.Sleep(50 * time.Millisecond)
		}
		a.await(job.ID, jobmsg.StateFinished, 30*time.Second)
		s, err := b.get(background.ID)
		c.is.NoErr(err)
		c.is.Equal(s.TaskCounts.Failures, 0) // a preemption does not count as a failure
		c.assertNoViolations()
	})
}

// twoTeamsOf returns two teams with the same home partition.
func twoTeamsOf(partitionID int) (one, two string) {
	for i := 0; two == ""; i++ {
		name := fmt.Sprintf("team%d", i)
		switch {
		case partition.OfTeam(name, testPartitions) != partitionID:
		case one == "":
			one = name
		default:
			two = name
		}
	}
	return one, two
}

// TestTeamsShare lets two teams with a backlog compete for a cell; one of them submitted far more
// work, and earlier.
func TestTeamsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 2)
		one, two := twoTeamsOf(0)
		for range 10 {
			j := batch(0, 200, 4*time.Second)
			j.Team = one
			_, err := a.submit(j)
			c.is.NoErr(err)
		}
		time.Sleep(time.Second)
		late := batch(0, 2000, 4*time.Second)
		late.Team = two
		_, err := a.submit(late)
		c.is.NoErr(err)
		time.Sleep(6 * time.Second) // until the tasks of the first team that started before have ended
		var lateUsage, earlyUsage time.Duration
		from := time.Now()
		time.Sleep(96 * time.Second)
		for task, places := range c.checker.Record(time.Now(), true).Tasks {
			of := &earlyUsage
			if strings.HasPrefix(task, late.ID) {
				of = &lateUsage
			}
			for _, p := range places {
				if p.Until.After(from) {
					*of += min(p.Until.Sub(from), time.Since(p.Started))
				}
			}
		}
		share := float64(lateUsage) / float64(lateUsage+earlyUsage)
		if share < 0.4 || share > 0.6 {
			t.Errorf("the later team used %.2f of the cell, want 0.4 to 0.6", share)
		}
		c.assertNoViolations()
	})
}

// TestReplacementsAreThrottled loses more tasks at one time than the burst of the rate limit.
func TestReplacementsAreThrottled(t *testing.T) {
	const tasks = replaceBurst + 3*replacePerSecond
	o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, tasks)
	is := o.m.cfg.Source.(*cell).is
	now := time.Now()
	j.ready = nil
	for i := range tasks {
		n := reportOf(j, o.newAttempt(j, i).Attempt, taskmsg.RunLost, 0)
		n.Run.Task.Index = i
		is.Equal(o.applyReport(n, now), reportAcked)
	}
	is.Equal(len(j.ready), 0)
	for second, want := range []int{replaceBurst, replaceBurst + replacePerSecond, replaceBurst + 2*replacePerSecond, tasks} {
		o.replaceLost(now.Add(time.Duration(second) * time.Second))
		is.Equal(len(j.ready), want)
	}
}

// TestUrgentReplacementsGoFirst loses urgent and other tasks at the same time.
func TestUrgentReplacementsGoFirst(t *testing.T) {
	o, j := newStaticOwner(t, phaseReady, false, spec.KindBatch, 2*replaceBurst)
	is := o.m.cfg.Source.(*cell).is
	urgent := o.addJob(spec.KindBatch, 2*replaceBurst)
	urgent.rec.Job.Urgent = true
	now := time.Now()
	for _, each := range []*job{j, urgent} {
		each.ready = nil
		for i := range each.tasks {
			n := reportOf(each, o.newAttempt(each, i).Attempt, taskmsg.RunLost, 0)
			n.Run.Task.Index = i
			o.applyReport(n, now)
		}
	}
	o.replaceLost(now)
	is.Equal(len(urgent.ready), 2*replaceBurst) // not throttled
	is.Equal(len(j.ready), 0)
}

// TestIdleJobsCauseNoCalls counts the peer calls of job owners whose jobs run without a change.
func TestIdleJobsCauseNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 4)
		for range 5 {
			_, err := a.submit(service(0, 4))
			c.is.NoErr(err)
		}
		time.Sleep(30 * time.Second)
		count := func() (n int) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, k := range c.calls {
				n += k
			}
			return n
		}
		before := count()
		time.Sleep(10 * time.Minute)
		c.is.Equal(count(), before)
	})
}

// TestExplain checks that an explanation states what a job waits for.
func TestExplain(t *testing.T) {
	cases := []struct {
		name string
		edit func(*spec.Job)
		want string
	}{
		{"quota", func(j *spec.Job) { j.Branch = "small" }, "the quota of team " + teamOf(0)},
		{"room", func(*spec.Job) {}, "room on the workers of holder a"},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, a, _ := twoPlacers(t, 1)
				c.setBranch("small", func(v *settings.Values) { v.Quota.MilliCPU = 2000 })
				job := batch(0, 64, time.Minute)
				tt.edit(&job)
				_, err := a.submit(job)
				c.is.NoErr(err)
				time.Sleep(20 * time.Second)
				r, err := a.explain(job.ID)
				c.is.NoErr(err)
				c.is.True(len(r.Explain.Placements) > 0)
				c.is.True(len(r.Explain.Decisions) > 0)
				found := false
				for _, w := range r.Explain.Waits {
					found = found || w.For == tt.want && w.FreedBy != ""
				}
				if !found {
					t.Errorf("%+v", r.Explain)
				}
			})
		})
	}
}

// TestAgedTaskGetsCapacity submits a task that needs a whole host to a cell that smaller tasks keep
// full, where any capacity that becomes free is used at once.
func TestAgedTaskGetsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, a, _ := twoPlacers(t, 2)
		var smallJobs []spec.Job
		for _, run := range []time.Duration{5 * time.Second, 7 * time.Second, 11 * time.Second} {
			small := batch(0, 1500, run)
			_, err := a.submit(small)
			c.is.NoErr(err)
			smallJobs = append(smallJobs, small)
		}
		time.Sleep(20 * time.Second)
		large := batch(0, 1, 5*time.Second)
		large.Task.Size = testSize
		_, err := a.submit(large)
		c.is.NoErr(err)
		a.await(large.ID, jobmsg.StateFinished, 4*time.Minute)
		waiting := 0
		for _, small := range smallJobs {
			s, err := a.get(small.ID)
			c.is.NoErr(err)
			waiting += s.TaskCounts.Waiting
		}
		c.is.True(waiting > 0) // otherwise the capacity became free by itself
		c.assertNoViolations()
	})
}
