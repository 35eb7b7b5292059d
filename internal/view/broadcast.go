package view

import "sync"

// Broadcast tells any number of waiters that something has changed. The zero
// value is ready to use.
type Broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next returns a channel that is closed at the next Tell.
func (b *Broadcast) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// Tell wakes all who wait.
func (b *Broadcast) Tell() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
