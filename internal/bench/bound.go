package bench

import (
	"cmp"
	"slices"
	"time"
)

// piece is the work and value of one call for the bound.
type piece struct {
	class  int
	phase  int
	cost   float64
	tokens float64
}

// bound returns an analytic upper bound for the good tokens of a seed's arrivals, for a policy
// that knows all lengths and loads. It relaxes the problem in these ways: engines always run full
// batches at the largest size that meets the class's target between tokens, all shared prefixes
// are cached, work is divisible, and no engine is ever down or slow.
//
// What remains are limits on engine time, see limits. The sets of calls that they apply to are
// nested or disjoint, so that the greedy choice by tokens per engine second is optimal.
func bound(dep deployment, sc scenario, seed uint64) float64 {
	var pieces []piece
	for i := range dep.classes {
		spec := &dep.classes[i]
		src := newSource(&dep, sc.shape, i, seed)
		for c := src.next(); c != nil; c = src.next() {
			shared := sc.shape.prefixBlocks * blockTokens
			pieces = append(pieces, piece{
				class:  i,
				phase:  sc.shape.phase(c.arrival),
				cost:   dep.model.cost(spec.BetweenTokens, float64(c.prompt-shared), float64(c.output)),
				tokens: float64(c.output),
			})
		}
	}
	l := newLimits(dep, sc.shape, pieces)
	slices.SortStableFunc(pieces, func(a, b piece) int {
		return cmp.Compare(b.tokens/b.cost, a.tokens/a.cost)
	})
	total := 0.0
	for _, p := range pieces {
		total += p.tokens / p.cost * l.take(p)
	}
	return total
}

// phases of a scenario: before, during and after its burst.
const phases = 3

func (s shape) phase(t time.Duration) int {
	switch {
	case t < s.burstFrom:
		return 0
	case t < s.burstTo:
		return 1
	}
	return 2
}

func (s shape) phaseLength(phase int) time.Duration {
	return [phases]time.Duration{s.burstFrom, s.burstTo - s.burstFrom, s.horizon - s.burstTo}[phase]
}

// limits are the engine time left for sets of calls. Calls of a phase whose class has a target for
// the first token must have started at the end of the phase plus that target. What then remains
// of them fits in the slots of the engines, which is at most the longest answers of the phase.
type limits struct {
	// class is by class and phase, start by phase for all classes with a target for the first
	// token, and all for all calls.
	class [][phases]float64
	start [phases]float64
	all   float64
	// starts says which classes have a target for the first token.
	starts []bool
}

func newLimits(dep deployment, sh shape, pieces []piece) *limits {
	l := &limits{}
	var latest, longest time.Duration
	for i := range dep.classes {
		spec := &dep.classes[i]
		l.starts = append(l.starts, spec.FirstToken > 0)
		latest = max(latest, spec.FirstToken)
		longest = max(longest, spec.patienceTotal)
		l.class = append(l.class, [phases]float64{})
		for phase := range phases {
			l.class[i][phase] = limit(dep, sh.phaseLength(phase)+spec.FirstToken, pieces, func(p piece) bool {
				return p.class == i && p.phase == phase
			})
		}
	}
	for phase := range phases {
		l.start[phase] = limit(dep, sh.phaseLength(phase)+latest, pieces, func(p piece) bool {
			return l.starts[p.class] && p.phase == phase
		})
	}
	l.all = float64(dep.engines) * (sh.horizon + longest).Seconds()
	return l
}

// limit is the engine time of a period and of the longest answers that fill all slots after it.
func limit(dep deployment, period time.Duration, pieces []piece, match func(piece) bool) float64 {
	var costs []float64
	for _, p := range pieces {
		if match(p) {
			costs = append(costs, p.cost)
		}
	}
	slices.Sort(costs)
	rest := 0.0
	for _, c := range costs[max(0, len(costs)-dep.engines*dep.model.batch):] {
		rest += c
	}
	return float64(dep.engines)*period.Seconds() + rest
}

// take returns how much of the piece's engine time fits, and uses it.
func (l *limits) take(p piece) float64 {
	room := min(p.cost, l.all)
	if l.starts[p.class] {
		room = min(room, l.class[p.class][p.phase], l.start[p.phase])
		l.class[p.class][p.phase] -= room
		l.start[p.phase] -= room
	}
	l.all -= room
	return room
}
