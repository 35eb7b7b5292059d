package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/memstore"
)

// policyPeers are members of which some do not answer.
type policyPeers struct {
	silent  map[string]bool
	takes   time.Duration
	queried []string
}

func (p *policyPeers) Call(ctx context.Context, addr string, _ peer.Kind, _, resp any) error {
	p.queried = append(p.queried, addr)
	if p.silent[addr] {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(p.takes)
	resp.(*advice.Reply).ValidFor = time.Second
	return nil
}

// TestQueriesOutliveSilentMembers guards against urgent steps that wait for the time-outs of policy queries through one
// failed member after the other, when half of the members have lost power.
func TestQueriesOutliveSilentMembers(t *testing.T) {
	const expected, timeout = 20 * time.Millisecond, 420 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		defer store.Close()
		h, _ := newHolder(t, store, idleHosts{})
		p := &policyPeers{silent: map[string]bool{}, takes: expected}
		h.cfg.Peers = p
		members := &advice.Members{Names: []string{"a", "b", "c"}, Addrs: map[string]string{"a": "a", "b": "b", "c": "c"}}
		h.cfg.PolicyMembers = func() *advice.Members { return members }
		query := func(member string) time.Duration {
			start := time.Now()
			h.queries.run(t.Context(), engine.QueryOrder{Member: member, Expected: expected, Timeout: timeout})
			return time.Since(start)
		}
		is.Equal(query("b"), expected)
		p.silent["a"] = true
		is.Equal(query("a"), expected+hedgeDelay+expected) // the answer comes through b
		is.Equal(p.queried, []string{"b", "a", "b"})
		p.silent["b"] = true
		is.Equal(query("b"), timeout) // no other member has answered lately
		is.Equal(query("c"), expected)
		p.queried = nil
		for range 200 {
			query("a")
		}
		is.True(len(p.queried) <= 200+200*hedgePercent/100+10) // within the budget
		synctest.Wait()
	})
}
