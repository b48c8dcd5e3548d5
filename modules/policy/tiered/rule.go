package tiered

import "github.com/chivewind/chivewind/policy"

// lowerWaits says whether requests of a lower tier wait, beyond the floors if so asked.
func (p *Policy) lowerWaits(tier int, beyondFloor bool) bool {
	for _, c := range p.classes {
		spared := 0
		if beyondFloor {
			spared = c.floorQueue()
		}
		if c.Tier > tier && c.waiting > spared {
			return true
		}
	}
	return false
}

// lowerGranted says whether a request of a lower tier was granted beyond its floor since a request
// was submitted.
func (p *Policy) lowerGranted(it *item) bool {
	for _, c := range p.classes {
		if c.Tier > it.class.Tier && c.lastBeyond >= it.seq {
			return true
		}
	}
	return false
}

// noteGrant records, before a grant beyond its class's floor, which higher classes have a waiting
// request that could have had the slot. It repeats the decision from the queues instead of relying
// on the order in which the requests were considered.
func (p *Policy) noteGrant(it *item, e *endpoint) {
	it.class.lastBeyond = p.seq
	for _, c := range p.classes {
		if c.Tier >= it.class.Tier || c.waiting == 0 {
			continue
		}
		for _, l := range c.lanes {
			first := l.first()
			if first != nil && p.eligible(first, e) && !(first.req.Suspect && e.suspects > 0) {
				c.passedOver = p.seq
			}
		}
	}
}

// breaksTierRule checks the tier rule for a request that is about to be shed: no request of a lower
// tier was granted a slot beyond its floor that this one could have had since it was submitted, and,
// if it is shed because of the length of the queue, no request of a lower tier waits. At the hard
// bound of the queue those that wait within their floor do not count.
func (p *Policy) breaksTierRule(it *item, reason policy.ShedReason) bool {
	if it.seq <= it.class.passedOver {
		return true
	}
	return reason == policy.Overload && p.lowerWaits(it.class.Tier, p.waiting > p.MaxWaiting)
}

// breaksPreemptRule checks the tier rule for a running request that is about to be preempted: the
// beneficiary has a higher tier, no request of a tier below the victim's waits, and none was granted
// beyond its floor since the victim was submitted.
func (p *Policy) breaksPreemptRule(victim, beneficiary *item) bool {
	tier := victim.class.Tier
	return tier <= beneficiary.class.Tier || p.lowerWaits(tier, false) || p.lowerGranted(victim)
}
