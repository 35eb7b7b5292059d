package fairshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the wait after a failed reservation of a gang.
const (
	minGangBackoff = 100 * time.Millisecond
	maxGangBackoff = 3200 * time.Millisecond
)

// HolderOrder returns the holders in the one order in which every gang requests its
// reservations, one after the other. A gang that is refused by one holder releases all its
// reservations. Since all gangs use the same order, the gang that has got furthest among those
// in conflict is refused by none of the others, so there is no deadlock.
func HolderOrder(holders []string) []string {
	out := slices.Clone(holders)
	slices.Sort(out)
	return slices.Compact(out)
}

// GangBackoff returns how long a gang waits after its reservations failed for the attempt-th
// time (from 1) and after it has waited for the given time in total. The wait doubles with each
// failure. Once a gang has waited for ageAfter it returns to the shortest wait, so that newer
// gangs can not starve it. A jitter that depends on the job and the attempt keeps two gangs
// from retrying in step.
func GangBackoff(job string, attempt int, waited, ageAfter time.Duration) time.Duration {
	d := minGangBackoff
	if waited < ageAfter {
		d = min(maxGangBackoff, minGangBackoff<<min(max(attempt-1, 0), 16))
	}
	jitter := xxhash.Sum64String(job) ^ uint64(attempt)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(jitter%uint64(d))
}
