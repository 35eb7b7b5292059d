package fairshare

import (
	"fmt"
	"strings"

	"pulleyquay/internal/spec"
)

// Quota limits the resources that the jobs of a team or client account may use at once. Zero
// allows none of a resource, and a negative value does not limit it.
type Quota struct {
	MilliCPU     int64 `cbor:"1,keyasint" json:"milli_cpu" validate:"min=-1"`
	MemoryMiB    int64 `cbor:"2,keyasint" json:"memory_mib" validate:"min=-1"`
	Accelerators int64 `cbor:"3,keyasint" json:"accelerators" validate:"min=-1"`
}

// Unlimited limits no resource.
var Unlimited = Quota{-1, -1, -1}

// dimension is one resource of a quota, with the amounts used and requested.
type dimension struct {
	name              string
	quota, used, size int64
}

func (q Quota) dimensions(used, size spec.Resources) [3]dimension {
	return [...]dimension{
		{"milli_cpu", q.MilliCPU, used.MilliCPU, size.MilliCPU},
		{"memory_mib", q.MemoryMiB, used.MemoryMiB, size.MemoryMiB},
		{"accelerators", q.Accelerators, used.Accelerators, size.Accelerators},
	}
}

// MaxTasks returns how many tasks of a size fit into the quota beside the used resources, at most
// limit.
func (q Quota) MaxTasks(used, size spec.Resources, limit int) int {
	tasks := int64(limit)
	for _, d := range q.dimensions(used, size) {
		if d.quota >= 0 && d.size > 0 {
			tasks = min(tasks, max(0, d.quota-d.used)/d.size)
		}
	}
	return int(tasks)
}

// Exceeds names the resources whose needed amount is above the quota, or returns "" if there are
// none.
func (q Quota) Exceeds(need spec.Resources) string {
	var parts []string
	for _, d := range q.dimensions(spec.Resources{}, need) {
		if d.quota >= 0 && d.size > d.quota {
			parts = append(parts, fmt.Sprintf("%s: %d of %d", d.name, d.size, d.quota))
		}
	}
	return strings.Join(parts, "; ")
}

// Utilization returns the highest utilization of any limited resource, as a fraction of the quota.
func (q Quota) Utilization(used spec.Resources) float64 {
	utilization := 0.0
	for _, d := range q.dimensions(used, spec.Resources{}) {
		if d.quota > 0 {
			utilization = max(utilization, fraction(d.used, d.quota))
		}
	}
	return utilization
}

// DominantShare divides the used amount of each resource by its total amount and returns the
// largest quotient.
func DominantShare(used, total spec.Resources) float64 {
	return max(fraction(used.MilliCPU, total.MilliCPU), fraction(used.MemoryMiB, total.MemoryMiB),
		fraction(used.Accelerators, total.Accelerators))
}

func fraction(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

// ResourceSet is a set of the resources that a quota limits.
type ResourceSet uint8

// Lacking returns the resources of which the quota does not allow the needed amount beside the used one.
func (q Quota) Lacking(used, need spec.Resources) (lacking ResourceSet) {
	for i, d := range q.dimensions(used, need) {
		if d.quota >= 0 && d.size > 0 && d.used+d.size > d.quota {
			lacking |= 1 << i
		}
	}
	return lacking
}

// Minus returns the resources of the set that are not in o.
func (s ResourceSet) Minus(o ResourceSet) ResourceSet { return s &^ o }

// Plus returns the resources of both sets.
func (s ResourceSet) Plus(o ResourceSet) ResourceSet { return s | o }

// IsEmpty reports whether the set has no resources.
func (s ResourceSet) IsEmpty() bool { return s == 0 }
