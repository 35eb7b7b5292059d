package hold

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pulleyquay/internal/platform/memstore"
)

// fault is a failure in a cell of a, b and c. The cell is repaired afterwards.
type fault struct {
	name string
	do   func(c *testCell, term time.Duration)
}

var (
	hanging  = memstore.Faults{Hang: true}
	refusing = memstore.Faults{Refuse: true}
	healthy  = memstore.Faults{}
)

var faultTable = []fault{
	{"holder killed", func(c *testCell, _ time.Duration) { c.kill(c.nodes["b"]) }},
	{"holder killed and replaced at its address", func(c *testCell, _ time.Duration) { c.replace("b") }},
	{"holder paused for four terms and resumed", func(c *testCell, term time.Duration) {
		c.nodes["b"].gate.pause()
		time.Sleep(4 * term)
		c.nodes["b"].gate.resume()
	}},
	{"holder paused while the store is unavailable, resumed after", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(hanging)
		time.Sleep(term)
		c.nodes["b"].gate.pause()
		time.Sleep(term)
		c.engine.SetFaults(healthy)
		time.Sleep(4 * term)
		c.nodes["b"].gate.resume()
	}},
	{"disconnected from the store", func(c *testCell, term time.Duration) {
		c.nodes["b"].client.SetFaults(hanging)
		time.Sleep(4 * term)
	}},
	{"disconnected from its peers", func(c *testCell, term time.Duration) {
		c.blockPeers("b", true, true)
		time.Sleep(4 * term)
	}},
	{"disconnected from both", func(c *testCell, term time.Duration) {
		c.blockPeers("b", true, true)
		c.nodes["b"].client.SetFaults(hanging)
		time.Sleep(4 * term)
	}},
	{"disconnected from its peers, outbound only", func(c *testCell, term time.Duration) {
		c.blockPeers("b", true, false)
		c.nodes["b"].client.SetFaults(hanging)
		time.Sleep(4 * term)
	}},
	{"disconnected from its peers, inbound only", func(c *testCell, term time.Duration) {
		c.blockPeers("b", false, true)
		c.nodes["b"].client.SetFaults(hanging)
		time.Sleep(4 * term)
	}},
	{"disconnected from both in an outage", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(hanging)
		time.Sleep(term)
		c.blockPeers("b", true, true)
		time.Sleep(2 * term)
		c.engine.SetFaults(healthy)
		c.nodes["b"].client.SetFaults(refusing)
		time.Sleep(4 * term)
	}},
	{"outage of ten terms with a kill and a pause", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(hanging)
		time.Sleep(2 * term)
		c.kill(c.nodes["b"])
		time.Sleep(2 * term)
		c.nodes["c"].gate.pause()
		time.Sleep(2 * term)
		c.nodes["c"].gate.resume()
		time.Sleep(4 * term)
	}},
	{"store available to one member first", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(hanging)
		time.Sleep(3 * term)
		c.nodes["b"].client.SetFaults(hanging)
		c.nodes["c"].client.SetFaults(hanging)
		c.engine.SetFaults(healthy)
		time.Sleep(2 * term)
	}},
	{"two outages in a row", func(c *testCell, term time.Duration) {
		for range 2 {
			c.engine.SetFaults(refusing)
			time.Sleep(2 * term)
			c.engine.SetFaults(healthy)
			time.Sleep(term / 4)
		}
	}},
	{"replies to claims lost", func(c *testCell, term time.Duration) {
		c.nodes["a"].client.SetFaults(memstore.Faults{LoseAnswers: 5})
		c.nodes["c"].client.SetFaults(memstore.Faults{LoseAnswers: 5})
		c.kill(c.nodes["b"])
		time.Sleep(2 * term)
	}},
	{"stale reads and broken watches", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(memstore.Faults{StaleReads: true, BreakWatches: true})
		c.replace("b")
		time.Sleep(2 * term)
	}},
	{"slow store", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(memstore.Faults{RequestDelayMS: 1000, AnswerDelayMS: 1000})
		time.Sleep(2 * term)
		c.replace("b")
		time.Sleep(2 * term)
	}},
	{"all killed and replaced", func(c *testCell, _ time.Duration) {
		for _, name := range []string{"a", "b", "c"} {
			c.replace(name)
		}
	}},
	{"all killed and replaced in an outage", func(c *testCell, term time.Duration) {
		c.engine.SetFaults(hanging)
		time.Sleep(term)
		for _, name := range []string{"a", "b", "c"} {
			c.replace(name)
		}
		time.Sleep(2 * term)
	}},
}

// replace kills a process and starts another at its name and address.
func (c *testCell) replace(name string) {
	if n := c.nodes[name]; n != nil {
		c.kill(n)
	}
	c.start(name)
}

// repair ends all injected faults.
func (c *testCell) repair() {
	c.engine.SetFaults(healthy)
	c.net.repair()
	for _, name := range []string{"a", "b", "c"} {
		c.engine.Client(name).SetFaults(healthy)
		if n := c.nodes[name]; n != nil {
			n.gate.resume()
		}
	}
}

// recoveryTerms is the number of terms that a repaired cell may take until every partition has a
// holder that may act: the death of a member is detected after one term, and the fence reply of its
// replacement counts after another.
const recoveryTerms = 5

func TestFaultsNeverMakeTwoHoldersAndCellRecovers(t *testing.T) {
	for _, f := range faultTable {
		t.Run(f.name, func(t *testing.T) {
			inBubble(t, testConfig(), func(c *testCell) {
				startMembers(c, "a", "b", "c")
				f.do(c, c.config.Term)
				c.repair()
				took := c.waitAllHeld(recoveryTerms * c.config.Term)
				time.Sleep(2 * c.config.Term)
				if !c.allHeld() {
					c.t.Errorf("not every partition stays held\n%s", c.describe())
				}
				c.t.Logf("all partitions held %v after the repair", took)
			})
		})
	}
}

// scriptSteps is the length of a random script.
const scriptSteps = 12

// TestRandomFaultsNeverMakeTwoHoldersAndCellRecovers combines random faults; each begins before the
// cell has recovered from the previous one.
func TestRandomFaultsNeverMakeTwoHoldersAndCellRecovers(t *testing.T) {
	config := testConfig()
	config.Partitions = 8
	rapid.Check(t, func(rt *rapid.T) {
		var script []scriptStep
		for range scriptSteps {
			script = append(script, scriptStep{
				kind:  rapid.IntRange(0, scriptKinds-1).Draw(rt, "kind"),
				name:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "member"),
				delay: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond,
			})
		}
		var violations []string
		inBubble(t, config, func(c *testCell) {
			startMembers(c, "a", "b", "c")
			for _, s := range script {
				s.run(c)
			}
			c.repair()
			for _, name := range []string{"a", "b", "c"} {
				if c.nodes[name] == nil {
					c.start(name)
				}
			}
			violations = c.checker.violations()
			if !poll(2*recoveryTerms*c.config.Term, c.allHeld) {
				violations = append(violations, "does not recover:\n"+c.describe())
			}
		})
		if len(violations) > 0 {
			rt.Fatalf("%v\n%s", script, strings.Join(violations, "\n"))
		}
	})
}

// scriptStep is one fault, or the end of one, and the delay after it.
type scriptStep struct {
	kind  int
	name  string
	delay time.Duration
}

const scriptKinds = 14

func (s scriptStep) String() string { return fmt.Sprintf("%d %s %v", s.kind, s.name, s.delay) }

func (s scriptStep) run(c *testCell) {
	n := c.nodes[s.name]
	switch {
	case s.kind == 0:
		c.engine.SetFaults(hanging)
	case s.kind == 1:
		c.engine.SetFaults(refusing)
	case s.kind == 2:
		c.engine.SetFaults(healthy)
	case s.kind == 3:
		c.replace(s.name)
	case n == nil:
	case s.kind == 4:
		c.kill(n)
	case s.kind == 5:
		n.gate.pause()
	case s.kind == 6:
		n.gate.resume()
	case s.kind == 7:
		n.client.SetFaults(hanging)
	case s.kind == 8:
		n.client.SetFaults(memstore.Faults{LoseAnswers: 2})
	case s.kind == 9:
		c.blockPeers(s.name, true, false)
	case s.kind == 10:
		c.blockPeers(s.name, true, true)
	case s.kind == 12:
		ctx, cancel := context.WithTimeout(context.Background(), s.delay)
		_ = n.Stop(ctx) // usually ends before all partitions are handed over
		cancel()
		c.kill(n)
	case s.kind == 13:
		n.client.SetFaults(memstore.Faults{RequestDelayMS: 700, WatchDelayMS: 900})
	case s.kind == 11:
		n.client.SetFaults(healthy)
		c.blockPeers(s.name, false, false)
	}
	time.Sleep(s.delay)
}

// TestCheckerDetectsIgnoredExpiry injects the fault that the checker must detect.
func TestCheckerDetectsIgnoredExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, testConfig())
		defer c.close()
		startMembers(c, "a", "b", "c")
		c.nodes["b"].component.ignoreExpiry.Store(true)
		c.blockPeers("b", true, true)
		c.nodes["b"].client.SetFaults(hanging)
		time.Sleep(4 * c.config.Term)
		if len(c.checker.violations()) == 0 {
			t.Fatal("a holder that acts without authority was not detected")
		}
	})
}
