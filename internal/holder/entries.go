package holder

import (
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
)

// Hosts write their entries with each heartbeat, and nearly all of these differ from the one before in nothing but
// their heartbeat number. In a large cell thousands arrive each second, so that such an entry is told by its bytes:
// it is not decoded, and all that arrive together reach the engine at once and without a decision.

// hostEntries has the entries of hosts as last read, without those that can't be decoded. It is used by one goroutine
// at a time.
type hostEntries struct {
	values map[host.ID][]byte
}

// entryChange is a change of one entry, with what the engine has to be told.
type entryChange struct {
	record platform.Record
	id     host.ID
	kind   entryChangeKind
	seq    int64      // the heartbeat number of a renewed entry
	info   *host.Info // of an updated one
}

type entryChangeKind uint8

const (
	entryRenewed entryChangeKind = iota // only the heartbeat number has changed
	entryUpdated
	entryUnreadable
	entryDropped
)

// put stores a value.
func (s *hostEntries) put(id host.ID, value []byte) {
	if s.values == nil {
		s.values = map[host.ID][]byte{}
	}
	s.values[id] = value
}

// classify returns what the engine has to be told of changes, in their order.
func (h *Holder) classify(changes []platform.Change) []entryChange {
	out := make([]entryChange, 0, len(changes))
	for _, c := range changes {
		id := h.cfg.HostOf(c.Key)
		if c.Deleted {
			delete(h.entries.values, id)
			h.oddHosts.Forget(c.Key)
			out = append(out, entryChange{id: id, kind: entryDropped})
			continue
		}
		before := h.entries.values[id]
		if h.cfg.HeartbeatOnly != nil && before != nil {
			if seq, ok := h.cfg.HeartbeatOnly(before, c.Value); ok {
				h.entries.put(id, c.Value)
				out = append(out, entryChange{record: c.Record, id: id, kind: entryRenewed, seq: seq})
				continue
			}
		}
		out = append(out, h.decodeEntry(id, c.Record))
	}
	return out
}

// decodeEntry returns the change by an entry that has to be decoded.
func (h *Holder) decodeEntry(id host.ID, rec platform.Record) entryChange {
	info, ok := h.parseHost(rec)
	if !ok {
		return entryChange{id: id, kind: entryUnreadable}
	}
	h.entries.put(id, rec.Value)
	return entryChange{id: id, kind: entryUpdated, info: &info}
}

// applyHostChanges passes the changes of entries that arrived together to the engine. It triggers a decision only if
// any of them tells more than that a host is alive.
func (h *Holder) applyHostChanges(changes []platform.Change) {
	list := h.classify(changes)
	news := false
	start := time.Now()
	h.mu.Lock()
	now := time.Now()
	for _, c := range list {
		news = h.applyEntry(c, now) || news
	}
	h.mu.Unlock()
	if news {
		h.cfg.Metrics.observeWait(now.Sub(start))
		h.wakeDecider()
	}
}

// applyEntry passes the change of an entry to the engine. It reports whether it tells more than that a host is alive.
// The caller holds the lock.
func (h *Holder) applyEntry(c entryChange, now time.Time) (news bool) {
	if c.kind == entryRenewed {
		if h.engine.RenewEntry(c.id, c.seq, now) {
			h.kept.remove(c.id)
			return false
		}
		c = h.decodeEntry(c.id, c.record) // the host was forgotten meanwhile
	}
	if c.kind == entryUnreadable && h.keepEntry(c.id, now) {
		return false
	}
	h.kept.remove(c.id)
	if c.kind != entryUpdated {
		h.engine.DropHost(c.id, now)
		return true
	}
	h.engine.SetHost(*c.info, now)
	return true
}
