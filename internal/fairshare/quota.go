package fairshare

import (
	"fmt"
	"strings"

	"pulleyquay/internal/spec"
)

// Quota bounds what the jobs of a team or client account may hold at once; zero means
// none allowed, negative means no bound.
type Quota struct {
	MilliCPU     int64 `cbor:"1,keyasint" json:"milli_cpu" validate:"min=-1"`
	MemoryMiB    int64 `cbor:"2,keyasint" json:"memory_mib" validate:"min=-1"`
	Accelerators int64 `cbor:"3,keyasint" json:"accelerators" validate:"min=-1"`
}

// Unlimited bounds nothing.
var Unlimited = Quota{-1, -1, -1}

// dimension is one kind of resource of a quota, and what is held and asked for of it.
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

// Room returns how many tasks of a size the quota leaves room for beside what is used, at
// most limit.
func (q Quota) Room(used, size spec.Resources, limit int) int {
	room := int64(limit)
	for _, d := range q.dimensions(used, size) {
		if d.quota >= 0 && d.size > 0 {
			room = min(room, max(0, d.quota-d.used)/d.size)
		}
	}
	return int(room)
}

// Exceeds names the resources of need that are above the quota; "" when none is.
func (q Quota) Exceeds(need spec.Resources) string {
	var parts []string
	for _, d := range q.dimensions(spec.Resources{}, need) {
		if d.quota >= 0 && d.size > d.quota {
			parts = append(parts, fmt.Sprintf("%s: %d of %d", d.name, d.size, d.quota))
		}
	}
	return strings.Join(parts, "; ")
}

// Full is the largest part of any bounded resource of the quota that is used.
func (q Quota) Full(used spec.Resources) float64 {
	full := 0.0
	for _, d := range q.dimensions(used, spec.Resources{}) {
		if d.quota > 0 {
			full = max(full, part(d.used, d.quota))
		}
	}
	return full
}

// DominantShare is the largest part of any resource of total that is used.
func DominantShare(used, total spec.Resources) float64 {
	return max(part(used.MilliCPU, total.MilliCPU), part(used.MemoryMiB, total.MemoryMiB),
		part(used.Accelerators, total.Accelerators))
}

func part(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}
