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

// step is one generated event of a plan.
type step struct {
	Kind    string
	Pause   time.Duration // before the step
	Key     int
	Part    int
	Placer  int
	Timeout time.Duration
	Fault   requesttest.Fault
}

// The kinds of steps. A repeated send with the same key is a retry.
var stepKinds = []string{"send", "send", "send", "send", "burst", "burst", "cancel", "fail over", "hand over", "disconnect", "reconnect", "fault"}

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

// outcome is one reply and the time of its arrival.
type outcome struct {
	path string
	at   time.Time
	reply
}

// runPlan runs a plan and returns the first violation of an invariant, or "".
func runPlan(t *testing.T, plan []step, claimNeverHeld bool) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, planPlacers, 2, func(v *settings.Values) {
			v.Executor.Slots, v.Request.QueueLimit, v.Request.MaxDeadlineMS = planSlots, 8, 3000
			v.Request.RetryBudgetPercent = 100
		})
		defer c.stop()
		c.claimNeverHeld = claimNeverHeld
		c.executors.ExecutionTime = 25 * time.Millisecond
		p := &planRunner{cell: c}
		c.executors.FaultOf = p.fault
		for i := range planKeys {
			p.keys = append(p.keys, keyIn(2*i))
		}
		for _, s := range plan {
			time.Sleep(s.Pause)
			p.apply(s)
		}
		for _, placer := range c.placers {
			c.setDisconnected(placer.name, false)
		}
		p.wg.Wait()
		time.Sleep(4 * time.Second) // the longest dispatch has ended
		violation = p.check()
	})
	return violation
}

// planRunner applies steps and collects the outcomes.
type planRunner struct {
	cell *cell
	keys []string
	wg   sync.WaitGroup
	// inHandover marks the partitions that are being handed over.
	inHandover [partitions]atomic.Bool

	sent int // number of requests sent in bursts

	mu            sync.Mutex
	pendingFaults []requesttest.Fault
	outcomes      []outcome
}

func (p *planRunner) fault(string, executor.Request) requesttest.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingFaults) == 0 {
		return requesttest.NoFault
	}
	f := p.pendingFaults[0]
	p.pendingFaults = p.pendingFaults[1:]
	return f
}

func (p *planRunner) apply(s step) {
	switch s.Kind {
	case "send":
		p.send(context.Background(), "/"+p.keys[s.Key], s.Timeout, entry.KeyHeader, p.keys[s.Key])
	case "burst":
		for range burstSize {
			p.sent++
			p.send(context.Background(), fmt.Sprintf("/burst-%d", p.sent), s.Timeout)
		}
	case "cancel":
		ctx, cancel := context.WithTimeout(context.Background(), s.Timeout/2)
		p.wg.Go(func() { <-ctx.Done(); cancel() })
		p.send(ctx, "/"+p.keys[s.Key], s.Timeout, entry.KeyHeader, p.keys[s.Key])
	case "fail over":
		if !p.inHandover[s.Part].Load() {
			p.cell.failOver(s.Part, s.Placer)
		}
	case "hand over":
		p.handover(s.Part, s.Placer)
	case "disconnect":
		p.cell.setDisconnected(p.cell.placers[s.Placer].name, true)
	case "reconnect":
		p.cell.setDisconnected(p.cell.placers[s.Placer].name, false)
	case "fault":
		p.mu.Lock()
		p.pendingFaults = append(p.pendingFaults, s.Fault)
		p.mu.Unlock()
	}
}

// handover runs concurrently with the next steps. A partition has at most one handover at a time.
func (p *planRunner) handover(id, to int) {
	if p.inHandover[id].Swap(true) {
		return
	}
	p.wg.Go(func() {
		defer p.inHandover[id].Store(false)
		p.cell.handover(id, to)
	})
	synctest.Wait()
}

// send sends one request, identified by its path.
func (p *planRunner) send(ctx context.Context, path string, timeout time.Duration, header ...string) {
	header = append(header, entry.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	p.wg.Go(func() {
		got := p.cell.do(ctx, http.MethodPost, path, "{}", header...)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.outcomes = append(p.outcomes, outcome{path: path, at: time.Now(), reply: got})
	})
}

// check compares the replies to callers with what the executors ran.
func (p *planRunner) check() string {
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
				return fmt.Sprintf("%s was answered but did not run", o.path)
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

func (p *planRunner) peaks() map[string]int {
	peaks := map[string]int{}
	for _, h := range p.cell.hostList() {
		peaks[h.Name] = p.cell.executors.Peak(h.Addr)
	}
	return peaks
}

func TestInvariantsHoldForAllInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		if violation := runPlan(t, plan, false); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}

// The injected fault is a failover which claims that no process has held the partition before.
// The check has to detect the second run.
func TestInjectedFaultIsDetected(t *testing.T) {
	is := is.New(t)
	plan := []step{
		{Kind: "send", Key: 0, Timeout: time.Second},
		{Kind: "fail over", Part: 0, Placer: 1, Pause: 700 * time.Millisecond},
		{Kind: "send", Key: 0, Timeout: time.Second},
	}
	is.Equal(runPlan(t, plan, false), "")
	is.True(runPlan(t, plan, true) != "")
}
