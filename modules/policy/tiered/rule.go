package tiered

import "github.com/chivewind/chivewind/policy"

// lowerTierWaits reports whether requests of a lower tier wait. With excludeFloors, requests that their
// class's floor protects are not counted.
func (p *Policy) lowerTierWaits(tier int, excludeFloors bool) bool {
	for _, c := range p.classes {
		floorProtected := 0
		if excludeFloors {
			floorProtected = c.floorProtected()
		}
		if c.Tier > tier && c.waiting > floorProtected {
			return true
		}
	}
	return false
}

// lowerTierGranted reports whether, since the given request was submitted, a request of a lower tier was
// granted beyond its floor.
func (p *Policy) lowerTierGranted(it *item) bool {
	for _, c := range p.classes {
		if c.Tier > it.class.Tier && c.lastExcessSeq >= it.seq {
			return true
		}
	}
	return false
}

// recordExcessGrant records, before a grant beyond the class's floor, which classes of higher tiers have
// a waiting request that could have used the slot. It determines this from the queues, independently of
// the order in which the requests were considered, so that it also detects errors in that order.
func (p *Policy) recordExcessGrant(it *item, e *endpoint) {
	it.class.lastExcessSeq = p.seq
	for _, c := range p.classes {
		if c.Tier >= it.class.Tier || c.waiting == 0 {
			continue
		}
		for _, l := range c.lanes {
			first := l.first()
			if first != nil && p.eligible(first, e) && !(first.req.Suspect && e.suspects > 0) {
				c.lastBypassSeq = p.seq
			}
		}
	}
}

// violatesTierRule reports whether shedding a request would violate the tier rule: since the request
// was submitted, no request of a lower tier may have been granted, beyond its floor, a slot that this
// request could have used; and if it is shed because of the length of the queue, no request of a lower
// tier may wait. At the hard bound of the queue, requests that a floor protects are not counted.
func (p *Policy) violatesTierRule(it *item, reason policy.ShedReason) bool {
	if it.seq <= it.class.lastBypassSeq {
		return true
	}
	return reason == policy.Overload && p.lowerTierWaits(it.class.Tier, p.waiting > p.MaxWaiting)
}

// violatesPreemptRule reports whether preempting a running request would violate the tier rule: the
// beneficiary must have a higher tier, no request of a tier below the victim's may wait, and none may
// have been granted beyond its floor since the victim was submitted.
func (p *Policy) violatesPreemptRule(victim, beneficiary *item) bool {
	tier := victim.class.Tier
	return tier <= beneficiary.class.Tier || p.lowerTierWaits(tier, false) || p.lowerTierGranted(victim)
}
