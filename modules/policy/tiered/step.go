package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Step implements policy.Policy.
func (p *Policy) Step(now time.Duration, dst []policy.Decision) ([]policy.Decision, time.Duration) {
	p.measureCapacity(now)
	dst = p.grantAll(now, dst)
	return dst, 0
}

// measureCapacity counts slots and derives the floors from them.
func (p *Policy) measureCapacity(now time.Duration) {
	p.capacity, p.free = 0, 0
	for _, e := range p.endpoints {
		if !p.open(e, now) {
			continue
		}
		slots := p.slots(e)
		p.capacity += slots
		p.free += max(0, slots-p.used(e, now))
	}
	var floors float64
	for _, c := range p.classes {
		floors += c.Floor
	}
	for _, c := range p.classes {
		// Floors that add up to more than the shard are reduced in proportion.
		c.floorSlots = int(c.Floor/max(1, floors)*float64(p.capacity) + 1e-9)
	}
}

// grantAll grants waiting requests until there is no free slot or no request for one.
func (p *Policy) grantAll(now time.Duration, dst []policy.Decision) []policy.Decision {
	p.pass++
	for p.free > 0 && p.waiting > 0 {
		it := p.nextItem(now)
		if it == nil {
			break
		}
		e := p.choose(now, it)
		if e == nil {
			it.lane.blocked = p.pass
			continue
		}
		dst = append(dst, p.grant(now, it, e))
	}
	return dst
}

func (p *Policy) grant(now time.Duration, it *item, e *endpoint) policy.Decision {
	c := it.class
	it.floor = c.withinFloor(now)
	it.lane.take(it, true)
	p.start(now, it, e)
	c.granted, c.lastGrant = true, now
	p.free--
	return policy.Decision{Kind: policy.Grant, ID: it.id, Endpoint: e.ID}
}

// nextItem returns the request that should start next: first classes within their floor, the one
// without a grant for longest first, then the highest tier, in it the feasible requests before the
// demoted ones, and among these the one with the least slack.
func (p *Policy) nextItem(now time.Duration) *item {
	var best *item
	for _, c := range p.classes {
		if c.waiting == 0 || !c.withinFloor(now) {
			continue
		}
		if best != nil && !c.overdue(best.class) {
			continue
		}
		it := c.next(false)
		if it == nil {
			it = c.next(true)
		}
		if it != nil {
			best = it
		}
	}
	if best != nil {
		return best
	}
	for _, c := range p.classes {
		if c.waiting == 0 || best != nil && c.tier() > best.class.tier() {
			continue
		}
		if it := c.next(false); it != nil && p.precedes(it, best) {
			best = it
		}
		if it := c.next(true); it != nil && p.precedes(it, best) {
			best = it
		}
	}
	return best
}

// overdue says whether c had its last grant before o.
func (c *class) overdue(o *class) bool {
	if c.granted != o.granted {
		return !c.granted
	}
	if c.lastGrant != o.lastGrant {
		return c.lastGrant < o.lastGrant
	}
	return c.tier() < o.tier()
}

// precedes says whether a goes before b, apart from floors.
func (p *Policy) precedes(a, b *item) bool {
	switch {
	case b == nil:
		return true
	case a.class.tier() != b.class.tier():
		return a.class.tier() < b.class.tier()
	case a.demoted != b.demoted:
		return b.demoted
	case a.latest != b.latest && !p.Off.Slack:
		return a.latest < b.latest
	}
	return a.seq < b.seq
}
