package fairshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the wait after a gang's hold failed.
const (
	gangBackoffFirst = 100 * time.Millisecond
	gangBackoffMost  = 3200 * time.Millisecond
)

// HolderOrder returns the holders in the one order in which every gang asks
// for holds, one after the other. A gang that is refused somewhere releases
// everything; since all ask in the same order, of any gangs in each other's
// way the one that is furthest is refused by none of them.
func HolderOrder(holders []string) []string {
	out := slices.Clone(holders)
	slices.Sort(out)
	return slices.Compact(out)
}

// GangBackoff is how long a gang waits after its hold failed for the attempt-th
// time (from 1), having waited so long altogether. The wait doubles with each
// failure, but a gang that has waited long goes back to the shortest, so that
// newer gangs can not keep it out for ever. A part that depends on the job and
// the attempt keeps two gangs out of step.
func GangBackoff(job string, attempt int, waited, ageAfter time.Duration) time.Duration {
	d := gangBackoffFirst
	if waited < ageAfter {
		d = min(gangBackoffMost, gangBackoffFirst<<min(max(attempt-1, 0), 16))
	}
	spread := xxhash.Sum64String(job) ^ uint64(attempt)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(spread%uint64(d))
}
