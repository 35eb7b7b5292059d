package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// TestWaysToCrashHosts checks that a task that crashes its hosts is failed before it is started three
// times more after three of them, whenever and however it crashes them, and that no other job is failed.
func TestWaysToCrashHosts(t *testing.T) {
	for name, tc := range map[string]struct {
		after     time.Duration // time from the start to the crash
		powerLoss bool          // the machine goes down as well and resets no connection
		keepsID   bool          // hosts restart under the same ids
	}{
		"at once":                              {after: 10 * time.Millisecond},
		"before the answer":                    {after: time.Microsecond},
		"late":                                 {after: 1500 * time.Millisecond},
		"late, under its id":                   {after: 1500 * time.Millisecond, keepsID: true},
		"at its expected end":                  {after: 1900 * time.Millisecond},
		"at once, with the machine":            {after: 10 * time.Millisecond, powerLoss: true},
		"late, with the machine":               {after: 1500 * time.Millisecond, powerLoss: true},
		"late, with the machine, under its id": {after: 1500 * time.Millisecond, powerLoss: true, keepsID: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 2; seed++ {
				is := is.New(t)
				w := crashWorld(t, seed, 32)
				w.fleet.KeepID, w.fleet.PowerLossCrashes = tc.keepsID, tc.powerLoss
				w.fleet.CrashAfter = func(task spec.StepTask) time.Duration {
					if strings.HasPrefix(task.Job, crashingJob) && task.Index == 0 {
						return tc.after
					}
					return 0
				}
				w.submitUnrelated(20 * time.Second)
				w.run(2 * time.Second)
				const jobs = 4
				for i := range jobs {
					w.after(time.Duration(i)*3*time.Second, func() { w.submit(fmt.Sprint(crashingJob, i), catalog.Rules{}, step(3, 6, 10, 2000)) })
				}
				w.run(90 * time.Second)
				w.checkInvariants()
				t.Logf("seed %d: %d hosts lost to %d jobs", seed, w.fleet.Checker().HostsCrashedByTasks(), jobs)
				for i := range jobs {
					is.Equal(w.reported[fmt.Sprint(crashingJob, i)], record.StateFailed)
				}
				is.Equal(w.unrelatedNotCompleted(), nil)
			}
		})
	}
}

// TestServiceThatCrashesAllItsHosts guards against a service that crashes hosts without end: each of its
// tasks crashes its host late. The crashes that it causes itself raise the rate at which hosts seem to
// crash by themselves, and so excuse it.
func TestServiceThatCrashesAllItsHosts(t *testing.T) {
	w := crashWorld(t, 2001, 32)
	w.fleet.CrashAfter = func(spec.StepTask) time.Duration { return 1500 * time.Millisecond }
	s := longRunningStep(12, 6, 10)
	s.MaxPerHost = 1
	w.submit(allCrashingJob, catalog.Rules{}, s)
	w.run(90 * time.Second)
	t.Logf("%d hosts lost", w.fleet.Checker().HostsCrashedByTasks())
	is.New(t).Equal(w.reported[allCrashingJob], record.StateFailed)
	w.checkInvariants()
}
