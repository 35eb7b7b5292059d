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

// CoverRight is the right to renew leases in the name of a dead holder. It is
// asked for before each order, as hold.Right is.
type CoverRight interface {
	CheckCover(partition int) (hold.Grant, error)
}

// covered is a worker whose leases are renewed for a dead holder.
type covered struct {
	host    platform.Host
	of      view.Partition
	clock   anchor
	renewAt time.Time
	busy    bool
}

var _ hold.Deputy = (*Fleet)(nil)

// Cover replaces the partitions whose leases this process renews in the name
// of their dead holders while the store is down. It never starts, stops or
// acknowledges anything there, and the first claim of a new holder fences it.
func (f *Fleet) Cover(partitions []view.Partition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.covers = map[int]view.Partition{}
	for _, p := range partitions {
		f.covers[p.ID] = p
	}
	for name, c := range f.covered {
		if f.covers[c.of.ID] != c.of {
			delete(f.covered, name)
		}
	}
}

// coverWorkers renews what is due on the workers of covered partitions.
func (f *Fleet) coverWorkers(hosts []platform.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.covers) == 0 || f.cfg.Covers == nil {
		return
	}
	for _, h := range hosts {
		p, ok := f.covers[partition.OfRack(h.Rack, f.cfg.Partitions)]
		if !ok || h.Role != platform.RoleWorker || f.parts[p.ID] != nil {
			continue
		}
		c := f.covered[h.Name]
		if c == nil || c.of != p {
			c = &covered{of: p}
			f.covered[h.Name] = c
		}
		c.host = h
		if !c.busy && !now.Before(c.renewAt) {
			c.busy = f.spawn(func() { f.coverWorker(c, h, c.clock) })
		}
	}
}

// coverWorker renews one worker's leases. The first call is a claim with the
// dead holder's own epoch and name, which fences nobody and gives the reading
// of the worker's clock that an order's expiry is worked out from.
func (f *Fleet) coverWorker(c *covered, h platform.Host, clock anchor) {
	clock, err := f.renewFor(c.of, h, clock)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	c.busy, c.clock, c.renewAt = false, clock, now.Add(f.times.renew)
	if err != nil {
		c.clock, c.renewAt = anchor{}, now.Add(f.times.retryMax)
	}
	f.metrics.covers.WithLabelValues(outcomeLabel(err)).Inc()
}

func (f *Fleet) renewFor(p view.Partition, h platform.Host, clock anchor) (anchor, error) {
	ctx, cancel := context.WithTimeout(f.ctx, f.times.call)
	defer cancel()
	if clock.at.IsZero() {
		if _, err := f.cfg.Covers.CheckCover(p.ID); err != nil {
			return clock, err
		}
		reply, err := f.cfg.Client.Claim(ctx, h.Addr, worker.ClaimRequest{Partition: p.ID, Epoch: p.Epoch, Holder: p.Holder})
		if err != nil {
			return clock, err
		}
		clock = anchor{reading: reply.Now, at: time.Now()}
	}
	grant, err := f.cfg.Covers.CheckCover(p.ID)
	if err != nil {
		return clock, err
	}
	until := time.Now().Add(f.times.call)
	if grant.Until.Before(until) {
		until = grant.Until
	}
	reply, err := f.cfg.Client.Order(ctx, h.Addr, worker.Order{
		Partition: p.ID, Epoch: grant.Epoch, Expires: clock.expiry(until), RenewMillis: f.times.lease.Milliseconds(),
	})
	return anchor{reading: reply.Now, at: time.Now()}, err
}
