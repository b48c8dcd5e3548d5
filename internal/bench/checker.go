package bench

import (
	"math"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// floorWindow is the period in which each class may have one grant as its floor.
const floorWindow = 10 * time.Second

// checker verifies the tier rule from the log of requests and decisions, independently of the
// policy: when a request is shed or preempted, no request of a lower tier waits, and none of a
// lower tier was granted since that request was submitted, except within its class's floor.
//
// A request that is refused as expired is checked only for grants: it missed its own deadline,
// and lower tiers may still wait at that time.
type checker struct {
	now     *time.Duration
	classes map[string]*classState
	order   []*classState
	slots   int
	// events counts submissions and grants, which orders those of the same instant.
	events uint64

	violations violations
}

type classState struct {
	class   policy.Class
	waiting int
	running int
	// lastGrant is the time of the last grant; negative means never.
	lastGrant time.Duration
	// lastBeyond is the count of events at the last grant that the floor does not explain.
	lastBeyond uint64
}

// violations counts violations of the tier rule by kind.
type violations struct {
	ShedWhileLowerWaits    int `json:"shed_while_lower_waits"`
	ShedAfterLowerGrant    int `json:"shed_after_lower_grant"`
	ExpiredAfterLowerGrant int `json:"expired_after_lower_grant"`
	PreemptWhileLower      int `json:"preempt_while_lower_waits_or_granted"`
	// ExpiredWhileLowerWaits is not part of the total, see checker.
	ExpiredWhileLowerWaits int `json:"expired_while_lower_waits"`
}

func (v violations) total() int {
	return v.ShedWhileLowerWaits + v.ShedAfterLowerGrant + v.ExpiredAfterLowerGrant + v.PreemptWhileLower
}

func newChecker(s *sim) *checker {
	c := &checker{
		now:     &s.loop.now,
		classes: map[string]*classState{},
		slots:   s.dep.engines * s.dep.model.slots,
	}
	for _, class := range s.classes {
		state := &classState{class: class, lastGrant: -time.Hour}
		c.classes[class.Name] = state
		c.order = append(c.order, state)
	}
	return c
}

// setClasses applies a preset. Grants before a switch followed the old tiers, so that they are no
// evidence against decisions under the new ones.
func (k *checker) setClasses(classes []policy.Class) {
	for _, class := range classes {
		state := k.classes[class.Name]
		state.class = class
		state.lastBeyond = 0
	}
}

// sample takes the number of slots, which a policy can change, from its status.
func (k *checker) sample(status policy.Status) {
	slots := 0
	for _, e := range status.Endpoints {
		slots += e.Slots
	}
	if slots > 0 {
		k.slots = slots
	}
}

// tier is the call's tier under the preset in force.
func (k *checker) tier(c *call) int { return k.classes[c.class.Name].class.Tier }

func (k *checker) submit(c *call) {
	k.events++
	c.submitOrder = k.events
	k.classes[c.class.Name].waiting++
}

func (k *checker) finish(c *call) { k.classes[c.class.Name].running-- }

// cancel is called before the call's state changes.
func (k *checker) cancel(c *call) {
	if c.state == waiting {
		k.classes[c.class.Name].waiting--
	} else {
		k.classes[c.class.Name].running--
	}
}

func (k *checker) decide(c *call, d policy.Decision) {
	state := k.classes[c.class.Name]
	switch d.Kind {
	case policy.Grant:
		k.grant(state)
	case policy.Shed:
		state.waiting--
		waits, granted := k.lower(c)
		switch {
		case d.Reason == policy.NoEndpoint:
		case d.Reason == policy.Expired && granted:
			k.violations.ExpiredAfterLowerGrant++
		case d.Reason == policy.Expired && waits:
			k.violations.ExpiredWhileLowerWaits++
		case d.Reason == policy.Expired:
		case waits:
			k.violations.ShedWhileLowerWaits++
		case granted:
			k.violations.ShedAfterLowerGrant++
		}
	case policy.Preempt:
		if waits, granted := k.lower(c); waits || granted {
			k.violations.PreemptWhileLower++
		}
	}
}

// grant records a grant and whether the floor explains it: the class holds no more than its
// share of the slots, or had no grant in the floor window.
func (k *checker) grant(state *classState) {
	k.events++
	state.waiting--
	state.running++
	held := int(math.Ceil(state.class.Floor * float64(k.slots)))
	if state.running > held && *k.now-state.lastGrant < floorWindow {
		state.lastBeyond = k.events
	}
	state.lastGrant = *k.now
}

// lower says whether a request of a lower tier than c's waits, and whether one was granted beyond
// its floor since c was submitted.
func (k *checker) lower(c *call) (waits, granted bool) {
	tier := k.tier(c)
	for _, state := range k.order {
		if state.class.Tier <= tier {
			continue
		}
		waits = waits || state.waiting > 0
		granted = granted || state.lastBeyond > c.submitOrder
	}
	return waits, granted
}

func (v *violations) add(o violations) {
	v.ShedWhileLowerWaits += o.ShedWhileLowerWaits
	v.ShedAfterLowerGrant += o.ShedAfterLowerGrant
	v.ExpiredAfterLowerGrant += o.ExpiredAfterLowerGrant
	v.PreemptWhileLower += o.PreemptWhileLower
	v.ExpiredWhileLowerWaits += o.ExpiredWhileLowerWaits
}
