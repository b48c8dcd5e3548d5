package bench

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// recordedEngine is an engine that records its callbacks.
type recordedEngine struct {
	engine
	loop eventLoop
	log  []string
}

func newRecordedEngine(batch int) *recordedEngine {
	l := &recordedEngine{}
	l.engine = engine{
		spec: engineSpec{
			stepBase: 10 * time.Millisecond, perSequence: time.Millisecond, perPrefillToken: 100 * time.Microsecond,
			prefillChunk: 100, maxBatch: batch, kvCacheTokens: 10_000,
		},
		loop: &l.loop, cache: newPrefixCache(4), up: true, slowdown: 1,
		onFirstToken: func(q *sequence) { l.add("first", q) },
		onEnded:      func(q *sequence, o policy.Outcome) { l.add(fmt.Sprint("end", o), q) },
	}
	return l
}

func (l *recordedEngine) add(event string, q *sequence) {
	l.log = append(l.log, fmt.Sprintf("%s %s %s", l.loop.now, q.call.id, event))
}

func (l *recordedEngine) send(at time.Duration, id string, priority, prompt, output int) *sequence {
	q := &sequence{call: &call{id: id}, priority: priority, prompt: prompt, output: output}
	l.loop.at(at, func() { l.submit(q) })
	return q
}

// TestEngine guards against wrong completion times when several steps with the same batch are executed
// in one event.
func TestEngine(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		desc  string
		batch int
		setUp func(*recordedEngine)
		want  []string
	}{
		// A prompt of 100 tokens takes one step of 20 ms, each later token a step of 11 ms. In the events,
		// end1 is the end with policy.Completed and end5 the end with policy.Crashed.
		{"one sequence", 4, func(l *recordedEngine) { l.send(0, "a", 1, 100, 4) },
			[]string{"20ms a first", "53ms a end1"}},
		{"prompt in two steps", 4, func(l *recordedEngine) { l.send(0, "a", 1, 150, 1) },
			[]string{"35ms a first", "35ms a end1"}},
		// b joins when the step that began at 31 ms ends at 42 ms; its prompt makes the next
		// step 21 ms long, and later steps take 12 ms.
		{"joins at the end of a step", 4, func(l *recordedEngine) {
			l.send(0, "a", 1, 100, 5)
			l.send(32*ms, "b", 1, 100, 2)
		}, []string{"20ms a first", "63ms b first", "75ms a end1", "75ms b end1"}},
		// A lower priority number is served first.
		{"priority before order of arrival", 1, func(l *recordedEngine) {
			l.send(0, "a", 1, 100, 1)
			l.send(ms, "b", 3, 100, 1)
			l.send(2*ms, "c", 1, 100, 1)
		}, []string{"20ms a first", "20ms a end1", "40ms c first", "40ms c end1", "60ms b first", "60ms b end1"}},
		{"cancel", 4, func(l *recordedEngine) {
			q := l.send(0, "a", 1, 100, 50)
			l.loop.at(60*ms, func() { l.cancel(q) })
			l.send(60*ms, "b", 1, 100, 1)
		}, []string{"20ms a first", "84ms b first", "84ms b end1"}},
		{"slowdown from the next step on", 4, func(l *recordedEngine) {
			l.send(0, "a", 1, 100, 3)
			l.loop.at(25*ms, func() { l.setSlowdown(5) })
		}, []string{"20ms a first", "86ms a end1"}},
		{"crash", 1, func(l *recordedEngine) {
			l.send(0, "a", 1, 100, 50)
			l.send(0, "b", 1, 100, 50)
			l.loop.at(50*ms, l.crash)
		}, []string{"20ms a first", "50ms a end5", "50ms b end5"}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			l := newRecordedEngine(c.batch)
			c.setUp(l)
			if err := l.loop.run(context.Background(), func() {}); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(l.log, c.want) {
				t.Errorf("got %q, want %q", l.log, c.want)
			}
		})
	}
}

// TestPrefixCache guards against cache events that do not match the content of the cache.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(3)
	if hits := c.access([]uint64{1, 2}); hits != 0 {
		t.Errorf("empty cache: %d hits", hits)
	}
	if hits := c.access([]uint64{1, 2, 3, 4}); hits != 2 {
		t.Errorf("%d hits, want 2", hits)
	}
	sequence, added, removed := c.takeEvents()
	if sequence != 5 || !slices.Equal(added, []uint64{2, 1, 3}) || !slices.Equal(removed, []uint64{4}) {
		t.Errorf("sequence %d, added %v, removed %v", sequence, added, removed)
	}
}
