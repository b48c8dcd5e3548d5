package bench

import (
	"container/heap"
	"context"
	"time"
)

// eventLoop runs events in order of virtual time. Events of the same time run in the order in which they
// were scheduled, so that simulations are deterministic.
type eventLoop struct {
	now    time.Duration
	events eventHeap
	// scheduled is the number of events scheduled so far, which is the sequence number of the latest one.
	scheduled uint64
}

type event struct {
	at time.Duration
	// number is the sequence number of the event. It determines the order of events with the same time.
	number uint64
	run    func()
}

// contextCheckInterval is the number of events between two checks of the context.
const contextCheckInterval = 4096

// at schedules an event at time t, or now if t has passed.
func (l *eventLoop) at(t time.Duration, run func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: max(t, l.now), number: l.scheduled, run: run})
}

func (l *eventLoop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// run executes events until none is left or ctx ends. It calls onInstantEnd when no further event is scheduled
// for the current time, and once more if onInstantEnd itself has scheduled events for that time.
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
	return h[i].number < h[j].number
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
