package baseline

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// item is a waiting or running request.
type item struct {
	request   *policy.Request
	submitted time.Duration
	sequence  uint64
	removed   bool
	endpoint  *endpoint
}

func (i *item) before(o *item) bool {
	if i.request.Arrival != o.request.Arrival {
		return i.request.Arrival < o.request.Arrival
	}
	return i.sequence < o.sequence
}

// queue holds the waiting requests of one class in the order of arrival.
type queue struct {
	items []*item
	// first is an index before which all items are removed.
	first int
	// length is the number of items without the removed ones.
	length int
}

// add inserts an item in the order of arrival. A retried request keeps its arrival and so returns to the
// front.
func (q *queue) add(it *item) {
	at := len(q.items)
	for at > q.first && it.before(q.items[at-1]) {
		at--
	}
	q.items = slices.Insert(q.items, at, it)
	q.length++
}

// remove marks an item as removed, which takes constant time. head skips removed items.
func (q *queue) remove(it *item) {
	if !it.removed {
		it.removed = true
		q.length--
	}
}

func (q *queue) head() *item {
	for q.first < len(q.items) && q.items[q.first].removed {
		q.items[q.first] = nil
		q.first++
	}
	// When half of the slice is unused, move the rest to the front, so that memory stays bounded.
	if q.first > 64 && q.first*2 > len(q.items) {
		q.items = slices.Delete(q.items, 0, q.first)
		q.first = 0
	}
	if q.first == len(q.items) {
		return nil
	}
	return q.items[q.first]
}
