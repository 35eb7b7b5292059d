package view

import "sync"

// Broadcast notifies any number of waiters of a change. The zero value is ready to use.
type Broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// Next returns a channel that is closed at the next Notify.
func (b *Broadcast) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// Notify closes the channel that Next has returned since the previous call.
func (b *Broadcast) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
