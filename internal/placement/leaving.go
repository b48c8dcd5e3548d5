package placement

import (
	"maps"
	"slices"
	"time"
)

// leavingRetention is how long it is kept that an endpoint is leaving after the endpoint was last listed.
const leavingRetention = 10 * time.Minute

// SetLeaving records that an endpoint has said that it is leaving. From then on this incarnation of it gets no new
// requests, whatever its state in the store is. It returns false if that was known.
func (b *Placer) SetLeaving(now time.Time, hash uint32) bool {
	if _, known := b.leaving[hash]; known {
		return false
	}
	b.leaving[hash] = now
	if e := b.byHash[hash]; e != nil && e.open {
		e.open = false
		if p := b.pools[e.Pool]; p != nil {
			p.endpoints = slices.DeleteFunc(p.endpoints, func(other *endpoint) bool { return other == e })
			p.closed = append(p.closed, hash)
		}
	}
	return true
}

// expireLeaving forgets leaving endpoints that have not been listed for leavingRetention.
func (b *Placer) expireLeaving(now time.Time) {
	maps.DeleteFunc(b.leaving, func(hash uint32, listed time.Time) bool {
		if b.byHash[hash] != nil {
			b.leaving[hash] = now
			return false
		}
		return now.Sub(listed) > leavingRetention
	})
}
