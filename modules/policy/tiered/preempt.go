package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// preemptScan bounds the running requests of a class that are considered as victims.
	preemptScan = 64
	// overloadMemory is how long after a shed a tier counts as overloaded.
	overloadMemory = 5 * time.Second
	// prefillLoss is the part of their time that the other attempts on an endpoint lose while a prompt
	// is processed. Preemption must gain more slot time than it costs.
	prefillLoss = 0.5
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
		if p.overloaded(now, it.class.tier()) {
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
			if !it.single() {
				// The others will hardly find one either, and many searches would delay decisions.
				break
			}
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

// overloaded says whether requests of a tier or a higher one were shed lately. Then a slot taken from
// lower tiers saves no target: it only changes which request is shed, while the victim's prompt has
// to be processed again.
func (p *Policy) overloaded(now time.Duration, tier int) bool {
	for _, c := range p.classes {
		if c.tier() <= tier && c.shed > 0 && now-c.lastShed < overloadMemory {
			return true
		}
	}
	return false
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
		if c.tier() <= beneficiary.class.tier() || best != nil && c.Tier < best.class.Tier || p.lowerWaits(c.Tier, false) {
			continue
		}
		v := p.victimIn(c, beneficiary)
		if v != nil && (best == nil || c.Tier > best.class.Tier || v.tokens < best.tokens) {
			best = v
		}
	}
	return best
}

// restartCost returns the time that other attempts on the endpoint lose when a preempted request is
// run again: its prompt and its tokens have to be processed once more.
func (p *Policy) restartCost(it *item) time.Duration {
	prefill := time.Duration(it.req.PromptTokens+it.tokens) * p.perToken
	return time.Duration(prefillLoss * float64(prefill) * float64(it.endpoint.running))
}

// victimIn returns the best victim of a class among its latest grants. Requests within the floor,
// requests that were preempted before, and requests that end before a restart would pay are spared.
func (p *Policy) victimIn(c *class, beneficiary *item) *item {
	if c.running-c.preempting <= c.floorSlots {
		return nil
	}
	var best *item
	scanned := 0
	for it := c.runningHead; it != nil && scanned < preemptScan; it = it.next {
		scanned++
		e := it.endpoint
		if it.preempting || it.floor || it.req.WasPreempted || !p.open(e) || !p.eligible(beneficiary, e) || p.lowerGranted(it) {
			continue
		}
		if best != nil && it.tokens >= best.tokens {
			continue
		}
		rest := it.series.Rest(it.tokens, it.req.MaxTokens, p.now-it.grantedAt)
		if rest > max(p.PreemptMinRest, p.restartCost(it)) {
			best = it
		}
	}
	return best
}
