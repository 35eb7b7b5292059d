package settings

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

const (
	// catchUpDelay is how long a watch may lag behind the peers' revisions before the peers are queried.
	catchUpDelay = 200 * time.Millisecond
	// revisionPollInterval is how often the revisions reported by heartbeats are read.
	revisionPollInterval = 500 * time.Millisecond
	// peerCallTimeout bounds one call to a peer, in addition to the request's wait.
	peerCallTimeout = 2 * time.Second
)

// fetchFrom requests a newer tree from one placer and applies the reply. When branches are missing from a reply that
// holds only the difference, it requests all branches.
func (r *replica) fetchFrom(ctx context.Context, caller peer.Caller, addr string, req FetchRequest) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout+time.Duration(req.WaitMillis)*time.Millisecond)
	defer cancel()
	req.Have, req.Root = -1, nil
	if t := r.current.Load(); t != nil {
		root := t.RootHash()
		req.Have, req.Root = t.Revision, root[:]
	}
	for {
		var reply FetchReply
		if err := caller.Call(ctx, addr, peer.KindSettings, req, &reply); err != nil {
			return err
		}
		allRequested := len(req.Root) == 0
		missing, err := r.applyReply(reply)
		if err != nil || missing == 0 {
			return err
		}
		if allRequested {
			return result.New(result.SettingsCorrupt, result.RanNo, "%s left out %d branches", addr, missing)
		}
		req.Root = nil
	}
}

// applyReply applies a peer's reply and returns the number of missing branches.
func (r *replica) applyReply(reply FetchReply) (missing int, err error) {
	r.observe(reply.HighestKnown)
	if len(reply.Head) == 0 {
		return 0, nil
	}
	h, err := decodeHead(reply.Head)
	if err != nil {
		return 0, err
	}
	pool := make(map[Hash][]byte, len(reply.Branches))
	for _, data := range reply.Branches {
		pool[sha256.Sum256(data)] = data
	}
	hashes, err := r.apply(h, 0, pool)
	return len(hashes), err
}

// reply returns what the requester is missing: the head and, unless HeadOnly, the branches that differ.
func (r *replica) reply(req FetchRequest) FetchReply {
	s := r.snapshot()
	out := FetchReply{HighestKnown: s.highestKnown}
	if s.tree == nil || s.tree.Revision <= req.Have {
		return out
	}
	out.Head = s.head.encode()
	if req.HeadOnly {
		return out
	}
	var before *node
	if t := r.recentTree(req.Have); t != nil && len(req.Root) > 0 {
		if root := t.RootHash(); bytes.Equal(root[:], req.Root) {
			before = t.rootNode()
		}
	}
	difference(s.tree.rootNode(), before, func(n *node) { out.Branches = append(out.Branches, n.encode()) })
	return out
}

// difference calls fn for each node that isn't at the same position in before.
func difference(n, before *node, fn func(*node)) {
	if before != nil && before.hash == n.hash {
		return
	}
	fn(n)
	for _, l := range n.children {
		difference(l.node, before.child(l.name), fn)
	}
}

// catchUpLoop queries peers whenever the process has no revision, or is behind highestKnown, for longer
// than the store's watch should take to deliver it.
func (m *Manager) catchUpLoop(ctx context.Context) {
	if m.cfg.Caller == nil {
		return
	}
	for ctx.Err() == nil {
		for _, revision := range m.cfg.MemberRevisions() {
			m.replica.observe(revision)
		}
		if m.replica.ready() == nil {
			wait.For(ctx, revisionPollInterval)
			continue
		}
		wait.For(ctx, catchUpDelay)
		if m.replica.ready() != nil {
			m.catchUp(ctx)
		}
	}
}

// catchUp fetches from each peer in turn until the replica is ready.
func (m *Manager) catchUp(ctx context.Context) {
	addrs := m.cfg.Peers()
	if m.Current() == nil {
		addrs = m.replica.rankByRevision(ctx, m.cfg.Caller, addrs)
	}
	for _, addr := range addrs {
		before := m.replica.revision()
		if err := m.replica.fetchFrom(ctx, m.cfg.Caller, addr, FetchRequest{}); err != nil {
			m.cfg.Log.WithError(err).WithField("peer", addr).Debug("settings: peer did not answer")
			continue
		}
		if m.replica.revision() > before {
			m.counters.fetchedFromPeers.Inc()
		}
		if m.replica.ready() == nil {
			return
		}
	}
}

// rankByRevision requests the heads of all placers concurrently and returns the addresses of those that have one,
// highest revision first. A starting process does this, so that its first revision isn't lower than the one that was
// active in its previous incarnation.
func (r *replica) rankByRevision(ctx context.Context, caller peer.Caller, addrs []string) []string {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	revisions := make([]int64, len(addrs))
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Go(func() {
			revisions[i] = -1
			var reply FetchReply
			if err := caller.Call(ctx, addr, peer.KindSettings, FetchRequest{Have: -1, HeadOnly: true}, &reply); err != nil {
				return
			}
			r.observe(reply.HighestKnown)
			if h, err := decodeHead(reply.Head); err == nil {
				revisions[i] = h.Revision
			}
		})
	}
	calls.Wait()
	order := make([]int, 0, len(addrs))
	for i := range addrs {
		if revisions[i] >= 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(revisions[j], revisions[i]) })
	best := make([]string, len(order))
	for n, i := range order {
		best[n] = addrs[i]
	}
	return best
}
