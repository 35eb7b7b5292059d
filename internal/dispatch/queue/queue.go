// Package queue provides a bounded, deadline-aware queue that is shared fairly among callers. It
// does no I/O and reads no clock, so that the same code runs in the placer and in the comparison of
// disciplines.
package queue

import (
	"container/heap"
	"time"
)

// Item is one queued request. Value is for the user of the queue.
type Item[T any] struct {
	Caller   string
	Arrived  time.Time
	Deadline time.Time
	Value    T

	seq   uint64
	index int // index in the caller's heap, or notQueued
	owner *callerQueue[T]
}

const notQueued = -1

// Queued reports whether the item is in a queue.
func (it *Item[T]) Queued() bool { return it.owner != nil }

// PushResult is the result of Push.
type PushResult int

// Results of Push.
const (
	Accepted PushResult = iota
	// Full: the queue is full and the caller's share is no smaller than others'.
	Full
	// OverShare: the queue is full and this caller has the largest share.
	OverShare
)

// Queue holds the queued requests of one service. It is not safe for concurrent use.
type Queue[T any] struct {
	limit    int
	order    Discipline
	byCaller map[string]*callerQueue[T]
	ring     []*callerQueue[T] // callers with queued items, served round-robin
	next     int
	size     int
	seq      uint64
}

// New returns an empty queue of at most limit items.
func New[T any](limit int, discipline Discipline) *Queue[T] {
	return &Queue[T]{limit: limit, order: discipline, byCaller: map[string]*callerQueue[T]{}}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.size }

// Callers returns the number of callers with queued items.
func (q *Queue[T]) Callers() int { return len(q.ring) }

// SetLimit changes the limit. Items already queued stay.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Push adds an item. When the queue is full, a caller with a smaller share displaces the last item
// of the caller with the largest; that item is returned and has to be answered by the user of the
// queue.
func (q *Queue[T]) Push(it *Item[T]) (PushResult, *Item[T]) {
	var displaced *Item[T]
	if q.size >= q.limit {
		largest := q.largest()
		if largest == nil {
			return Full, nil
		}
		own := q.byCaller[it.Caller]
		if own == largest && len(q.ring) > 1 {
			return OverShare, nil
		}
		if own.len()+1 >= largest.len() {
			return Full, nil
		}
		displaced = largest.last()
		q.Remove(displaced)
	}
	q.seq++
	it.seq = q.seq
	q.insert(it)
	return Accepted, displaced
}

// Restore puts back an item that was popped but could not be started. It keeps its position, and
// may exceed the limit.
func (q *Queue[T]) Restore(it *Item[T]) { q.insert(it) }

// Ahead returns how many items would be served before a new one of the caller: its own, and as many
// of each other caller's, as callers are served round-robin. It is exact for FIFO when no other
// items are pushed.
func (q *Queue[T]) Ahead(caller string) int {
	own := q.byCaller[caller].len()
	ahead := 0
	for _, s := range q.ring {
		ahead += min(s.len(), own+1)
	}
	return ahead
}

// Pop removes and returns the next item whose deadline is after earliest. Items with an earlier
// deadline are removed and returned in late.
func (q *Queue[T]) Pop(earliest time.Time) (it *Item[T], late []*Item[T]) {
	for q.size > 0 {
		if q.next >= len(q.ring) {
			q.next = 0
		}
		owner := q.ring[q.next]
		it = owner.first(q.size*2 > q.limit)
		q.Remove(it)
		if it.Deadline.After(earliest) {
			q.advance(owner)
			return it, late
		}
		late = append(late, it)
	}
	return nil, late
}

// Remove removes an item; it reports false when the item was not queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	owner := it.owner
	if owner == nil {
		return false
	}
	heap.Remove(owner, it.index)
	it.owner = nil
	q.size--
	if owner.len() == 0 {
		q.removeCaller(owner)
	}
	return true
}

// advance moves to the caller after owner, which may already have been removed.
func (q *Queue[T]) advance(owner *callerQueue[T]) {
	if q.next < len(q.ring) && q.ring[q.next] == owner {
		q.next++
	}
}

func (q *Queue[T]) insert(it *Item[T]) {
	owner := q.byCaller[it.Caller]
	if owner == nil {
		owner = &callerQueue[T]{caller: it.Caller, order: q.order, ringIndex: len(q.ring)}
		q.byCaller[it.Caller] = owner
		q.ring = append(q.ring, owner)
	}
	it.owner = owner
	heap.Push(owner, it)
	q.size++
}

// removeCaller removes an empty caller queue from the ring; the last one moves to its index.
func (q *Queue[T]) removeCaller(s *callerQueue[T]) {
	delete(q.byCaller, s.caller)
	end := len(q.ring) - 1
	moved := q.ring[end]
	q.ring[s.ringIndex] = moved
	moved.ringIndex = s.ringIndex
	q.ring[end] = nil
	q.ring = q.ring[:end]
}

func (q *Queue[T]) largest() *callerQueue[T] {
	var most *callerQueue[T]
	for _, s := range q.ring {
		if most == nil || s.len() > most.len() {
			most = s
		}
	}
	return most
}
