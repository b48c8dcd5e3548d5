package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// SetClasses implements policy.Policy. Waiting requests keep their arrival and their position in their
// class and are ordered by the new targets. No request is refused because of the switch: a request that
// waits during a switch expires or is demoted at the later of the old and the new time, by the milder of
// the old and the new action, and is not shed early.
func (p *Policy) SetClasses(now time.Duration, classes []policy.Class) {
	if p.sameClasses(classes) {
		return
	}
	for _, c := range p.classes {
		c.configured = false
		for _, l := range c.lanes {
			l.forEach(func(it *item) { it.admissionExempt = true })
		}
	}
	p.hasInterTokenTarget = false
	for _, settings := range classes {
		p.hasInterTokenTarget = p.hasInterTokenTarget || settings.BetweenTokens > 0
		c := p.classByName[settings.Name]
		if c == nil {
			p.addClass(now, settings).configured = true
			continue
		}
		c.configured = true
		if c.Class != settings {
			c.Class = settings
			p.applyNewSettings(now, c)
		}
	}
	p.hasUnusedClass = true
	p.dropUnusedClasses()
	p.estimates.RetainClasses(func(name string) bool { return p.classByName[name] != nil })
}

// sameClasses reports whether the settings equal those in use.
func (p *Policy) sameClasses(classes []policy.Class) bool {
	current := 0
	for _, c := range p.classes {
		if c.configured {
			current++
		}
	}
	if current != len(classes) {
		return false
	}
	for _, settings := range classes {
		if c := p.classByName[settings.Name]; c == nil || !c.configured || c.Class != settings {
			return false
		}
	}
	return true
}

// applyNewSettings applies a class's new settings to its waiting requests.
func (p *Policy) applyNewSettings(now time.Duration, c *class) {
	// The check of the tier rule starts again, since grants before the switch followed the old tiers.
	c.lastBypassSeq, c.lastExcessSeq = 0, 0
	var promoted []*item
	for _, l := range c.lanes {
		l.forEach(func(it *item) {
			old := *it
			p.setDeadlines(it)
			it.admissionExempt = true
			it.lateAction = max(it.lateAction, old.lateAction) // The values are ordered from severe to mild.
			it.expiry = max(it.expiry, old.expiry)
			it.demoteAt = never
			if it.lateAction == policy.LateDemote {
				it.demoteAt = max(it.latestStart, old.latestStart)
			}
			if it.demoted && it.demoteAt > now {
				promoted = append(promoted, it)
			}
			p.setTimer(it)
		})
	}
	// Demoted requests that have become feasible return to the lane of the feasible ones.
	for _, it := range promoted {
		it.lane.remove(it, false)
		it.demoted = false
		p.laneFor(it).add(it)
		p.setTimer(it)
	}
}
