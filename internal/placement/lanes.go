package placement

import (
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/traffic"
)

const (
	// strictRatio separates classes by their pauses: those within this factor of the shortest are strict.
	strictRatio = 1.3
	// strictFactor is how much more room the strict lane gets than its share of the work, so that prompts
	// rarely meet on one of its engines.
	strictFactor = 1.4
	// laneInterval is the time between two adjustments of the lanes.
	laneInterval = 250 * time.Millisecond
	// laneStep is the part of an engine by which the wanted size must differ from the present one.
	laneStep = 0.7
	// gapShare is the part of a pause target that reading prompts may take without breaking it.
	gapShare = 0.15
)

// lanes splits a pool's engines: the first ones serve classes with strict pauses, the others long prompts.
// Reading a long prompt delays all streams of its engine beyond a strict pause.
type lanes struct {
	// strict is the number of engines of the strict lane; 0 means that the pool is not split.
	strict int
	at     time.Time
}

// strictClasses returns the hashes of the classes with the shortest pauses when others allow clearly longer
// ones, and the shortest pause.
func strictClasses(t *traffic.Table) (strict map[uint32]bool, shortest time.Duration) {
	var longest time.Duration
	for i := range t.Routes {
		if gap := t.Routes[i].Gap; t.Routes[i].Stream && gap > 0 {
			if shortest == 0 || gap < shortest {
				shortest = gap
			}
			longest = max(longest, gap)
		}
	}
	strict = map[uint32]bool{}
	bound := time.Duration(strictRatio * float64(shortest))
	if longest <= bound {
		return strict, shortest
	}
	for i := range t.Routes {
		if r := &t.Routes[i]; r.Stream && r.Gap > 0 && r.Gap <= bound {
			strict[HashClass(r.Class)] = true
		}
	}
	return strict, shortest
}

// updateLanes follows the recent load of the classes. It answers bursts of one class: within a second or
// two the lane of that class grows.
func (b *Board) updateLanes(now time.Time, p *pool) {
	if p.Engine == nil || now.Sub(p.lanes.at) < laneInterval {
		return
	}
	p.lanes.at = now
	n := len(p.endpoints)
	if n < 2 || len(b.strict) == 0 {
		p.lanes.strict = 0
		return
	}
	var strict, other float64
	for class, d := range b.demand.total(now) {
		if b.strict[class] {
			strict += d.work()
		} else {
			other += d.work()
		}
	}
	if strict+other == 0 {
		p.lanes.strict = max(1, n/3)
		return
	}
	want := float64(n) * strictFactor * strict / (strictFactor*strict + other)
	want = min(max(want, 1), float64(n-1))
	if p.lanes.strict == 0 || want > float64(p.lanes.strict)+laneStep || want < float64(p.lanes.strict)-laneStep {
		p.lanes.strict = int(want + 0.5)
	}
}

// laneCost is the expected loss for leaving the lane of a class.
func (b *Board) laneCost(p *pool, index int, e *endpoint, l load, r *candidate, read int) float64 {
	inStrict := index < p.lanes.strict
	if p.lanes.strict == 0 || inStrict == r.strict || (inStrict && float64(l.unread+read) <= b.readBudget(e, p)) {
		return 0
	}
	return laneWeight
}

// minDisturbed is the number of strict streams from which an engine is kept free of long prompts.
const minDisturbed = 2

// disturbs says whether reading a prompt would break the pauses of strict streams.
func (b *Board) disturbs(p *pool, e *endpoint, l load, r *candidate, read int) bool {
	return !r.strict && l.strict >= minDisturbed && float64(l.unread+read) > b.readBudget(e, p)
}

// crowded says whether an engine has so many streams that further prompts slow them beyond use.
func crowded(e *endpoint, l load, r *candidate) bool {
	return !r.strict && float64(l.streams) >= crowdedShare*float64(e.Slots)
}

// home returns the engine that reads a prompt's shared parts first. All daemons agree on it without asking
// each other, so that a part that nobody has yet is not read by several engines at once. The home lies in
// the lane of the request's class.
func (p *pool) home(r *candidate) *endpoint {
	key, ok := r.Chain.sharedKey()
	if !ok {
		return nil
	}
	first, last := p.lane(r.strict)
	var home *endpoint
	var weight uint64
	for _, e := range p.endpoints[first:last] {
		if w := rendezvous.Weight(rendezvous.Hash(key), rendezvous.Hash(e.hash)); home == nil || w > weight {
			home, weight = e, w
		}
	}
	return home
}

// lane returns the range of the engines of a lane.
func (p *pool) lane(strict bool) (first, last int) {
	switch {
	case p.lanes.strict == 0:
		return 0, len(p.endpoints)
	case strict:
		return 0, min(p.lanes.strict, len(p.endpoints))
	}
	return min(p.lanes.strict, len(p.endpoints)), len(p.endpoints)
}

// readBudget is the number of tokens that an engine reads in the part of a strict pause that may be used.
func (b *Board) readBudget(e *endpoint, p *pool) float64 {
	return max(e.readingSpeed(p)*gapShare*float64(b.demand.strictGap)/float64(time.Millisecond), 1)
}
