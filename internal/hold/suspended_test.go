package hold

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
	"pulleyquay/internal/uptime"
)

// TestSuspendedHolderHasNoAuthority guards against authority that outlasts a suspension of the
// machine. For all other processes it expires meanwhile, but the monotonic clock stands still:
// after the wake-up, the authority was considered valid for the rest of its term.
func TestSuspendedHolderHasNoAuthority(t *testing.T) {
	var suspended atomic.Int64
	defer uptime.Use(func() time.Duration { return time.Duration(suspended.Load()) })()
	inBubble(t, testConfig(), func(c *testCell) {
		is := is.New(c.t)
		a, b := c.start("a"), c.start("b")
		c.waitAllHeld(20 * time.Second)
		for _, n := range []*node{a, b} {
			for _, id := range n.Held() {
				_, err := n.Check(id)
				is.NoErr(err)
			}
		}
		suspended.Add(int64(c.config.Term))
		for _, n := range []*node{a, b} {
			for _, id := range n.Held() {
				_, err := n.Check(id)
				is.Equal(result.CodeOf(err), result.AuthorityExpired)
			}
		}
		time.Sleep(2 * c.config.Term)
		c.waitAllHeld(20 * time.Second)
		for _, n := range []*node{a, b} {
			for _, id := range n.Held() {
				grant, err := n.Check(id)
				is.NoErr(err)
				is.True(time.Until(grant.Until) <= c.config.Term) // on the clock of the grant's users
			}
		}
	})
}
