package tiered

import "time"

// nextItem returns the request that should start next, or nil. Classes within their floor go first, the
// one with the oldest last grant before the others. Then the highest tier goes first, within a tier
// feasible requests go before demoted ones, and among these the request with the least slack.
func (p *Policy) nextItem(now time.Duration) *item {
	var best *item
	for _, c := range p.classes {
		if c.waiting == 0 || !c.withinFloor(now) || best != nil && !c.grantedBefore(best.class) {
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

// grantedBefore reports whether the last grant of c was before that of o. The tier breaks a tie.
func (c *class) grantedBefore(o *class) bool {
	if c.lastGrant != o.lastGrant {
		return c.lastGrant < o.lastGrant
	}
	return c.tier() < o.tier()
}

// precedes reports whether a goes before b when floors are not considered. A nil b comes last.
func (p *Policy) precedes(a, b *item) bool {
	switch {
	case b == nil:
		return true
	case a.class.tier() != b.class.tier():
		return a.class.tier() < b.class.tier()
	case a.demoted != b.demoted:
		return b.demoted
	case a.latestStart != b.latestStart && !p.Disabled.Slack:
		return a.latestStart < b.latestStart
	}
	return a.seq < b.seq
}
