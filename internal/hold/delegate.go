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
	right      *right.Authority
	partitions []view.Partition
}

// updateRenewals determines for which dead members to renew task leases. The lock is held.
func (k *Manager) updateRenewals() {
	renewals := map[right.MemberID]*delegateRenewal{}
	for _, p := range k.cache.partitions {
		s := holderOf(p)
		if p.Holder == "" || !k.shouldRenewFor(s) {
			continue
		}
		c := renewals[s]
		if c == nil {
			c = k.renewalFor(s)
			renewals[s] = c
		}
		c.partitions = append(c.partitions, p)
	}
	for _, c := range renewals {
		slices.SortFunc(c.partitions, func(a, b view.Partition) int { return a.ID - b.ID })
	}
	k.renewals = renewals
}

// shouldRenewFor reports whether this process is the delegate of the member now: no heartbeat of
// the member has arrived for twice the Suspect time, a majority is not connected to the store, and the
// member's voter record is known.
func (k *Manager) shouldRenewFor(s right.MemberID) bool {
	if s == k.memberID() || uptime.Since(k.started) < 2*k.config.Suspect || k.storeAvailable() {
		return false
	}
	if k.heartbeatWithin(s, 2*k.config.Suspect) || k.cache.voterRecords[s].VoterRecord == nil {
		return false
	}
	return k.delegateFor(s.Name) == k.session.Self().Name
}

func (k *Manager) renewalFor(s right.MemberID) *delegateRenewal {
	voterSet := k.cache.voterRecords[s].VoterRecord.VoterSet
	if old := k.renewals[s]; old != nil && old.right.Session() == voterSet.Session {
		return &delegateRenewal{right: old.right}
	}
	lastRenewal := uptime.Now()
	if h, ok := k.heartbeats.Contact(s.Name); ok && h.Status.StoreAge >= 0 {
		lastRenewal = h.ReceivedAt.Add(-h.Status.StoreAge)
	}
	return &delegateRenewal{right: right.NewDelegate(k.config.times(), voterSet, lastRenewal)}
}

// delegated lists the partitions whose task leases the delegate has to renew, in ascending order.
func (k *Manager) delegated() []view.Partition {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []view.Partition
	for _, c := range k.renewals {
		out = append(out, c.partitions...)
	}
	for _, s := range k.slots {
		if k.renewsOwn(s) {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b view.Partition) int { return a.ID - b.ID })
	return out
}

// renewsOwn reports whether this process renews the task leases of a partition that it has released
// but can not move, because the store became unavailable while the handover was written. The rule
// is that of a delegate: only while a majority is not connected to the store, so that nobody
// declares runs lost meanwhile. The lock is held.
func (k *Manager) renewsOwn(s *slot) bool { return s.resolving && !k.storeAvailable() }

// notifyDelegate passes the delegated partitions to the Delegate if they differ from last, and
// returns them.
func (k *Manager) notifyDelegate(last []view.Partition) []view.Partition {
	current := k.delegated()
	if k.delegate != nil && !slices.Equal(last, current) {
		k.delegate.SetRenewals(current)
	}
	return current
}

// CheckRenewal returns the authority to renew task leases on the workers of a delegated partition.
// Orders carry the grant's epoch and its end, and may only renew.
func (k *Manager) CheckRenewal(id int) (Grant, error) {
	now := uptime.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if id >= 0 && id < len(k.slots) && k.renewsOwn(k.slots[id]) {
		return checkUnexpired(k.grant(now, k.slots[id]), now)
	}
	for _, c := range k.renewals {
		for _, p := range c.partitions {
			if p.ID != id {
				continue
			}
			until := c.right.Until(now, c.right.Session())
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
