package queue

import "container/heap"

// Discipline is the order in which one caller's items leave a queue.
type Discipline int

// The disciplines compared in docs/REQUESTS.md.
const (
	// FIFO serves the oldest item first.
	FIFO Discipline = iota
	// EDF serves the item with the earliest deadline first.
	EDF
	// AdaptiveLIFO serves the oldest item first, but the newest first while the queue is more than
	// half full.
	AdaptiveLIFO
)

// callerQueue holds one caller's queued items: a heap in the discipline's order.
type callerQueue[T any] struct {
	caller      string
	order       Discipline
	newestFirst bool // set for AdaptiveLIFO under overload
	ringIndex   int  // index in the queue's ring
	items       []*Item[T]
}

func (s *callerQueue[T]) len() int {
	if s == nil {
		return 0
	}
	return len(s.items)
}

// first returns the item to serve next.
func (s *callerQueue[T]) first(overload bool) *Item[T] {
	if s.order == AdaptiveLIFO && s.newestFirst != overload {
		s.newestFirst = overload
		heap.Init(s)
	}
	return s.items[0]
}

// last returns the item that would be served last.
func (s *callerQueue[T]) last() *Item[T] {
	worst := 0
	for i := range s.items {
		if s.Less(worst, i) {
			worst = i
		}
	}
	return s.items[worst]
}

// Len implements heap.Interface.
func (s *callerQueue[T]) Len() int { return len(s.items) }

// Less implements heap.Interface.
func (s *callerQueue[T]) Less(i, j int) bool {
	a, b := s.items[i], s.items[j]
	switch {
	case s.order == EDF && !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	case s.newestFirst:
		return a.seq > b.seq
	default:
		return a.seq < b.seq
	}
}

// Swap implements heap.Interface.
func (s *callerQueue[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.items[i].index, s.items[j].index = i, j
}

// Push implements heap.Interface.
func (s *callerQueue[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(s.items)
	s.items = append(s.items, it)
}

// Pop implements heap.Interface.
func (s *callerQueue[T]) Pop() any {
	end := len(s.items) - 1
	it := s.items[end]
	s.items[end] = nil
	s.items = s.items[:end]
	it.index = notQueued
	return it
}
