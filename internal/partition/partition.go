// Package partition maps keys, teams, racks and executors to partitions, and
// partitions to members.
package partition

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
)

// DefaultCount is the number of partitions if the settings do not override it.
const DefaultCount = 64

// OfKey returns the home partition of a request key.
func OfKey(key string, count int) int { return of("key/", key, count) }

// OfTeam returns the home partition of a team's jobs.
func OfTeam(team string, count int) int { return of("team/", team, count) }

// OfRack returns the partition of all workers in a rack.
func OfRack(rack string, count int) int { return of("rack/", rack, count) }

// OfExecutor returns the partition of an executor.
func OfExecutor(name string, count int) int { return of("executor/", name, count) }

func of(prefix, name string, count int) int {
	return int(xxhash.Sum64String(prefix+name) % uint64(count))
}

// Owner returns the member that should hold the partition, by rendezvous hashing, or "" if
// there are no members. When a member joins or leaves, only the partitions that it acquires
// or gives up change their owner.
func Owner(id int, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return rendezvous.New(members, xxhash.Sum64String).Lookup(ownerKey(id))
}

func ownerKey(id int) string {
	return "partition/" + string([]byte{byte(id >> 16), byte(id >> 8), byte(id)})
}
