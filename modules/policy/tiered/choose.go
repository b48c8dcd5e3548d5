package tiered

import (
	"slices"
	"time"
)

// eligible says whether a request may run on an endpoint at all.
func (p *Policy) eligible(it *item, e *endpoint) bool {
	r := it.req
	if r.Model != "" && e.Model != "" && r.Model != e.Model {
		return false
	}
	if r.Adapter != "" && !slices.Contains(e.Adapters, r.Adapter) {
		return false
	}
	return !slices.Contains(r.Avoid, e.ID)
}

// choose returns the endpoint with a free slot that suits a request best, nil when there is none.
func (p *Policy) choose(now time.Duration, it *item) *endpoint {
	var best *endpoint
	var least float64
	n := len(p.endpoints)
	for i := range n {
		e := p.endpoints[(i+p.rotation)%n]
		if !p.open(e, now) || !p.eligible(it, e) || it.req.Suspect && e.suspects > 0 {
			continue
		}
		used, slots := p.used(e, now), p.slots(e)
		if used >= slots {
			continue
		}
		if load := float64(used) / float64(slots); best == nil || load < least {
			best, least = e, load
		}
	}
	if best != nil {
		p.rotation = (p.rotation + 1) % n
	}
	return best
}
