package scheduler

import "sync"

// outbox is a queue of messages for the goroutine that sends them, so that no lock is held during I/O.
// It has no length limit, but a connection that accepts no messages is replaced together with its
// outbox after StreamTimeout.
type outbox[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	// ready has a pending value if there may be new items, or after close.
	ready chan struct{}
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{ready: make(chan struct{}, 1)}
}

// put appends an item. After close, the item is discarded.
func (o *outbox[T]) put(item T) {
	o.mu.Lock()
	if !o.closed {
		o.items = append(o.items, item)
	}
	o.mu.Unlock()
	o.signal()
}

// take removes and returns all items without blocking. open is false after close.
func (o *outbox[T]) take() (items []T, open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	items = o.items
	o.items = nil
	return items, !o.closed
}

// close discards all items and wakes the receiver.
func (o *outbox[T]) close() {
	o.mu.Lock()
	o.closed = true
	o.items = nil
	o.mu.Unlock()
	o.signal()
}

func (o *outbox[T]) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
