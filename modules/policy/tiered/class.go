package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/policy"
)

// class is a request class with its waiting requests and what was measured of it.
type class struct {
	policy.Class
	policy  *Policy
	current bool
	lanes   []*lane
	waiting int
	running int
	shed    uint64
	// lastShed is the time of the last shed.
	lastShed time.Duration
	// virtual is the virtual time of fair queueing: the largest tag that was granted.
	virtual float64
	// lastGrant is the time of the last grant, at first of the class's creation.
	lastGrant time.Duration
	// floorSlots is the class's floor in whole slots.
	floorSlots int
	duration   estimate.Average
	// activeWeight is the sum of the weights of flows with waiting requests.
	activeWeight float64
	// passedOver is the last submission at the time when a lower tier was granted a slot that a
	// waiting request of this class could have had.
	passedOver uint64
	// lastBeyond is the last submission at the time of the last grant beyond the floor.
	lastBeyond uint64
	// runningHead is the latest grant of a list of running requests; preempting counts those with a
	// Preempt decision.
	runningHead *item
	preempting  int
	// urgent counts waiting requests that are close to their latest start.
	urgent int
}

// tier returns the class's tier; without tiers all classes are equal.
func (c *class) tier() int {
	if c.policy.Off.Tiers {
		return 1
	}
	return c.Tier
}

// withinFloor says whether the next grant belongs to the class's floor: its running requests use
// fewer slots than the floor, or it had no grant for the floor window. Each running request above
// the floor lengthens the window, so that long requests cannot fill the shard window by window.
func (c *class) withinFloor(now time.Duration) bool {
	if c.policy.Off.Floors {
		return false
	}
	if c.running < c.floorSlots {
		return true
	}
	above := time.Duration(1 + c.running - c.floorSlots)
	return now-c.lastGrant >= c.policy.FloorWindow*above
}

// floorQueue is the number of waiting requests that belong to the floor: the next one for each of
// its slots. They wait for a slot that no other tier has a claim to.
func (c *class) floorQueue() int {
	if c.policy.Off.Floors {
		return 0
	}
	return max(1, c.floorSlots)
}

// next returns the class's next request among its lanes that are not blocked in this pass.
func (c *class) next(demoted bool) *item {
	var best *item
	for _, l := range c.lanes {
		if l.blocked == c.policy.pass || l.key.demoted != demoted {
			continue
		}
		it := l.first()
		if it == nil {
			continue
		}
		if best == nil || it.flow.tag < best.flow.tag || it.flow.tag == best.flow.tag && it.seq < best.seq {
			best = it
		}
	}
	return best
}

// classFor returns the class of a request. A class that is not in the settings, for example because
// this daemon has not yet received a change, waits in the lowest tier and is never late.
func (p *Policy) classFor(now time.Duration, name string) *class {
	if c := p.byName[name]; c != nil {
		return c
	}
	lowest := 1
	for _, c := range p.classes {
		lowest = max(lowest, c.Tier)
	}
	return p.addClass(now, policy.Class{Name: name, Tier: lowest, Late: policy.LateServe})
}

func (p *Policy) addClass(now time.Duration, settings policy.Class) *class {
	c := &class{Class: settings, policy: p, lastGrant: now}
	p.byName[settings.Name] = c
	p.classes = append(p.classes, c)
	return c
}

// dropUnused removes classes that are not in the settings and have no requests.
func (p *Policy) dropUnused() {
	if !p.unused {
		return
	}
	p.unused = false
	kept := p.classes[:0]
	for _, c := range p.classes {
		if c.current || c.waiting > 0 || c.running > 0 {
			kept = append(kept, c)
		} else {
			delete(p.byName, c.Name)
		}
	}
	clear(p.classes[len(kept):])
	p.classes = kept
}
