package settings

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"pulleyquay/internal/peer"
)

// maxWait bounds how long an answer to Ask is held back.
const maxWait = time.Second

// Serve registers the handlers of KindSettings, KindSettingsChange and
// KindSettingsHistory.
func (k *Keeper) Serve(mux *peer.Mux) {
	peer.Handle(mux, peer.KindSettings, k.ask)
	peer.Handle(mux, peer.KindSettingsChange, k.Change)
	peer.Handle(mux, peer.KindSettingsHistory, func(ctx context.Context, _ AskHistory) (HistoryAnswer, error) {
		heads, err := k.History(ctx)
		if err != nil {
			return HistoryAnswer{}, err
		}
		data, err := json.Marshal(heads)
		return HistoryAnswer{Heads: data}, err
	})
}

// ask answers at once when there is something newer, else after the wait.
func (k *Keeper) ask(ctx context.Context, ask Ask) (Answer, error) {
	k.book.hear(ask.Have)
	if ask.Follower != "" && ask.WaitMillis > 0 { // one that does not wait asks around
		k.followers.note(ask.Follower, ask.Have, time.Now())
	}
	timeout := time.NewTimer(min(maxWait, time.Duration(ask.WaitMillis)*time.Millisecond))
	defer timeout.Stop()
	for {
		changed := k.book.waiter()
		if answer := k.book.answer(ask); len(answer.Head) > 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return k.book.answer(ask), nil
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

// followerTerm is how long an entry counts as following after its last poll.
const followerTerm = 3 * time.Second

// followers remembers the revision in force at each entry that polls here.
type followers struct {
	mu   sync.Mutex
	seen map[string]followed
}

type followed struct {
	revision int64
	at       time.Time
}

func newFollowers() *followers { return &followers{seen: map[string]followed{}} }

func (f *followers) note(name string, revision int64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[name] = followed{revision, now}
}

// lowest returns the lowest of own and the live followers' revisions.
func (f *followers) lowest(own int64, now time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.seen {
		if now.Sub(s.at) > followerTerm {
			delete(f.seen, name)
			continue
		}
		own = min(own, s.revision)
	}
	return own
}
