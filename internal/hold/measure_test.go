package hold

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/heartbeat"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/memstore"
)

// These tests print the figures of docs/HOLDING.md with -v and check them against bounds. Time is
// the bubble's: a peer message takes 1 ms each way, a call to the store 2 ms each way, and
// computation takes none.

var measuredStore = memstore.Faults{RequestDelayMS: 2, AnswerDelayMS: 2}

func memberNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("m%02d", i))
	}
	return out
}

func startMeasured(c *testCell, members int) {
	c.engine.SetFaults(measuredStore)
	c.useEvery = 10 * useInterval
	startMembers(c, memberNames(members)...)
}

func (c *testCell) storeCalls() int {
	sum := 0
	for _, n := range c.nodes {
		sum += n.store.total()
	}
	return sum
}

func TestStoreCallsAtRest(t *testing.T) {
	tests := []struct{ members, partitions int }{{3, 64}, {7, 64}, {7, 128}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d members %d partitions", tt.members, tt.partitions), func(t *testing.T) {
			config := DefaultConfig()
			config.Partitions = tt.partitions
			inBubble(t, config, func(c *testCell) {
				startMeasured(c, tt.members)
				before, rest := c.storeCalls(), 20*time.Second
				time.Sleep(rest)
				perMember := float64(c.storeCalls()-before) / rest.Seconds() / float64(tt.members)
				c.t.Logf("%.2f store calls per second and member", perMember)
				if perMember > 1.5 {
					c.t.Errorf("more than the lease renewals: %.2f", perMember)
				}
			})
		})
	}
}

// failoverRuns is the number of kills from which the failover figures are taken.
const failoverRuns = 3

func TestTakeoverOfAWholeHost(t *testing.T) {
	tests := []struct{ members, partitions int }{{3, 64}, {7, 64}, {14, 64}, {7, 128}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d members %d partitions", tt.members, tt.partitions), func(t *testing.T) {
			config := DefaultConfig()
			config.Partitions = tt.partitions
			var first, all []time.Duration
			calls, moved := 0, 0
			for run := range failoverRuns {
				inBubble(t, config, func(c *testCell) {
					startMeasured(c, tt.members)
					time.Sleep(time.Duration(run) * c.config.Renew / failoverRuns) // any moment between renewals
					dead := c.nodes["m01"]
					lost := dead.Held()
					held := config.Partitions - len(lost)
					c.kill(dead)
					before, begun := c.storeCalls(), time.Now()
					c.wait(3*c.config.Term, "first claim", func() bool { return c.totalHeld() > held })
					first = append(first, time.Since(begun))
					c.waitAllHeld(3 * c.config.Term)
					all = append(all, time.Since(begun))
					calls += c.storeCalls() - before
					moved += len(lost)
				})
			}
			slices.Sort(first)
			slices.Sort(all)
			t.Logf("first claim median %v worst %v, all median %v worst %v after the kill; %.1f store calls per failover of %.1f partitions",
				first[len(first)/2], first[len(first)-1], all[len(all)/2], all[len(all)-1],
				float64(calls)/failoverRuns, float64(moved)/failoverRuns)
			if worst := all[len(all)-1]; worst > config.Term+time.Second {
				t.Errorf("failover took %v", worst)
			}
		})
	}
}

func (c *testCell) totalHeld() int {
	sum := 0
	for _, n := range c.nodes {
		sum += len(n.Held())
	}
	return sum
}

func TestGapOfAPlannedHandOver(t *testing.T) {
	config := DefaultConfig()
	inBubble(t, config, func(c *testCell) {
		is := is.New(c.t)
		startMeasured(c, 7)
		leaving := c.nodes["m01"]
		moved := leaving.Held()
		before, begun := c.storeCalls(), time.Now()
		is.NoErr(leaving.Stop(context.Background()))
		took := time.Since(begun)
		var gaps []time.Duration
		for _, id := range moved {
			for _, n := range c.nodes {
				if n != leaving && slices.Contains(n.Held(), id) {
					gaps = append(gaps, n.component.acquisition(id).AcquiredAt.Sub(leaving.component.releasedAt(id)))
				}
			}
		}
		slices.Sort(gaps)
		is.Equal(len(gaps), len(moved))
		c.t.Logf("%d partitions handed over in %v, gap median %v worst %v, %d store calls",
			len(moved), took, gaps[len(gaps)/2], gaps[len(gaps)-1], c.storeCalls()-before)
		is.True(gaps[len(gaps)-1] < 50*time.Millisecond)
	})
}

func TestReturnOfTheStore(t *testing.T) {
	var back []time.Duration
	for range failoverRuns {
		inBubble(t, DefaultConfig(), func(c *testCell) {
			startMeasured(c, 7)
			c.engine.SetFaults(memstore.Faults{Hang: true})
			time.Sleep(10 * c.config.Term)
			c.engine.SetFaults(measuredStore)
			begun := time.Now()
			back = append(back, c.wait(4*time.Second, "all members registered again", func() bool {
				for _, n := range c.nodes {
					if age := n.storeAge(); n.session.State() != "joined" || age > time.Since(begun) || len(n.Table().Members) != 7 {
						return false
					}
				}
				return c.allHeld()
			}))
		})
	}
	slices.Sort(back)
	t.Logf("all members registered again, each observing all: median %v worst %v", back[len(back)/2], back[len(back)-1])
}

// BenchmarkCheck measures the cost of the check before each order.
func BenchmarkCheck(b *testing.B) {
	c := newTestCell(b, DefaultConfig())
	defer c.close()
	n := c.build("a", "a:1")
	if err := n.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	n.stopUsing = func() {}
	c.nodes["a"] = n
	for len(n.Held()) == 0 {
		time.Sleep(time.Millisecond)
	}
	id := n.Held()[0]
	for b.Loop() {
		if _, err := n.Check(id); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeartbeat measures one heartbeat without extras: encoded, answered and decoded.
func BenchmarkHeartbeat(b *testing.B) {
	c := newTestCell(b, DefaultConfig())
	n := c.build("a", "a:1")
	host := &heartbeatHost{n.Manager}
	request := heartbeat.Request{Status: host.Status(), PromiseRequests: host.PromiseRequests()}
	encoded, err := cbor.Marshal(request)
	if err != nil {
		b.Fatal(err)
	}
	local := peer.Local{n.addr: c.net.muxes[n.addr]}
	for b.Loop() {
		var reply heartbeat.Reply
		if err := local.Call(context.Background(), n.addr, peer.KindHeartbeat, request, &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "B/beat")
}
