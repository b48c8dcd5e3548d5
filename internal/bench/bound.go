package bench

import (
	"cmp"
	"slices"
	"time"
)

// piece is the work and value of one call for the bound.
type piece struct {
	arrival  time.Duration
	lifetime time.Duration
	cost     float64
	tokens   float64
}

// bound returns an analytic upper bound for the good tokens of a seed's arrivals, for a policy
// that knows all lengths and loads. It relaxes the problem in these ways: engines always run full
// batches at the largest size that meets the class's target between tokens, all shared prefixes
// are cached, work is divisible, it may run anywhere between the arrival and the latest end that
// its targets allow, and no engine is ever down or slow.
//
// What remains are limits on engine time, see levels. The bound is loose by about a half in
// bursts that are several times the capacity.
func bound(dep deployment, sc scenario, seed uint64) float64 {
	var pieces []piece
	for i := range dep.classes {
		spec := &dep.classes[i]
		src := newSource(&dep, sc.shape, i, seed)
		for c := src.next(); c != nil; c = src.next() {
			shared := sc.shape.prefixBlocks * blockTokens
			pieces = append(pieces, piece{
				arrival:  c.arrival,
				lifetime: lifetime(c),
				cost:     dep.model.cost(spec.BetweenTokens, float64(c.prompt-shared), float64(c.output)),
				tokens:   float64(c.output),
			})
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int {
		return cmp.Compare(b.tokens/b.cost, a.tokens/a.cost)
	})
	total := 0.0
	limits := newLevels(float64(dep.engines), sc.shape.horizon)
	for _, p := range pieces {
		total += p.tokens / p.cost * limits.take(p)
	}
	return total
}

// lifetime is the time from the arrival to the latest end that meets the targets.
func lifetime(c *call) time.Duration {
	if c.class.Total > 0 {
		return c.class.Total
	}
	return c.class.FirstToken + time.Duration(c.output)*c.class.BetweenTokens
}

// levels limit engine time: the work that arrives in a window and lives no longer than the
// level's lifetime must run within the window and that lifetime. Lifetimes and windows double
// from level to level, so that these sets are nested. For nested sets the greedy choice, by
// tokens per engine second, is optimal.
type levels struct {
	engines float64
	horizon time.Duration
	room    []map[int]float64
}

// shortestLifetime is the lifetime of the first level.
const shortestLifetime = 2 * time.Second

func newLevels(engines float64, horizon time.Duration) *levels {
	return &levels{engines: engines, horizon: horizon}
}

// take returns how much of the piece's engine time fits, and uses it.
func (l *levels) take(p piece) float64 {
	first := 0
	for level(first) < p.lifetime {
		first++
	}
	last := max(first, l.lastLevel())
	for len(l.room) <= last {
		l.room = append(l.room, map[int]float64{})
	}
	got := p.cost
	for j := first; j <= last; j++ {
		w := int(p.arrival / (2 * level(j)))
		room, ok := l.room[j][w]
		if !ok {
			room = l.engines * (min(2*level(j), l.horizon) + level(j)).Seconds()
			l.room[j][w] = room
		}
		got = min(got, room)
	}
	for j := first; j <= last; j++ {
		l.room[j][int(p.arrival/(2*level(j)))] -= got
	}
	return got
}

func level(j int) time.Duration { return shortestLifetime << j }

// lastLevel is the first level whose window covers all arrivals.
func (l *levels) lastLevel() int {
	j := 0
	for 2*level(j) < l.horizon {
		j++
	}
	return j
}
