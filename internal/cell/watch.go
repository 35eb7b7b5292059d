package cell

import (
	"sync"
	"time"
)

// watch knows the watchers of the holder. It keeps the result for the last list of members, as ordering hundreds of
// candidates at each heartbeat would cost more than the heartbeat. The zero value is ready to use.
type watch struct {
	mu      sync.Mutex
	members []Member // for which list was computed
	holder  string
	list    []Member
	names   map[string]struct{}
}

// watchers returns the watchers of a holder in order of preference. The slice must not be modified.
func (w *watch) watchers(members []Member, holder string) []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(members, holder)
	return w.list
}

// interval returns the interval at which a member sends heartbeats to a holder.
func (w *watch) interval(members []Member, holder, name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update(members, holder)
	if _, ok := w.names[name]; ok {
		return MinHeartbeatInterval
	}
	return heartbeatInterval(len(members))
}

// update computes the watchers, unless they are known for the same list. The caller holds the lock.
func (w *watch) update(members []Member, holder string) {
	same := w.names != nil && len(members) == len(w.members) && (len(members) == 0 || &members[0] == &w.members[0])
	if same && holder == w.holder {
		return
	}
	w.members, w.holder, w.list, w.names = members, holder, Watchers(members, holder), map[string]struct{}{}
	for _, m := range w.list {
		w.names[m.Name] = struct{}{}
	}
}
