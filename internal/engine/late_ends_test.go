package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// lateEndsCell is a cell of 40 hosts with urgent tasks of 0.6 s, whose run times differ by a tenth.
type lateEndsCell struct {
	*world
	calls, probes int
	runTimes      map[string]time.Duration // by job
}

func newLateEndsCell(t *testing.T, seed uint64) *lateEndsCell {
	c := &lateEndsCell{world: newWorld(t, seed), runTimes: map[string]time.Duration{}}
	c.fleet.Add(40, "s", size(64, 128))
	rnd := rand.New(rand.NewPCG(seed, 5))
	c.fleet.RunTime = func(task spec.StepTask) time.Duration {
		if c.runTimes[task.Job] == 0 {
			c.runTimes[task.Job] = time.Duration(math.Exp(0.1*rnd.NormFloat64()) * 600 * float64(time.Millisecond))
		}
		return c.runTimes[task.Job]
	}
	c.onPoll = func(o PollOrder) {
		c.calls++
		if o.Probe {
			c.probes++
		}
	}
	c.onStart = func(StartOrder) { c.calls++ }
	c.failOver()
	c.run(time.Second)
	return c
}

// lateEnds submits jobs of one task for a time, 40 a second, and returns their number and that of the jobs
// whose end was known more than 0.5 s late.
func (c *lateEndsCell) lateEnds(d time.Duration) (jobs, late int) {
	submitted := map[string]time.Time{}
	for i := range int(d / (25 * time.Millisecond)) {
		id := fmt.Sprint("job", i)
		c.submit(id, catalog.Rules{CriticalPathFactor: 1.5, TargetMillis: 300}, step(1, 6, 10, 600))
		submitted[id] = c.now()
		c.run(25 * time.Millisecond)
	}
	c.run(5 * time.Second)
	const usual = 50 * time.Millisecond // for a query, the start, and storing the end
	for id, at := range submitted {
		if c.finalSince[id].IsZero() || c.finalSince[id].Sub(at) > c.runTimes[id]+usual+500*time.Millisecond {
			late++
		}
	}
	return len(submitted), late
}

// TestOverdueRunsAreQueried: guards against an end that is known 2.5 s late because the reply to the poll that
// waited for it got lost, and against probes that cost a calm cell more than a few percent of its calls.
func TestOverdueRunsAreQueried(t *testing.T) {
	is := is.New(t)
	const lasts = 60 * time.Second
	calm := newLateEndsCell(t, 1)
	_, late := calm.lateEnds(lasts)
	is.Equal(late, 0)
	lossy := newLateEndsCell(t, 1)
	lossy.faults.lostView = 0.055
	jobs, late := lossy.lateEnds(lasts)
	t.Logf("calm: %d calls, %d probes; with losses: %d of %d ends late, %d calls, %d probes", calm.calls, calm.probes, late, jobs, lossy.calls, lossy.probes)
	is.True(float64(late) <= 0.01*float64(jobs))
	is.True(float64(calm.probes) <= 0.04*float64(calm.calls))
	is.True(lossy.calls <= 2*calm.calls)
	calm.checkInvariants()
	lossy.checkInvariants()
}

// TestOneLostCall: guards against a host that is not used for up to 2 s, and whose leases are not renewed, because
// one order got no answer or its outcome was not reported, while its poll waits and would show that it answers.
func TestOneLostCall(t *testing.T) {
	for name, tc := range map[string]struct {
		err          error
		unresponsive bool // at first
	}{
		"no answer":            {host.ErrLost, true},
		"outcome not reported": {fmt.Errorf("%w: %w", host.ErrLost, host.ErrUnreported), false},
		"not sent by a shard":  {fmt.Errorf("%w: %w", host.ErrNotSent, host.ErrUnreported), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			w.fleet.Add(1, "s", size(64, 128))
			w.failOver()
			w.submit("job", catalog.Rules{}, step(1, 6, 10, 20000))
			w.run(3100 * time.Millisecond)
			h := w.engine.hostsByID[0]
			is.True(h.pollInFlight)
			w.deliver(w.engine, func() { h.recordFailedCall(tc.err, w.now()) })
			is.Equal(!h.unresponsiveSince.IsZero(), tc.unresponsive)
			w.run(10 * time.Millisecond)
			is.True(h.unresponsiveSince.IsZero())
			is.True(w.engine.placeable(h, w.now()))
			h.lastContact = w.now().Add(-unreportedGrace - 1)
			h.recordFailedCall(tc.err, w.now())
			is.True(!h.unresponsiveSince.IsZero()) // it has not answered for long
		})
	}
}

// TestLostPollIsRepeatedAtOnce: guards against a further delay, after a poll that has waited in vain for its whole
// time, of what else is to be known of its host. A host that stays silent is not polled more often.
func TestLostPollIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.fleet.Add(1, "s", size(64, 128))
	w.failOver()
	w.submit("job", catalog.Rules{}, step(1, 6, 10, 20000))
	w.run(time.Second)
	var polls []time.Duration // since the first lost one was sent
	var from time.Time
	w.onPoll = func(o PollOrder) {
		if o.Probe {
			return
		}
		if from.IsZero() {
			from = w.now()
		}
		polls = append(polls, w.now().Sub(from).Round(10*time.Millisecond))
	}
	w.faults.lostView = 1
	w.run(5 * time.Second)
	lost := DefaultTuning().PollWait + callTimeout
	again := lost + callTimeout + DefaultTuning().PollRetryInterval // a poll of a silent host does not wait there
	is.Equal(polls[:3], []time.Duration{0, lost, again})
}
