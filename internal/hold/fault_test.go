package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/memstore"
)

// startMembers starts a cell of the named members and waits until each holds partitions and all
// partitions are held.
func startMembers(c *testCell, names ...string) {
	c.t.Helper()
	for _, name := range names {
		c.start(name)
	}
	c.wait(60*time.Second, "every member has a share", func() bool {
		for _, n := range c.nodes {
			if len(n.Held()) == 0 {
				return false
			}
		}
		return c.allHeld()
	})
	time.Sleep(5 * time.Second)
}

// blockPeers sets whether messages between a member and all others are blocked, by direction.
func (c *testCell) blockPeers(name string, outbound, inbound bool) {
	me := c.nodes[name].addr
	for _, other := range c.nodes {
		if other.addr != me {
			c.net.setBlocked(me, other.addr, outbound)
			c.net.setBlocked(other.addr, me, inbound)
		}
	}
}

func TestStoreOutageOfTenTermsStopsNobody(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b", "c")
		before := c.epochs()
		c.engine.SetFaults(memstore.Faults{Hang: true})
		for end := time.Now().Add(10 * c.config.Term); time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
			is.True(c.allHeld()) // every partition's holder may act at any time
		}
		c.engine.SetFaults(memstore.Faults{})
		for end := time.Now().Add(3 * c.config.Term); time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
			is.True(c.allHeld())
		}
		is.Equal(c.epochs(), before) // and no partition has moved
	})
}

func TestSecondOutageRightAfterTheFirstStopsNobody(t *testing.T) {
	for gap := time.Second / 2; gap <= 6*time.Second; gap += time.Second {
		t.Run(gap.String(), func(t *testing.T) {
			inBubble(t, testConfig(), func(c *testCell) {
				startMembers(c, "a", "b", "c", "d", "e")
				expired := 0
				for _, phase := range []struct {
					faults memstore.Faults
					length time.Duration
				}{{hanging, 4 * c.config.Term}, {healthy, gap}, {hanging, 4 * c.config.Term}} {
					c.engine.SetFaults(phase.faults)
					for end := time.Now().Add(phase.length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						if !c.allHeld() {
							expired++
						}
					}
				}
				if expired > 0 {
					c.t.Errorf("not every partition had a holder that may act at %d polls", expired)
				}
			})
		})
	}
}

// epochs returns the epoch of each held partition.
func (c *testCell) epochs() map[int]uint64 {
	out := map[int]uint64{}
	for _, n := range c.nodes {
		for _, id := range n.Held() {
			if g, err := n.Check(id); err == nil {
				out[id] = g.Epoch
			}
		}
	}
	return out
}

func TestMemberDisconnectedFromTheStoreAloneIsReplaced(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b", "c")
		disconnected := c.nodes["b"]
		disconnected.client.SetFaults(memstore.Faults{Hang: true})
		c.wait(4*c.config.Term, "the others hold all partitions", func() bool {
			return len(c.nodes["a"].Held())+len(c.nodes["c"].Held()) == c.config.Partitions
		})
		disconnected.client.SetFaults(memstore.Faults{})
		c.wait(4*c.config.Term, "b has a share again", func() bool { return len(disconnected.Held()) > 0 && c.allHeld() })
		is.True(disconnected.store.total() > 0)
	})
}

func TestMemberDisconnectedFromPeersOnlyKeepsItsPartitions(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		startMembers(c, "a", "b", "c")
		before := c.epochs()
		c.blockPeers("b", true, true)
		time.Sleep(3 * c.config.Term)
		is.True(c.allHeld())
		is.Equal(c.epochs(), before)
	})
}
