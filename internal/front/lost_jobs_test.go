package front

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
)

var (
	lostSeeds     = flag.Int("lost.seeds", 3, "seeds in the search for accepted jobs that are lost")
	firstLostSeed = flag.Uint64("lost.seed", 1, "first seed")
)

const (
	simMembers   = 5
	simHostCount = 6
	// visibleAfter is the time after its acceptance from which on no member may answer that a job is
	// unknown.
	visibleAfter = 3 * time.Second
	// maxFaultTime is the longest time for which a fault lasts.
	maxFaultTime = 6 * time.Second
	// calmTime is the time after the last fault within which the holder knows every accepted job and
	// every task of a lasting one runs.
	calmTime = 9 * time.Second
	// queryInterval is the interval at which callers query the states of all jobs.
	queryInterval = 300 * time.Millisecond
	// compactInterval is the interval at which a store discards its history while it is forgetful.
	compactInterval = 70 * time.Millisecond
	// jobInterval is the mean time between two submissions.
	jobInterval = 150 * time.Millisecond
	// oneKilledIn is the number of jobs of which one has its accepting member killed at once.
	oneKilledIn = 8
)

// storeFaultsByName are the faults of calls to the store, for all members or for one.
var storeFaultsByName = []struct {
	name   string
	faults memstore.Faults
}{
	{"no answers", memstore.Faults{Hang: true}},
	{"refuses", memstore.Faults{Refuse: true}},
	{"240 ms", memstore.Faults{AnswerDelayMS: 120, RequestDelayMS: 120}},
	{"calls 1 s late", memstore.Faults{RequestDelayMS: 1000}},
	{"calls 3 s late", memstore.Faults{RequestDelayMS: 3000}},
	{"calls 6 s late", memstore.Faults{RequestDelayMS: 6000}},
	{"answers 1.5 s late", memstore.Faults{AnswerDelayMS: 1500}},
	{"answers lost", memstore.Faults{LoseAnswers: 12}},
	{"requests lost", memstore.Faults{LoseRequests: 12}},
	{"watches broken", memstore.Faults{BreakWatches: true}},
}

// lossSearch submits jobs to a simulated cell under faults and finds the accepted ones that the cell
// has lost.
type lossSearch struct {
	*simCell
	rnd      *rand.Rand
	started  time.Time
	injected []string // the faults so far, for the message of a failed test

	submitted int
	callers   sync.WaitGroup // calls and faults that have not ended

	mu       sync.Mutex
	accepted map[string]time.Time // lasting jobs by the time of their acceptance
}

func (l *lossSearch) note(format string, args ...any) {
	l.injected = append(l.injected, fmt.Sprintf("%8.3f ", time.Since(l.started).Seconds())+fmt.Sprintf(format, args...))
}

func (l *lossSearch) between(a, b time.Duration) time.Duration {
	return a + time.Duration(l.rnd.Int64N(int64(b-a)))
}

func memberName(i int) string { return fmt.Sprint("m", i) }

func (l *lossSearch) randomMember() string { return memberName(l.rnd.IntN(simMembers)) }

// later runs fn in d, unless the search has ended.
func (l *lossSearch) later(d time.Duration, fn func()) {
	l.callers.Go(func() {
		time.Sleep(d)
		fn()
	})
}

// submitJobs submits jobs at random members for d. One of three ends by itself.
func (l *lossSearch) submitJobs(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		l.submitted++
		id := fmt.Sprintf("%016x", l.rnd.Uint64())
		members := []string{l.randomMember(), l.randomMember(), l.randomMember()}
		kill := l.rnd.IntN(oneKilledIn) == 0
		lasts := l.submitted%3 != 0
		l.callers.Go(func() {
			g := shortJob
			if lasts {
				g = lastingJob
			}
			if !l.submit(id, g, members) || !lasts {
				return
			}
			l.mu.Lock()
			l.accepted[id] = time.Now()
			l.mu.Unlock()
			if kill {
				l.restart(members[0], 200*time.Millisecond) // it has probably not notified the holder
			}
		})
		time.Sleep(time.Duration(l.rnd.ExpFloat64() * float64(jobInterval)))
	}
}

// restart kills a process and starts its member again after d.
func (l *lossSearch) restart(name string, d time.Duration) {
	l.kill(name)
	time.Sleep(d)
	l.startMember(name)
}

// inject injects a random fault that ends within maxFaultTime.
func (l *lossSearch) inject() {
	victim := l.holder().Name
	if l.rnd.IntN(3) == 0 || victim == "" {
		victim = l.randomMember()
	}
	lasts, absent := l.between(500*time.Millisecond, maxFaultTime), l.between(300*time.Millisecond, maxFaultTime)
	faults := []func(){
		func() {
			l.note("%s killed for %v", victim, absent)
			l.later(0, func() { l.restart(victim, absent) })
		},
		func() { l.killTwoHolders(victim, absent) },
		func() {
			l.note("power lost for %v", absent)
			for i := range simMembers {
				l.later(0, func() { l.restart(memberName(i), absent) })
			}
		},
		func() { l.disturbStore(lasts) },
		func() { l.disturbStore(lasts) },
		func() { l.disturbStoreFor(victim, lasts) },
		func() { l.disturbStoreFor(victim, lasts) },
		func() {
			l.note("history forgotten for %v", lasts)
			l.later(0, func() {
				for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(compactInterval) {
					l.store.Compact()
				}
			})
		},
		func() {
			l.note("%s cut off for %v", victim, lasts)
			l.net.setCut(victim, true)
			l.later(lasts, func() { l.net.setCut(victim, false) })
		},
		func() {
			l.note("planned stop of %s", victim)
			l.later(0, func() {
				l.stop(victim)
				l.startMember(victim)
			})
		},
	}
	faults[l.rnd.IntN(len(faults))]()
}

// killTwoHolders kills the holder and, a moment later, the next one.
func (l *lossSearch) killTwoHolders(first string, absent time.Duration) {
	pause := l.between(300*time.Millisecond, 2500*time.Millisecond)
	l.note("%s killed for %v, and the next holder %v later", first, absent, pause)
	l.later(0, func() { l.restart(first, absent) })
	l.later(pause, func() {
		if next := l.holder().Name; next != first {
			l.restart(next, absent)
		}
	})
}

func (l *lossSearch) disturbStore(d time.Duration) {
	f := storeFaultsByName[l.rnd.IntN(len(storeFaultsByName))]
	l.note("store: %s for %v", f.name, d)
	l.store.SetFaults(withLatency(f.faults))
	l.later(d, l.restoreStore)
}

func (l *lossSearch) disturbStoreFor(name string, d time.Duration) {
	f := storeFaultsByName[l.rnd.IntN(len(storeFaultsByName))]
	m := l.running(name)
	if m == nil {
		return
	}
	l.note("store for %s: %s for %v", name, f.name, d)
	m.client.SetFaults(f.faults)
	l.later(d, func() { m.client.SetFaults(memstore.Faults{}) })
}

// queryStates queries all members for the states of all jobs until stop is closed, and fails the test if
// one answers that an accepted job is unknown.
func (l *lossSearch) queryStates(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(queryInterval):
		}
		for id, at := range l.acceptedJobs() {
			for i := range simMembers {
				if m := l.running(memberName(i)); m != nil && time.Since(at) >= visibleAfter {
					l.callers.Go(func() { l.queryState(m, id) })
				}
			}
		}
	}
}

func (l *lossSearch) queryState(m *simMember, id string) {
	if _, err := m.State(m.ctx, Caller{}, simQueue, id); result.CodeOf(err) == result.JobUnknown {
		l.t.Errorf("%v: %s answers that job %s is unknown", time.Since(l.started), m.name, id)
	}
}

func (l *lossSearch) acceptedJobs() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Time{}
	for id, at := range l.accepted {
		out[id] = at
	}
	return out
}

// checkLost fails the test if the holder does not know an accepted job, or a task of it does not run.
func (l *lossSearch) checkLost() {
	for id, at := range l.acceptedJobs() {
		known, running := l.knownAtHolder(id), l.runningTasks(id)
		if !known || running < lastingTasks {
			l.t.Errorf("%v: job %s, accepted at %v: stored %t, known to the holder %t, %d tasks run",
				time.Since(l.started), id, at.Sub(l.started), l.store.Get(record.JobKey(0, id)) != nil, known, running)
		}
	}
}

// TestAcceptedJobsAreNotLost guards against jobs that are accepted and stored, and that no holder knows
// or starts: the accepting member and the holder are killed right after the acceptance, calls to the
// store take effect seconds late, the store forgets its history, lists are read in pages while records
// are written. With a third of the seeds no member notifies the holder, so that the store is its only
// source. A query for a job that the holder does not know repairs that, so only half of the seeds have
// queries. The hosts' records must show no violation either, such as a task that runs twice.
func TestAcceptedJobsAreNotLost(t *testing.T) {
	for i := range uint64(*lostSeeds) {
		seed := *firstLostSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { searchForLoss(t, seed) })
		})
	}
}

func searchForLoss(t *testing.T, seed uint64) {
	const rounds, maxFaultsPerRound = 3, 4
	l := &lossSearch{
		simCell: newSimCell(t, simMembers, simHostCount, io.Discard, seed%3 == 0),
		rnd:     rand.New(rand.NewPCG(seed, 7)), started: time.Now(), accepted: map[string]time.Time{},
	}
	time.Sleep(3 * time.Second) // the partition has a holder
	stop := make(chan struct{})
	if seed%2 == 0 {
		l.callers.Go(func() { l.queryStates(stop) })
	}
	for range rounds {
		for range 1 + l.rnd.IntN(maxFaultsPerRound) {
			l.submitJobs(l.between(50*time.Millisecond, 2*time.Second))
			l.inject()
		}
		l.submitJobs(l.between(50*time.Millisecond, 3*time.Second))
		time.Sleep(2*maxFaultTime + calmTime) // a killed member returns within maxFaultTime, the second holder a little later
		l.checkLost()
	}
	close(stop)
	l.callers.Wait()
	l.close()
	for _, violation := range l.fleet.Checker().Violations() {
		t.Error(violation)
	}
	if t.Failed() {
		t.Log("\n" + strings.Join(l.injected, "\n"))
	}
	t.Log(len(l.accepted), "lasting jobs accepted")
}
