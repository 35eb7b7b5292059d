package memstore

import (
	"sort"
	"strings"

	"pulleyquay/internal/platform"
)

// addWatcher registers a watcher for changes under the prefix.
func (e *Engine) addWatcher(prefix string) *watcher {
	w := &watcher{prefix: prefix, notify: make(chan struct{}, 1)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watchers[w] = struct{}{}
	return w
}

// removeWatcher removes a watcher registered by addWatcher.
func (e *Engine) removeWatcher(w *watcher) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.watchers, w)
}

// notify wakes the watchers with a changed key under their prefix.
func (e *Engine) notify(changes []platform.Change) {
	for w := range e.watchers {
		if !anyUnderPrefix(changes, w.prefix) {
			continue
		}
		select {
		case w.notify <- struct{}{}:
		default: // already notified
		}
	}
}

// anyUnderPrefix reports whether any change is under the prefix.
func anyUnderPrefix(changes []platform.Change, prefix string) bool {
	for _, c := range changes {
		if strings.HasPrefix(c.Key, prefix) {
			return true
		}
	}
	return false
}

// since returns the changes under the prefix after the given revision.
func (e *Engine) since(prefix string, after platform.Revision) (platform.Batch, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after < e.compacted {
		return platform.Batch{}, platform.ErrCompacted
	}
	from := sort.Search(len(e.history), func(i int) bool { return e.history[i].ModRevision > after })
	// A watcher may start at a revision that the store has not reached yet.
	batch := platform.Batch{Revision: max(after, e.revision)}
	for _, c := range e.history[from:] {
		if strings.HasPrefix(c.Key, prefix) {
			batch.Changes = append(batch.Changes, c)
		}
	}
	return batch, nil
}
