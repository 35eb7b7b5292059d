// Package prioqueue implements a priority queue whose items can be moved and removed at logarithmic cost.
package prioqueue

import (
	"container/heap"
	"iter"
)

// Queue is a priority queue of values V with priorities P. Use New to create one.
type Queue[V, P any] struct{ items itemHeap[V, P] }

// Item is a value that can be in one queue at a time. The queue that it was first set in is the only one that may
// hold it.
type Item[V, P any] struct {
	Value    V
	priority P
	index    int // in the heap, plus one; zero while it is in no queue
}

// New returns an empty queue. before reports whether an item of priority a comes before one of priority b.
func New[V, P any](before func(a, b P) bool) *Queue[V, P] {
	return &Queue[V, P]{itemHeap[V, P]{before: before}}
}

// NewItem returns an item that is in no queue.
func NewItem[V, P any](v V) *Item[V, P] { return &Item[V, P]{Value: v} }

// Priority returns the priority that was last set.
func (i *Item[V, P]) Priority() P { return i.priority }

// Queued reports whether the item is in a queue.
func (i *Item[V, P]) Queued() bool { return i.index > 0 }

// Len returns the number of items.
func (q *Queue[V, P]) Len() int { return len(q.items.list) }

// First returns the item that comes first, or nil if the queue is empty.
func (q *Queue[V, P]) First() *Item[V, P] {
	if q.Len() == 0 {
		return nil
	}
	return q.items.list[0]
}

// All returns the values in no particular order. The queue must not change meanwhile.
func (q *Queue[V, P]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, i := range q.items.list {
			if !yield(i.Value) {
				return
			}
		}
	}
}

// Set adds an item, or moves it if it is in the queue.
func (q *Queue[V, P]) Set(i *Item[V, P], priority P) {
	i.priority = priority
	if i.Queued() {
		heap.Fix(&q.items, i.index-1)
		return
	}
	heap.Push(&q.items, i)
}

// Remove removes an item. It does nothing if the item is not in the queue.
func (q *Queue[V, P]) Remove(i *Item[V, P]) {
	if i.Queued() {
		heap.Remove(&q.items, i.index-1)
	}
}

// itemHeap implements heap.Interface.
type itemHeap[V, P any] struct {
	before func(a, b P) bool
	list   []*Item[V, P]
}

func (h *itemHeap[V, P]) Len() int           { return len(h.list) }
func (h *itemHeap[V, P]) Less(a, b int) bool { return h.before(h.list[a].priority, h.list[b].priority) }
func (h *itemHeap[V, P]) Swap(a, b int) {
	h.list[a], h.list[b] = h.list[b], h.list[a]
	h.list[a].index, h.list[b].index = a+1, b+1
}

func (h *itemHeap[V, P]) Push(x any) {
	i := x.(*Item[V, P])
	h.list = append(h.list, i)
	i.index = len(h.list)
}

func (h *itemHeap[V, P]) Pop() any {
	last := len(h.list) - 1
	i := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	i.index = 0
	return i
}
