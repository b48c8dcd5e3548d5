package scheduler

import "sync"

// outbox is an unbounded queue between the code that decides and the goroutine that sends, so that
// no lock is held over I/O. Its length is bounded by the silence timeout: a connection that does
// not accept messages is replaced together with its queue.
type outbox[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	// ready holds one token while there may be items or after close.
	ready chan struct{}
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{ready: make(chan struct{}, 1)}
}

// put appends an item; it is dropped after close.
func (o *outbox[T]) put(item T) {
	o.mu.Lock()
	if !o.closed {
		o.items = append(o.items, item)
	}
	o.mu.Unlock()
	o.signal()
}

// take removes all items without waiting. open is false after close.
func (o *outbox[T]) take() (items []T, open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	items = o.items
	o.items = nil
	return items, !o.closed
}

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
