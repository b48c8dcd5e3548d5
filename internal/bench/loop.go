package bench

import (
	"container/heap"
	"context"
	"time"
)

// eventLoop runs events in order of virtual time. Events of the same time run in the order in which they
// were scheduled, so that simulations are deterministic.
type eventLoop struct {
	now      time.Duration
	events   eventHeap
	sequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// contextCheckInterval is the number of events between two checks of the context.
const contextCheckInterval = 4096

// at schedules an event at time t, or now if t has passed.
func (l *eventLoop) at(t time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: max(t, l.now), sequence: l.sequence, run: run})
}

func (l *eventLoop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// run executes events until none is left or ctx ends, and calls onInstantEnd after the last event of
// each instant.
func (l *eventLoop) run(ctx context.Context, onInstantEnd func()) error {
	for n := 0; len(l.events) > 0; n++ {
		if n%contextCheckInterval == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
		if len(l.events) == 0 || l.events[0].at > l.now {
			onInstantEnd()
		}
	}
	return nil
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
