package hold

import (
	"slices"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// delegateRenewal is a dead member on whose behalf this process renews task leases as its delegate.
// The authority to renew comes from promises of the dead member's voter set in that member's name,
// so that the fence of a later claimant ends it too.
type delegateRenewal struct {
	authority  *right.Authority
	partitions []view.Partition
}

// updateRenewals determines for which dead members to renew task leases. The lock is held.
func (m *Manager) updateRenewals() {
	renewals := map[right.MemberID]*delegateRenewal{}
	for _, p := range m.cache.partitions {
		memberID := holderOf(p)
		if p.Holder == "" || !m.shouldRenewFor(memberID) {
			continue
		}
		r := renewals[memberID]
		if r == nil {
			r = m.renewalFor(memberID)
			renewals[memberID] = r
		}
		r.partitions = append(r.partitions, p)
	}
	for _, r := range renewals {
		slices.SortFunc(r.partitions, func(a, b view.Partition) int { return a.ID - b.ID })
	}
	m.renewals = renewals
}

// shouldRenewFor reports whether this process is the delegate of the member now: no heartbeat of
// the member has arrived for twice the Suspect time, a majority is not connected to the store, and the
// member's voter record is known.
func (m *Manager) shouldRenewFor(memberID right.MemberID) bool {
	if memberID == m.memberID() || uptime.Since(m.started) < 2*m.config.Suspect || m.storeAvailable() {
		return false
	}
	if m.heartbeatWithin(memberID, 2*m.config.Suspect) || m.cache.voterRecords[memberID].VoterRecord == nil {
		return false
	}
	return m.delegateFor(memberID.Name) == m.session.Self().Name
}

func (m *Manager) renewalFor(memberID right.MemberID) *delegateRenewal {
	voterSet := m.cache.voterRecords[memberID].VoterRecord.VoterSet
	if old := m.renewals[memberID]; old != nil && old.authority.Session() == voterSet.Session {
		return &delegateRenewal{authority: old.authority}
	}
	lastRenewal := uptime.Now()
	if h, ok := m.heartbeats.Contact(memberID.Name); ok && h.Status.StoreAge >= 0 {
		lastRenewal = h.ReceivedAt.Add(-h.Status.StoreAge)
	}
	return &delegateRenewal{authority: right.NewDelegate(m.config.times(), voterSet, lastRenewal)}
}

// delegated lists the partitions whose task leases the delegate has to renew, in ascending order.
func (m *Manager) delegated() []view.Partition {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []view.Partition
	for _, r := range m.renewals {
		out = append(out, r.partitions...)
	}
	for _, s := range m.slots {
		if m.renewsOwn(s) {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b view.Partition) int { return a.ID - b.ID })
	return out
}

// renewsOwn reports whether this process renews the task leases of a partition that it has released
// but can not move, because the store became unavailable while the handover was written. Like a
// delegate, this process renews the leases only while a majority of the members is not connected
// to the store. Nobody declares runs lost during that time. The lock is held.
func (m *Manager) renewsOwn(s *slot) bool { return s.resolving && !m.storeAvailable() }

// notifyDelegate passes the delegated partitions to the Delegate if they differ from last, and
// returns them.
func (m *Manager) notifyDelegate(last []view.Partition) []view.Partition {
	current := m.delegated()
	if m.delegate != nil && !slices.Equal(last, current) {
		m.delegate.SetRenewals(current)
	}
	return current
}

// CheckRenewal returns the authority to renew task leases on the workers of a delegated partition.
// Orders carry the grant's epoch and its end, and may only renew.
func (m *Manager) CheckRenewal(id int) (Grant, error) {
	now := uptime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if id >= 0 && id < len(m.slots) && m.renewsOwn(m.slots[id]) {
		return checkUnexpired(m.grant(now, m.slots[id]), now)
	}
	for _, r := range m.renewals {
		for _, p := range r.partitions {
			if p.ID != id {
				continue
			}
			until := r.authority.Until(now, r.authority.Session())
			return checkUnexpired(Grant{Partition: id, Epoch: p.Epoch, Until: until}, now)
		}
	}
	return Grant{}, result.New(result.NotHolder, result.RanNo, "partition %d is not covered here", id)
}

// checkUnexpired refuses a grant that has expired.
func checkUnexpired(g Grant, now time.Time) (Grant, error) {
	if !g.Until.After(now) {
		return Grant{}, result.New(result.AuthorityExpired, result.RanNo, "cover of partition %d", g.Partition)
	}
	return g.onGoClock(now), nil
}
