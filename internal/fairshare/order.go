package fairshare

import (
	"container/heap"

	"pulleyquay/internal/spec"
)

// defaultWeight is the weight of an account or team without a configured one.
const defaultWeight = 1.0

// WeightedShare returns the dominant share of the used resources, divided by the weight. A weight that is
// not positive counts as one.
func WeightedShare(used, total spec.Resources, weight float64) float64 {
	if weight <= 0 {
		weight = defaultWeight
	}
	return DominantShare(used, total) / weight
}

// Flow is the waiting work of one account or team in an Order.
type Flow[T any] struct {
	// Head is the first waiting entry.
	Head T
	// Weight is the share of the flow when capacity is exhausted; not positive means one.
	Weight float64
	// Used is what the flow has running, and what has been taken from it.
	Used spec.Resources

	share    float64
	position int // in the heap
}

// Order is the order between accounts or teams by weighted dominant share, with progressive filling: the
// next entry is the head of the flow with the smallest share, and what is taken counts towards the share
// of its flow. It is evaluated lazily: a flows from which k entries are taken cost O(a + k log a). The
// zero value is not usable; call Reset first.
type Order[T any] struct {
	flows flowHeap[T]
	built bool
}

// Reset empties the order. Shares are those of total; of flows with equal shares, compare decides by their
// heads.
func (o *Order[T]) Reset(total spec.Resources, compare func(a, b T) int) {
	clear(o.flows.list)
	o.flows = flowHeap[T]{list: o.flows.list[:0], total: total, compare: compare}
	o.built = false
}

// Add adds a flow, which must have a head.
func (o *Order[T]) Add(f *Flow[T]) {
	f.share = WeightedShare(f.Used, o.flows.total, f.Weight)
	o.flows.append(f)
	o.built = false
}

// First returns the flow whose head is next, or nil if no flow is left.
func (o *Order[T]) First() *Flow[T] {
	if !o.built {
		heap.Init(&o.flows)
		o.built = true
	}
	if len(o.flows.list) == 0 {
		return nil
	}
	return o.flows.list[0]
}

// Take counts a size towards the share of a flow and updates its place. The caller has set the flow's next
// head.
func (o *Order[T]) Take(f *Flow[T], size spec.Resources) {
	f.Used = f.Used.Add(size)
	f.share = WeightedShare(f.Used, o.flows.total, f.Weight)
	heap.Fix(&o.flows, f.position)
}

// Remove removes a flow that has no entry left.
func (o *Order[T]) Remove(f *Flow[T]) { heap.Remove(&o.flows, f.position) }

// flowHeap implements heap.Interface.
type flowHeap[T any] struct {
	list    []*Flow[T]
	total   spec.Resources
	compare func(a, b T) int
}

func (h *flowHeap[T]) Len() int { return len(h.list) }

func (h *flowHeap[T]) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.share != b.share {
		return a.share < b.share
	}
	return h.compare(a.Head, b.Head) < 0
}

func (h *flowHeap[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].position, h.list[j].position = i, j
}

// Push appends a flow.
func (h *flowHeap[T]) Push(f any) { h.append(f.(*Flow[T])) }

func (h *flowHeap[T]) append(f *Flow[T]) {
	f.position = len(h.list)
	h.list = append(h.list, f)
}

// Pop removes the last flow.
func (h *flowHeap[T]) Pop() any {
	last := len(h.list) - 1
	f := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return f
}
