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
func (c *Claimer) evidence(w *holderWatch, h ledger.Holder) Evidence {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	e := Evidence{Holder: h, Silence: now.Sub(w.heard), Limit: doubtAfter(c.View.Size()), Refused: w.refused, Replaced: w.replaced, HolderCut: w.cut}
	if h.Epoch > 0 && h.Incarnation == c.Self.Incarnation {
		e.Replaced = true // a claim of ours that arrived after we gave it up
	}
	if c.Health.Failing(now) > 0 || e.HolderCut > 0 && c.Health.Age(now) >= e.HolderCut {
		e.HolderCut = 0 // this process could not take over either, as far as it knows
	}
	return e
}

// dead completes the evidence as far as needed and judges it.
func (c *Claimer) dead(ctx context.Context, w *holderWatch, e Evidence) bool {
	if w.isInvited(e.Holder.Epoch) || e.Dead() {
		return true
	}
	if e.Silence < e.Limit && !e.Refused {
		return false
	}
	c.gather(ctx, w, &e)
	if !e.Dead() {
		c.standsStill(ctx, w, &e)
	}
	if !e.Dead() {
		return false
	}
	c.Log.WithFields(logrus.Fields{
		"partition": w.partition, "holder": e.Holder.Name, "epoch": e.Holder.Epoch, "silence_ms": e.Silence.Milliseconds(),
		"refused": e.Refused, "agreeing": e.Agreeing, "others": e.Others, "stood_still_ms": e.StoodStill.Milliseconds(),
	}).Warn("holder taken for dead")
	return true
}

// gather asks the other members whether they hear the holder.
func (c *Claimer) gather(ctx context.Context, w *holderWatch, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, opinionPatience)
	defer cancel()
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, m := range drawn(c.others(e.Holder.Name)) {
		e.Others++
		asking.Go(func() {
			var o Opinion
			err := c.Peers.Call(ctx, m.Addr, peer.KindOpinion, OpinionRequest{w.partition, e.Holder.Epoch}, &o)
			if err != nil {
				return
			}
			c.View.Learn(known(o.Holder, o.Revision))
			mu.Lock()
			defer mu.Unlock()
			if o.Hears {
				e.Hearing++
			} else {
				e.Agreeing++
			}
		})
	}
	asking.Wait()
}

// mostAsked is how many members one asks for their opinion: with all asking all,
// a cell of many members would be busy with that alone.
const mostAsked = 6

// others are the members but for this one and the holder.
func (c *Claimer) others(holder string) []Member {
	var out []Member
	for _, m := range c.View.Members(time.Now()) {
		if m.Name != c.Self.Name && m.Name != holder {
			out = append(out, m)
		}
	}
	return out
}

// drawn are some of the members, for a question to each.
func drawn(members []Member) []Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	return members[:min(len(members), mostAsked)]
}

// standsStill reads whether the holder still writes, for a member that can ask
// nobody.
func (c *Claimer) standsStill(ctx context.Context, w *holderWatch, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, beatPatience)
	defer cancel()
	rec, _, err := c.Store.Get(ctx, ledger.ChainKey(w.partition))
	now := time.Now()
	c.Health.Note(err == nil, now)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if rec.ModRevision != w.chain || w.moved.IsZero() || now.Sub(w.asked) > aloneAfter {
		w.chain, w.moved = rec.ModRevision, now
	}
	w.asked = now
	e.StoodStill = now.Sub(w.moved)
}
