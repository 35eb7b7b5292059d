package linkshard

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/peer"
)

// Which members are shards, and which of them a host is called through.

// chooseShards works out anew, now and then, which members get calls. The lock is held.
func (r *Router) chooseShards(now time.Time) {
	if now.Sub(r.workedOut) < membersEvery {
		return
	}
	r.workedOut = now
	r.forgetHosts()
	var members []Member
	for _, m := range Spread(r.answering(now), r.conf.Self, r.conf.Hosts()) {
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
	r.members, r.spread = members, newSpreader(members)
	clear(r.routes)
}

// answering are the members but for lost shards, which are asked whether they are back.
// The lock is held.
func (r *Router) answering(now time.Time) []Member {
	members := r.conf.Members()
	out := make([]Member, 0, len(members))
	for _, m := range members {
		s := r.shards[m.Name]
		if s == nil || !s.lost {
			out = append(out, m)
			continue
		}
		s.member = m
		r.askLost(s, now)
	}
	return out
}

// forgetHosts lets go of what is known of hosts, most of which have gone, when it has
// become much. The lock is held.
func (r *Router) forgetHosts() {
	if most := forgetFactor * (r.conf.Hosts() + 1); len(r.routes) > most || len(r.passed) > most {
		clear(r.routes)
		clear(r.passed)
	}
}

// askLost asks a shard that was lost whether it is back, when it is time. The lock is held.
func (r *Router) askLost(s *shard, now time.Time) {
	if s.asking || now.Before(s.askAfter) {
		return
	}
	s.asking = true
	go r.ask(r.ctx, s, s.member.Addr)
}

// sendNothing sends a batch of nothing. It reports besides whether the time for that was over.
func (r *Router) sendNothing(ctx context.Context, addr string) (overtime bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, batchPatience)
	defer cancel()
	empty := Batch{Partition: r.conf.Partition, Epoch: r.conf.Epoch, Holder: r.conf.Addr}
	err = r.conf.Peers.Call(ctx, addr, peer.KindHostCalls, empty, &Empty{})
	return late(ctx), err
}

// ask takes a lost shard into use again if it answers a batch of nothing.
func (r *Router) ask(ctx context.Context, s *shard, addr string) {
	_, err := r.sendNothing(ctx, addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.asking = false
	if err != nil {
		s.noteLost(time.Now())
		return
	}
	s.lost, r.workedOut = false, time.Time{}
}

// askQuiet asks the shards that have calls and have said nothing for a while whether they
// are there. All looks of a shard may be held back at their hosts, and nothing more is sent to
// it then: without a question its end would be taken for the silence of its hosts.
func (r *Router) askQuiet(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.calls {
		s := p.shard
		if s.lost || s.asking || s.sending || now.Sub(s.heard) < quietAfter || now.Sub(s.last) < quietAfter {
			continue
		}
		s.asking, s.last = true, now
		go r.askThere(r.ctx, s, s.member.Addr)
	}
}

// askThere takes a shard for lost that does not answer a batch of nothing.
func (r *Router) askThere(ctx context.Context, s *shard, addr string) {
	overtime, err := r.sendNothing(ctx, addr)
	now := time.Now()
	r.mu.Lock()
	s.asking = false
	lost := s.lost // a batch has failed meanwhile
	r.mu.Unlock()
	switch {
	case err == nil:
		r.hear(s, now)
	case lost:
	case ctx.Err() == nil && !(r.conf.Busy() && overtime):
		r.failed(s, nil, err, now)
	}
}

// hear notes that a shard has answered.
func (r *Router) hear(s *shard, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.heard = now
}

// noteLost takes the shard out of use until it has answered again.
func (s *shard) noteLost(now time.Time) {
	s.lost, s.askAfter = true, now.Add(firstRest<<min(s.fails, doublings))
	s.fails++
}

// shardFor returns the shard that calls a host, or nil for this process. The lock is held.
func (r *Router) shardFor(to *host.Info) *shard {
	if len(r.members) == 0 {
		return nil
	}
	s := r.routes[to.ID]
	if s == nil {
		s = r.shards[r.spread.shardOf(to.ID, to.Zone, r.passed[to.ID])]
		r.routes[to.ID] = s
	}
	return s
}

// noteReached has a host called through another shard the next time if it was not
// reached: the path from this one may be cut. The lock is held.
func (r *Router) noteReached(id host.ID, err error) {
	switch failureOf(err) {
	case notSent, turnedAway, lost, broken:
		r.passBy(id)
	}
}

// passBy has a host called through another shard from now on. The lock is held.
func (r *Router) passBy(id host.ID) {
	r.passed[id]++
	delete(r.routes, id)
}
