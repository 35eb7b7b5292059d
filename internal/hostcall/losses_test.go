package hostcall

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
)

// Load of TestEndsAreKnownInTimeDespiteLosses.
const (
	hostCount      = 350
	startsPerHost  = 1.6 // a second
	runTime        = 600 * time.Millisecond
	lostCalls      = 0.055
	pollWait       = 2 * time.Second        // as the engine's
	pollRetryAfter = 250 * time.Millisecond // as the engine's
	storeLatency   = 6 * time.Millisecond
	observed       = 10 * time.Second
)

// lossyHosts are hosts whose answers get lost: the caller waits for them until it gives up.
type lossyHosts struct {
	host.Client
	mu    sync.Mutex
	rnd   *rand.Rand
	lost  float64
	hosts map[host.ID]*lossyHost
	calls int
}

// lossyHost is one host; its run ends are numbered from 1.
type lossyHost struct {
	started map[int]bool // numbers of the runs; a run starts once
	endedAt []time.Time
	changed chan struct{} // closed at the next end
}

func newLossyHosts(lost float64) *lossyHosts {
	l := &lossyHosts{rnd: rand.New(rand.NewPCG(1, 2)), lost: lost, hosts: map[host.ID]*lossyHost{}}
	for i := range hostCount {
		l.hosts[hostID(i)] = &lossyHost{started: map[int]bool{}, changed: make(chan struct{})}
	}
	return l
}

func hostID(i int) host.ID { return host.ID(fmt.Sprint("h", i)) }

// arrive counts a call and reports whether its answer gets lost. One in two lost calls is never
// carried out either.
func (l *lossyHosts) arrive() (executed, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.rnd.Float64() >= l.lost {
		return true, true
	}
	return l.rnd.IntN(2) == 0, false
}

// Start implements host.Client.
func (l *lossyHosts) Start(ctx context.Context, to host.Info, _ uint64, s host.Start) (host.Reply, error) {
	time.Sleep(time.Millisecond)
	executed, answered := l.arrive()
	if executed {
		l.start(to.ID, s.Run.No)
	}
	if !answered {
		<-ctx.Done()
		return host.Reply{}, host.ErrLost
	}
	return host.Reply{}, nil
}

func (l *lossyHosts) start(id host.ID, no int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hosts[id]; !h.started[no] {
		h.started[no] = true
		time.AfterFunc(runTime, func() { l.end(id) })
	}
}

func (l *lossyHosts) end(id host.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[id]
	h.endedAt = append(h.endedAt, time.Now())
	close(h.changed)
	h.changed = make(chan struct{})
}

// Poll implements host.Client.
func (l *lossyHosts) Poll(ctx context.Context, to host.Info, _ uint64, p host.Poll) (host.View, error) {
	time.Sleep(time.Millisecond)
	_, answered := l.arrive()
	if !answered {
		<-ctx.Done()
		return host.View{}, host.ErrLost
	}
	deadline := time.After(p.Wait)
	for {
		ends, changed := l.endsAfter(to.ID, p.AckedEnds)
		if len(ends) > 0 {
			return host.View{Ended: ends}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return host.View{}, nil
		case <-ctx.Done():
			return host.View{}, host.ErrLost
		}
	}
}

func (l *lossyHosts) endsAfter(id host.ID, acked int64) ([]host.End, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[id]
	var out []host.End
	for i := acked; i < int64(len(h.endedAt)); i++ {
		out = append(out, host.End{Number: i + 1})
	}
	return out, h.changed
}

func (l *lossyHosts) endTime(id host.ID, number int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[id].endedAt[number-1]
}

// lossyCell makes the calls of a holder to its hosts through several callers; a host that loses a call is
// called by the next caller from then on, as by link shards.
type lossyCell struct {
	hosts   *lossyHosts
	callers []*Caller

	mu     sync.Mutex
	route  map[host.ID]int
	delays []time.Duration // from the end of a run until the holder knows it
	lost   int             // calls reported as lost
	made   int             // calls made by the holder
}

func (c *lossyCell) callerOf(id host.ID) *Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made++
	return c.callers[c.route[id]%len(c.callers)]
}

func (c *lossyCell) recordLost(id host.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.route[id]++
	c.lost++
}

// startRuns starts runs on a host until ctx ends.
func (c *lossyCell) startRuns(ctx context.Context, id host.ID, rnd *rand.Rand) {
	for no := 1; ctx.Err() == nil; no++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / startsPerHost * float64(time.Second)))
		go func() {
			if _, err := c.callerOf(id).Start(ctx, host.Info{ID: id}, 1, host.Start{Run: host.Run{No: no}}); err != nil && ctx.Err() == nil {
				c.recordLost(id)
			}
		}()
	}
}

// pollHost polls a host until ctx ends.
func (c *lossyCell) pollHost(ctx context.Context, id host.ID) {
	acked := int64(0)
	for ctx.Err() == nil {
		v, err := c.callerOf(id).Poll(ctx, host.Info{ID: id}, 1, host.Poll{Wait: pollWait, AckedEnds: acked})
		if err != nil {
			if ctx.Err() == nil {
				c.recordLost(id)
			}
			time.Sleep(pollRetryAfter)
			continue
		}
		for _, end := range v.Ended {
			c.recordEnd(id, end.Number)
			acked = end.Number
		}
		time.Sleep(storeLatency)
	}
}

func (c *lossyCell) recordEnd(id host.ID, number int64) {
	delay := time.Since(c.hosts.endTime(id, number))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays = append(c.delays, delay)
}

// runLossyCell runs a cell for the observed time and returns it.
func runLossyCell(t *testing.T, callers int, lost float64) *lossyCell {
	c := &lossyCell{hosts: newLossyHosts(lost), route: map[host.ID]int{}}
	for range callers {
		c.callers = append(c.callers, newCaller(c.hosts))
	}
	ctx, cancel := context.WithTimeout(t.Context(), observed)
	defer cancel()
	var all sync.WaitGroup
	for i := range hostCount {
		c.route[hostID(i)] = i
	}
	for i := range hostCount {
		id := hostID(i)
		rnd := rand.New(rand.NewPCG(uint64(i), 3))
		all.Go(func() { c.startRuns(ctx, id, rnd) })
		all.Go(func() { c.pollHost(ctx, id) })
	}
	all.Wait()
	time.Sleep(3 * time.Second) // the calls in flight end
	synctest.Wait()
	return c
}

// known returns the part of the ends that were known within a time.
func (c *lossyCell) known(within time.Duration) float64 {
	n := 0
	for _, d := range c.delays {
		if d <= within {
			n++
		}
	}
	return float64(n) / float64(len(c.delays))
}

// TestEndsAreKnownInTimeDespiteLosses: guards against ends that are known late while hosts leave 5.5% of all
// calls unanswered. With repeats up to 128 hosts only, route syncs took 3.0 s in place of 1.0 s (HARD-LOAD.md, e).
func TestEndsAreKnownInTimeDespiteLosses(t *testing.T) {
	for name, callers := range map[string]int{"three link shards": 3, "one process": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calm, lossy := runLossyCell(t, callers, 0), runLossyCell(t, callers, lostCalls)
				slices.Sort(lossy.delays)
				t.Logf("%d ends, 0.99 within %v; known within 0.5 s: %.4f; calls %d, calm %d; reported as lost %d",
					len(lossy.delays), lossy.delays[len(lossy.delays)*99/100], lossy.known(500*time.Millisecond), lossy.hosts.calls, calm.hosts.calls, lossy.lost)
				is.True(lossy.known(500*time.Millisecond) >= 0.99)
				is.True(lossy.hosts.calls <= 2*calm.hosts.calls)
				is.Equal(calm.lost, 0)
			})
		})
	}
}

// TestRepeatedCallsAreBounded: guards against repeated calls that take the processor time of a process, however many
// answers are lost: a large cell that repeated orders without a limit by processors served 0.04 to 0.74 of a day that
// serves 0.77.
func TestRepeatedCallsAreBounded(t *testing.T) {
	for _, lost := range []float64{0.2, 0.5, 0.9} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := runLossyCell(t, 1, lost)
				repeated := c.hosts.calls - c.made
				t.Logf("%d calls, %d repeated", c.hosts.calls, repeated)
				const perSecond, burst = 800, 400 // of 0.8 cores
				is.True(repeated <= perSecond*int(observed.Seconds()+3)+burst)
			})
		})
	}
}
