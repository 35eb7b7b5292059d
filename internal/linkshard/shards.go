package linkshard

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/peer"
)

// Selection of the members that are shards, and of the shard for each host.

// chooseShards selects the shards anew, at most every selectInterval. The lock is held.
func (r *Router) chooseShards(now time.Time) {
	if now.Sub(r.selectedAt) < selectInterval {
		return
	}
	r.selectedAt = now
	r.pruneRoutes()
	var members []Member
	for _, m := range SelectShards(r.availableMembers(now), r.conf.Self, r.conf.Hosts()) {
		members = append(members, m)
		if s := r.shards[m.Name]; s != nil {
			s.member = m
			continue
		}
		r.shards[m.Name] = &shard{member: m}
	}
	if slices.Equal(members, r.members) {
		return
	}
	if (len(members) == 0) != (len(r.members) == 0) {
		r.conf.Log.WithFields(logrus.Fields{"shards": len(members), "hosts": r.conf.Hosts()}).Info("calls to hosts are spread over link shards")
	}
	r.members, r.selector = members, newShardSelector(members)
	clear(r.routes)
}

// availableMembers returns the members without unresponsive shards, which are probed for recovery.
// The lock is held.
func (r *Router) availableMembers(now time.Time) []Member {
	members := r.conf.Members()
	out := make([]Member, 0, len(members))
	for _, m := range members {
		s := r.shards[m.Name]
		if s == nil || !s.unresponsive {
			out = append(out, m)
			continue
		}
		s.member = m
		r.probeUnresponsive(s, now)
	}
	return out
}

// pruneRoutes clears the routes, most of which belong to removed hosts, when there are too many.
// The lock is held.
func (r *Router) pruneRoutes() {
	if limit := maxHostsFactor * (r.conf.Hosts() + 1); len(r.routes) > limit || len(r.failedRoutes) > limit {
		clear(r.routes)
		clear(r.failedRoutes)
	}
}

// probeUnresponsive probes an unresponsive shard if its backoff is over. The lock is held.
func (r *Router) probeUnresponsive(s *shard, now time.Time) {
	if s.probing || now.Before(s.probeAfter) {
		return
	}
	s.probing = true
	go r.probeRecovery(r.ctx, s, s.member.Addr)
}

// sendProbe sends an empty batch. It also reports whether the deadline of the call was exceeded.
func (r *Router) sendProbe(ctx context.Context, addr string) (deadlineExceeded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	empty := Batch{Partition: r.conf.Partition, Epoch: r.conf.Epoch, Holder: r.conf.Addr}
	err = r.conf.Peers.Call(ctx, addr, peer.KindHostCalls, empty, &Empty{})
	return timedOut(ctx), err
}

// probeRecovery puts an unresponsive shard back into use if it answers an empty batch.
func (r *Router) probeRecovery(ctx context.Context, s *shard, addr string) {
	_, err := r.sendProbe(ctx, addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.probing = false
	if err != nil {
		s.markUnresponsive(time.Now())
		return
	}
	s.unresponsive, r.selectedAt = false, time.Time{}
}

// probeQuietShards probes the shards that have calls and have had no contact for a while. All polls
// of a shard may be held at their hosts, and nothing more is sent to it then: without a probe, its
// failure would be mistaken for unresponsive hosts.
func (r *Router) probeQuietShards(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.calls {
		s := p.shard
		if s.unresponsive || s.probing || s.sending || now.Sub(s.lastContact) < quietTimeout || now.Sub(s.lastBatch) < quietTimeout {
			continue
		}
		s.probing, s.lastBatch = true, now
		go r.probeQuietShard(r.ctx, s, s.member.Addr)
	}
}

// probeQuietShard marks a shard as failed if it does not answer an empty batch.
func (r *Router) probeQuietShard(ctx context.Context, s *shard, addr string) {
	deadlineExceeded, err := r.sendProbe(ctx, addr)
	now := time.Now()
	r.mu.Lock()
	s.probing = false
	unresponsive := s.unresponsive // a batch has failed meanwhile
	r.mu.Unlock()
	switch {
	case err == nil:
		r.recordContact(s, now)
	case unresponsive:
	case ctx.Err() == nil && !(r.conf.Busy() && deadlineExceeded):
		r.markFailed(s, nil, err, now)
	}
}

// recordContact records that a shard has answered.
func (r *Router) recordContact(s *shard, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.lastContact = now
}

// markUnresponsive excludes the shard until it has answered a probe.
func (s *shard) markUnresponsive(now time.Time) {
	s.unresponsive, s.probeAfter = true, now.Add(initialBackoff<<min(s.failures, maxDoublings))
	s.failures++
}

// shardFor returns the shard that calls a host, or nil for this process. The lock is held.
func (r *Router) shardFor(to *host.Info) *shard {
	if len(r.members) == 0 {
		return nil
	}
	s := r.routes[to.ID]
	if s == nil {
		s = r.shards[r.selector.shardOf(to.ID, to.Zone, r.failedRoutes[to.ID])]
		r.routes[to.ID] = s
	}
	return s
}

// rerouteIfUnreached reroutes a host to another shard if it was not reached: the path from this
// shard may be disconnected. The lock is held.
func (r *Router) rerouteIfUnreached(id host.ID, err error) {
	switch failureOf(err) {
	case failureNotSent, failureRefused, failureLost, failureBroken:
		r.rerouteHost(id)
	}
}

// rerouteHost selects another shard for a host from now on. The lock is held.
func (r *Router) rerouteHost(id host.ID) {
	r.failedRoutes[id]++
	delete(r.routes, id)
}
