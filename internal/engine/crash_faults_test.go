package engine

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

var (
	faultSeeds     = flag.Int("trouble.seeds", 2, "seeds for each case of tasks that crash their hosts beside other faults")
	firstFaultSeed = flag.Uint64("trouble.seed", 1, "first seed")
)

// Durations of the load.
const (
	faultPeriod  = 24 * time.Second
	settlePeriod = 60 * time.Second
)

// faultCases are injected beside tasks that crash their hosts, one at a time; failoverCases replace the
// holder as well.
var faultCases = map[string]func(w *world){
	"none":         func(*world) {},
	"lost answers": func(w *world) { w.faults = faults{lostRequest: 0.2, lostReply: 0.33} },
	"late orders":  func(w *world) { w.faults = faults{delayedRequest: 0.3} },
	"restarts while disconnected": func(w *world) {
		w.atRandomTimes(800*time.Millisecond, func() {
			h := w.randomHost()
			outage := time.Duration(200+w.rnd.IntN(7000)) * time.Millisecond
			w.disconnect(h, outage)
			if w.rnd.IntN(2) == 0 {
				w.after(time.Duration(w.rnd.IntN(int(outage))), h.RestartAfterPowerLoss)
			}
		})
	},
}

var failoverCases = map[string]func(w *world){
	"failovers": func(w *world) { w.atRandomTimes(4*time.Second, w.failOver) },
	"all": func(w *world) {
		w.faults = faults{lostRequest: 0.1, lostReply: 0.15, delayedRequest: 0.1}
		w.atRandomTimes(5*time.Second, w.failOver)
		w.atRandomTimes(1500*time.Millisecond, func() {
			h := w.randomHost()
			w.disconnect(h, time.Duration(200+w.rnd.IntN(7000))*time.Millisecond)
			w.after(time.Duration(w.rnd.IntN(3000))*time.Millisecond, h.RestartAfterPowerLoss)
		})
	},
}

// atRandomTimes calls do at random times, with the given mean interval, while faults are injected.
func (w *world) atRandomTimes(meanInterval time.Duration, do func()) {
	for at := time.Second; at < faultPeriod; at += time.Duration(w.rnd.Int64N(2 * int64(meanInterval))) {
		w.after(at, do)
	}
}

func (w *world) randomHost() *hostsim.Host {
	all := w.fleet.Hosts()
	return all[w.rnd.IntN(len(all))]
}

// faultResult counts the outcomes of a load.
type faultResult struct {
	crashing, unrelated int // jobs
	hostsCrashed        int // hosts crashed by the crashing jobs
	notFailed           int // crashing jobs that were not failed in the end
	failedUnrelated     int // unrelated jobs reported as failed, with cause or without
	withoutCause        int // jobs of either kind that were failed without cause
	overBudget          int // tasks that were started too often
	otherViolations     int
}

// runWithFaults runs jobs that crash their hosts, one or two a second, beside unrelated ones.
func runWithFaults(t testing.TB, seed uint64, inject func(w *world)) *world {
	w := crashWorld(t, seed, 32)
	w.fleet.KeepID = seed%2 == 0
	between := func(least, most int) int64 { return int64(least + w.rnd.IntN(most-least+1)) }
	submit := func(at time.Duration, id string, rules catalog.Rules, s spec.Step) {
		w.after(at, func() { w.submit(id, rules, s) })
	}
	for at, n := time.Duration(0), 0; at < faultPeriod; at, n = at+time.Duration(between(20, 180))*time.Millisecond, n+1 {
		submit(at, fmt.Sprint("urgent-", n), catalog.Rules{}, step(int(between(1, 5)), between(2, 8), 7, between(200, 1200)))
		if n%8 == 0 {
			submit(at, fmt.Sprint("wide-", n), catalog.Rules{MaxAttempts: 2, Priority: 1}, step(10, 4, 7, between(500, 3000)))
		}
	}
	for at, n := 2*time.Second, 0; at < faultPeriod-4*time.Second; at, n = at+time.Duration(between(400, 1600))*time.Millisecond, n+1 {
		submit(at, fmt.Sprint(crashingJob, n), catalog.Rules{}, step(int(between(1, 4)), between(2, 8), 7, 640))
	}
	inject(w)
	w.run(faultPeriod)
	w.faults = faults{}
	w.run(settlePeriod)
	return w
}

// String reports the counts.
func (c faultResult) String() string {
	return fmt.Sprintf("%d hosts lost to %d crashing jobs, %d of these not failed; %d of %d unrelated jobs failed; %d jobs failed without cause, %d tasks started too often, %d other violations",
		c.hostsCrashed, c.crashing, c.notFailed, c.failedUnrelated, c.unrelated, c.withoutCause, c.overBudget, c.otherViolations)
}

// count adds the outcomes of a finished load.
func (c *faultResult) count(w *world) {
	c.hostsCrashed += w.fleet.Checker().HostsCrashedByTasks()
	for id := range w.jobs {
		reported := w.reported[id]
		switch crashing := strings.HasPrefix(id, crashingJob); {
		case crashing && reported != record.StateFailed:
			c.crashing++
			c.notFailed++
		case crashing:
			c.crashing++
		case reported == record.StateFailed:
			c.unrelated++
			c.failedUnrelated++
		default:
			c.unrelated++
		}
	}
	for _, violation := range w.fleet.Checker().Violations() {
		switch {
		case strings.Contains(violation, ": LOST"):
			c.withoutCause++
		case strings.Contains(violation, ": BUDGET"):
			c.overBudget++
		default:
			c.otherViolations++
		}
	}
}

// TestCrashingJobsWithFaults checks that, whatever other faults occur, a task that crashes its hosts is
// started at most twice more after three of them, that its job ends as failed once the faults are over,
// and that no job is failed without cause.
func TestCrashingJobsWithFaults(t *testing.T) { testWithFaults(t, faultCases) }

// TestCrashingJobsWithFailovers is the same while holders change every few seconds.
func TestCrashingJobsWithFailovers(t *testing.T) { testWithFaults(t, failoverCases) }

func testWithFaults(t *testing.T, rows map[string]func(w *world)) {
	for name, inject := range rows {
		t.Run(name, func(t *testing.T) {
			var c faultResult
			for i := range uint64(*faultSeeds) {
				seed := *firstFaultSeed + i
				w := runWithFaults(t, seed, inject)
				w.checkInvariants()
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: %d jobs are not final, such as %s", seed, len(left), left[0])
				}
				c.count(w)
			}
			t.Log(c)
			is := is.New(t)
			is.Equal(c.notFailed, 0)
			is.Equal(c.overBudget, 0)
			is.Equal(c.withoutCause, 0)
		})
	}
}

// TestCrashingJobsWhoseRackFails guards against excusing crashes whose machines had power. Hosts of one
// rack terminated one after the other, some crashed by tasks and some by themselves; once the whole rack
// had failed, each of these crashes was excused as by a power failure, and tasks were started three times
// more after three hosts had crashed under them, each of which had refused connections.
func TestCrashingJobsWhoseRackFails(t *testing.T) {
	for _, seed := range []uint64{119, 139} {
		runWithFaults(t, seed, failoverCases["all"]).checkInvariants()
	}
}
