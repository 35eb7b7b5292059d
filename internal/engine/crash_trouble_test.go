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
	troubleSeeds = flag.Int("trouble.seeds", 2, "seeds for each row of tasks that crash their hosts amid other trouble")
	troubleFirst = flag.Uint64("trouble.seed", 1, "first of them")
)

// Times of the load.
const (
	troubleLasts   = 24 * time.Second
	troubleSettles = 60 * time.Second
)

// troubles strike beside tasks that crash their hosts, each by itself; troublesOfHolders
// replace the holder, too.
var troubles = map[string]func(w *world){
	"calm":         func(*world) {},
	"lost answers": func(w *world) { w.faults = faults{lostRequest: 0.2, lostAnswer: 0.33} },
	"late orders":  func(w *world) { w.faults = faults{late: 0.3} },
	"cuts with restarts behind them": func(w *world) {
		w.everyNowAndThen(800*time.Millisecond, func() {
			h := w.anyHost()
			cutFor := time.Duration(200+w.rnd.IntN(7000)) * time.Millisecond
			w.cutOff(h, cutFor)
			if w.rnd.IntN(2) == 0 {
				w.after(time.Duration(w.rnd.IntN(int(cutFor))), h.RestartDark)
			}
		})
	},
}

var troublesOfHolders = map[string]func(w *world){
	"take-overs": func(w *world) { w.everyNowAndThen(4*time.Second, w.takeOver) },
	"all": func(w *world) {
		w.faults = faults{lostRequest: 0.1, lostAnswer: 0.15, late: 0.1}
		w.everyNowAndThen(5*time.Second, w.takeOver)
		w.everyNowAndThen(1500*time.Millisecond, func() {
			h := w.anyHost()
			w.cutOff(h, time.Duration(200+w.rnd.IntN(7000))*time.Millisecond)
			w.after(time.Duration(w.rnd.IntN(3000))*time.Millisecond, h.RestartDark)
		})
	},
}

// everyNowAndThen does something at random moments, so far apart at the mean, while the
// trouble lasts.
func (w *world) everyNowAndThen(mean time.Duration, do func()) {
	for at := time.Second; at < troubleLasts; at += time.Duration(w.rnd.Int64N(2 * int64(mean))) {
		w.after(at, do)
	}
}

func (w *world) anyHost() *hostsim.Host {
	all := w.fleet.Hosts()
	return all[w.rnd.IntN(len(all))]
}

// troubleCount is what came of a load.
type troubleCount struct {
	guilty, innocent int // jobs
	struck           int // hosts lost to the guilty
	unended          int // guilty jobs that were not given up in the end
	givenUp          int // innocent jobs shown as failed, with cause or without
	without          int // of those, and of the guilty, the ones without cause
	budget           int // tasks that were started too often
	other            int // breaches of other promises
}

// playTrouble plays jobs that crash their hosts, one or two a second, beside innocent ones.
func playTrouble(t testing.TB, seed uint64, strike func(w *world)) *world {
	w := crashWorld(t, seed, 32)
	w.fleet.KeepsID = seed%2 == 0
	between := func(least, most int) int64 { return int64(least + w.rnd.IntN(most-least+1)) }
	submit := func(at time.Duration, id string, rules catalog.Rules, s spec.Step) {
		w.after(at, func() { w.submit(id, rules, s) })
	}
	for at, n := time.Duration(0), 0; at < troubleLasts; at, n = at+time.Duration(between(20, 180))*time.Millisecond, n+1 {
		submit(at, fmt.Sprint("urgent-", n), catalog.Rules{}, step(int(between(1, 5)), between(2, 8), 7, between(200, 1200)))
		if n%8 == 0 {
			submit(at, fmt.Sprint("wide-", n), catalog.Rules{Attempts: 2, Priority: 1}, step(10, 4, 7, between(500, 3000)))
		}
	}
	for at, n := 2*time.Second, 0; at < troubleLasts-4*time.Second; at, n = at+time.Duration(between(400, 1600))*time.Millisecond, n+1 {
		submit(at, fmt.Sprint(culprit, n), catalog.Rules{}, step(int(between(1, 4)), between(2, 8), 7, 640))
	}
	strike(w)
	w.run(troubleLasts)
	w.faults = faults{}
	w.run(troubleSettles)
	return w
}

// String tells the counts.
func (c troubleCount) String() string {
	return fmt.Sprintf("%d hosts lost to %d guilty jobs, %d of these not given up; %d of %d innocent jobs given up; %d jobs given up without cause, %d tasks started too often, %d other breaches",
		c.struck, c.guilty, c.unended, c.givenUp, c.innocent, c.without, c.budget, c.other)
}

// count counts what came of the load that was played.
func (c *troubleCount) count(w *world) {
	c.struck += w.fleet.Judge().HostsStruck()
	for id := range w.jobs {
		shown := w.shown[id]
		switch guilty := strings.HasPrefix(id, culprit); {
		case guilty && shown != record.StateFailed:
			c.guilty++
			c.unended++
		case guilty:
			c.guilty++
		case shown == record.StateFailed:
			c.innocent++
			c.givenUp++
		default:
			c.innocent++
		}
	}
	for _, wrong := range w.fleet.Judge().Wrong() {
		switch {
		case strings.Contains(wrong, ": LOST"):
			c.without++
		case strings.Contains(wrong, ": BUDGET"):
			c.budget++
		default:
			c.other++
		}
	}
}

// TestCrashersAmidTrouble: whatever else goes wrong, a task that crashes its hosts is started
// twice more at the most after three of them, its job ends as failed once the trouble is over,
// and no job is given up without cause.
func TestCrashersAmidTrouble(t *testing.T) { amidTrouble(t, troubles) }

// TestCrashersAmidTakeOvers is the same while holders change every few seconds.
func TestCrashersAmidTakeOvers(t *testing.T) { amidTrouble(t, troublesOfHolders) }

func amidTrouble(t *testing.T, rows map[string]func(w *world)) {
	for name, strike := range rows {
		t.Run(name, func(t *testing.T) {
			var c troubleCount
			for i := range uint64(*troubleSeeds) {
				seed := *troubleFirst + i
				w := playTrouble(t, seed, strike)
				w.check()
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: %d jobs are not final, such as %s", seed, len(left), left[0])
				}
				c.count(w)
			}
			t.Log(c)
			is := is.New(t)
			is.Equal(c.unended, 0)
			is.Equal(c.budget, 0)
			is.Equal(c.without, 0)
		})
	}
}

// Hosts of one rack ended one after the other, by tasks and by themselves, and once the whole rack
// had, each of these crashes was excused, as for a power cut: tasks were started three times more
// after three hosts had crashed under them, each of which had turned calls away.
//
// TestCrashersWhoseRackGoes guards against excuses for crashes whose machines had power.
func TestCrashersWhoseRackGoes(t *testing.T) {
	for _, seed := range []uint64{119, 139} {
		playTrouble(t, seed, troublesOfHolders["all"]).check()
	}
}
