package capacity

import (
	"cmp"
	"slices"
	"time"
)

// steadyCount is a number that follows a requirement without small changes.
type steadyCount struct {
	value int
	set   bool
}

// follow returns the number for a requirement: raiseMargin above it when it rises above the number or falls by lowerMargin
// below it, and the previous number otherwise.
func (c *steadyCount) follow(need int) int {
	if !c.set || need > c.value || float64(need) < (1-lowerMargin)*float64(c.value) {
		c.value, c.set = max(need, int((1+raiseMargin)*float64(need))), true
	}
	return c.value
}

// price returns the price of an endpoint per second.
func (p *Planner) price(k kind) float64 {
	price := p.pool.Scaling.ZonePrices[k.zone]
	if k.spot {
		price *= p.pool.Scaling.SpotPrice
	}
	return price
}

// zones returns the zones of the pool, the cheapest first.
func (p *Planner) zones() []string {
	zones := make([]string, 0, len(p.pool.Scaling.ZonePrices))
	for zone := range p.pool.Scaling.ZonePrices {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.price(kind{a, false}), p.price(kind{b, false})), cmp.Compare(a, b))
	})
	return zones
}

// withSpread returns the number of endpoints of which survivors remain after the loss of a zone's spot endpoints, with as few
// on-demand ones as possible: spot endpoints beyond the requirement cost less than on-demand ones instead of them.
func (p *Planner) withSpread(onDemand, survivors int) int {
	zones := len(p.pool.Scaling.ZonePrices)
	if zones < 2 || p.pool.Scaling.SpotPrice <= 0 {
		return survivors
	}
	return onDemand + ceil(float64(survivors-onDemand)/(1-max(spotZoneShare, 1/float64(zones))))
}

// allocation is a number of endpoints for each kind.
type allocation struct {
	p      *Planner
	now    time.Time
	zones  []string
	counts map[kind]int
}

// allocate distributes the endpoints over zones and kinds at the lowest price: onDemand on-demand ones, part of them in each
// zone, and spot ones for the rest, with at most total-survivors of them in one zone. A kind that the platform has no
// endpoints of keeps its number at most; other zones, then other kinds replace it.
func (p *Planner) allocate(now time.Time, total, onDemand, survivors int) map[kind]int {
	a := &allocation{p: p, now: now, zones: p.zones(), counts: map[kind]int{}}
	if len(a.zones) == 0 {
		return a.counts
	}
	if p.pool.Scaling.SpotPrice <= 0 {
		onDemand = total
	}
	base := max(p.pool.Scaling.Min, ceil(onDemandZoneShare*float64(onDemand)))
	if len(a.zones) < 3 {
		base = max(p.pool.Scaling.Min, onDemand/len(a.zones))
	}
	left := onDemand
	for _, zone := range a.zones {
		left -= a.add(kind{zone, false}, min(base, max(left, p.pool.Scaling.Min)), base)
	}
	// No zone has more than half of the on-demand endpoints, as long as others can have them.
	for _, limit := range []int{max(ceil(float64(onDemand)/2), base), onDemand} {
		for _, zone := range a.zones {
			left -= a.add(kind{zone, false}, left, limit)
		}
	}
	spot := max(total-onDemand+max(left, 0), 0)
	if p.pool.Scaling.SpotPrice > 0 {
		spot -= a.addSpot(spot, max(total-survivors, 0))
	}
	for _, zone := range a.zones {
		spot -= a.add(kind{zone, false}, spot, p.pool.Scaling.Max)
	}
	return a.counts
}

// addSpot adds spot endpoints, spread over the zones and then with at most zoneLimit in one, and returns their number.
func (a *allocation) addSpot(spot, zoneLimit int) int {
	added := 0
	spread := min(max(ceil(spotZoneShare*float64(spot)), ceil(float64(spot)/float64(len(a.zones)))), zoneLimit)
	for _, limit := range []int{spread, zoneLimit} {
		for _, zone := range a.zones {
			added += a.add(kind{zone, true}, spot-added, limit)
		}
	}
	return added
}

// add adds up to n endpoints of a kind, within the limit for the kind and the maximum of the zone, and returns their number.
func (a *allocation) add(k kind, n, limit int) int {
	s := a.p.state(k)
	if a.now.Before(s.blockedUntil) {
		limit = min(limit, s.ordered)
	}
	inZone := a.counts[kind{k.zone, false}] + a.counts[kind{k.zone, true}]
	n = max(min(n, limit-a.counts[k], a.p.pool.Scaling.Max-inZone), 0)
	a.counts[k] += n
	return n
}
