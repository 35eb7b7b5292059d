package holder

import (
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
)

// Hosts write their entries with each heartbeat, and nearly all of these differ from the one before in nothing but
// their heartbeat number. In a large cell thousands arrive each second, so that such an entry is told by its bytes:
// it is not decoded, and all that arrive together reach the engine at once and without a decision.

// hostEntries has the entries of hosts as last read. It is used by one goroutine at a time.
type hostEntries struct {
	values map[host.ID][]byte
}

// entryChanges are the changes of entries that arrived together.
type entryChanges struct {
	renewed []renewedEntry
	updated []host.Info
	dropped []host.ID
}

// renewedEntry is an entry in which only the heartbeat number has changed.
type renewedEntry struct {
	record platform.Record
	id     host.ID
	seq    int64
}

// replace replaces all entries by listed ones.
func (s *hostEntries) replace(records []platform.Record, id func(key string) host.ID) {
	s.values = make(map[host.ID][]byte, len(records))
	for _, rec := range records {
		s.values[id(rec.Key)] = rec.Value
	}
}

// put stores a value and returns the one before; nil if there was none.
func (s *hostEntries) put(id host.ID, value []byte) (before []byte) {
	if s.values == nil {
		s.values = map[host.ID][]byte{}
	}
	before = s.values[id]
	s.values[id] = value
	return before
}

// classify sorts changes by what the engine has to be told.
func (h *Holder) classify(changes []platform.Change) entryChanges {
	var out entryChanges
	for _, c := range changes {
		id := h.cfg.HostOf(c.Key)
		if c.Deleted {
			delete(h.entries.values, id)
			h.oddHosts.Forget(c.Key)
			out.dropped = append(out.dropped, id)
			continue
		}
		before := h.entries.put(id, c.Value)
		if h.cfg.HeartbeatOnly != nil && before != nil {
			if seq, ok := h.cfg.HeartbeatOnly(before, c.Value); ok {
				out.renewed = append(out.renewed, renewedEntry{c.Record, id, seq})
				continue
			}
		}
		out.decode(h, id, c.Record)
	}
	return out
}

// decode adds an entry that has to be decoded.
func (c *entryChanges) decode(h *Holder, id host.ID, rec platform.Record) {
	info, ok := h.parseHost(rec)
	if !ok {
		c.dropped = append(c.dropped, id)
		return
	}
	c.updated = append(c.updated, info)
}

// applyHostChanges passes the changes of entries that arrived together to the engine. It triggers a decision only if
// any of them tells more than that a host is alive.
func (h *Holder) applyHostChanges(changes []platform.Change) {
	c := h.classify(changes)
	h.mu.Lock()
	now := time.Now()
	for _, r := range c.renewed {
		if !h.engine.RenewEntry(r.id, r.seq, now) {
			c.decode(h, r.id, r.record) // the host was forgotten meanwhile
		}
	}
	h.mu.Unlock()
	if len(c.dropped)+len(c.updated) == 0 {
		return
	}
	h.updateEngine(func(e *engine.Engine, now time.Time) {
		for _, id := range c.dropped {
			e.DropHost(id, now)
		}
		for _, info := range c.updated {
			e.SetHost(info, now)
		}
	})
}
