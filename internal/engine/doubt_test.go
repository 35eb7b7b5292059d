package engine

import (
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/hostsim"
	"pulleyquay/internal/record"
)

// The search looks for jobs that are given up without cause: whatever gets lost, comes late or
// goes dark, no task of these jobs ever crashes a host.

var (
	doubtSeeds = flag.Int("doubt.seeds", 12, "seeds for each kind of fault in the search for jobs given up without cause")
	doubtFirst = flag.Uint64("doubt.seed", 1, "first of them")
	doubtLog   = flag.Bool("doubt.log", false, "print what the log told of each such job")
	doubtKind  = flag.String("doubt.kind", "", "the one kind of fault to play; empty plays all")
)

// doubtKinds are the faults on calls, each of which is played by itself.
var doubtKinds = map[string]faults{
	"none":                      {},
	"lost requests":             {lostRequest: 0.3},
	"lost answers":              {lostAnswer: 0.3},
	"late orders":               {late: 0.3},
	"late looks and views":      {lateLooks: 0.5, lateViews: 0.5},
	"late looks, views, orders": {late: 0.3, lateLooks: 0.5, lateViews: 0.5},
	"unsure looks, lost calls":  {lostRequest: 0.2, lostAnswer: 0.2, unsure: 0.5},
	"all":                       {lostRequest: 0.1, lostAnswer: 0.1, late: 0.1, unsure: 0.3, lateLooks: 0.3, lateViews: 0.3},
}

// TestNoJobGivenUpWithoutCause plays hosts that are cut off, start again behind cuts and not,
// lose power or go for good, while holders change and calls get lost or late. Half of the
// seeds keep hosts' ids.
func TestNoJobGivenUpWithoutCause(t *testing.T) {
	for name, kind := range doubtKinds {
		if *doubtKind != "" && *doubtKind != name {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*doubtSeeds) {
				seed := *doubtFirst + i
				w := playDoubt(t, seed, kind)
				for _, wrong := range w.fleet.Judge().Wrong() {
					t.Errorf("seed %d: %s", seed, wrong)
				}
				for id, shown := range w.shown {
					if *doubtLog && shown == record.StateFailed {
						t.Logf("seed %d: job %s:\n%s", seed, id, w.logOf(id))
					}
				}
				if left := w.unfinished(); len(left) > 0 {
					t.Errorf("seed %d: %d jobs are not final, such as %s", seed, len(left), left[0])
				}
			}
		})
	}
}

// Times of the search.
const (
	doubtLasts   = 16 * time.Second // that trouble strikes
	doubtSettles = 40 * time.Second // that the jobs have to end then
	wideEvery    = 400 * time.Millisecond
)

// playDoubt plays one seed.
func playDoubt(t testing.TB, seed uint64, kind faults) *world {
	w := newWorld(t, seed)
	w.follows, w.logs = true, *doubtLog
	w.fleet.KeepsID = seed%2 == 0
	w.fleet.BackAfter = time.Duration(100+w.rnd.IntN(4000)) * time.Millisecond
	w.fleet.Add(16, "s", size(64, 128))
	w.takeOver()
	w.run(time.Second)
	w.faults = kind
	for at, n := time.Duration(0), 0; at < doubtLasts; at, n = at+wideEvery, n+1 {
		w.after(at, func() {
			w.submit(fmt.Sprint("wide-", n), catalog.Rules{Attempts: 2, Priority: 1}, step(10, 6, 7, 900))
		})
	}
	takeOvers := w.rnd.IntN(3) > 0
	pause := 100 + w.rnd.IntN(700)
	for at := time.Second; at < doubtLasts; at += time.Duration(50+w.rnd.IntN(2*pause)) * time.Millisecond {
		w.after(at, func() { w.trouble(takeOvers) })
	}
	w.run(doubtLasts)
	w.faults = faults{}
	w.run(doubtSettles)
	return w
}

// trouble strikes a host, or the holder.
func (w *world) trouble(takeOvers bool) {
	all := w.fleet.Hosts()
	h := all[w.rnd.IntN(len(all))]
	cutFor := time.Duration(200+w.rnd.IntN(7000)) * time.Millisecond
	switch n := w.rnd.IntN(24); {
	case n == 0 && takeOvers:
		w.takeOver()
	case n < 5:
		w.cutOff(h, cutFor)
	case n < 12:
		w.cutOff(h, cutFor)
		w.after(time.Duration(w.rnd.IntN(int(cutFor))), h.RestartDark)
	case n < 17:
		h.Restart()
	case n < 23:
		h.RestartDark()
	case len(w.fleet.Listed()) > 12:
		h.Crash()
		w.after(entryLasts, func() { h.List(false) })
	}
}

// entryLasts is after how long without heartbeats an entry goes from the list.
const entryLasts = 3 * heartbeat

// cutOff cuts a host off for a while, from the store, too, in half of the cases.
func (w *world) cutOff(h *hostsim.Host, d time.Duration) {
	h.Cut(true)
	if w.rnd.IntN(2) == 0 && d > entryLasts {
		w.after(entryLasts, func() { h.List(false) })
		w.after(d, func() { h.List(h.Up()) })
	}
	w.after(d, func() { h.Cut(false) })
}

// unfinished lists the jobs that are not final.
func (w *world) unfinished() (left []string) {
	for id := range w.jobs {
		if !w.shown[id].Final() {
			left = append(left, id+" "+string(w.shown[id]))
		}
	}
	sort.Strings(left)
	return left
}

// Starts were not answered, and their hosts crashed ten milliseconds later and started again under
// their ids. The starts went over to the next lives, as they might yet begin there, and nothing was
// held against their task: four hosts were lost to it before the first was.
//
//	run lost  h28  its host does not show it any more; task 0, run 3, stopping, at 0%, host silent for 0 ms
//
// TestDoubtOutlivesALife guards against starts in doubt that leave no trace on their task.
func TestDoubtOutlivesALife(t *testing.T) {
	onBoth(t, func(t *testing.T, keepsID bool) {
		is := is.New(t)
		unheard := func(w *world, h *hostsim.Host) {
			w.faults.lostAnswer = 1
			w.after(10*time.Millisecond, h.Restart)
			w.after(20*time.Millisecond, func() { w.faults.lostAnswer = 0 })
		}
		w := strikeStep(t, keepsID, step(1, 6, 10, 2000), unheard, unheard)
		w.run(6 * time.Second)
		task := &w.engine.jobs["job"].groups[0].tasks[0]
		is.True(task.cur != nil && task.cur.suspect) // the second start is looked after
		is.Equal(len(task.crashes), 1)
		is.True(task.crashes[0].Unsure)
		w.neverGivenUp(t, 20*time.Second)
		is.Equal(w.shown["job"], record.StateCompleted)
	})
}
