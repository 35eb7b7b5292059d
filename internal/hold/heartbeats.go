package hold

import (
	"sort"
	"time"

	"pulleyquay/internal/heartbeat"
	"pulleyquay/internal/member"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// heartbeatHost adapts the Manager to the heartbeat service.
type heartbeatHost struct{ *Keeper }

// Status implements heartbeat.Host.
func (b *heartbeatHost) Status() heartbeat.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return heartbeat.Status{
		Member: b.session.Self(), TableRevision: b.Table().Revision, SettingsRevision: b.settings(),
		StoreAge: b.storeAge(), Deputy: b.delegateFor(b.session.Self().Name),
	}
}

// storeAge is the time since the last successful renewal was sent; negative if there was none.
func (k *Keeper) storeAge() time.Duration {
	at, _ := k.session.Renewed()
	if at.IsZero() {
		return -1
	}
	return uptime.Since(at)
}

// Asks implements heartbeat.Host. It requests promises as soon as renewals are overdue, well before
// the store lease ends.
func (b *heartbeatHost) Asks() []heartbeat.Ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	var asks []heartbeat.Ask
	if b.needsPromises() {
		var session uint64
		b.session.Right(func(h *right.Holder) { session = h.Session() })
		asks = append(asks, heartbeat.Ask{Subject: b.memberID(), Session: session, For: b.config.Term})
	}
	for s, c := range b.renewals {
		asks = append(asks, heartbeat.Ask{Subject: s, Session: c.right.Session(), For: b.config.Term})
	}
	now := uptime.Now()
	self := b.memberID().Incarnation
	for _, ask := range asks {
		if b.promise(now, ask) {
			b.recordPromise(ask, self, now)
		}
	}
	return asks
}

// needsPromises reports whether this process has joined and its last renewal is overdue. The lock
// is held.
func (k *Keeper) needsPromises() bool {
	_, answers := k.session.Renewed()
	return k.session.State() != member.StateOutside && (!answers || k.storeAge() > k.config.maxRenewalAge())
}

// Urgent implements heartbeat.Host: the authority may expire within two heartbeats.
func (b *heartbeatHost) Urgent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.needsPromises() {
		return false
	}
	now := uptime.Now()
	var until time.Time
	b.session.Right(func(h *right.Holder) { until = h.Until(now, h.Session()) })
	return until.Sub(now) < 2*b.config.Heartbeat
}

// OnAsk implements heartbeat.Host.
func (b *heartbeatHost) OnAsk(ask heartbeat.Ask) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.promise(uptime.Now(), ask)
}

// promise gives this process's vote unless a majority is connected to the store. Promises are not
// needed then and would only delay a failover. The lock is held.
func (k *Keeper) promise(now time.Time, ask heartbeat.Ask) bool {
	if ask.For > k.config.Term || k.storeAvailable() {
		return false
	}
	if !k.promises.Ask(now, ask.Subject, ask.Session, ask.For) {
		return false
	}
	k.metrics.promises.Inc()
	return true
}

// OnReply implements heartbeat.Host.
func (b *heartbeatHost) OnReply(sent time.Time, reply heartbeat.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ask := range reply.Promised {
		b.recordPromise(ask, reply.Status.Member.Incarnation, sent)
	}
	if reply.Table != nil && len(b.cache.listed) == 0 {
		b.cache.adopt(reply.Table)
		b.publish()
	}
}

// recordPromise counts a voter's promise. The lock is held.
func (k *Keeper) recordPromise(ask heartbeat.Ask, voter string, sent time.Time) {
	if ask.Subject == k.memberID() {
		k.session.Right(func(h *right.Holder) { h.RecordPromise(voter, ask.Session, sent, ask.For) })
		return
	}
	if c := k.renewals[ask.Subject]; c != nil {
		c.right.RecordPromise(voter, ask.Session, sent, ask.For)
	}
}

// Targets implements heartbeat.Host: all members, this member's voter set, and the seeds while no
// member is known.
func (b *heartbeatHost) Targets() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	addrs := map[string]bool{}
	for _, e := range b.cache.members {
		addrs[e.Member.Addr] = true
	}
	b.session.Right(func(h *right.Holder) {
		for _, v := range h.Electorate().Voters {
			addrs[v.Addr] = true
		}
	})
	if len(b.cache.listed) == 0 {
		for _, seed := range b.config.Seeds {
			addrs[seed] = true
		}
	}
	delete(addrs, b.session.Self().Addr)
	out := make([]string, 0, len(addrs))
	for addr := range addrs {
		out = append(out, addr)
	}
	sort.Strings(out)
	return out
}

// WantTable implements heartbeat.Host.
func (b *heartbeatHost) WantTable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.cache.listed) == 0
}

// storeAvailable reports whether a majority of the known members is connected to the store,
// according to their heartbeats. Safety does not depend on it: it only prevents promises that would
// merely delay a failover, and claims while the store is recovering. The lock is held.
func (k *Keeper) storeAvailable() bool {
	var voters []right.Voter
	k.session.Right(func(h *right.Holder) { voters = h.Electorate().Voters })
	if len(voters) == 0 {
		voters = k.cache.voters()
	}
	self, maxRenewalAge, up := k.memberID(), k.config.maxRenewalAge(), 0
	for _, v := range voters {
		if v.Incarnation == self.Incarnation {
			if age := k.storeAge(); age >= 0 && age < maxRenewalAge {
				up++
			}
			continue
		}
		h, ok := k.heartbeats.Heard(v.Name)
		if ok && h.Status.StoreAge >= 0 && h.Status.StoreAge+uptime.Since(h.At) < maxRenewalAge {
			up++
		}
	}
	return up >= len(voters)/2+1
}

// reachable reports whether heartbeats of the named member arrive. The lock is held.
func (k *Keeper) reachable(name string) bool {
	e, ok := k.cache.members[name]
	return ok && k.reachableMember(right.Subject{Name: name, Incarnation: e.Member.Incarnation})
}

func (k *Keeper) reachableMember(s right.Subject) bool {
	return s == k.memberID() || k.heartbeatWithin(s, k.config.Suspect)
}

func (k *Keeper) heartbeatWithin(s right.Subject, d time.Duration) bool {
	h, ok := k.heartbeats.Heard(s.Name)
	return ok && h.Status.Member.Incarnation == s.Incarnation && uptime.Since(h.At) < d
}

// delegateFor returns the delegate of the named member, by rendezvous hashing over the other
// reachable members. The lock is held.
func (k *Keeper) delegateFor(name string) string {
	var others []string
	for other := range k.cache.members {
		if other != name && (other == k.session.Self().Name || k.reachable(other)) {
			others = append(others, other)
		}
	}
	sort.Strings(others)
	return partition.Owner(partition.OfKey(name, partition.DefaultCount), others)
}

// Table implements heartbeat.Host.
func (b *heartbeatHost) Table() *view.Table { return b.Keeper.Table() }
