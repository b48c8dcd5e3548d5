package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/policy"
)

// class is a request class with its waiting and running requests and its measured durations.
type class struct {
	policy.Class
	policy *Policy
	// configured is false for a class that was not in the last SetClasses call but still has requests.
	configured bool
	lanes      []*lane
	waiting    int
	running    int
	shedCount  uint64
	// lastShed is the time of the last shed.
	lastShed time.Duration
	// virtualTime is the virtual time of fair queueing: the largest start tag that was granted.
	virtualTime float64
	// lastGrant is the time of the last grant, or of the class's creation if there was none.
	lastGrant time.Duration
	// floorSlots is the class's floor in whole slots.
	floorSlots int
	// durationSeconds is the mean duration of completed attempts.
	durationSeconds estimate.Average
	// activeWeight is the sum of the weights of flows with waiting requests.
	activeWeight float64
	// lastBypassSeq is the number of the latest submission when a lower tier was last granted, beyond its
	// floor, a slot that a waiting request of this class could have used.
	lastBypassSeq uint64
	// lastExcessSeq is the number of the latest submission when a request of this class was last
	// granted a slot beyond the floor.
	lastExcessSeq uint64
	// runningHead is the head of the list of running requests, the latest grant first;
	// preemptingCount counts those with a Preempt decision.
	runningHead     *item
	preemptingCount int
	// urgentCount counts waiting requests that are close to their latest start.
	urgentCount int
}

// tier returns the class's tier. When tiers are disabled all classes have the same one.
func (c *class) tier() int {
	if c.policy.Disabled.Tiers {
		return 1
	}
	return c.Tier
}

// withinFloor reports whether the next grant belongs to the class's floor: its running requests use
// fewer slots than the floor, or it had no grant during the floor window. Each running request above
// the floor makes the window longer by one floor window; otherwise a class with long requests could
// occupy the whole shard by gaining one slot per window.
func (c *class) withinFloor(now time.Duration) bool {
	if c.policy.Disabled.Floors {
		return false
	}
	if c.running < c.floorSlots {
		return true
	}
	excess := time.Duration(1 + c.running - c.floorSlots)
	return now-c.lastGrant >= c.policy.FloorWindow*excess
}

// floorProtected returns how many waiting requests are protected by the floor: one for each of its
// slots and at least one. They wait for a slot that no other tier can claim.
func (c *class) floorProtected() int {
	if c.policy.Disabled.Floors {
		return 0
	}
	return max(1, c.floorSlots)
}

// next returns the first request, demoted or not, of the class's lanes that are not blocked in this
// grant pass, or nil.
func (c *class) next(demoted bool) *item {
	var best *item
	for _, l := range c.lanes {
		if l.blockedPass == c.policy.grantPass || l.key.demoted != demoted {
			continue
		}
		it := l.first()
		if it == nil {
			continue
		}
		if best == nil || it.flow.startTag < best.flow.startTag || it.flow.startTag == best.flow.startTag && it.seq < best.seq {
			best = it
		}
	}
	return best
}

// classFor returns the class with the given name. A class that is not configured, for example
// because this daemon has not yet received a change, is added in the lowest tier and without targets.
func (p *Policy) classFor(now time.Duration, name string) *class {
	if c := p.classByName[name]; c != nil {
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
	p.classByName[settings.Name] = c
	p.classes = append(p.classes, c)
	return c
}

// dropUnusedClasses removes classes that are not configured and have no requests.
func (p *Policy) dropUnusedClasses() {
	if !p.hasUnusedClass {
		return
	}
	p.hasUnusedClass = false
	kept := p.classes[:0]
	for _, c := range p.classes {
		if c.configured || c.waiting > 0 || c.running > 0 {
			kept = append(kept, c)
		} else {
			delete(p.classByName, c.Name)
		}
	}
	clear(p.classes[len(kept):])
	p.classes = kept
}
