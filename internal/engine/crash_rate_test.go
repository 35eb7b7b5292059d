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
	serviceSeeds = flag.Int("crashingservice.seeds", 2, "seeds for each case of services beside hosts that crash")
	serviceSeed  = flag.Uint64("crashingservice.seed", 1, "first seed")
)

// crashingService is a service of some tasks that each crash their hosts, beside unrelated work.
type crashingService struct {
	tasks     int
	after     time.Duration // time from the start to the crash
	powerLoss bool          // the machine goes down as well and resets no connection
	lostCalls bool
	maxLost   float64 // hosts that it may cost on average
}

func (c crashingService) execute(t *testing.T, seed uint64) (hostsLost int) {
	w := crashWorld(t, seed, 32)
	w.fleet.KeepID, w.fleet.PowerLossCrashes = seed%2 == 0, c.powerLoss
	w.fleet.CrashAfter = func(task spec.StepTask) time.Duration {
		if strings.HasPrefix(task.Job, allCrashingJob) {
			return c.after
		}
		return 0
	}
	if c.lostCalls {
		w.faults = faults{lostRequest: 0.05, lostReply: 0.1}
	}
	w.submitUnrelated(30 * time.Second)
	w.run(time.Duration(w.rnd.IntN(1000)) * time.Millisecond)
	s := longRunningStep(c.tasks, 6, 10)
	s.MaxPerHost = 1
	w.submit(allCrashingJob, catalog.Rules{}, s)
	w.run(90 * time.Second)
	is := is.New(t)
	is.Equal(w.reported[allCrashingJob], record.StateFailed)
	is.Equal(w.unrelatedNotCompleted(), nil)
	return w.fleet.Checker().HostsCrashedByTasks()
}

// TestServicesThatCrashTheirHosts guards against services whose tasks all crash their hosts and excuse each
// other by that: the hosts they crash made hosts seem to crash by themselves. Twelve tasks cost up to 240 hosts
// in 90 s, and unrelated jobs were failed for what ran beside them.
func TestServicesThatCrashTheirHosts(t *testing.T) {
	for name, c := range map[string]crashingService{
		"three tasks, 4 s":                  {tasks: 3, after: 4 * time.Second, maxLost: 11},
		"1.5 s":                             {tasks: 12, after: 1500 * time.Millisecond, maxLost: 38},
		"4 s":                               {tasks: 12, after: 4 * time.Second, maxLost: 38},
		"1.5 s, with the machine":           {tasks: 12, after: 1500 * time.Millisecond, powerLoss: true, maxLost: 44},
		"1.5 s, calls lost":                 {tasks: 12, after: 1500 * time.Millisecond, lostCalls: true, maxLost: 44},
		"1.5 s, with the machine, and lost": {tasks: 12, after: 1500 * time.Millisecond, powerLoss: true, lostCalls: true, maxLost: 50},
	} {
		t.Run(name, func(t *testing.T) {
			lost := 0
			for i := range uint64(*serviceSeeds) {
				lost += c.execute(t, *serviceSeed+i)
			}
			t.Logf("%d hosts lost in %d plays", lost, *serviceSeeds)
			is.New(t).True(float64(lost) <= c.maxLost*float64(*serviceSeeds))
		})
	}
}

// TestServicesOnHostsThatCrash guards against services that are failed where hosts crash by themselves at a
// high rate: all hosts alike, some machines again and again, or many hosts at once.
func TestServicesOnHostsThatCrash(t *testing.T) {
	const crashPeriod, calm = 60 * time.Second, 20 * time.Second
	for name, inject := range map[string]func(w *world){
		"any host, 5 a second": func(w *world) { w.atIntervals(200*time.Millisecond, crashPeriod, w.crashRandom) },
		"any host, 2 a second": func(w *world) { w.atIntervals(500*time.Millisecond, crashPeriod, w.crashRandom) },
		"some machines": func(w *world) {
			for i := range 6 {
				machine := fmt.Sprintf("h%02d", 5*i)
				w.atIntervals(6*time.Second, crashPeriod, func() { w.crashMachine(machine) })
			}
		},
		"many hosts at once": func(w *world) {
			w.atIntervals(6*time.Second, crashPeriod, func() {
				for range 16 {
					w.crashRandom()
				}
			})
		},
		"racks without power": func(w *world) { w.atIntervals(4*time.Second, crashPeriod, w.powerOffRack) },
	} {
		for _, tasks := range []int{1, 3, 12} {
			t.Run(fmt.Sprint(name, ", tasks: ", tasks), func(t *testing.T) {
				for i := range uint64(*serviceSeeds) {
					seed := *serviceSeed + i
					w := newWorld(t, seed)
					w.followsHosts = true
					w.fleet.KeepID = seed%2 == 0
					w.fleet.Add(32, "s", size(64, 128))
					w.failOver()
					w.run(time.Second)
					s := longRunningStep(tasks, 6, 10)
					s.MaxPerHost = 1
					w.submit("web", catalog.Rules{}, s)
					inject(w)
					w.run(crashPeriod + calm)
					w.checkInvariants()
					is := is.New(t)
					is.Equal(w.reported["web"], record.StateRunning)
					is.Equal(w.running("web"), tasks)
				}
			})
		}
	}
}

// atIntervals calls do at random times for a while, with the given mean interval.
func (w *world) atIntervals(mean, d time.Duration, do func()) {
	for at := time.Duration(w.rnd.Int64N(int64(mean))); at < d; at += mean/2 + time.Duration(w.rnd.Int64N(int64(mean))) {
		w.after(at, do)
	}
}

func (w *world) crashRandom() { w.randomHost().Restart() }

// crashMachine crashes the host of a machine, under whichever id it has.
func (w *world) crashMachine(name string) {
	w.eachHostNamed(name, func(h *hostsim.Host) { h.Restart() })
}

// powerOffRack lets a random rack lose power.
func (w *world) powerOffRack() {
	rack := w.randomHost().Info().Rack
	for _, h := range w.fleet.Hosts() {
		if h.Info().Rack == rack {
			h.RestartAfterPowerLoss()
		}
	}
}

func (w *world) eachHostNamed(prefix string, do func(h *hostsim.Host)) {
	for _, h := range w.fleet.Hosts() {
		if h.Up() && strings.HasPrefix(string(h.Info().ID), prefix) {
			do(h)
		}
	}
}
