package fleet

import (
	"slices"
	"time"
)

// newsTTL is how long reports repeat news. It covers three heartbeats of a large fleet, so that lost reports do not
// matter.
const newsTTL = 1500 * time.Millisecond

// News holds what a daemon has learned lately, for its reports to the others. A daemon adds what it has found out
// itself and, if Fleet.ForwardsNews, what it first learns from a report. The zero value is empty. It is not safe for
// concurrent use.
type News[T any] struct {
	items []newsItem[T]
}

type newsItem[T any] struct {
	value T
	until time.Time
}

// Add adds an item, which is reported for newsTTL.
func (n *News[T]) Add(now time.Time, value T) {
	n.items = append(n.items, newsItem[T]{value: value, until: now.Add(newsTTL)})
}

// Latest returns the newest items that are to be reported, at most limit, oldest first.
func (n *News[T]) Latest(now time.Time, limit int) []T {
	n.items = slices.DeleteFunc(n.items, func(item newsItem[T]) bool { return now.After(item.until) })
	var values []T
	for _, item := range n.items[max(len(n.items)-limit, 0):] {
		values = append(values, item.value)
	}
	return values
}
