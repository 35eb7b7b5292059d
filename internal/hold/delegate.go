package hold

import (
	"slices"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// cover is a dead member for whom this process is the deputy. The right to
// renew is promised by the dead member's electorate in its name, so that the
// fence of a later claimant ends the cover too.
type delegateRenewal struct {
	right      *right.Holder
	partitions []view.Partition
}

// updateCovers works out which dead members to cover. The lock is held.
func (k *Keeper) updateRenewals() {
	renewals := map[right.Subject]*delegateRenewal{}
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

// covering reports whether this process is to stand in for the subject: it has
// been silent for long, a majority does not reach the store, and its charter is
// known.
func (k *Keeper) shouldRenewFor(s right.Subject) bool {
	if s == k.memberID() || uptime.Since(k.started) < 2*k.config.Suspect || k.storeAvailable() {
		return false
	}
	if k.heartbeatWithin(s, 2*k.config.Suspect) || k.cache.voterRecords[s].Charter == nil {
		return false
	}
	return k.delegateFor(s.Name) == k.session.Self().Name
}

func (k *Keeper) renewalFor(s right.Subject) *delegateRenewal {
	voterSet := k.cache.voterRecords[s].Charter.Electorate
	if old := k.renewals[s]; old != nil && old.right.Session() == voterSet.Session {
		return &delegateRenewal{right: old.right}
	}
	limit := uptime.Now()
	if h, ok := k.heartbeats.Heard(s.Name); ok && h.Status.StoreAge >= 0 {
		limit = h.At.Add(-h.Status.StoreAge)
	}
	return &delegateRenewal{right: right.NewDelegate(k.config.times(), voterSet, limit)}
}

// covered lists the partitions that the deputy is to know of, in order.
func (k *Keeper) delegated() []view.Partition {
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

// coversItself reports whether this process renews the task leases of a
// partition that it has released and can not move, since the store went away
// while the hand-over was written. The rules are those of a deputy: only while
// a majority does not reach the store, so that nobody declares runs lost
// meanwhile. The lock is held.
func (k *Keeper) renewsOwn(s *slot) bool { return s.resolving && !k.storeAvailable() }

// tellDeputy passes the list on when it has changed.
func (k *Keeper) notifyDelegate(last []view.Partition) []view.Partition {
	now := k.delegated()
	if k.delegate != nil && !slices.Equal(last, now) {
		k.delegate.Cover(now)
	}
	return now
}

// CheckCover returns the right to renew task leases on the workers of a covered
// partition. Orders carry the grant's epoch and its end, and only renew.
func (k *Keeper) CheckCover(id int) (Grant, error) {
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

// liveCover refuses a grant that has lapsed.
func checkUnexpired(g Grant, now time.Time) (Grant, error) {
	if !g.Until.After(now) {
		return Grant{}, result.New(result.RightLapsed, result.RanNo, "cover of partition %d", g.Partition)
	}
	return g.onGoClock(now), nil
}
