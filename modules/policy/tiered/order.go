package tiered

import "time"

// nextItem returns the request that should start next: first classes within their floor, the one
// without a grant for longest first, then the highest tier, in it the feasible requests before the
// demoted ones, and among these the one with the least slack.
func (p *Policy) nextItem(now time.Duration) *item {
	var best *item
	for _, c := range p.classes {
		if c.waiting == 0 || !c.withinFloor(now) || best != nil && !c.overdue(best.class) {
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
