package bench

import (
	"math"
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// floorWindow is the period in which the floor entitles each class to one grant.
const floorWindow = 10 * time.Second

// checker verifies the tier rule from requests and decisions, independently of the policy: when a request
// is shed or preempted, no request of a lower tier may be waiting, and none of a lower tier may have
// been granted since that request was submitted, except within the floor of its class.
//
// For a request that is shed as expired, only such grants are violations: it missed its own deadline,
// and requests of lower tiers may still wait then. Sheds for lack of an endpoint are not checked.
type checker struct {
	now       *time.Duration
	policy    policy.Policy
	classes   map[string]*classState
	classList []*classState
	// slots is the number of slots of all endpoints: that of the deployment until updateSlots reads it from the
	// status of the policy.
	slots int
	// events numbers submissions and grants, to order those of the same instant.
	events uint64

	violations violations
}

// classState has the requests and grants of a class.
type classState struct {
	class   policy.Class
	waiting int
	running int
	// lastGrant is the time of the last grant; negative means none.
	lastGrant time.Duration
	// lastGrantBeyondFloor is the event number of the last grant beyond the floor; 0 means none.
	lastGrantBeyondFloor uint64
}

// violations counts violations of the tier rule by kind.
type violations struct {
	ShedWhileLowerWaits int `json:"shed_while_lower_waits"`
	// ShedWhileFloorWaits and PreemptWhileFloorWaits count the cases in which each class of a lower tier has
	// at most as many waiting requests as its floor has slots. Higher tiers have no claim to these slots.
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
		slots:   s.dep.engineCount * s.dep.engine.maxSlots,
	}
	for _, class := range s.classes {
		state := &classState{class: class, lastGrant: -time.Hour}
		c.classes[class.Name] = state
		c.classList = append(c.classList, state)
	}
	return c
}

// setClasses applies a preset. Grants before the switch followed the former tiers and therefore do not
// count against decisions under the new ones.
func (k *checker) setClasses(classes []policy.Class) {
	for _, class := range classes {
		state := k.classes[class.Name]
		state.class = class
		state.lastGrantBeyondFloor = 0
	}
}

// updateSlots reads the number of slots from the policy's status, because policies change it over time.
func (k *checker) updateSlots(status policy.Status) {
	slots := 0
	for _, e := range status.Endpoints {
		slots += e.Slots
	}
	if slots > 0 {
		k.slots = slots
	}
}

// tier returns the call's tier in the current preset.
func (k *checker) tier(c *call) int { return k.classes[c.class.Name].class.Tier }

func (k *checker) submit(c *call) {
	k.events++
	c.submitOrder = k.events
	k.classes[c.class.Name].waiting++
}

func (k *checker) finish(c *call) { k.classes[c.class.Name].running-- }

// cancel must be called before the call's state changes.
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

// check counts a violation, if there is one, under its most serious kind only.
func (k *checker) check(c *call, d policy.Decision) {
	v := &k.violations
	waits, waitsBeyondFloor, granted := k.lowerTierState(c)
	kinds := [...]struct {
		violated               bool
		shed, expired, preempt *int
	}{
		{granted, &v.ShedAfterLowerGrant, &v.ExpiredAfterLowerGrant, &v.PreemptAfterLowerGrant},
		{waitsBeyondFloor, &v.ShedWhileLowerWaits, &v.ExpiredWhileLowerWaits, &v.PreemptWhileLowerWaits},
		{waits, &v.ShedWhileFloorWaits, &v.ExpiredWhileLowerWaits, &v.PreemptWhileFloorWaits},
	}
	for _, kind := range kinds {
		switch {
		case !kind.violated:
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

// floorSlots returns the number of slots that the floor of a class guarantees, at least 1.
func (k *checker) floorSlots(state *classState) int {
	return max(1, int(math.Ceil(state.class.Floor*float64(k.slots))))
}

// grant records a grant and whether it is within the floor: the class holds no more than its share of
// the slots, or had no grant in the last floorWindow.
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
		state.lastGrantBeyondFloor = k.events
	}
	state.lastGrant = *k.now
}

func (k *checker) higherTierWaits(state *classState) bool {
	return slices.ContainsFunc(k.classList, func(o *classState) bool {
		return o.class.Tier < state.class.Tier && o.waiting > 0
	})
}

// lowerTierState looks at the classes of lower tiers than c's. It says whether one of their requests is
// waiting, whether a class has more waiting requests than its floor has slots, and whether a request was
// granted beyond the floor of its class since c was submitted.
func (k *checker) lowerTierState(c *call) (waits, waitsBeyondFloor, granted bool) {
	tier := k.tier(c)
	for _, state := range k.classList {
		if state.class.Tier <= tier {
			continue
		}
		waits = waits || state.waiting > 0
		waitsBeyondFloor = waitsBeyondFloor || state.waiting > k.floorSlots(state)
		granted = granted || state.lastGrantBeyondFloor > c.submitOrder
	}
	return waits, waitsBeyondFloor, granted
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
