package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// SetClasses implements policy.Policy. Waiting requests keep their arrival and their place in their
// class and are ordered by the new targets. None is refused because of the switch: a request that
// waits during a switch leaves at the later of the old and the new time, by the milder of the old
// and the new action, and is not shed early.
func (p *Policy) SetClasses(now time.Duration, classes []policy.Class) {
	if p.sameClasses(classes) {
		return
	}
	for _, c := range p.classes {
		c.current = false
		for _, l := range c.lanes {
			l.each(func(it *item) { it.kept = true })
		}
	}
	p.paced = false
	for _, settings := range classes {
		p.paced = p.paced || settings.BetweenTokens > 0
		c := p.byName[settings.Name]
		if c == nil {
			p.addClass(now, settings).current = true
			continue
		}
		c.current = true
		if c.Class != settings {
			c.Class = settings
			p.reschedule(now, c)
		}
	}
	p.unused = true
	p.dropUnused()
	p.estimates.Keep(func(name string) bool { return p.byName[name] != nil })
}

// sameClasses says whether the settings are those in use.
func (p *Policy) sameClasses(classes []policy.Class) bool {
	current := 0
	for _, c := range p.classes {
		if c.current {
			current++
		}
	}
	if current != len(classes) {
		return false
	}
	for _, settings := range classes {
		if c := p.byName[settings.Name]; c == nil || !c.current || c.Class != settings {
			return false
		}
	}
	return true
}

// reschedule applies a class's new settings to its waiting requests.
func (p *Policy) reschedule(now time.Duration, c *class) {
	// The tier rule starts anew, since grants before the switch followed the old tiers.
	c.passedOver, c.lastBeyond = 0, 0
	var demoted []*item
	for _, l := range c.lanes {
		l.each(func(it *item) {
			old := *it
			p.schedule(it)
			it.kept = true
			it.late = max(it.late, old.late)
			it.expiry = max(it.expiry, old.expiry)
			it.demoteAt = never
			if it.late == policy.LateDemote {
				it.demoteAt = max(it.latest, old.latest)
			}
			if it.demoted && it.demoteAt > now {
				demoted = append(demoted, it)
			}
			p.setTimer(it)
		})
	}
	// Demoted requests that have become feasible return to their place among the others.
	for _, it := range demoted {
		it.lane.take(it, false)
		it.demoted = false
		p.laneFor(it).add(it)
		p.setTimer(it)
	}
}
