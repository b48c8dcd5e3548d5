package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch simulates continuous batching: a request starts when a slot is free, and the time per token grows
// with the number of running requests.
type batch struct {
	options Options

	mu        sync.Mutex
	running   int
	queue     waiters
	lastOrder int
}

// waiter is a request in the queue.
type waiter struct {
	priority int
	order    int
	ready    chan struct{}
	index    int
}

// waiters is a heap ordered by ascending priority value, then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	e.index = -1
	*w = old[:len(old)-1]
	return e
}

// acquireSlot waits for a slot. It returns ctx's error if ctx ends first.
func (b *batch) acquireSlot(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.options.Slots && len(b.queue) == 0 {
		b.running++
		b.mu.Unlock()
		return nil
	}
	b.lastOrder++
	w := &waiter{priority: priority, order: b.lastOrder, ready: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)
	} else {
		b.releaseLocked()
	}
	return ctx.Err()
}

func (b *batch) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

// releaseLocked passes the slot to the next waiter. It must be called with mu held.
func (b *batch) releaseLocked() {
	b.running--
	if b.running < b.options.Slots && len(b.queue) > 0 {
		w := heap.Pop(&b.queue).(*waiter)
		b.running++
		close(w.ready)
	}
}

func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.queue)
}

// tokenTime returns the time per token at the current batch size.
func (b *batch) tokenTime() time.Duration {
	running, _ := b.load()
	return b.options.TokenTime + time.Duration(max(running-1, 0))*b.options.TokenTimePerRequest
}
