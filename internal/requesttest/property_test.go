package requesttest_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/entry"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// step is one drawn event of a plan.
type step struct {
	Kind    string
	Pause   time.Duration // before the step
	Key     int
	Part    int
	Placer  int
	Timeout time.Duration
	Fault   requesttest.Fault
}

// The kinds of steps. A send repeated with the same key is a retry.
var stepKinds = []string{"send", "send", "send", "send", "burst", "burst", "gone", "take over", "hand over", "cut", "heal", "fault"}

const (
	planKeys    = 4
	planPlacers = 3
	planSlots   = 2
	burstSize   = 6
)

func drawPlan(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:    rapid.SampledFrom(stepKinds).Draw(rt, "kind"),
			Pause:   time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 40, 700, 4000}).Draw(rt, "pause")) * time.Millisecond,
			Key:     rapid.IntRange(0, planKeys-1).Draw(rt, "key"),
			Part:    rapid.IntRange(0, partitions-1).Draw(rt, "partition"),
			Placer:  rapid.IntRange(0, planPlacers-1).Draw(rt, "placer"),
			Timeout: time.Duration(rapid.SampledFrom([]int{3, 30, 300, 3000}).Draw(rt, "timeout")) * time.Millisecond,
			Fault:   requesttest.Fault(rapid.IntRange(1, int(requesttest.Fail)).Draw(rt, "fault")),
		}
	}), 1, 40).Draw(rt, "plan")
}

// outcome is one reply and when it came.
type outcome struct {
	path string
	at   time.Time
	reply
}

// play runs a plan and returns the first broken promise, or "".
func play(t *testing.T, plan []step, lieFresh bool) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, planPlacers, 2, func(v *settings.Values) {
			v.Executor.Slots, v.Request.QueueLimit, v.Request.MaxDeadlineMS = planSlots, 8, 3000
			v.Request.RetryBudgetPercent = 100
		})
		defer c.stop()
		c.lieFresh = lieFresh
		c.executors.Time = 25 * time.Millisecond
		p := &player{cell: c}
		c.executors.FaultOf = p.fault
		for i := range planKeys {
			p.keys = append(p.keys, keyIn(2*i))
		}
		for _, s := range plan {
			time.Sleep(s.Pause)
			p.apply(s)
		}
		for _, placer := range c.placers {
			c.cutOff(placer.name, false)
		}
		p.wg.Wait()
		time.Sleep(4 * time.Second) // the longest dispatch has ended
		broken = p.check()
	})
	return broken
}

// player applies steps and keeps the outcomes.
type player struct {
	cell *cell
	keys []string
	wg   sync.WaitGroup
	// moving marks the partitions that are being handed over.
	moving [partitions]atomic.Bool

	sent int // requests of bursts

	mu       sync.Mutex
	next     []requesttest.Fault
	outcomes []outcome
}

func (p *player) fault(string, executor.Request) requesttest.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.next) == 0 {
		return requesttest.NoFault
	}
	f := p.next[0]
	p.next = p.next[1:]
	return f
}

func (p *player) apply(s step) {
	switch s.Kind {
	case "send":
		p.send(context.Background(), "/"+p.keys[s.Key], s.Timeout, entry.KeyHeader, p.keys[s.Key])
	case "burst":
		for range burstSize {
			p.sent++
			p.send(context.Background(), fmt.Sprintf("/burst-%d", p.sent), s.Timeout)
		}
	case "gone":
		ctx, cancel := context.WithTimeout(context.Background(), s.Timeout/2)
		p.wg.Go(func() { <-ctx.Done(); cancel() })
		p.send(ctx, "/"+p.keys[s.Key], s.Timeout, entry.KeyHeader, p.keys[s.Key])
	case "take over":
		if !p.moving[s.Part].Load() {
			p.cell.takeOver(s.Part, s.Placer)
		}
	case "hand over":
		p.handOver(s.Part, s.Placer)
	case "cut":
		p.cell.cutOff(p.cell.placers[s.Placer].name, true)
	case "heal":
		p.cell.cutOff(p.cell.placers[s.Placer].name, false)
	case "fault":
		p.mu.Lock()
		p.next = append(p.next, s.Fault)
		p.mu.Unlock()
	}
}

// handOver runs beside the next steps; a partition makes one move at a time.
func (p *player) handOver(id, to int) {
	if p.moving[id].Swap(true) {
		return
	}
	p.wg.Go(func() {
		defer p.moving[id].Store(false)
		p.cell.handOver(id, to)
	})
	synctest.Wait()
}

// send makes one request, whose path tells it from all others.
func (p *player) send(ctx context.Context, path string, timeout time.Duration, header ...string) {
	header = append(header, entry.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	p.wg.Go(func() {
		got := p.cell.do(ctx, http.MethodPost, path, "{}", header...)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.outcomes = append(p.outcomes, outcome{path: path, at: time.Now(), reply: got})
	})
}

// check compares what callers were told with what executors ran.
func (p *player) check() string {
	ran := map[string]time.Time{}
	for _, r := range p.cell.executors.Runs() {
		if _, twice := ran[r.Path]; twice {
			return fmt.Sprintf("%s ran twice", r.Path)
		}
		ran[r.Path] = r.At
	}
	for _, o := range p.outcomes {
		at, did := ran[o.path]
		if o.header.Get("Content-Type") != "application/problem+json" {
			if !did {
				return fmt.Sprintf("%s was answered and did not run", o.path)
			}
			if o.body != o.path {
				return fmt.Sprintf("%s got the answer %q", o.path, o.body)
			}
			continue
		}
		if f := o.failure(); f.Ran == result.RanNo && did && at.Before(o.at) {
			return fmt.Sprintf("%s ran at %s and was answered at %s: %v, ran: no", o.path, at, o.at, f)
		}
	}
	for name, peak := range p.peaks() {
		if peak > planSlots {
			return fmt.Sprintf("%s had %d requests on %d slots", name, peak, planSlots)
		}
	}
	return ""
}

func (p *player) peaks() map[string]int {
	peaks := map[string]int{}
	for _, h := range p.cell.hostList() {
		peaks[h.Name] = p.cell.executors.Peak(h.Addr)
	}
	return peaks
}

func TestNoInterleavingBreaksThePromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		if broken := play(t, plan, false); broken != "" {
			rt.Fatalf("%s", broken)
		}
	})
}

// A takeover that claims to be fresh is the planted fault: the checks above
// have to see the second run.
func TestPlantedFaultIsCaught(t *testing.T) {
	is := is.New(t)
	plan := []step{
		{Kind: "send", Key: 0, Timeout: time.Second},
		{Kind: "take over", Part: 0, Placer: 1, Pause: 700 * time.Millisecond},
		{Kind: "send", Key: 0, Timeout: time.Second},
	}
	is.Equal(play(t, plan, false), "")
	is.True(play(t, plan, true) != "")
}
