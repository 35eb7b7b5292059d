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

// evidence returns the evidence on a holder from heartbeats alone.
func (c *Claimer) evidence(monitor *holderMonitor, h ledger.Holder) Evidence {
	now := time.Now()
	limit := silenceLimit(c.watch.interval(c.View.Members(now), h.Name, c.Self.Name))
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	e := Evidence{Holder: h, Silence: now.Sub(monitor.lastContact), Limit: limit, Refused: monitor.refused, Replaced: monitor.replaced, HolderStoreOutage: monitor.storeOutage}
	if h.Epoch > 0 && h.Incarnation == c.Self.Incarnation {
		e.Replaced = true // a claim of this process took effect after its time-out
	}
	if c.Health.FailingFor(now) > 0 || e.HolderStoreOutage > 0 && c.Health.SinceLastReply(now) >= e.HolderStoreOutage {
		e.HolderStoreOutage = 0 // this process may not reach the store either
	}
	return e
}

// isHolderDead reports whether the partition is to be claimed. It queries other members and
// reads the holder's writes if heartbeats alone are not conclusive.
func (c *Claimer) isHolderDead(ctx context.Context, monitor *holderMonitor, e Evidence) bool {
	if monitor.isInvited(e.Holder.Epoch) || e.Dead() {
		return true
	}
	if e.Silence < e.Limit && !e.Refused {
		return false
	}
	c.queryMembers(ctx, monitor, &e)
	if !e.Dead() {
		c.checkWrites(ctx, monitor, &e)
	}
	if !e.Dead() {
		return false
	}
	c.Log.WithFields(logrus.Fields{
		"partition": monitor.partition, "holder": e.Holder.Name, "epoch": e.Holder.Epoch, "silence_ms": e.Silence.Milliseconds(),
		"refused": e.Refused, "agreeing": e.Agreeing, "others": e.Others, "stood_still_ms": e.WritesStalled.Milliseconds(),
	}).Warn("holder taken for dead")
	return true
}

// queryMembers asks other members whether they are in contact with the holder and counts the
// replies in e.
func (c *Claimer) queryMembers(ctx context.Context, monitor *holderMonitor, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range sampleMembers(c.otherWatchers(e.Holder.Name)) {
		e.Others++
		calls.Go(func() {
			var status HolderStatus
			err := c.Peers.Call(ctx, m.Addr, peer.KindHolderStatus, HolderStatusRequest{monitor.partition, e.Holder.Epoch}, &status)
			if err != nil {
				return
			}
			c.View.UpdateHolder(withRevision(status.Holder, status.Revision))
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

// maxQueriedMembers bounds the number of members that a member queries. If all members queried
// all others, a large cell would be overloaded by the queries.
const maxQueriedMembers = 6

// otherWatchers returns the watchers of a holder except this member. The other members of a large cell notice its
// failure later. A leaving member is asked only where all members are watchers.
func (c *Claimer) otherWatchers(holder string) []Member {
	members := c.View.Members(time.Now())
	asked := members
	if heartbeatInterval(len(members)) > MinHeartbeatInterval {
		asked = c.watch.watchers(members, holder)
	}
	var out []Member
	for _, m := range asked {
		if m.Name != c.Self.Name && m.Name != holder {
			out = append(out, m)
		}
	}
	return out
}

// sampleMembers returns at most maxQueriedMembers random members. It shuffles members.
func sampleMembers(members []Member) []Member {
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	return members[:min(len(members), maxQueriedMembers)]
}

// checkWrites determines from the store for how long the holder has not written. The result is
// needed by members that cannot query others.
func (c *Claimer) checkWrites(ctx context.Context, monitor *holderMonitor, e *Evidence) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	rec, _, err := c.Store.Get(ctx, ledger.ChainKey(monitor.partition))
	now := time.Now()
	c.Health.RecordCall(err == nil, now)
	if err != nil {
		return
	}
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if rec.ModRevision != monitor.chainRevision || monitor.chainChangedAt.IsZero() || now.Sub(monitor.chainReadAt) > stalledWritesThreshold {
		monitor.chainRevision, monitor.chainChangedAt = rec.ModRevision, now
	}
	monitor.chainReadAt = now
	e.WritesStalled = now.Sub(monitor.chainChangedAt)
}
