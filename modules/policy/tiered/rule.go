package tiered

import "github.com/chivewind/chivewind/policy"

// lowerWaits says whether a class of a lower tier has more waiting requests than belong to its
// floor.
func (p *Policy) lowerWaits(tier int) bool {
	for _, c := range p.classes {
		if c.Tier > tier && c.waiting > c.floorQueue() {
			return true
		}
	}
	return false
}

// noteGrant records, before a grant beyond its class's floor, which higher classes have a waiting
// request that could have had the slot. It repeats the decision from the queues instead of relying
// on the order in which the requests were considered.
func (p *Policy) noteGrant(it *item, e *endpoint) {
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
// tier was granted a slot beyond its floor that this one could have had since it arrived, and, if it
// is shed because of the length of the queue, no request of a lower tier waits beyond its floor.
func (p *Policy) breaksTierRule(it *item, reason policy.ShedReason) bool {
	if it.seq <= it.class.passedOver {
		return true
	}
	return reason == policy.Overload && p.lowerWaits(it.class.Tier)
}

// breaksPreemptRule checks the tier rule for a running request that is about to be preempted: the
// beneficiary has a higher tier, nothing of a lower tier than the victim runs beyond its floor that
// could be preempted instead, and nothing of a lower tier was granted before the victim while it
// waited.
func (p *Policy) breaksPreemptRule(victim, beneficiary *item) bool {
	if victim.class.Tier <= beneficiary.class.Tier || victim.passedOver {
		return true
	}
	for _, c := range p.classes {
		if c.Tier > victim.class.Tier && p.victimIn(c, beneficiary) != nil {
			return true
		}
	}
	return false
}
