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

// The index sorts ready workers by make and zone into groups, and within a
// group by what is left of them into buckets. A decision looks at buckets, whose
// number depends on how different workers are and hardly on how many.

// Units of the levels. Amounts within a unit share a level.
const (
	unitMilliCPU  = 100
	unitMemoryMiB = 64
)

// level grows with an amount, four levels to each doubling. Level 0 is below
// zero. A higher level is always a higher amount.
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

// levels are the levels of an amount of resources.
type levels struct{ accelerators, memory, cpu uint8 }

func levelsOf(r spec.Resources) levels {
	return levels{level(r.Accelerators, 1), level(r.MemoryMiB, unitMemoryMiB), level(r.MilliCPU, unitMilliCPU)}
}

// groupKey tells groups apart.
type groupKey struct {
	size            spec.Resources
	acceleratorKind string
	generation      int
	labels, zone    string
}

// group is the workers of one make in one zone. Those that are not ready or
// kept for a job count as members but are in no bucket.
type group struct {
	key     groupKey
	size    taskmsg.Size // Workers is the number of members
	zone    string
	ready   int // those in buckets
	byLevel map[levels]*bucket
	buckets []*bucket // the occupied ones
}

// bucket is the ready workers of a group whose room has the same levels.
type bucket struct {
	levels levels
	books  []*book
	at     int // index in group.buckets
	// most is at least what any one worker in the bucket has left, by component.
	most spec.Resources
}

// index finds groups by their key.
type index struct {
	groups map[groupKey]*group
	order  []*group // sorted by compareGroups
	racks  map[string][]*book
}

func newIndex() index {
	return index{groups: map[groupKey]*group{}, racks: map[string][]*book{}}
}

func groupKeyOf(w *Worker) groupKey {
	var labels strings.Builder
	for _, name := range slices.Sorted(maps.Keys(w.Info.Labels)) {
		labels.WriteString(name + "\x00" + w.Info.Labels[name] + "\x00")
	}
	i := &w.Info
	return groupKey{size: i.Size, acceleratorKind: i.AcceleratorKind, generation: i.Generation, labels: labels.String(), zone: i.Zone}
}

// compareGroups fixes an order that does not depend on the order of joining.
func compareGroups(a, b *group) int {
	x, y := &a.key, &b.key
	return cmp.Or(cmp.Compare(x.size.Accelerators, y.size.Accelerators), cmp.Compare(x.size.MemoryMiB, y.size.MemoryMiB),
		cmp.Compare(x.size.MilliCPU, y.size.MilliCPU), cmp.Compare(x.generation, y.generation),
		cmp.Compare(x.acceleratorKind, y.acceleratorKind), cmp.Compare(x.labels, y.labels), cmp.Compare(x.zone, y.zone))
}

// join makes b a member of its group and rack.
func (x *index) join(b *book) {
	key := groupKeyOf(&b.Worker)
	g := x.groups[key]
	if g == nil {
		g = &group{key: key, size: makeOf(b), zone: b.Info.Zone, byLevel: map[levels]*bucket{}}
		x.groups[key] = g
		at, _ := slices.BinarySearchFunc(x.order, g, compareGroups)
		x.order = slices.Insert(x.order, at, g)
	}
	g.size.Workers++
	b.group = g
	b.rack = rackOf(&b.Worker)
	x.racks[b.rack] = append(x.racks[b.rack], b)
}

// leave undoes join.
func (x *index) leave(b *book) {
	b.unplace()
	g := b.group
	if g.size.Workers--; g.size.Workers == 0 {
		delete(x.groups, g.key)
		x.order = slices.DeleteFunc(x.order, func(o *group) bool { return o == g })
	}
	left := slices.DeleteFunc(x.racks[b.rack], func(o *book) bool { return o == b })
	if x.racks[b.rack] = left; len(left) == 0 {
		delete(x.racks, b.rack)
	}
	b.group = nil
}

func rackOf(w *Worker) string { return w.Info.Zone + "\x00" + w.Info.Rack }

// reindex puts b into the bucket of what is left of it. It has to be called
// after each change of a worker's books or status.
func (b *book) reindex() {
	if b.Status != StatusReady || b.keptFor != "" {
		b.unplace()
		return
	}
	free := b.free()
	l := levelsOf(free)
	if b.bucket != nil && b.bucket.levels == l {
		b.bucket.most = b.bucket.most.Max(free)
		return
	}
	b.unplace()
	b.place(l, free)
}

// place puts b into a bucket of its group.
func (b *book) place(l levels, free spec.Resources) {
	g := b.group
	k := g.byLevel[l]
	if k == nil {
		k = &bucket{levels: l, at: len(g.buckets), most: free}
		g.byLevel[l] = k
		g.buckets = append(g.buckets, k)
	}
	k.most = k.most.Max(free)
	b.bucket, b.slot = k, len(k.books)
	k.books = append(k.books, b)
	g.ready++
}

// unplace takes b out of its bucket, if it is in one, and drops an empty bucket.
func (b *book) unplace() {
	k, g := b.bucket, b.group
	if k == nil {
		return
	}
	last := len(k.books) - 1
	k.books[b.slot] = k.books[last]
	k.books[b.slot].slot = b.slot
	k.books[last] = nil
	k.books = k.books[:last]
	b.bucket = nil
	g.ready--
	if last > 0 {
		return
	}
	delete(g.byLevel, k.levels)
	end := len(g.buckets) - 1
	g.buckets[k.at] = g.buckets[end]
	g.buckets[k.at].at = k.at
	g.buckets[end] = nil
	g.buckets = g.buckets[:end]
}

// tighten works out most anew, after a look at all workers found none that fits.
func (k *bucket) tighten() {
	k.most = k.books[0].free()
	for _, b := range k.books[1:] {
		k.most = k.most.Max(b.free())
	}
}

// verdict is what a bucket's levels say about an ask for all its workers.
type verdict int

const (
	allFit verdict = iota
	noneFits
	someMayFit
)

// judge tells whether all, none or some of the bucket's workers have room.
func (k *bucket) judge(l levels, ask *spec.Resources) verdict {
	if k.levels.cpu < l.cpu || k.levels.memory < l.memory || k.levels.accelerators < l.accelerators || !ask.Fits(k.most) {
		return noneFits
	}
	if surely(k.levels.cpu, l.cpu, ask.MilliCPU) && surely(k.levels.memory, l.memory, ask.MemoryMiB) &&
		surely(k.levels.accelerators, l.accelerators, ask.Accelerators) {
		return allFit
	}
	return someMayFit
}

// surely tells whether every amount of the level have, which is not below that
// of the ask, is enough.
func surely(have, askLevel uint8, ask int64) bool { return have > askLevel || ask == 0 }

// rule names the rule that turns all workers of the bucket down for want of
// room, or "" where it may be one for some and another for others.
func (k *bucket) rule(l levels, ask *spec.Resources) string {
	switch {
	case k.levels.accelerators < l.accelerators || k.most.Accelerators < ask.Accelerators:
		return RuleAccelerators
	case !surely(k.levels.accelerators, l.accelerators, ask.Accelerators):
		return ""
	case k.levels.memory < l.memory || k.most.MemoryMiB < ask.MemoryMiB:
		return RuleMemory
	case !surely(k.levels.memory, l.memory, ask.MemoryMiB):
		return ""
	case k.levels.cpu < l.cpu || k.most.MilliCPU < ask.MilliCPU:
		return RuleProcessors
	}
	return ""
}
