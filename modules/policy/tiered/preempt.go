package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// preemptScan bounds the running requests of a class that are considered as victims.
	preemptScan = 64
	// preemptCost is the time from the decision until the slot is free.
	preemptCost = 10 * time.Millisecond
)

// preemptAll takes slots of lower tiers for requests that would otherwise start too late.
func (p *Policy) preemptAll(now time.Duration, dst []policy.Decision) []policy.Decision {
	for _, id := range p.urgent {
		it := p.items[id]
		if it == nil || it.endpoint != nil || it.demoted {
			continue
		}
		slack := it.latest - now - preemptCost
		if slack <= 0 {
			continue // The target is lost already.
		}
		if p.slotsSoon(it, slack) {
			// Looks again when half of the rest has passed without a slot.
			it.preemptAt = now + max(slack/2, preemptCost)
			p.setTimer(it)
			continue
		}
		victim := p.victim(it)
		if victim == nil {
			continue
		}
		if p.breaksPreemptRule(victim, it) {
			p.violations++
		}
		victim.preempting = true
		victim.class.preempting++
		p.preempting++
		dst = append(dst, policy.Decision{Kind: policy.Preempt, ID: victim.id, Endpoint: victim.endpoint.ID})
	}
	p.urgent = p.urgent[:0]
	return dst
}

// slotsSoon says whether enough slots are expected to become free within a time for all requests
// of higher tiers and the urgent ones of its own.
func (p *Policy) slotsSoon(it *item, within time.Duration) bool {
	var rate float64
	ahead := 0
	for _, c := range p.classes {
		if d := c.duration.Value(); d > 0 {
			rate += float64(c.running) / d
		}
		switch {
		case c.tier() < it.class.tier():
			ahead += c.waiting
		case c.tier() == it.class.tier():
			ahead += c.urgent
		}
	}
	return float64(p.preempting)+rate*within.Seconds() >= float64(ahead)
}

// victim returns the running request to preempt: of the lowest tier below the beneficiary's, the
// one that has generated the fewest tokens.
func (p *Policy) victim(beneficiary *item) *item {
	var best *item
	for _, c := range p.classes {
		if c.tier() <= beneficiary.class.tier() || best != nil && c.Tier < best.class.Tier {
			continue
		}
		v := p.victimIn(c, beneficiary)
		if v != nil && (best == nil || c.Tier > best.class.Tier || v.tokens < best.tokens) {
			best = v
		}
	}
	return best
}

// victimIn returns the best victim of a class among its latest grants. Requests within the floor,
// requests that were preempted before, and requests that end soon are spared.
func (p *Policy) victimIn(c *class, beneficiary *item) *item {
	if c.running-c.preempting <= c.floorSlots {
		return nil
	}
	var best *item
	scanned := 0
	for it := c.runningHead; it != nil && scanned < preemptScan; it = it.next {
		scanned++
		e := it.endpoint
		if it.preempting || it.floor || it.req.WasPreempted || !p.open(e) || !p.eligible(beneficiary, e) {
			continue
		}
		if best != nil && it.tokens >= best.tokens {
			continue
		}
		if rest := it.series.Rest(it.tokens, it.req.MaxTokens, p.now-it.grantedAt); rest > p.PreemptMinRest {
			best = it
		}
	}
	return best
}
