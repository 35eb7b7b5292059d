package settings

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pulleyquay/internal/peer"
)

// maxWait bounds how long the reply to a FetchRequest is delayed.
const maxWait = time.Second

// Serve registers the handlers of KindSettings, KindSettingsChange and
// KindSettingsHistory.
func (m *Manager) Serve(mux *peer.Mux) {
	peer.Handle(mux, peer.KindSettings, m.query)
	peer.Handle(mux, peer.KindSettingsChange, m.Change)
	peer.Handle(mux, peer.KindSettingsHistory, func(ctx context.Context, _ HistoryRequest) (HistoryReply, error) {
		heads, err := m.History(ctx)
		if err != nil {
			return HistoryReply{}, err
		}
		data, err := json.Marshal(heads)
		return HistoryReply{Heads: data}, err
	})
}

// query replies at once when a newer tree is active, else when one becomes active or the wait ends.
func (m *Manager) query(ctx context.Context, query FetchRequest) (FetchReply, error) {
	m.replica.observe(query.Have)
	if query.Follower != "" && query.WaitMillis > 0 { // a follower that does not wait is querying all placers
		m.followers.recordPoll(query.Follower, query.Have, time.Now())
	}
	timeout := time.NewTimer(min(maxWait, time.Duration(query.WaitMillis)*time.Millisecond))
	defer timeout.Stop()
	for {
		changed := m.replica.changeSignal()
		if reply := m.replica.reply(query); len(reply.Head) > 0 {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return m.replica.reply(query), nil
		case <-ctx.Done():
			return FetchReply{}, ctx.Err()
		}
	}
}

// followerTTL is how long an entry counts as a follower after its last poll.
const followerTTL = 3 * time.Second

// followers holds the active revision of each entry that polls this placer.
type followers struct {
	mu   sync.Mutex
	seen map[string]followerState
}

type followerState struct {
	revision int64
	at       time.Time
}

func newFollowers() *followers { return &followers{seen: map[string]followerState{}} }

func (f *followers) recordPoll(name string, revision int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[name] = followerState{revision, now}
}

// lowestRevision returns the lowest of own and the live followers' revisions, and removes expired followers.
func (f *followers) lowestRevision(own int64, now time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.seen {
		if now.Sub(s.at) > followerTTL {
			delete(f.seen, name)
			continue
		}
		own = min(own, s.revision)
	}
	return own
}
