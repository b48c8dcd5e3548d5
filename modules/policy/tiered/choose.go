package tiered

import (
	"math"
	"slices"
	"time"
)

// avoidZoneCost is added for endpoints in the zone to avoid, so that they are used only when no
// other endpoint has a free slot.
const avoidZoneCost = 1e6

// prefillWeight multiplies the time for the request's own prompt, since processing it delays all
// attempts on the endpoint, while the backlog delays only this one.
const prefillWeight = 8

// candidate is an endpoint with free slots.
type candidate struct {
	endpoint    *endpoint
	used, slots int
}

// eligible says whether a request may run on an endpoint at all.
func (p *Policy) eligible(it *item, e *endpoint) bool {
	r := it.req
	if r.Model != "" && e.Model != "" && r.Model != e.Model {
		return false
	}
	if r.Adapter != "" && !slices.Contains(e.Adapters, r.Adapter) {
		return false
	}
	return len(r.Avoid) == 0 || !slices.Contains(r.Avoid, e.ID)
}

// choose returns the index of the candidate with the least cost for a request, -1 when none can run
// it. On a near tie an endpoint in the request's availability zone is preferred.
func (p *Policy) choose(now time.Duration, it *item) int {
	var depths []uint8
	if !p.Off.Affinity && len(it.req.Blocks) > 0 {
		depths = p.cache.match(it.req.Blocks)
	}
	p.matched = depths != nil
	best, near := -1, -1
	least, leastNear := math.Inf(1), math.Inf(1)
	n := len(p.candidates)
	first := p.rotation % max(n, 1)
	for i := range n {
		at := i + first
		if at >= n {
			at -= n
		}
		c := &p.candidates[at]
		e := c.endpoint
		if !p.eligible(it, e) || it.req.Suspect && e.suspects > 0 {
			continue
		}
		cost := p.cost(now, it, c, depths)
		if cost < least {
			best, least = at, cost
		}
		if e.Zone == it.req.Zone && cost < leastNear {
			near, leastNear = at, cost
		}
	}
	p.rotation++
	if near >= 0 && !p.Off.Zones && leastNear <= least+p.ZoneTie {
		return near
	}
	return best
}

// cost returns what running a request on an endpoint costs: the expected time to the first token in
// proportion to its target, and the relative load, which slows down all tokens.
func (p *Policy) cost(now time.Duration, it *item, c *candidate, depths []uint8) float64 {
	e := c.endpoint
	var held uint8
	if depths != nil && p.belowBound(c.used, c.slots) {
		held = depths[e.index]
	}
	first := e.backlog(now) + prefillWeight*time.Duration(uncached(it, held))*p.perToken
	cost := float64(first)/float64(it.class.firstTokenScale()) + float64(c.used)/float64(c.slots)
	if it.req.AvoidZone != "" && e.Zone == it.req.AvoidZone {
		cost += avoidZoneCost
	}
	return cost
}

// held returns the number of leading blocks that an endpoint holds according to the last match.
func (p *Policy) held(it *item, e *endpoint) uint8 {
	if p.Off.Affinity || len(it.req.Blocks) == 0 || !p.matched {
		return 0
	}
	return p.cache.depths[e.index]
}

// belowBound says whether one more request keeps an endpoint's load within the bound above the
// mean, each endpoint's share of the mean being in proportion to its slots.
func (p *Policy) belowBound(used, slots int) bool {
	mean := float64(p.capacity-p.free+1) * float64(slots) / float64(p.capacity)
	return float64(used+1) <= math.Ceil(p.AffinityBound*mean)
}
