package cell

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
)

// evidence is what the heartbeats so far say of a holder.
func (c *Claimer) evidence(w *holderMonitor, h ledger.Holder) Evidence {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	e := Evidence{Holder: h, Silence: now.Sub(w.lastContact), Limit: silenceLimit(c.View.Size()), Refused: w.refused, Replaced: w.replaced, HolderStoreOutage: w.storeOutage}
	if h.Epoch > 0 && h.Incarnation == c.Self.Incarnation {
		e.Replaced = true // a claim of ours that arrived after we gave it up
	}
	if c.Health.Failing(now) > 0 || e.HolderStoreOutage > 0 && c.Health.Age(now) >= e.HolderStoreOutage {
		e.HolderStoreOutage = 0 // this process could not take over either, as far as it knows
	}
	return e
}

// isHolderDead completes the evidence as far as needed and judges it.
func (c *Claimer) isHolderDead(ctx context.Context, w *holderMonitor, e Evidence) bool {
	if w.isInvited(e.Holder.Epoch) || e.Dead() {
		return true
	}
	if e.Silence < e.Limit && !e.Refused {
		return false
	}
	c.queryMembers(ctx, w, &e)
	if !e.Dead() {
		c.checkWrites(ctx, w, &e)
	}
	if !e.Dead() {
		return false
	}
	c.Log.WithFields(logrus.Fields{
		"partition": w.partition, "holder": e.Holder.Name, "epoch": e.Holder.Epoch, "silence_ms": e.Silence.Milliseconds(),
		"refused": e.Refused, "agreeing": e.Agreeing, "others": e.Others, "stood_still_ms": e.WritesStalled.Milliseconds(),
	}).Warn("holder taken for dead")
	return true
}

// queryMembers asks the other members whether they hear the holder.
func (c *Claimer) queryMembers(ctx context.Context, w *holderMonitor, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range sampleMembers(c.otherMembers(e.Holder.Name)) {
		e.Others++
		calls.Go(func() {
			var status HolderStatus
			err := c.Peers.Call(ctx, m.Addr, peer.KindOpinion, HolderStatusRequest{w.partition, e.Holder.Epoch}, &status)
			if err != nil {
				return
			}
			c.View.Learn(withRevision(status.Holder, status.Revision))
			mu.Lock()
			defer mu.Unlock()
			if status.Reachable {
				e.InContact++
			} else {
				e.Agreeing++
			}
		})
	}
	calls.Wait()
}

// maxQueriedMembers is how many members one asks for their opinion: with all asking all,
// a cell of many members would be busy with that alone.
const maxQueriedMembers = 6

// otherMembers are the members but for this one and the holder.
func (c *Claimer) otherMembers(holder string) []Member {
	var out []Member
	for _, m := range c.View.Members(time.Now()) {
		if m.Name != c.Self.Name && m.Name != holder {
			out = append(out, m)
		}
	}
	return out
}

// sampleMembers are some of the members, for a question to each.
func sampleMembers(members []Member) []Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	return members[:min(len(members), maxQueriedMembers)]
}

// checkWrites reads whether the holder still writes, for a member that can ask
// nobody.
func (c *Claimer) checkWrites(ctx context.Context, w *holderMonitor, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	rec, _, err := c.Store.Get(ctx, ledger.ChainKey(w.partition))
	now := time.Now()
	c.Health.Note(err == nil, now)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if rec.ModRevision != w.chainRevision || w.chainChangedAt.IsZero() || now.Sub(w.chainReadAt) > stalledWritesThreshold {
		w.chainRevision, w.chainChangedAt = rec.ModRevision, now
	}
	w.chainReadAt = now
	e.WritesStalled = now.Sub(w.chainChangedAt)
}
