package bench

import (
	"math"
	"slices"
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
	policy  policy.Policy
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
	// lastBeyondFloor is the count of events at the last grant that the floor does not explain.
	lastBeyondFloor uint64
}

// violations counts violations of the tier rule by kind.
type violations struct {
	ShedWhileLowerWaits int `json:"shed_while_lower_waits"`
	// ShedWhileFloorWaits and PreemptWhileFloorWaits are those where a lower class has no more
	// requests waiting than its floor has slots, which the higher tiers have no claim to.
	ShedWhileFloorWaits    int `json:"shed_while_floor_waits"`
	PreemptWhileFloorWaits int `json:"preempt_while_floor_waits"`
	ShedAfterLowerGrant    int `json:"shed_after_lower_grant"`
	ExpiredAfterLowerGrant int `json:"expired_after_lower_grant"`
	PreemptWhileLowerWaits int `json:"preempt_while_lower_waits"`
	PreemptAfterLowerGrant int `json:"preempt_after_lower_grant"`
	// ExpiredWhileLowerWaits is not part of the total, see checker.
	ExpiredWhileLowerWaits int `json:"expired_while_lower_waits"`
}

func (v violations) total() int {
	return v.ShedWhileLowerWaits + v.ShedWhileFloorWaits + v.ShedAfterLowerGrant +
		v.ExpiredAfterLowerGrant + v.PreemptWhileLowerWaits + v.PreemptWhileFloorWaits +
		v.PreemptAfterLowerGrant
}

func newChecker(s *sim) *checker {
	c := &checker{
		now:     &s.loop.now,
		policy:  s.policy,
		classes: map[string]*classState{},
		slots:   s.dep.engines * s.dep.model.maxSlots,
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
		state.lastBeyondFloor = 0
	}
}

// updateSlots takes the number of slots, which a policy changes all the time, from its status.
func (k *checker) updateSlots(status policy.Status) {
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

func (k *checker) recordDecision(c *call, d policy.Decision) {
	state := k.classes[c.class.Name]
	switch d.Kind {
	case policy.Grant:
		k.grant(state)
	case policy.Shed:
		state.waiting--
		if d.Reason != policy.NoEndpoint {
			k.check(c, d)
		}
	case policy.Preempt:
		k.check(c, d)
	}
}

// check counts a violation, if any, under its most serious kind.
func (k *checker) check(c *call, d policy.Decision) {
	v := &k.violations
	waits, beyondFloor, granted := k.lowerTierState(c)
	kinds := [...]struct {
		broken                 bool
		shed, expired, preempt *int
	}{
		{granted, &v.ShedAfterLowerGrant, &v.ExpiredAfterLowerGrant, &v.PreemptAfterLowerGrant},
		{beyondFloor, &v.ShedWhileLowerWaits, &v.ExpiredWhileLowerWaits, &v.PreemptWhileLowerWaits},
		{waits, &v.ShedWhileFloorWaits, &v.ExpiredWhileLowerWaits, &v.PreemptWhileFloorWaits},
	}
	for _, kind := range kinds {
		switch {
		case !kind.broken:
			continue
		case d.Kind == policy.Preempt:
			*kind.preempt++
		case d.Reason == policy.Expired:
			*kind.expired++
		default:
			*kind.shed++
		}
		return
	}
}

// floorSlots is the number of slots of a class's floor.
func (k *checker) floorSlots(state *classState) int {
	return max(1, int(math.Ceil(state.class.Floor*float64(k.slots))))
}

// grant records a grant and whether the floor explains it: the class holds no more than its
// share of the slots, or had no grant in the floor window.
func (k *checker) grant(state *classState) {
	k.events++
	state.waiting--
	state.running++
	beyondFloor := func() bool {
		return state.running > k.floorSlots(state) && *k.now-state.lastGrant < floorWindow
	}
	if beyondFloor() && k.higherTierWaits(state) {
		k.updateSlots(k.policy.Status(*k.now))
	}
	if beyondFloor() {
		state.lastBeyondFloor = k.events
	}
	state.lastGrant = *k.now
}

func (k *checker) higherTierWaits(state *classState) bool {
	return slices.ContainsFunc(k.order, func(o *classState) bool {
		return o.class.Tier < state.class.Tier && o.waiting > 0
	})
}

// lowerTierState says whether a request of a lowerTierState tier than c's waits, whether more of them wait than
// their floors have slots, and whether one was granted beyond its floor since c was submitted.
func (k *checker) lowerTierState(c *call) (waits, beyondFloor, granted bool) {
	tier := k.tier(c)
	for _, state := range k.order {
		if state.class.Tier <= tier {
			continue
		}
		waits = waits || state.waiting > 0
		beyondFloor = beyondFloor || state.waiting > k.floorSlots(state)
		granted = granted || state.lastBeyondFloor > c.submitOrder
	}
	return waits, beyondFloor, granted
}

func (v *violations) add(o violations) {
	v.ShedWhileLowerWaits += o.ShedWhileLowerWaits
	v.ShedAfterLowerGrant += o.ShedAfterLowerGrant
	v.ExpiredAfterLowerGrant += o.ExpiredAfterLowerGrant
	v.ShedWhileFloorWaits += o.ShedWhileFloorWaits
	v.PreemptWhileFloorWaits += o.PreemptWhileFloorWaits
	v.PreemptWhileLowerWaits += o.PreemptWhileLowerWaits
	v.PreemptAfterLowerGrant += o.PreemptAfterLowerGrant
	v.ExpiredWhileLowerWaits += o.ExpiredWhileLowerWaits
}
