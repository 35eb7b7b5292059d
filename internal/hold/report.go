package hold

import (
	"time"

	"pulleyquay/internal/uptime"
)

// PartitionKey returns the key of a partition's record in the store. A write
// conditioned on that record's revision is refused once the partition has
// another holder.
func PartitionKey(id int) string { return partitionKey(id) }

// Applied returns the settings revision that each live member said it has in
// force, this process's own included. A member that was never heard counts as
// having none.
func (k *Keeper) Applied() map[string]int64 {
	applied := map[string]int64{}
	for _, m := range k.Table().Members {
		applied[m.Name] = 0
		if h, ok := k.heartbeats.Heard(m.Name); ok && h.Status.Member.Incarnation == m.Incarnation {
			applied[m.Name] = h.Status.SettingsRevision
		}
	}
	applied[k.Self().Name] = k.settings()
	return applied
}

// StoreUp reports whether a majority of the members reaches the store, as far
// as this process has heard.
func (k *Keeper) StoreUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeAvailable()
}

// StoreAge returns how long ago the last successful renewal was sent to the
// store, or how long this process has run when there was none.
func (k *Keeper) StoreAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if age := k.storeAge(); age >= 0 {
		return age
	}
	return uptime.Since(k.started)
}
