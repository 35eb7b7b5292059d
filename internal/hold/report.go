package hold

import (
	"time"

	"pulleyquay/internal/uptime"
)

// PartitionKey returns the key of a partition's record in the store. A write conditioned on that
// record's revision is refused once the partition has another holder.
func PartitionKey(id int) string { return partitionKey(id) }

// AppliedRevisions returns the settings revision that each registered member has reported as in
// force, including this process. A member that has not reported counts as having none.
func (m *Manager) AppliedRevisions() map[string]int64 {
	applied := map[string]int64{}
	for _, member := range m.Table().Members {
		applied[member.Name] = 0
		if h, ok := m.heartbeats.Contact(member.Name); ok && h.Status.Member.Incarnation == member.Incarnation {
			applied[member.Name] = h.Status.SettingsRevision
		}
	}
	applied[m.Self().Name] = m.settings()
	return applied
}

// StoreUp reports whether a majority of the members is connected to the store, according to
// their heartbeats.
func (m *Manager) StoreUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeAvailable()
}

// StoreAge returns the time since the last successful renewal was sent to the store, or since the
// start of this process if there was none.
func (m *Manager) StoreAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if age := m.storeAge(); age >= 0 {
		return age
	}
	return uptime.Since(m.started)
}
