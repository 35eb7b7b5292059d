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
	// chasePatience is how long a watch may lag behind what peers have before
	// they are asked.
	chasePatience = 200 * time.Millisecond
	// knownEvery is how often the revisions in heartbeats are looked at.
	knownEvery = 500 * time.Millisecond
	// askTimeout bounds one question to a peer, besides its wait.
	askTimeout = 2 * time.Second
)

// learn asks one placer for a newer tree and puts its answer in force.
func (b *book) learn(ctx context.Context, caller peer.Caller, addr string, ask Ask) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+time.Duration(ask.WaitMillis)*time.Millisecond)
	defer cancel()
	ask.Have, ask.Root = -1, nil
	if t := b.current.Load(); t != nil {
		root := t.RootHash()
		ask.Have, ask.Root = t.Revision, root[:]
	}
	for {
		var answer Answer
		if err := caller.Call(ctx, addr, peer.KindSettings, ask, &answer); err != nil {
			return err
		}
		whole := len(ask.Root) == 0
		missing, err := b.applyAnswer(answer)
		if err != nil || missing == 0 {
			return err
		}
		if whole {
			return result.New(result.SettingsDamaged, result.RanNo, "%s left out %d branches", addr, missing)
		}
		ask.Root = nil
	}
}

// applyAnswer puts a peer's answer in force; it returns how many branches lack.
func (b *book) applyAnswer(answer Answer) (missing int, err error) {
	b.hear(answer.Heard)
	if len(answer.Head) == 0 {
		return 0, nil
	}
	h, err := decodeHead(answer.Head)
	if err != nil {
		return 0, err
	}
	pool := make(map[Hash][]byte, len(answer.Branches))
	for _, data := range answer.Branches {
		pool[sha256.Sum256(data)] = data
	}
	hashes, err := b.apply(h, 0, pool)
	return len(hashes), err
}

// answer gives what the asker lacks.
func (b *book) answer(ask Ask) Answer {
	s := b.state()
	out := Answer{Heard: s.heard}
	if s.tree == nil || s.tree.Revision <= ask.Have {
		return out
	}
	out.Head = s.head.encode()
	if ask.HeadOnly {
		return out
	}
	var before *node
	if t := b.recentTree(ask.Have); t != nil && len(ask.Root) > 0 {
		if root := t.RootHash(); bytes.Equal(root[:], ask.Root) {
			before = t.top()
		}
	}
	difference(s.tree.top(), before, func(n *node) { out.Branches = append(out.Branches, n.encode()) })
	return out
}

// difference calls fn for each node that is not at the same place in before.
func difference(n, before *node, fn func(*node)) {
	if before != nil && before.hash == n.hash {
		return
	}
	fn(n)
	for _, l := range n.children {
		difference(l.node, before.child(l.name), fn)
	}
}

// chase asks peers whenever the process lacks a revision that it has heard of,
// or has none, for longer than the store's own news should take.
func (k *Keeper) chase(ctx context.Context) {
	if k.cfg.Caller == nil {
		return
	}
	for ctx.Err() == nil {
		for _, revision := range k.cfg.Known() {
			k.book.hear(revision)
		}
		if k.book.ready() == nil {
			wait.For(ctx, knownEvery)
			continue
		}
		wait.For(ctx, chasePatience)
		if k.book.ready() != nil {
			k.askPeers(ctx)
		}
	}
}

// askPeers asks each peer in turn until nothing lacks.
func (k *Keeper) askPeers(ctx context.Context) {
	addrs := k.cfg.Peers()
	if k.Current() == nil {
		addrs = k.book.survey(ctx, k.cfg.Caller, addrs)
	}
	for _, addr := range addrs {
		before := k.book.revision()
		if err := k.book.learn(ctx, k.cfg.Caller, addr, Ask{}); err != nil {
			k.cfg.Log.WithError(err).WithField("peer", addr).Debug("settings: peer did not answer")
			continue
		}
		if k.book.revision() > before {
			k.counters.learned.Inc()
		}
		if k.book.ready() == nil {
			return
		}
	}
}

// survey asks all placers at once for their heads and returns the addresses of
// those that have one, the highest first. A process that starts does this, so
// that it does not begin with less than was in force in its predecessor.
func (b *book) survey(ctx context.Context, caller peer.Caller, addrs []string) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	revisions := make([]int64, len(addrs))
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Go(func() {
			revisions[i] = -1
			var answer Answer
			if err := caller.Call(ctx, addr, peer.KindSettings, Ask{Have: -1, HeadOnly: true}, &answer); err != nil {
				return
			}
			b.hear(answer.Heard)
			if h, err := decodeHead(answer.Head); err == nil {
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
