package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// DelegateAuthority is the authority to renew leases on behalf of a dead holder. It is
// checked before each order, like hold.Authorizer.
type DelegateAuthority interface {
	CheckRenewal(partition int) (hold.Grant, error)
}

// delegated is a worker whose leases are renewed for a dead holder.
type delegated struct {
	host       platform.Host
	delegation view.Partition
	clock      clockAnchor
	renewAt    time.Time
	busy       bool
}

var _ hold.Delegate = (*Fleet)(nil)

// SetRenewals replaces the partitions whose leases this process, as a delegate, renews
// on behalf of their dead holders while the store is down. A delegate never starts,
// stops or acknowledges anything there, and the first claim of a new holder fences it.
func (f *Fleet) SetRenewals(partitions []view.Partition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delegations = map[int]view.Partition{}
	for _, p := range partitions {
		f.delegations[p.ID] = p
	}
	for name, d := range f.delegated {
		if f.delegations[d.delegation.ID] != d.delegation {
			delete(f.delegated, name)
		}
	}
}

// renewDelegated starts the due renewals on the workers of delegated partitions.
func (f *Fleet) renewDelegated(hosts []platform.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delegations) == 0 || f.cfg.Delegations == nil {
		return
	}
	for _, h := range hosts {
		p, ok := f.delegations[partition.OfRack(h.Rack, f.cfg.Partitions)]
		if !ok || h.Role != platform.RoleWorker || f.partitions[p.ID] != nil {
			continue
		}
		d := f.delegated[h.Name]
		if d == nil || d.delegation != p {
			d = &delegated{delegation: p}
			f.delegated[h.Name] = d
		}
		d.host = h
		if !d.busy && !now.Before(d.renewAt) {
			d.busy = f.spawn(func() { f.renewDelegatedWorker(d, h, d.clock) })
		}
	}
}

// renewDelegatedWorker renews one worker's leases. The first call is a claim with
// the dead holder's own epoch and name, which fences nobody and returns the reading
// of the worker's clock from which an order's expiry is calculated.
func (f *Fleet) renewDelegatedWorker(d *delegated, h platform.Host, clock clockAnchor) {
	clock, err := f.renewFor(d.delegation, h, clock)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	d.busy, d.clock, d.renewAt = false, clock, now.Add(f.timings.renew)
	if err != nil {
		d.clock, d.renewAt = clockAnchor{}, now.Add(f.timings.retryMax)
	}
	f.metrics.delegateRenewals.WithLabelValues(callOutcomeLabel(err)).Inc()
}

func (f *Fleet) renewFor(p view.Partition, h platform.Host, clock clockAnchor) (clockAnchor, error) {
	ctx, cancel := context.WithTimeout(f.ctx, f.timings.callTimeout)
	defer cancel()
	if clock.at.IsZero() {
		if _, err := f.cfg.Delegations.CheckRenewal(p.ID); err != nil {
			return clock, err
		}
		reply, err := f.cfg.Client.Claim(ctx, h.Addr, worker.ClaimRequest{Partition: p.ID, Epoch: p.Epoch, Holder: p.Holder})
		if err != nil {
			return clock, err
		}
		clock = clockAnchor{reading: reply.Now, at: time.Now()}
	}
	grant, err := f.cfg.Delegations.CheckRenewal(p.ID)
	if err != nil {
		return clock, err
	}
	until := time.Now().Add(f.timings.callTimeout)
	if grant.Until.Before(until) {
		until = grant.Until
	}
	reply, err := f.cfg.Client.Order(ctx, h.Addr, worker.Order{
		Partition: p.ID, Epoch: grant.Epoch, Expires: clock.expiry(until), RenewMillis: f.timings.lease.Milliseconds(),
	})
	return clockAnchor{reading: reply.Now, at: time.Now()}, err
}
