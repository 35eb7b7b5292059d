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
type heartbeatHost struct{ *Manager }

// Status implements heartbeat.Host.
func (b *heartbeatHost) Status() heartbeat.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return heartbeat.Status{
		Member: b.session.Self(), TableRevision: b.Table().Revision, SettingsRevision: b.settings(),
		StoreAge: b.storeAge(), Delegate: b.delegateFor(b.session.Self().Name),
	}
}

// storeAge is the time since the last successful renewal was sent; negative if there was none.
func (k *Manager) storeAge() time.Duration {
	at, _ := k.session.LastRenewal()
	if at.IsZero() {
		return -1
	}
	return uptime.Since(at)
}

// PromiseRequests implements heartbeat.Host. It requests promises for this member as soon as
// its renewals are overdue, well before the store lease ends, and for the members whose delegate
// it is.
func (b *heartbeatHost) PromiseRequests() []heartbeat.PromiseRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var asks []heartbeat.PromiseRequest
	if b.needsPromises() {
		var session uint64
		b.session.WithAuthority(func(h *right.Authority) { session = h.Session() })
		asks = append(asks, heartbeat.PromiseRequest{MemberID: b.memberID(), Session: session, Period: b.config.Term})
	}
	for s, c := range b.renewals {
		asks = append(asks, heartbeat.PromiseRequest{MemberID: s, Session: c.right.Session(), Period: b.config.Term})
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
func (k *Manager) needsPromises() bool {
	_, answers := k.session.LastRenewal()
	return k.session.State() != member.StateNotJoined && (!answers || k.storeAge() > k.config.maxRenewalAge())
}

// Urgent implements heartbeat.Host. It reports whether promises are needed and the authority may
// expire within two heartbeat intervals.
func (b *heartbeatHost) Urgent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.needsPromises() {
		return false
	}
	now := uptime.Now()
	var until time.Time
	b.session.WithAuthority(func(h *right.Authority) { until = h.Until(now, h.Session()) })
	return until.Sub(now) < 2*b.config.Heartbeat
}

// GrantPromise implements heartbeat.Host.
func (b *heartbeatHost) GrantPromise(ask heartbeat.PromiseRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.promise(uptime.Now(), ask)
}

// promise makes a promise unless a majority is connected to the store: promises are not needed then
// and would only delay a failover. The lock is held.
func (k *Manager) promise(now time.Time, ask heartbeat.PromiseRequest) bool {
	if ask.Period > k.config.Term || k.storeAvailable() {
		return false
	}
	if !k.promises.Ask(now, ask.MemberID, ask.Session, ask.Period) {
		return false
	}
	k.metrics.promises.Inc()
	return true
}

// HandleReply implements heartbeat.Host.
func (b *heartbeatHost) HandleReply(sent time.Time, reply heartbeat.Reply) {
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
func (k *Manager) recordPromise(ask heartbeat.PromiseRequest, voter string, sent time.Time) {
	if ask.MemberID == k.memberID() {
		k.session.WithAuthority(func(h *right.Authority) { h.RecordPromise(voter, ask.Session, sent, ask.Period) })
		return
	}
	if c := k.renewals[ask.MemberID]; c != nil {
		c.right.RecordPromise(voter, ask.Session, sent, ask.Period)
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
	b.session.WithAuthority(func(h *right.Authority) {
		for _, v := range h.VoterSet().Voters {
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
func (k *Manager) storeAvailable() bool {
	var voters []right.Voter
	k.session.WithAuthority(func(h *right.Authority) { voters = h.VoterSet().Voters })
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
		h, ok := k.heartbeats.Contact(v.Name)
		if ok && h.Status.StoreAge >= 0 && h.Status.StoreAge+uptime.Since(h.ReceivedAt) < maxRenewalAge {
			up++
		}
	}
	return up >= len(voters)/2+1
}

// reachable reports whether heartbeats of the named member arrive. The lock is held.
func (k *Manager) reachable(name string) bool {
	e, ok := k.cache.members[name]
	return ok && k.reachableMember(right.MemberID{Name: name, Incarnation: e.Member.Incarnation})
}

func (k *Manager) reachableMember(s right.MemberID) bool {
	return s == k.memberID() || k.heartbeatWithin(s, k.config.Suspect)
}

func (k *Manager) heartbeatWithin(s right.MemberID, d time.Duration) bool {
	h, ok := k.heartbeats.Contact(s.Name)
	return ok && h.Status.Member.Incarnation == s.Incarnation && uptime.Since(h.ReceivedAt) < d
}

// delegateFor returns the delegate of the named member, by rendezvous hashing over the other
// reachable members. The lock is held.
func (k *Manager) delegateFor(name string) string {
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
func (b *heartbeatHost) Table() *view.Table { return b.Manager.Table() }
