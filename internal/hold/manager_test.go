package hold

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
)

func TestCellFormsAndEveryPartitionHasOneHolder(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		for _, name := range []string{"a", "b", "c"} {
			c.start(name)
		}
		c.waitAllHeld(20 * time.Second)
		time.Sleep(5 * time.Second)
		is := is.New(c.t)
		is.True(c.allHeld())
		for _, n := range c.nodes {
			is.True(len(n.Held()) > 0) // each member has its share
			is.Equal(n.NotReadyReasons(), nil)
		}
	})
}

func TestFirstHolderIsToldSo(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		a := c.start("a")
		c.waitAllHeld(10 * time.Second)
		is.True(a.component.acquisition(3).NeverHeld)
		is.Equal(a.component.acquisition(3).Epoch, uint64(1))
	})
}

func TestJoiningMemberGetsItsShareWithState(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		a := c.start("a")
		c.waitAllHeld(10 * time.Second)
		b := c.start("b")
		c.wait(10*time.Second, "b has a share", func() bool { return len(b.Held()) > 0 && c.allHeld() })
		time.Sleep(time.Second)
		for _, id := range b.Held() {
			acquired := b.component.acquisition(id)
			is.True(acquired.HandedOver)
			is.True(strings.Contains(string(acquired.State), a.Self().Incarnation))
			is.Equal(acquired.Epoch, uint64(2))
		}
		is.Equal(len(a.Held())+len(b.Held()), c.config.Partitions)
		is.Equal(a.component.counts.drop, 0)
	})
}

func TestPlannedStopHandsEverythingOver(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		a, b := c.start("a"), c.start("b")
		c.wait(20*time.Second, "both hold partitions", func() bool { return c.allHeld() && len(b.Held()) > 0 && len(a.Held()) > 0 })
		moved := b.Held()
		is.NoErr(b.Stop(context.Background()))
		b.stopUsing()
		delete(c.nodes, "b")
		c.net.set(b.addr, nil, nil)
		c.waitAllHeld(time.Second)
		for _, id := range moved {
			is.True(a.component.acquisition(id).HandedOver)
		}
	})
}

func TestKilledHolderIsReplaced(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		for _, name := range []string{"a", "b", "c"} {
			c.start(name)
		}
		c.waitAllHeld(20 * time.Second)
		time.Sleep(5 * time.Second)
		c.kill(c.nodes["b"])
		took := c.waitAllHeld(3 * c.config.Term)
		is.True(took < 2*c.config.Term)
	})
}

func TestCheckRefusesWithACode(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		a := c.start("a")
		_, err := a.Check(0)
		is.Equal(result.CodeOf(err), result.NotHolder)
		_, err = a.Check(-1)
		is.Equal(result.CodeOf(err), result.NotHolder)
		_, err = a.Check(c.config.Partitions)
		is.Equal(result.CodeOf(err), result.NotHolder)
	})
}

func TestPartitionCountOfTheStoreIsBinding(t *testing.T) {
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		c.start("a")
		c.waitAllHeld(10 * time.Second)
		c.config.Partitions++
		b := c.build("b", "b:1")
		is.Equal(result.CodeOf(b.Start(c.t.Context())), result.PartitionCount)
		c.config.Partitions--
	})
}
