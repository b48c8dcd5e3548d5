package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Step implements policy.Policy.
func (p *Policy) Step(now time.Duration, dst []policy.Decision) ([]policy.Decision, time.Duration) {
	p.now = now
	p.dropUnusedClasses()
	p.tick(now)
	p.measureCapacity(now)
	p.runTimers(now)
	dst = p.flush(dst)
	dst = p.grantAll(now, dst)
	dst = p.preemptAll(now, dst)
	p.trim(now)
	dst = p.flush(dst)
	return dst, p.nextStep()
}

// flush moves the pending decisions to dst.
func (p *Policy) flush(dst []policy.Decision) []policy.Decision {
	dst = append(dst, p.pendingDecisions...)
	p.pendingDecisions = p.pendingDecisions[:0]
	return dst
}

// nextStep returns the time of the next step that is needed if no further event arrives, zero for none.
func (p *Policy) nextStep() time.Duration {
	if len(p.items) == 0 {
		return 0
	}
	next := p.tickAt
	if p.backoffEndsAt > p.now {
		next = min(next, p.backoffEndsAt)
	}
	if len(p.timers) > 0 {
		next = min(next, p.timers[0].timerAt)
	}
	if p.waiting > 0 && !p.Disabled.Admission {
		next = min(next, p.trimAt)
	}
	return next
}

// tick updates the endpoints' health and slot limits.
func (p *Policy) tick(now time.Duration) {
	if now < p.tickAt {
		return
	}
	p.tickAt = p.health.Tick(now)
	for _, e := range p.endpoints {
		p.updateLimit(now, e)
	}
}

// measureCapacity counts the slots, collects the candidates and derives the floors in slots.
func (p *Policy) measureCapacity(now time.Duration) {
	p.totalSlots, p.freeSlots = 0, 0
	p.candidates = p.candidates[:0]
	p.prefillPerToken = p.prefill.perToken()
	for _, e := range p.endpoints {
		if !p.acceptsWork(e) {
			continue
		}
		slots, used := p.slots(e), p.usedSlots(e, now)
		p.totalSlots += slots
		if used < slots {
			p.freeSlots += slots - used
			p.candidates = append(p.candidates, candidate{endpoint: e, used: used, slots: slots})
		} else {
			e.limiter.saturated = true
		}
	}
	var floors float64
	for _, c := range p.classes {
		floors += c.Floor
	}
	for _, c := range p.classes {
		// Floors whose sum exceeds 1 are reduced in proportion. The small term corrects rounding errors:
		// without it a floor of 0.29 of 100 slots would be 28.
		c.floorSlots = int(c.Floor/max(1, floors)*float64(p.totalSlots) + 1e-9)
	}
}

// grantAll grants waiting requests until no slot is free or no waiting request can use one.
func (p *Policy) grantAll(now time.Duration, dst []policy.Decision) []policy.Decision {
	p.grantPass++
	for p.freeSlots > 0 && p.waiting > 0 {
		it := p.nextItem(now)
		if it == nil {
			break
		}
		i := p.choose(now, it)
		if i < 0 {
			it.lane.blockedPass = p.grantPass
			continue
		}
		e := p.candidates[i].endpoint
		p.useSlot(i)
		dst = append(dst, p.grant(now, it, e))
	}
	return dst
}

// useSlot uses a slot of a candidate and removes the candidate when it has no free slot left.
func (p *Policy) useSlot(i int) {
	c := &p.candidates[i]
	p.freeSlots--
	c.used++
	if c.used < c.slots {
		return
	}
	c.endpoint.limiter.saturated = true
	last := len(p.candidates) - 1
	p.candidates[i] = p.candidates[last]
	p.candidates = p.candidates[:last]
}

func (p *Policy) grant(now time.Duration, it *item, e *endpoint) policy.Decision {
	c := it.class
	it.withinFloor = c.withinFloor(now)
	it.lane.remove(it, true)
	if !it.withinFloor {
		p.recordExcessGrant(it, e)
	}
	if it.heapIndex >= 0 {
		p.timers.remove(it)
	}
	p.start(now, it, e)
	p.startPrefill(now, it, e, uncachedTokens(it, p.cachedBlocks(it, e)))
	c.lastGrant = now
	if !p.Disabled.Affinity {
		for i, block := range it.req.Blocks {
			if i == maxPrefixBlocks {
				break
			}
			p.cache.add(e.index, &e.ring, block)
		}
	}
	return policy.Decision{Kind: policy.Grant, ID: it.id, Endpoint: e.ID}
}
