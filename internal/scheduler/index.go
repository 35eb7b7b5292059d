package scheduler

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"strings"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// The index sorts ready workers by machine type and zone into groups, and within a group by
// their free resources into buckets. A decision examines buckets; their number depends on the
// variety of the workers and hardly on how many there are.

// Units of the levels. Amounts within one unit share a level.
const (
	unitMilliCPU  = 100
	unitMemoryMiB = 64
)

// level maps an amount to a logarithmic scale with four levels per doubling. Level 0 is for
// amounts below zero. A higher level always means a higher amount.
func level(amount, unit int64) uint8 {
	if amount < 0 {
		return 0
	}
	q := uint64(amount / unit)
	if q < 4 {
		return uint8(1 + q)
	}
	length := bits.Len64(q)
	return uint8(1 + 4*(length-2) + int(q>>(length-3)&3))
}

// levels is the levels of an amount of resources, by component.
type levels struct{ accelerators, memory, cpu uint8 }

func levelsOf(r spec.Resources) levels {
	return levels{level(r.Accelerators, 1), level(r.MemoryMiB, unitMemoryMiB), level(r.MilliCPU, unitMilliCPU)}
}

// groupKey identifies a group.
type groupKey struct {
	size            spec.Resources
	acceleratorKind string
	generation      int
	labels, zone    string
}

// group is the workers of one machine type in one zone. Workers that are dedicated or not ready
// are members but in no bucket.
type group struct {
	key         groupKey
	machineType taskmsg.Size // Workers is the number of members
	zone        string
	ready       int // number of members in buckets
	byLevel     map[levels]*bucket
	buckets     []*bucket // the non-empty buckets
}

// bucket is a set of ready workers of one group: those whose free resources have the levels in the
// field levels.
type bucket struct {
	levels  levels
	workers []*record
	pos     int // index in group.buckets
	// maxFree is an upper bound of the free resources of any one worker in the bucket, by
	// component.
	maxFree spec.Resources
}

// index finds groups by key and workers by rack.
type index struct {
	groups map[groupKey]*group
	order  []*group // sorted by compareGroups
	racks  map[string][]*record
}

func newIndex() index {
	return index{groups: map[groupKey]*group{}, racks: map[string][]*record{}}
}

func groupKeyOf(w *Worker) groupKey {
	var labels strings.Builder
	for _, name := range slices.Sorted(maps.Keys(w.Info.Labels)) {
		labels.WriteString(name + "\x00" + w.Info.Labels[name] + "\x00")
	}
	i := &w.Info
	return groupKey{size: i.Size, acceleratorKind: i.AcceleratorKind, generation: i.Generation, labels: labels.String(), zone: i.Zone}
}

// compareGroups defines an order that does not depend on the order in which workers were added.
func compareGroups(a, b *group) int {
	x, y := &a.key, &b.key
	return cmp.Or(cmp.Compare(x.size.Accelerators, y.size.Accelerators), cmp.Compare(x.size.MemoryMiB, y.size.MemoryMiB),
		cmp.Compare(x.size.MilliCPU, y.size.MilliCPU), cmp.Compare(x.generation, y.generation),
		cmp.Compare(x.acceleratorKind, y.acceleratorKind), cmp.Compare(x.labels, y.labels), cmp.Compare(x.zone, y.zone))
}

// addWorker makes w a member of its group and rack.
func (x *index) addWorker(w *record) {
	key := groupKeyOf(&w.Worker)
	g := x.groups[key]
	if g == nil {
		g = &group{key: key, machineType: machineTypeOf(w), zone: w.Info.Zone, byLevel: map[levels]*bucket{}}
		x.groups[key] = g
		pos, _ := slices.BinarySearchFunc(x.order, g, compareGroups)
		x.order = slices.Insert(x.order, pos, g)
	}
	g.machineType.Workers++
	w.group = g
	w.rack = rackOf(&w.Worker)
	x.racks[w.rack] = append(x.racks[w.rack], w)
}

// removeWorker reverses addWorker.
func (x *index) removeWorker(w *record) {
	w.removeFromBucket()
	g := w.group
	if g.machineType.Workers--; g.machineType.Workers == 0 {
		delete(x.groups, g.key)
		x.order = slices.DeleteFunc(x.order, func(o *group) bool { return o == g })
	}
	left := slices.DeleteFunc(x.racks[w.rack], func(o *record) bool { return o == w })
	if x.racks[w.rack] = left; len(left) == 0 {
		delete(x.racks, w.rack)
	}
	w.group = nil
}

func rackOf(w *Worker) string { return w.Info.Zone + "\x00" + w.Info.Rack }

// reindex puts w into the bucket for its free resources. It must be called after each change of
// a worker's allocations, usage, status or dedication.
func (w *record) reindex() {
	if w.Status != StatusReady || w.dedicatedTo != "" {
		w.removeFromBucket()
		return
	}
	free := w.free()
	l := levelsOf(free)
	if w.bucket != nil && w.bucket.levels == l {
		w.bucket.maxFree = w.bucket.maxFree.Max(free)
		return
	}
	w.removeFromBucket()
	w.addToBucket(l, free)
}

// addToBucket puts w into the bucket of its group that has the levels l.
func (w *record) addToBucket(l levels, free spec.Resources) {
	g := w.group
	b := g.byLevel[l]
	if b == nil {
		b = &bucket{levels: l, pos: len(g.buckets), maxFree: free}
		g.byLevel[l] = b
		g.buckets = append(g.buckets, b)
	}
	b.maxFree = b.maxFree.Max(free)
	w.bucket, w.bucketPos = b, len(b.workers)
	b.workers = append(b.workers, w)
	g.ready++
}

// removeFromBucket takes w out of its bucket, if any, and deletes the bucket if it is empty.
func (w *record) removeFromBucket() {
	b, g := w.bucket, w.group
	if b == nil {
		return
	}
	last := len(b.workers) - 1
	b.workers[w.bucketPos] = b.workers[last]
	b.workers[w.bucketPos].bucketPos = w.bucketPos
	b.workers[last] = nil
	b.workers = b.workers[:last]
	w.bucket = nil
	g.ready--
	if last > 0 {
		return
	}
	delete(g.byLevel, b.levels)
	end := len(g.buckets) - 1
	g.buckets[b.pos] = g.buckets[end]
	g.buckets[b.pos].pos = b.pos
	g.buckets[end] = nil
	g.buckets = g.buckets[:end]
}

// recomputeMaxFree recalculates maxFree after all workers were examined and none of them had
// room.
func (b *bucket) recomputeMaxFree() {
	b.maxFree = b.workers[0].free()
	for _, w := range b.workers[1:] {
		b.maxFree = b.maxFree.Max(w.free())
	}
}

// bucketFit is how many of a bucket's workers have room for a request, as far as the levels and
// maxFree determine it.
type bucketFit int

const (
	allFit bucketFit = iota
	noneFit
	someMayFit
)

// fit reports whether all, none or some of the bucket's workers have room.
func (b *bucket) fit(l levels, need *spec.Resources) bucketFit {
	if b.levels.cpu < l.cpu || b.levels.memory < l.memory || b.levels.accelerators < l.accelerators || !need.Fits(b.maxFree) {
		return noneFit
	}
	if levelSuffices(b.levels.cpu, l.cpu, need.MilliCPU) && levelSuffices(b.levels.memory, l.memory, need.MemoryMiB) &&
		levelSuffices(b.levels.accelerators, l.accelerators, need.Accelerators) {
		return allFit
	}
	return someMayFit
}

// levelSuffices reports whether every amount at level have covers need, whose level is needLevel.
// have must not be lower than needLevel.
func levelSuffices(have, needLevel uint8, need int64) bool { return have > needLevel || need == 0 }

// rule returns the rule that rejects all workers of the bucket for lack of resources, or "" if
// it may differ between the workers.
func (b *bucket) rule(l levels, need *spec.Resources) string {
	switch {
	case b.levels.accelerators < l.accelerators || b.maxFree.Accelerators < need.Accelerators:
		return RuleAccelerators
	case !levelSuffices(b.levels.accelerators, l.accelerators, need.Accelerators):
		return ""
	case b.levels.memory < l.memory || b.maxFree.MemoryMiB < need.MemoryMiB:
		return RuleMemory
	case !levelSuffices(b.levels.memory, l.memory, need.MemoryMiB):
		return ""
	case b.levels.cpu < l.cpu || b.maxFree.MilliCPU < need.MilliCPU:
		return RuleProcessors
	}
	return ""
}
