package tiered

import (
	"math"
	"slices"
	"time"
)

// avoidZoneCost is added to the cost of endpoints in the availability zone to avoid. It is so large that
// they are used only when no other endpoint has a free slot.
const avoidZoneCost = 1e6

// prefillWeight multiplies the prefill time of the request's own prompt, because this prefill delays all
// attempts on the endpoint, while the backlog delays only this attempt.
const prefillWeight = 8

// candidate is an endpoint with free slots.
type candidate struct {
	endpoint    *endpoint
	used, slots int
}

// eligible reports whether a request may run on an endpoint, regardless of the endpoint's load and state.
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

// choose returns the index of the candidate with the lowest cost for a request, or -1 if none can run it.
// If the costs differ by no more than ZoneTie, an endpoint in the request's availability zone is
// preferred.
func (p *Policy) choose(now time.Duration, it *item) int {
	var prefixBlocks []uint8
	if !p.Disabled.Affinity && len(it.req.Blocks) > 0 {
		prefixBlocks = p.cache.match(it.req.Blocks)
	}
	p.prefixMatched = prefixBlocks != nil
	best, sameZone := -1, -1
	bestCost, sameZoneCost := math.Inf(1), math.Inf(1)
	n := len(p.candidates)
	offset := p.rotation % max(n, 1)
	for i := range n {
		at := i + offset
		if at >= n {
			at -= n
		}
		c := &p.candidates[at]
		e := c.endpoint
		if !p.eligible(it, e) || it.req.Suspect && e.suspects > 0 {
			continue
		}
		cost := p.endpointCost(now, it, c, prefixBlocks)
		if cost < bestCost {
			best, bestCost = at, cost
		}
		if e.Zone == it.req.Zone && cost < sameZoneCost {
			sameZone, sameZoneCost = at, cost
		}
	}
	p.rotation++
	if sameZone >= 0 && !p.Disabled.Zones && sameZoneCost <= bestCost+p.ZoneTie {
		return sameZone
	}
	return best
}

// endpointCost returns the cost of running a request on an endpoint, without a unit: the expected time to
// the first token relative to its target, in which the request's own prefill counts prefillWeight times,
// plus the relative load, which slows down all tokens.
func (p *Policy) endpointCost(now time.Duration, it *item, c *candidate, prefixBlocks []uint8) float64 {
	e := c.endpoint
	var cachedBlocks uint8
	if prefixBlocks != nil && p.withinAffinityBound(c.used, c.slots) {
		cachedBlocks = prefixBlocks[e.index]
	}
	firstToken := e.backlog(now) + prefillWeight*time.Duration(uncachedTokens(it, cachedBlocks))*p.prefillPerToken
	cost := float64(firstToken)/float64(it.class.firstTokenScale()) + float64(c.used)/float64(c.slots)
	if it.req.AvoidZone != "" && e.Zone == it.req.AvoidZone {
		cost += avoidZoneCost
	}
	return cost
}

// cachedBlocks returns the number of leading blocks that an endpoint holds according to the last match.
func (p *Policy) cachedBlocks(it *item, e *endpoint) uint8 {
	if p.Disabled.Affinity || len(it.req.Blocks) == 0 || !p.prefixMatched {
		return 0
	}
	return p.cache.prefixBlocks[e.index]
}

// withinAffinityBound reports whether an endpoint with one more request is loaded to at most
// AffinityBound times the mean, which is the load of the shard distributed in proportion to the slots of
// the endpoints.
func (p *Policy) withinAffinityBound(used, slots int) bool {
	mean := float64(p.totalSlots-p.freeSlots+1) * float64(slots) / float64(p.totalSlots)
	return float64(used+1) <= math.Ceil(p.AffinityBound*mean)
}
