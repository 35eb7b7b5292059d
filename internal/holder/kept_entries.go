package holder

import (
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
)

// An entry that can't be decoded tells nothing of its host: another writer has replaced the host's own one, or the host
// has a version that this process does not know. A host that is alive writes its entry again with its next heartbeat.
// Until then its earlier entry stays in force, for as long as the platform keeps the entry of a silent host. If there is
// no readable one by then, the host counts as not listed: it gets nothing new, and what runs there goes on.

// keptEntries has, by host, the time until which an earlier entry stays in force.
type keptEntries map[host.ID]time.Time

func (k keptEntries) remove(id host.ID) { delete(k, id) }

// keepEntry reports whether the earlier entry of a host, whose present one can't be decoded, is in force. The caller
// holds the lock.
func (h *Holder) keepEntry(id host.ID, now time.Time) bool {
	if _, listed := h.engine.Entry(id); !listed || h.cfg.EntryLifetime == 0 {
		return false
	}
	until, known := h.kept[id]
	if !known {
		until = now.Add(h.cfg.EntryLifetime)
		if h.kept == nil {
			h.kept = keptEntries{}
		}
		h.kept[id] = until
		time.AfterFunc(h.cfg.EntryLifetime, func() { h.expireEntry(id, until) })
	}
	return now.Before(until)
}

// expireEntry ends an earlier entry, unless a readable one has replaced it meanwhile.
func (h *Holder) expireEntry(id host.ID, until time.Time) {
	if h.ctx != nil && h.ctx.Err() != nil {
		return
	}
	h.updateEngine(func(e *engine.Engine, now time.Time) {
		if at, known := h.kept[id]; known && at.Equal(until) {
			h.kept.remove(id)
			e.DropHost(id, now)
		}
	})
}

// applyHostList replaces all entries by listed ones.
func (h *Holder) applyHostList(records []platform.Record, _ platform.Revision) {
	var list []host.Info
	var unreadable []host.ID
	before := h.entries.values
	h.entries.values = make(map[host.ID][]byte, len(records))
	for _, rec := range records {
		id := h.cfg.HostOf(rec.Key)
		info, ok := h.parseHost(rec)
		if !ok {
			unreadable = append(unreadable, id)
			if value := before[id]; value != nil {
				h.entries.put(id, value)
			}
			continue
		}
		list = append(list, info)
		h.entries.put(id, rec.Value)
	}
	h.updateEngine(func(e *engine.Engine, now time.Time) {
		for _, info := range list {
			h.kept.remove(info.ID)
		}
		for _, id := range unreadable {
			if info, listed := e.Entry(id); listed && h.keepEntry(id, now) {
				list = append(list, info)
			}
		}
		e.SetHosts(list, now)
	})
}
