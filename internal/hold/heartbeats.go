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
func (h *heartbeatHost) Status() heartbeat.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return heartbeat.Status{
		Member: h.session.Self(), TableRevision: h.Table().Revision, SettingsRevision: h.settings(),
		StoreAge: h.storeAge(), Delegate: h.delegateFor(h.session.Self().Name),
	}
}

// storeAge is the time since the last successful renewal was sent; negative if there was none.
func (m *Manager) storeAge() time.Duration {
	at, _ := m.session.LastRenewal()
	if at.IsZero() {
		return -1
	}
	return uptime.Since(at)
}

// PromiseRequests implements heartbeat.Host. It requests promises for this member as soon as
// its renewals are overdue, well before the store lease ends, and for the members whose delegate
// it is.
func (h *heartbeatHost) PromiseRequests() []heartbeat.PromiseRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var requests []heartbeat.PromiseRequest
	if h.needsPromises() {
		var session uint64
		h.session.WithAuthority(func(a *right.Authority) { session = a.Session() })
		requests = append(requests, heartbeat.PromiseRequest{MemberID: h.memberID(), Session: session, Period: h.config.Term})
	}
	for memberID, r := range h.renewals {
		requests = append(requests, heartbeat.PromiseRequest{MemberID: memberID, Session: r.authority.Session(), Period: h.config.Term})
	}
	now := uptime.Now()
	self := h.memberID().Incarnation
	for _, request := range requests {
		if h.promise(now, request) {
			h.recordPromise(request, self, now)
		}
	}
	return requests
}

// needsPromises reports whether this process has joined and its last renewal is overdue. The lock
// is held.
func (m *Manager) needsPromises() bool {
	_, answered := m.session.LastRenewal()
	return m.session.State() != member.StateNotJoined && (!answered || m.storeAge() > m.config.maxRenewalAge())
}

// Urgent implements heartbeat.Host. It reports whether promises are needed and the authority may
// expire within two heartbeat intervals.
func (h *heartbeatHost) Urgent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.needsPromises() {
		return false
	}
	now := uptime.Now()
	var until time.Time
	h.session.WithAuthority(func(a *right.Authority) { until = a.Until(now, a.Session()) })
	return until.Sub(now) < 2*h.config.Heartbeat
}

// GrantPromise implements heartbeat.Host.
func (h *heartbeatHost) GrantPromise(request heartbeat.PromiseRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.promise(uptime.Now(), request)
}

// promise makes a promise unless a majority is connected to the store: promises are not needed then
// and would only delay a failover. The lock is held.
func (m *Manager) promise(now time.Time, request heartbeat.PromiseRequest) bool {
	if request.Period > m.config.Term || m.storeAvailable() {
		return false
	}
	if !m.promises.Ask(now, request.MemberID, request.Session, request.Period) {
		return false
	}
	m.metrics.promises.Inc()
	return true
}

// HandleReply implements heartbeat.Host.
func (h *heartbeatHost) HandleReply(sent time.Time, reply heartbeat.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, request := range reply.Promised {
		h.recordPromise(request, reply.Status.Member.Incarnation, sent)
	}
	if reply.Table != nil && len(h.cache.listed) == 0 {
		h.cache.adopt(reply.Table)
		h.publish()
	}
}

// recordPromise counts a voter's promise. The lock is held.
func (m *Manager) recordPromise(request heartbeat.PromiseRequest, voter string, sent time.Time) {
	if request.MemberID == m.memberID() {
		m.session.WithAuthority(func(a *right.Authority) { a.RecordPromise(voter, request.Session, sent, request.Period) })
		return
	}
	if r := m.renewals[request.MemberID]; r != nil {
		r.authority.RecordPromise(voter, request.Session, sent, request.Period)
	}
}

// Targets implements heartbeat.Host: all members, this member's voter set, and the seeds while no
// member is known.
func (h *heartbeatHost) Targets() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	addrs := map[string]bool{}
	for _, e := range h.cache.members {
		addrs[e.Member.Addr] = true
	}
	h.session.WithAuthority(func(a *right.Authority) {
		for _, v := range a.VoterSet().Voters {
			addrs[v.Addr] = true
		}
	})
	if len(h.cache.listed) == 0 {
		for _, seed := range h.config.Seeds {
			addrs[seed] = true
		}
	}
	delete(addrs, h.session.Self().Addr)
	out := make([]string, 0, len(addrs))
	for addr := range addrs {
		out = append(out, addr)
	}
	sort.Strings(out)
	return out
}

// WantTable implements heartbeat.Host.
func (h *heartbeatHost) WantTable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.cache.listed) == 0
}

// storeAvailable reports whether a majority of the known members is connected to the store,
// according to their heartbeats. Safety does not depend on it: it only prevents promises that would
// merely delay a failover, and claims while the store is recovering. The lock is held.
func (m *Manager) storeAvailable() bool {
	var voters []right.Voter
	m.session.WithAuthority(func(a *right.Authority) { voters = a.VoterSet().Voters })
	if len(voters) == 0 {
		voters = m.cache.voters()
	}
	self, maxRenewalAge, up := m.memberID(), m.config.maxRenewalAge(), 0
	for _, v := range voters {
		if v.Incarnation == self.Incarnation {
			if age := m.storeAge(); age >= 0 && age < maxRenewalAge {
				up++
			}
			continue
		}
		h, ok := m.heartbeats.Contact(v.Name)
		if ok && h.Status.StoreAge >= 0 && h.Status.StoreAge+uptime.Since(h.ReceivedAt) < maxRenewalAge {
			up++
		}
	}
	return up >= len(voters)/2+1
}

// reachable reports whether heartbeats of the named member arrive. The lock is held.
func (m *Manager) reachable(name string) bool {
	e, ok := m.cache.members[name]
	return ok && m.reachableMember(right.MemberID{Name: name, Incarnation: e.Member.Incarnation})
}

func (m *Manager) reachableMember(memberID right.MemberID) bool {
	return memberID == m.memberID() || m.heartbeatWithin(memberID, m.config.Suspect)
}

func (m *Manager) heartbeatWithin(memberID right.MemberID, d time.Duration) bool {
	h, ok := m.heartbeats.Contact(memberID.Name)
	return ok && h.Status.Member.Incarnation == memberID.Incarnation && uptime.Since(h.ReceivedAt) < d
}

// delegateFor returns the delegate of the named member, by rendezvous hashing over the other
// reachable members. The lock is held.
func (m *Manager) delegateFor(name string) string {
	var others []string
	for other := range m.cache.members {
		if other != name && (other == m.session.Self().Name || m.reachable(other)) {
			others = append(others, other)
		}
	}
	sort.Strings(others)
	return partition.Owner(partition.OfKey(name, partition.DefaultCount), others)
}

// Table implements heartbeat.Host.
func (h *heartbeatHost) Table() *view.Table { return h.Manager.Table() }
