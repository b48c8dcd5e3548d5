package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

const (
	// maxVictimsScanned bounds the running requests per class that are considered as victims.
	maxVictimsScanned = 64
	// overloadPeriod is how long a tier counts as overloaded after it shed a request.
	overloadPeriod = 5 * time.Second
	// prefillSlowdown is the fraction of their time that the other attempts on an endpoint lose during a
	// prefill. Preemption must gain more slot time than it costs.
	prefillSlowdown = 0.5
	// preemptLatency is the time from a Preempt decision until the slot is free.
	preemptLatency = 10 * time.Millisecond
)

// preemptAll preempts running requests of lower tiers for the preempt candidates, which would otherwise
// start too late.
func (p *Policy) preemptAll(now time.Duration, dst []policy.Decision) []policy.Decision {
	for _, id := range p.preemptCandidates {
		it := p.items[id]
		if it == nil || it.endpoint != nil || it.demoted {
			continue
		}
		if p.overloaded(now, it.class.tier()) {
			continue
		}
		slack := it.latestStart - now - preemptLatency
		if slack <= 0 {
			continue // Too late to meet the target.
		}
		if p.slotsExpectedWithin(it, slack) {
			// Check again when half of the remaining time has passed without a slot.
			it.preemptAt = now + max(slack/2, preemptLatency)
			p.setTimer(it)
			continue
		}
		victim := p.chooseVictim(it)
		if victim == nil {
			if !it.hasOwnConstraints() {
				// Other requests are unlikely to find a victim either, and each search delays the step.
				break
			}
			continue
		}
		if p.violatesPreemptRule(victim, it) {
			p.tierViolations++
		}
		victim.preempting = true
		victim.class.preemptingCount++
		p.preemptingCount++
		dst = append(dst, policy.Decision{Kind: policy.Preempt, ID: victim.id, Endpoint: victim.endpoint.ID})
	}
	p.preemptCandidates = p.preemptCandidates[:0]
	return dst
}

// overloaded reports whether requests of the given tier or a higher one were shed within
// overloadPeriod. Preemption then meets no additional target: it only changes which request is shed, while
// the victim's prompt has to be processed again.
func (p *Policy) overloaded(now time.Duration, tier int) bool {
	for _, c := range p.classes {
		if c.tier() <= tier && c.shedCount > 0 && now-c.lastShed < overloadPeriod {
			return true
		}
	}
	return false
}

// slotsExpectedWithin reports whether enough slots are expected to become free within the given time for
// all waiting requests of higher tiers and the urgent ones of the request's own tier.
func (p *Policy) slotsExpectedWithin(it *item, within time.Duration) bool {
	var rate float64
	ahead := 0
	for _, c := range p.classes {
		if d := c.durationSeconds.Value(); d > 0 {
			rate += float64(c.running) / d
		}
		switch {
		case c.tier() < it.class.tier():
			ahead += c.waiting
		case c.tier() == it.class.tier():
			ahead += c.urgentCount
		}
	}
	return float64(p.preemptingCount)+rate*within.Seconds() >= float64(ahead)
}

// chooseVictim returns the running request to preempt, or nil: in the lowest tier below the beneficiary's
// that has a victim, the one that has generated the fewest tokens. Tiers above a tier with waiting
// requests have no victims.
func (p *Policy) chooseVictim(beneficiary *item) *item {
	var best *item
	for _, c := range p.classes {
		if c.tier() <= beneficiary.class.tier() || best != nil && c.Tier < best.class.Tier || p.lowerTierWaits(c.Tier, false) {
			continue
		}
		v := p.victimInClass(c, beneficiary)
		if v != nil && (best == nil || c.Tier > best.class.Tier || v.tokens < best.tokens) {
			best = v
		}
	}
	return best
}

// restartCost returns the total time that other attempts on the endpoint lose when a preempted request is
// run again, since its prompt and its generated tokens need another prefill.
func (p *Policy) restartCost(it *item) time.Duration {
	prefill := time.Duration(it.req.PromptTokens+it.tokens) * p.prefillPerToken
	return time.Duration(prefillSlowdown * float64(prefill) * float64(it.endpoint.running))
}

// victimInClass returns the request with the fewest tokens among the class's latest grants, or nil. There is
// none if the class runs no more requests than its floor has slots. A request is not a victim if it was granted
// within the floor, was preempted before or is being preempted, runs on an endpoint that cannot take the
// beneficiary, or is expected to end within PreemptMinRemaining or the restartCost, or if a lower tier was
// granted a slot beyond its floor since the request was submitted.
func (p *Policy) victimInClass(c *class, beneficiary *item) *item {
	if c.running-c.preemptingCount <= c.floorSlots {
		return nil
	}
	var best *item
	scanned := 0
	for it := c.runningHead; it != nil && scanned < maxVictimsScanned; it = it.next {
		scanned++
		e := it.endpoint
		if it.preempting || it.withinFloor || it.req.WasPreempted || !p.acceptsWork(e) || !p.eligible(beneficiary, e) || p.lowerTierGranted(it) {
			continue
		}
		if best != nil && it.tokens >= best.tokens {
			continue
		}
		remaining := it.series.RemainingDuration(it.tokens, it.req.MaxTokens, p.now-it.grantedAt)
		if remaining > max(p.PreemptMinRemaining, p.restartCost(it)) {
			best = it
		}
	}
	return best
}
