package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// capacityWorld is a cell of 64-core hosts whose capacity can change.
func capacityWorld(t testing.TB, hosts int) *world {
	w := newWorld(t, 21)
	w.followsHosts = true
	w.fleet.Add(hosts, "s", size(64, 128))
	w.failOver()
	w.run(time.Second)
	return w
}

// TestCapacityShrinksAndGrows checks that starts respect the capacity that a host reports, also under a new
// holder and while runs are being stopped, and that added capacity is used at once.
func TestCapacityShrinksAndGrows(t *testing.T) {
	for _, guards := range []bool{false, true} {
		t.Run(fmt.Sprint("capacity enforced ", guards), func(t *testing.T) {
			is := is.New(t)
			w := capacityWorld(t, 6)
			w.fleet.EnforceCapacity = guards
			w.submitUnrelated(20 * time.Second)
			for i, h := range w.fleet.Hosts() {
				for n := range 4 {
					w.after(time.Duration(1000+i*300+n*4000)*time.Millisecond, func() {
						h.Resize(size(int64(16+16*(n%2)), int64(32+32*(n%2))), heartbeat)
					})
				}
			}
			w.after(5*time.Second, w.failOver)
			w.run(22 * time.Second)
			for _, h := range w.fleet.Hosts() {
				h.Resize(size(64, 128), heartbeat)
			}
			w.run(40 * time.Second)
			w.checkInvariants()
			is.Equal(w.unrelatedNotCompleted(), nil)
		})
	}
}

// TestCapacityRefusalIsRespected guards against repeated refused starts: a host whose capacity has just
// shrunk refuses a start, and until its entry shows the new capacity the same start is sent there again
// every few milliseconds although other hosts are free.
func TestCapacityRefusalIsRespected(t *testing.T) {
	is := is.New(t)
	w := capacityWorld(t, 3)
	w.fleet.EnforceCapacity = true
	w.submit("first", catalog.Rules{}, step(1, 40, 40, 60000)) // the following tasks fit best beside it
	w.run(time.Second)
	for _, h := range w.fleet.Hosts() {
		if len(h.Running()) > 0 {
			h.Resize(size(41, 41), heartbeat)
		}
	}
	w.submit("urgent", catalog.Rules{}, step(1, 6, 10, 300))
	w.run(600 * time.Millisecond)
	w.checkInvariants()
	t.Log(w.fleet.Checker().RefusedForCapacity(), "refusals")
	is.Equal(w.reported["urgent"], record.StateCompleted)
	is.True(w.fleet.Checker().RefusedForCapacity() <= 2)
}

// TestOvercommittedHostsEvictTasks checks that tasks which checkpoint, or are long-running and fit
// elsewhere, are evicted from a host that stays overcommitted, and no more than the excess. Work that
// would be lost runs to its end, and capacity that returns soon costs nothing.
func TestOvercommittedHostsEvictTasks(t *testing.T) {
	checkpointing := step(8, 7, 10, 60000)
	checkpointing.Checkpointing = true
	service := step(8, 7, 10, 0)
	service.LongRunning, service.MaxUnavailable = true, 1
	for name, tc := range map[string]struct {
		step         spec.Step
		returnsAfter time.Duration // when the capacity returns; zero for never
		stops        int           // stopped runs at most
		within       time.Duration // when the host is within its capacity again, if at all
	}{
		"checkpointing":                   {step: checkpointing, stops: 4, within: 8 * time.Second},
		"a service":                       {step: service, stops: 4, within: 25 * time.Second},
		"not checkpointing":               {step: step(8, 7, 10, 60000)},
		"checkpointing, capacity returns": {step: checkpointing, returnsAfter: 3 * time.Second, stops: 0, within: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := capacityWorld(t, 1)
			w.submit("a", catalog.Rules{}, tc.step)
			w.run(3 * time.Second)
			h := w.fleet.Hosts()[0]
			is.Equal(len(h.Running()), 8)
			w.fleet.Add(2, "s", size(64, 128))
			stops := 0
			w.engine.cfg.Log = func(e Event) {
				if e.What == "run stopped" {
					stops++
				}
			}
			h.Resize(size(30, 128), heartbeat)
			if tc.returnsAfter > 0 {
				w.after(tc.returnsAfter, func() { h.Resize(size(64, 128), heartbeat) })
			}
			w.run(tc.within)
			is.Equal(h.Overcommitted(), tc.within == 0)
			w.run(10 * time.Second)
			w.checkInvariants()
			is.True(stops <= tc.stops)
			is.Equal(stops > 0, tc.stops > 0)
		})
	}
}

// TestRestartingHostIsNotChosenAgain guards against repeated starts of an urgent task on a host whose
// address refuses calls between two incarnations, although other hosts have capacity: the task starts
// after most of its slack is used up.
func TestRestartingHostIsNotChosenAgain(t *testing.T) {
	is := is.New(t)
	w := capacityWorld(t, 3)
	w.submit("first", catalog.Rules{}, step(1, 40, 40, 60000)) // the next task fits best beside it
	w.run(time.Second)
	for _, h := range w.fleet.Hosts() {
		if len(h.Running()) > 0 {
			h.Restart()
		}
	}
	starts := 0
	at := w.now()
	var delay time.Duration
	w.engine.cfg.Log = func(e Event) {
		if e.What == "step started" && e.Job == "urgent" {
			starts++
			delay = w.now().Sub(at)
		}
	}
	w.submit("urgent", catalog.Rules{}, step(1, 6, 10, 300))
	w.run(900 * time.Millisecond)
	w.checkInvariants()
	t.Log(starts, "attempts, the last after", delay)
	is.Equal(w.reported["urgent"], record.StateCompleted)
	is.True(starts <= 2)
	is.True(delay < 100*time.Millisecond)
}

// TestCapacityShrinksBeforeAnOutage checks that sizes which are too old are not used for starts if hosts
// have recently shrunk, and that an outage stops no starts otherwise. It guards against more work for an
// overcommitted host: the capacity of half of the hosts shrank a second before a store outage of three
// seconds, and after it the known size of a host came from an entry older than the outage, while the period
// in which starts above a reduced capacity are tolerated was over.
func TestCapacityShrinksBeforeAnOutage(t *testing.T) {
	for name, tc := range map[string]struct {
		shrink     bool
		failoverAt time.Duration // when another holder takes over; zero for never
	}{
		"capacity shrinks":                    {shrink: true},
		"capacity shrinks, failover before":   {shrink: true, failoverAt: 8 * time.Second},
		"capacity shrinks, failover after":    {shrink: true, failoverAt: 16*time.Second + 50*time.Millisecond},
		"capacity unchanged":                  {},
		"capacity unchanged, failover before": {failoverAt: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const outage = 6 * time.Second
			w := capacityWorld(t, 6)
			w.fullLoad(24 * time.Second)
			if tc.shrink {
				w.after(2*time.Second, func() { w.host("h00").Resize(size(24, 48), heartbeat) })
				w.after(6*time.Second, func() { w.host("h00").Resize(size(64, 128), heartbeat) })
			}
			if tc.failoverAt > 0 {
				w.after(tc.failoverAt, w.failOver)
			}
			w.after(10*time.Second, func() {
				w.storeUnavailable = true
				for _, h := range w.fleet.Hosts()[1:4] {
					if tc.shrink {
						h.Resize(size(26, 52), 0)
					}
				}
			})
			w.after(10*time.Second+outage, func() { w.storeUnavailable = false })
			w.run(15 * time.Second)
			before := w.fleet.Checker().Starts()
			w.run(time.Second)
			starts := w.fleet.Checker().Starts() - before
			t.Logf("%d starts in the last second of the outage", starts)
			if !tc.shrink {
				is.True(starts >= 45) // 60 tasks arrive per second
			}
			w.run(60 * time.Second)
			w.checkInvariants()
			is.Equal(w.unrelatedNotCompleted(), nil)
		})
	}
}

// fullLoad submits three tasks of 6 cores every 50 ms for a duration, which fills three quarters of 6
// hosts.
func (w *world) fullLoad(d time.Duration) {
	for at, n := time.Duration(0), 0; at < d; at, n = at+50*time.Millisecond, n+1 {
		w.after(at, func() { w.submit(fmt.Sprint("urgent-", n), catalog.Rules{}, step(3, 6, 10, 800)) })
	}
}

// TestSizesReadAtAFailover checks that the full capacity of a host is used only from its next heartbeat
// on, as the age of the first entry that a holder reads of a host is unknown.
func TestSizesReadAtAFailover(t *testing.T) {
	is := is.New(t)
	w := capacityWorld(t, 2)
	w.host("h00").Resize(size(32, 64), 0)
	w.run(3 * time.Second)
	w.failOver()
	w.run(20 * time.Millisecond)
	h := w.engine.hosts["h01"]
	is.Equal(h.capacity, size(32, 64)) // as the other host has shrunk to a half
	w.run(2 * time.Second)
	is.Equal(h.capacity, size(64, 128))
}
