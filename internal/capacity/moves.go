package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/platform"
)

// observe updates the state of all kinds from the registered endpoints.
func (p *Planner) observe(now time.Time, in Input) {
	for zone := range in.Pool.Scaling.ZonePrices {
		p.state(kind{zone, false})
		p.state(kind{zone, true})
	}
	for _, s := range p.kinds {
		s.registered, s.serving, s.draining = 0, 0, 0
	}
	registered := 0
	for _, e := range in.Endpoints {
		s := p.state(kind{e.Zone, e.Spot})
		if e.Draining {
			s.draining++
			continue
		}
		registered++
		s.registered++
		if !e.Failing {
			s.serving++
		}
	}
	if p.started.IsZero() {
		p.started, p.changedAt = now, now
	}
	if registered != p.registered {
		p.registered, p.changedAt = registered, now
	}
	missing, ordered := 0, 0
	for k, s := range p.kinds {
		s.update(now, k, in.Pool.Scaling.Boot)
		ordered += s.ordered
		// Endpoints that do not boot, or are lost, are no reason to wait: others have been ordered.
		if boot := in.Pool.Scaling.Boot; now.Sub(s.raisedAt) > boot+missingGrace && s.lost(now, boot) == 0 {
			missing += max(s.ordered-s.serving, 0)
		}
	}
	if float64(missing) > disturbedShare*float64(ordered) {
		p.disturbedAt = now
	}
}

// update derives the state of a kind from the numbers of its endpoints.
func (s *kindState) update(now time.Time, k kind, boot time.Duration) {
	if now.Sub(s.loweredAt) > loweredRetention {
		s.lowered = 0
	}
	if !s.accepted {
		s.ordered = max(s.ordered, s.registered)
		s.initial = max(s.initial, s.ordered)
	}
	if s.registered <= s.ordered {
		s.excessSince = time.Time{}
	} else if s.excessSince.IsZero() {
		s.excessSince = now
	} else if now.Sub(s.excessSince) > excessAfter {
		s.ordered, s.excessSince = s.registered, time.Time{}
	}
	// Draining spot endpoints that no order explains are reclaimed: the platform does not replace them, and the orders
	// for others must not count on them.
	if k.spot && s.draining > s.lowered && s.registered < s.ordered {
		s.ordered, s.accepted = s.registered, false
		if until := now.Add(reclaimBlock); until.After(s.blockedUntil) {
			s.blockedUntil = until
		}
	}
	if s.serving >= s.ordered {
		s.shortSince = time.Time{}
	} else if s.shortSince.IsZero() {
		s.shortSince = now
	}
	// More of a kind whose endpoints do not come would probably not come either.
	if until := now.Add(minBlock); s.lost(now, boot) > 0 && until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
}

// lost returns the number of ordered endpoints that do not serve although they have had the time to boot.
func (s *kindState) lost(now time.Time, boot time.Duration) int {
	since := s.shortSince
	if s.raisedAt.After(since) {
		since = s.raisedAt
	}
	if s.shortSince.IsZero() || now.Sub(since) <= boot+missingGrace {
		return 0
	}
	return max(s.ordered-s.serving, 0)
}

// settled reports whether the registered endpoints are known well enough for orders. Endpoints that have not registered
// yet, or that restart after a crash, would otherwise be removed by an order of the number that is registered.
func (p *Planner) settled(now time.Time) bool {
	if p.stable {
		return true
	}
	if now.Sub(p.changedAt) < stableFor && now.Sub(p.started) < settleLimit {
		return false
	}
	p.stable = true
	return true
}

// lost returns the number of ordered endpoints that do not serve although they have had the time to boot.
func (p *Planner) lost(now time.Time) int {
	lost := 0
	for _, s := range p.kinds {
		lost += s.lost(now, p.pool.Scaling.Boot)
	}
	return lost
}

// replacements returns the number of endpoints to order in place of lost ones, so that goal serve.
func (p *Planner) replacements(goal int) int {
	expected := -p.decision.Lost
	for _, s := range p.kinds {
		expected += s.ordered
	}
	return min(max(goal-expected, 0), p.decision.Lost)
}

// disturbed reports whether endpoints are or were lately missing that no order has removed.
func (p *Planner) disturbed(now time.Time) bool {
	return !p.disturbedAt.IsZero() && now.Sub(p.disturbedAt) < disturbedFor
}

// raises returns the orders for more endpoints. Before a load has been seen, only spot endpoints are ordered.
func (p *Planner) raises(now time.Time, target map[kind]int, seen bool) []platform.ScaleOrder {
	var orders []platform.ScaleOrder
	for _, k := range p.sortedKinds() {
		s := p.kinds[k]
		other := p.kinds[kind{k.zone, !k.spot}]
		// Until the other kind's endpoints are gone, the maximum of the zone leaves less room.
		room := p.pool.Scaling.Max - max(other.ordered, other.registered)
		desired := min(target[k], room)
		if !p.priced(k) || desired <= s.ordered || now.Before(s.blockedUntil) || (!seen && !k.spot) {
			continue
		}
		orders = append(orders, p.order(k, desired))
	}
	return orders
}

// priced reports whether the platform sells endpoints in the kind's zone. The numbers in other zones are left alone.
func (p *Planner) priced(k kind) bool {
	_, ok := p.pool.Scaling.ZonePrices[k.zone]
	return ok
}

func (p *Planner) order(k kind, desired int) platform.ScaleOrder {
	return platform.ScaleOrder{Pool: p.pool.Name, Zone: k.zone, Spot: k.spot, Desired: desired}
}

// mayLower reports whether the view of the load and of the endpoints is good enough to remove some.
func (p *Planner) mayLower(now time.Time, in Input) bool {
	draining, available := 0, 0
	for _, s := range p.kinds {
		draining += max(s.draining, s.registered-s.ordered)
		available += s.available()
	}
	return in.Age <= maxReportAge && !p.disturbed(now) && now.Sub(p.started) >= observeFor &&
		now.Sub(p.lowerAt) >= lowerInterval && (p.load.idle() || float64(draining) <= maxDrainingShare*float64(available))
}

// lowers returns the orders for fewer endpoints, the dearest first. What serves after them is at least keep, and what remains
// after the loss of a zone's spot endpoints at least the survivors.
func (p *Planner) lowers(target map[kind]int, keep int) []platform.ScaleOrder {
	available, spot := 0, 0
	inZone := map[string]int{}
	for k, s := range p.kinds {
		available += s.available()
		inZone[k.zone] += s.ordered
		if k.spot {
			spot = max(spot, s.available())
		}
	}
	step := p.opts.Step
	if p.load.idle() {
		step = idleStep
	}
	budget := min(max(int(step*float64(available)), 1), available-keep, available-spot-p.survivors.value)
	kinds := p.sortedKinds()
	slices.SortStableFunc(kinds, func(a, b kind) int { return cmp.Compare(p.price(b), p.price(a)) })
	var orders []platform.ScaleOrder
	for _, k := range kinds {
		s := p.kinds[k]
		remove := min(s.ordered-target[k], budget, inZone[k.zone]-p.pool.Scaling.Min)
		if remove <= 0 || !p.priced(k) {
			continue
		}
		budget -= remove
		inZone[k.zone] -= remove
		orders = append(orders, p.order(k, s.ordered-remove))
	}
	return orders
}
