package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chivewind/chivewind/traffic"
)

// CostParts are the parts of Choice.Cost. Parts that do not apply are 0.
type CostParts struct {
	// Failures is for recent failures, Zone for another availability zone, and Unresponsive for requests without progress.
	Failures, Zone, Unresponsive float64
	// Transfer is for copying cached prompt parts, and Recompute for prefilling shared ones again.
	Transfer, Recompute float64
	// Queue and TieBreak apply to plain services.
	Queue, TieBreak float64
	// Lateness is for the expected wait, Occupancy for the requests in progress, and Partition for the other partition.
	Lateness, Occupancy, Partition float64
	// Interference is for delaying strict streams, and Saturation for too many streams or too little memory.
	Interference, Saturation float64
}

// Sum returns the cost.
func (p *CostParts) Sum() float64 {
	return p.Failures + p.Zone + p.Unresponsive + p.Transfer + p.Recompute + p.Queue + p.TieBreak + p.Lateness +
		p.Occupancy + p.Partition + p.Interference + p.Saturation
}

// Exclusion says why an endpoint is no candidate for a request.
type Exclusion string

// The exclusions of an endpoint.
const (
	// ExcludedDraining: the endpoint accepts no new requests.
	ExcludedDraining Exclusion = "draining"
	// ExcludedLeaving: the endpoint has said that it is leaving.
	ExcludedLeaving Exclusion = "leaving"
	// ExcludedPaused: the endpoint is in Request.Avoid, because it asked for a pause.
	ExcludedPaused Exclusion = "pause"
	// ExcludedBackOff: the endpoint could not be reached lately.
	ExcludedBackOff Exclusion = "back-off"
	// ExcludedProbing: the first request after a back-off is in progress.
	ExcludedProbing Exclusion = "probe in progress"
	// ExcludedPace: the endpoint has as many requests as its pace allows.
	ExcludedPace Exclusion = "pace"
	// ExcludedMemory: the engine may not have memory for the request.
	ExcludedMemory Exclusion = "memory"
)

// Explained is an endpoint of a pool as the decision on a request saw it.
type Explained struct {
	Endpoint traffic.Endpoint
	// Choice, Parts and InTime are set for candidates. WaitLimit is the longest expected wait with which the request is
	// admitted there; 0 for no limit.
	Choice    Choice
	Parts     CostParts
	InTime    bool
	WaitLimit time.Duration
	// Exclusion is empty for candidates. Until is the end of a back-off or pause, or zero.
	Exclusion Exclusion
	Until     time.Time
	// Requests is the number of requests in progress from all daemons, PendingPrefill their prompt tokens that wait for
	// prefill, and HeldTokens the memory that they are known to hold.
	Requests, PendingPrefill, HeldTokens int
	// Pace is the limit on requests in progress of an endpoint that has just started or recovered; 0 for none.
	Pace int
}

// Explanation is a decision of Choose with what it was based on.
type Explanation struct {
	Choice  Choice
	Refusal *Refusal
	// Candidates are in the order of preference, and Excluded in the order of the pool.
	Candidates, Excluded []*Explained
	// MemoryTokens is the memory of each engine; 0 if it is unknown or the pool has plain services.
	MemoryTokens int
}

// trace records the endpoints that choose scores, by their index in the pool.
type trace struct {
	scored   []Explained
	isScored []bool
}

func (t *trace) add(index int, c Choice, parts CostParts, limit waitLimit, inTime bool) {
	t.isScored[index] = true
	x := &t.scored[index]
	*x = Explained{Choice: c, Parts: parts, InTime: inTime}
	if limit.isSet() {
		x.WaitLimit = limit.of(c)
	}
}

// Explain returns the decision that Choose would make now, without any effect on later ones.
func (b *Placer) Explain(now time.Time, poolName string, r *Request) Explanation {
	p := b.pools[poolName]
	if p == nil {
		_, refusal := b.Choose(now, poolName, r)
		return Explanation{Refusal: refusal}
	}
	dry := b.dryCopy(now, p, r)
	p = dry.pools[poolName]
	t := &trace{scored: make([]Explained, len(p.endpoints)), isScored: make([]bool, len(p.endpoints))}
	var x Explanation
	x.Choice, x.Refusal = dry.choose(now, poolName, r, t)
	if p.Engine != nil {
		x.MemoryTokens = p.Engine.CacheTokens
	}
	for i, e := range p.endpoints {
		known := &t.scored[i]
		dry.describe(e, known)
		if t.isScored[i] {
			x.Candidates = append(x.Candidates, known)
			continue
		}
		known.Exclusion, known.Until = dry.exclusion(now, p, e, r)
		x.Excluded = append(x.Excluded, known)
	}
	for _, hash := range p.closed {
		e, known := b.byHash[hash], &Explained{Exclusion: ExcludedDraining}
		if e == nil {
			continue
		}
		if _, leaving := b.leaving[hash]; leaving {
			known.Exclusion = ExcludedLeaving
		}
		dry.describe(e, known)
		x.Excluded = append(x.Excluded, known)
	}
	slices.SortStableFunc(x.Candidates, func(a, b *Explained) int {
		if a.InTime != b.InTime {
			if a.InTime {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Choice.Cost, b.Choice.Cost)
	})
	return x
}

// describe fills in the endpoint and its load.
func (b *Placer) describe(e *endpoint, x *Explained) {
	l := e.load()
	x.Endpoint, x.Requests, x.PendingPrefill, x.HeldTokens = e.Endpoint, l.streams, l.pendingPrefill, e.memory.tokens
	if b.pacer != nil {
		if known := b.pacer.paces[e.hash]; known != nil {
			x.Pace = int(known.limit)
		}
	}
}

// exclusion returns why choose did not score an endpoint that accepts requests.
func (b *Placer) exclusion(now time.Time, p *pool, e *endpoint, r *Request) (Exclusion, time.Time) {
	switch {
	case slices.Contains(r.Avoid, e.hash):
		if known := b.pauses[e.hash]; known != nil && now.Before(known.until) {
			return ExcludedPaused, known.until
		}
		return ExcludedPaused, time.Time{}
	case now.Before(e.health.downUntil):
		return ExcludedBackOff, e.health.downUntil
	case b.usable(now, p, e):
		return ExcludedMemory, time.Time{}
	case b.pacer != nil:
		return ExcludedPace, time.Time{}
	}
	return ExcludedProbing, time.Time{}
}

// dryCopy returns a copy of the placer for one decision on a request to a pool. It copies whatever choose changes, and
// shares the rest with the original. The copy is bounded by the endpoints of the pool and the classes of the table.
func (b *Placer) dryCopy(now time.Time, p *pool, r *Request) *Placer {
	dry := *b
	dry.dryRun = true
	poolCopy := *p
	if p.shares != nil {
		poolCopy.shares = p.shares.dryCopy(now, r)
	}
	dry.pools = map[string]*pool{p.Name: &poolCopy}
	dry.classes = maps.Clone(b.classes)
	demandCopy := *b.demand
	demandCopy.own = make(map[uint32]*decayingDemand, len(b.demand.own))
	for class, d := range b.demand.own {
		own := *d
		demandCopy.own[class] = &own
	}
	dry.demand = &demandCopy
	if b.pacer != nil {
		dry.pacer = &pacer{paces: make(map[uint32]*pace, len(b.pacer.paces))}
		for hash, known := range b.pacer.paces {
			limit := *known
			dry.pacer.paces[hash] = &limit
		}
	}
	return &dry
}

// dryCopy returns a copy of the shares that holds only what the decision on a request uses, so that it does not grow with
// the number of workspaces.
func (s *fairShares) dryCopy(now time.Time, r *Request) *fairShares {
	dry := *s
	dry.workspaces, dry.list, dry.scratch, dry.classes = map[uint32]*shareUsage{}, nil, nil, map[uint32]*shareUsage{}
	if known := s.workspaces[r.Workspace]; known != nil {
		usage := *known
		dry.workspaces[r.Workspace] = &usage
	}
	if known := s.classes[r.Class]; known != nil {
		usage := *known
		dry.classes[r.Class] = &usage
	}
	dry.refused.requests, dry.refused.order, dry.refused.oldest = map[uint64]*refusedRequest{}, nil, 0
	if key, ok := r.Chain.claimKey(); ok && s.refused.requests[key] != nil {
		refused := *s.refused.requests[key]
		dry.refused.requests[key] = &refused
	}
	// New shares would only count for later requests.
	dry.computed = now
	return &dry
}
