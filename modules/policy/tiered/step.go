package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Step implements policy.Policy.
func (p *Policy) Step(now time.Duration, dst []policy.Decision) ([]policy.Decision, time.Duration) {
	p.now = now
	p.dropUnused()
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
	dst = append(dst, p.pending...)
	p.pending = p.pending[:0]
	return dst
}

// nextStep returns when something is due without a further event, zero for never.
func (p *Policy) nextStep() time.Duration {
	if len(p.items) == 0 {
		return 0
	}
	next := p.tickAt
	if p.wakeAt > p.now {
		next = min(next, p.wakeAt)
	}
	if len(p.timers) > 0 {
		next = min(next, p.timers[0].timer)
	}
	if p.waiting > 0 && !p.Off.Admission {
		next = min(next, p.trimAt)
	}
	return next
}

// tick updates the endpoints' health and slots.
func (p *Policy) tick(now time.Duration) {
	if now < p.tickAt {
		return
	}
	p.tickAt = p.health.Tick(now)
	for _, e := range p.endpoints {
		p.tickLimit(now, e)
	}
}

// measureCapacity counts slots and derives the floors from them.
func (p *Policy) measureCapacity(now time.Duration) {
	p.capacity, p.free = 0, 0
	p.candidates = p.candidates[:0]
	p.perToken = p.prefill.perToken()
	for _, e := range p.endpoints {
		if !p.open(e) {
			continue
		}
		slots, used := p.slots(e), p.used(e, now)
		p.capacity += slots
		if used < slots {
			p.free += slots - used
			p.candidates = append(p.candidates, candidate{endpoint: e, used: used, slots: slots})
		} else {
			e.pace.busy = true
		}
	}
	var floors float64
	for _, c := range p.classes {
		floors += c.Floor
	}
	for _, c := range p.classes {
		// Floors that add up to more than the shard are reduced in proportion. The small term keeps
		// a product such as 0.1 * 30 from being rounded down to 2.
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
		i := p.choose(now, it)
		if i < 0 {
			it.lane.blocked = p.pass
			continue
		}
		e := p.candidates[i].endpoint
		p.take(i)
		dst = append(dst, p.grant(now, it, e))
	}
	return dst
}

// take uses a slot of a candidate, which leaves the list with its last one.
func (p *Policy) take(i int) {
	c := &p.candidates[i]
	p.free--
	c.used++
	if c.used < c.slots {
		return
	}
	c.endpoint.pace.busy = true
	last := len(p.candidates) - 1
	p.candidates[i] = p.candidates[last]
	p.candidates = p.candidates[:last]
}

func (p *Policy) grant(now time.Duration, it *item, e *endpoint) policy.Decision {
	c := it.class
	it.floor = c.withinFloor(now)
	it.lane.take(it, true)
	if !it.floor {
		p.noteGrant(it, e)
	}
	if it.index >= 0 {
		p.timers.remove(it)
	}
	p.start(now, it, e)
	p.startPrefill(now, it, e, uncached(it, p.held(it, e)))
	c.lastGrant = now
	if !p.Off.Affinity {
		for i, block := range it.req.Blocks {
			if i == maxPrefixBlocks {
				break
			}
			p.cache.add(e.index, &e.ring, block)
		}
	}
	return policy.Decision{Kind: policy.Grant, ID: it.id, Endpoint: e.ID}
}
