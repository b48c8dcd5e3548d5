package placement

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// strictGapRatio defines the strict classes: those whose inter-token target is within this factor of the
	// shortest.
	strictGapRatio = 1.3
	// strictHeadroom is the factor applied to the work of the strict classes when the engines are divided, so
	// that prefills rarely coincide on an engine of the strict partition.
	strictHeadroom = 1.4
	// partitionInterval is the time between two adjustments of the partition.
	partitionInterval = 250 * time.Millisecond
	// partitionHysteresis is the minimum difference, in engines, between the wanted and the current size of the
	// partition for an adjustment.
	partitionHysteresis = 0.7
	// prefillGapFraction is the fraction of an inter-token target that prefill may take without making streams
	// exceed the target.
	prefillGapFraction = 0.15
)

// enginePartition splits a pool's engines: the first ones serve classes with strict inter-token targets, the
// others all other classes. Prefill of a long prompt delays all streams of its engine beyond a strict target.
type enginePartition struct {
	// strictEngines is the number of engines in the strict partition; 0 means that the pool is not split.
	strictEngines int
	updated       time.Time
}

// findStrictClasses adds the hashes of a pool's classes with the shortest inter-token targets to strict, and returns the
// shortest target. There are no strict classes unless others of the pool have clearly longer targets.
func findStrictClasses(t *traffic.Table, pool string, strict map[uint32]bool) (shortest time.Duration) {
	var longest time.Duration
	gaps := map[uint32]time.Duration{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Stream || r.EventGap <= 0 || !slices.ContainsFunc(r.Pools, func(p traffic.WeightedPool) bool { return p.Pool == pool }) {
			continue
		}
		gaps[HashClass(pool, r.Class)] = r.EventGap
		longest = max(longest, r.EventGap)
		if shortest == 0 || r.EventGap < shortest {
			shortest = r.EventGap
		}
	}
	bound := time.Duration(strictGapRatio * float64(shortest))
	for class, gap := range gaps {
		if gap <= bound && longest > bound {
			strict[class] = true
		}
	}
	return shortest
}

// updatePartition adapts the partition to the recent load of the classes. When requests of one class arrive in
// a burst, the partition of that class grows within one or two seconds.
func (b *Placer) updatePartition(now time.Time, p *pool) {
	if p.Engine == nil || now.Sub(p.partition.updated) < partitionInterval {
		return
	}
	p.partition.updated = now
	n := len(p.endpoints)
	if n < 2 || !b.hasStrictClasses(p) {
		p.partition.strictEngines = 0
		return
	}
	var strict, other float64
	for class, d := range b.demand.total(now) {
		switch {
		case b.classPools[class] != p.Name:
		case b.strictClasses[class]:
			strict += d.work()
		default:
			other += d.work()
		}
	}
	if strict+other == 0 {
		// Without recent requests a third of the engines serves the strict classes.
		p.partition.strictEngines = max(1, n/3)
		return
	}
	want := float64(n) * strictHeadroom * strict / (strictHeadroom*strict + other)
	want = min(max(want, 1), float64(n-1))
	if p.partition.strictEngines == 0 ||
		want > float64(p.partition.strictEngines)+partitionHysteresis ||
		want < float64(p.partition.strictEngines)-partitionHysteresis {
		p.partition.strictEngines = int(want + 0.5)
	}
}

// hasStrictClasses reports whether any class of the pool is strict.
func (b *Placer) hasStrictClasses(p *pool) bool {
	for class := range b.strictClasses {
		if b.classPools[class] == p.Name {
			return true
		}
	}
	return false
}

// partitionCost returns the cost of an engine outside the partition of the request's class. An engine of the
// strict partition costs nothing if its pending prefill and that of the request fit its prefill budget.
func (b *Placer) partitionCost(p *pool, index int, e *endpoint, l load, r *annotatedRequest, prefill int) float64 {
	inStrict := index < p.partition.strictEngines
	if p.partition.strictEngines == 0 || inStrict == r.strict ||
		(inStrict && float64(l.pendingPrefill+prefill) <= b.prefillBudget(e, p)) {
		return 0
	}
	return partitionWeight
}

// minProtectedStreams is the number of strict streams from which an engine is kept free of long prefills.
const minProtectedStreams = 2

// delaysStrictStreams reports whether the prefill would make strict streams exceed their inter-token target.
func (b *Placer) delaysStrictStreams(p *pool, e *endpoint, l load, r *annotatedRequest, prefill int) bool {
	return !r.strict && l.strict >= minProtectedStreams && float64(l.pendingPrefill+prefill) > b.prefillBudget(e, p)
}

// streamsSaturated reports whether an engine has so many streams that further prefills would slow them down too
// much. Requests of strict classes are exempt.
func streamsSaturated(e *endpoint, l load, r *annotatedRequest) bool {
	return !r.strict && float64(l.streams) >= maxStreamFraction*float64(e.Slots)
}

// preferredEngine returns the engine that should prefill a prompt's shared parts if no engine has them. All
// daemons compute the same engine without communication, which avoids prefill of a new part on several engines
// at once. The engine belongs to the partition of the request's class.
func (p *pool) preferredEngine(r *annotatedRequest) *endpoint {
	key, ok := r.Chain.sharedPrefixKey()
	if !ok {
		return nil
	}
	first, last := p.engineRange(r.strict)
	var preferred *endpoint
	var weight uint64
	for _, e := range p.endpoints[first:last] {
		if w := rendezvous.Weight(rendezvous.Hash(key), rendezvous.Hash(e.hash)); preferred == nil || w > weight {
			preferred, weight = e, w
		}
	}
	return preferred
}

// engineRange returns the index range [first, last) of the engines in a partition.
func (p *pool) engineRange(strict bool) (first, last int) {
	switch {
	case p.partition.strictEngines == 0:
		return 0, len(p.endpoints)
	case strict:
		return 0, min(p.partition.strictEngines, len(p.endpoints))
	}
	return min(p.partition.strictEngines, len(p.endpoints)), len(p.endpoints)
}

// prefillBudget returns the number of tokens that an engine can prefill without making strict streams exceed
// their inter-token target.
func (b *Placer) prefillBudget(e *endpoint, p *pool) float64 {
	return max(e.prefillSpeed(p)*prefillGapFraction*float64(p.strictGap)/float64(time.Millisecond), 1)
}
