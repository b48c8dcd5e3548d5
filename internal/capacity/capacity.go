// Package capacity decides how many endpoints a pool of inference engines needs, in which availability zones and of which
// kind. It does no I/O and reads no clock: callers pass the time, the observed load and the results of their orders.
//
// The demand of the classes determines the number of engines (need.go). The prices determine the zones and kinds, within
// the limits that a loss of all spot endpoints of one zone sets (allocate.go). A Planner moves from the present numbers to
// that allocation (moves.go): upward at once, downward in steps and only while enough endpoints serve.
package capacity

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// Endpoint is a registered endpoint of the pool.
type Endpoint struct {
	Zone string
	Spot bool
	// Draining is set if the endpoint accepts no new requests because it is leaving.
	Draining bool
	// Failing is set if the endpoint is registered but cannot be reached.
	Failing bool
	// Speed is the endpoint's speed relative to the others.
	Speed float64
}

// Class is the load of a class, refused requests included.
type Class struct {
	Name string
	// Tier is the priority; 0 is the highest.
	Tier int
	// FirstByte and EventGap are the targets of the class; zero means that there is none.
	FirstByte, EventGap time.Duration
	// Requests, Prefill and Decode are the requests, the unshared prompt tokens and the output tokens per second.
	Requests, Prefill, Decode float64
}

// Input is what is known about a pool.
type Input struct {
	Pool      traffic.Pool
	Endpoints []Endpoint
	Classes   []Class
	// HalfLife is the time in which the weight of past requests in Classes halves; zero if the rates are not smoothed.
	HalfLife time.Duration
	// Streams is the number of requests in progress, and PendingPrefill the number of prompt tokens that wait for prefill.
	Streams, PendingPrefill int
	// Refused is the fraction of requests of the least urgent classes that have been refused lately.
	Refused float64
	// PrefillSpeed is the measured prefill speed of one engine in tokens per second; 0 if it has not been measured.
	PrefillSpeed float64
	// Age is the time since the last load report of the daemons that have become silent; zero if all report.
	Age time.Duration
}

// kind identifies the endpoints that are counted together in an order.
type kind struct {
	zone string
	spot bool
}

// kindState is the state of one kind of endpoints.
type kindState struct {
	// ordered is the number in the last accepted order, or the largest registered number if there has been none.
	ordered  int
	accepted bool
	// initial is the largest registered number before the first accepted order.
	initial int
	// registered counts the endpoints that are not draining, serving those that can be reached as well.
	registered, serving, draining int
	// raisedAt is the time of the last accepted order of more endpoints.
	raisedAt time.Time
	// lowered is the number of endpoints that recent orders have removed, the last of them at loweredAt.
	lowered   int
	loweredAt time.Time
	// shortSince is when fewer than the ordered endpoints began to serve, and excessSince when more were registered.
	shortSince, excessSince time.Time
	// blockedUntil is when the platform may have endpoints of this kind again, and block the last time limit.
	blockedUntil time.Time
	block        time.Duration
}

// available returns the number of endpoints that serve and that no accepted order removes.
func (s *kindState) available() int { return min(s.serving, s.ordered) }

// Planner plans the number of endpoints of one pool during one term of a holder. It is not safe for concurrent use.
type Planner struct {
	opts  Options
	pool  traffic.Pool
	kinds map[kind]*kindState
	load  loadHistory
	// started is the time of the first Plan, and changedAt that of the last change of the number of registered endpoints.
	started, changedAt time.Time
	registered         int
	// stable is set when that number has been stable for the first time in the term.
	stable bool
	// disturbedAt is when endpoints were last found missing that no order had removed.
	disturbedAt time.Time
	lowerAt     time.Time
	// goal, onDemand and survivors are the parts of the requirement with hysteresis.
	goal, onDemand, survivors steadyCount
	decision                  Decision
}

// Decision describes the result of the last Plan, for logs and metrics.
type Decision struct {
	// Reason says what determined the orders.
	Reason Reason
	// Need is the requirement for the present load.
	Need Need
	// Goal is the number of endpoints that the plan leads to.
	Goal int
	// Desired and Running hold the numbers of endpoints that are ordered and that serve.
	Desired, Running []Count
	// Lost is the number of ordered endpoints that do not serve although they should.
	Lost int
}

// Count is a number of endpoints of one kind.
type Count struct {
	Zone  string
	Spot  bool
	Count int
}

// Reason says what determined the orders.
type Reason string

// The reasons of a decision.
const (
	ReasonSettling  Reason = "settling"  // the registered endpoints are not known long enough
	ReasonUnseen    Reason = "unseen"    // no load has been seen long enough; the capacity is kept
	ReasonLoad      Reason = "load"      // the load determines the number
	ReasonStale     Reason = "stale"     // the load reports are old; nothing is lowered
	ReasonDisturbed Reason = "disturbed" // endpoints are missing; nothing is lowered
)

// New returns a Planner without knowledge of a pool. Zero options have their defaults.
func New(o Options) *Planner {
	o.setDefaults()
	return &Planner{opts: o, kinds: map[kind]*kindState{}}
}

// Plan returns the orders to make now: those that differ from the numbers accepted last. The orders that raise a number
// come first. A pool without Scaling gets none.
func (p *Planner) Plan(now time.Time, in Input) []platform.ScaleOrder {
	if in.Pool.Scaling == nil || in.Pool.Engine == nil {
		return nil
	}
	p.pool = in.Pool
	p.observe(now, in)
	need := p.load.observe(now, in, &p.opts)
	p.decision = Decision{Need: need, Lost: p.lost(now)}
	if !p.settled(now) {
		p.decision.Reason = ReasonSettling
		p.describe()
		return nil
	}
	seen := p.load.seen(now)
	if !seen {
		need = p.unseenNeed(need)
	}
	onDemand, survivors := p.onDemand.follow(need.OnDemand), p.survivors.follow(need.Survivors)
	goal := max(p.goal.follow(need.Engines), p.withSpread(onDemand, survivors))
	target := p.allocate(now, goal+p.replacements(goal), onDemand, survivors)
	p.decision.Goal = goal
	p.decision.Reason = p.reason(now, in, seen)
	orders := p.raises(now, target, seen)
	if p.mayLower(now, in) {
		orders = append(orders, p.lowers(target, goal)...)
	}
	p.describe()
	return orders
}

// unseenNeed returns the requirement before the load is known: the capacity that the term began with, or more. Spot endpoints
// may replace on-demand ones meanwhile. Endpoints that were down at the start of the term count when they are back.
func (p *Planner) unseenNeed(need Need) Need {
	initial := 0
	for _, s := range p.kinds {
		initial += s.initial
	}
	engines := max(need.Engines, initial)
	return Need{
		Engines: engines, OnDemand: max(need.OnDemand, ceil(unseenOnDemandShare*float64(engines))),
		Survivors: max(need.Survivors, ceil(unseenSurvivorShare*float64(engines))),
	}
}

func (p *Planner) reason(now time.Time, in Input, seen bool) Reason {
	switch {
	case in.Age > maxReportAge:
		return ReasonStale
	case p.disturbed(now):
		return ReasonDisturbed
	case !seen:
		return ReasonUnseen
	}
	return ReasonLoad
}

// Result records the outcome of an order. A kind that the platform has no endpoints of is not ordered again for a time. An
// order with an unknown outcome is repeated by the next Plan unless the plan has changed: its number is absolute.
func (p *Planner) Result(now time.Time, o platform.ScaleOrder, err error) {
	s := p.state(kind{o.Zone, o.Spot})
	change := o.Desired - s.ordered
	if err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
		if change < 0 {
			if now.Sub(s.loweredAt) > loweredRetention {
				s.lowered = 0
			}
			s.lowered, s.loweredAt, p.lowerAt = s.lowered-change, now, now
		}
	}
	switch {
	case err == nil:
		if change > 0 {
			s.raisedAt = now
		}
		s.ordered, s.accepted, s.block = o.Desired, true, 0
	case errors.Is(err, platform.ErrNoEndpoints):
		s.block = min(max(2*s.block, minBlock), maxBlock)
		s.blockedUntil = now.Add(s.block)
	}
}

// Decision returns the result of the last Plan.
func (p *Planner) Decision() Decision { return p.decision }

func (p *Planner) state(k kind) *kindState {
	s := p.kinds[k]
	if s == nil {
		s = &kindState{}
		p.kinds[k] = s
	}
	return s
}

// sortedKinds returns the kinds in a fixed order.
func (p *Planner) sortedKinds() []kind {
	kinds := make([]kind, 0, len(p.kinds))
	for k := range p.kinds {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b kind) int {
		if a.zone == b.zone && a.spot != b.spot {
			if a.spot {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.zone, b.zone)
	})
	return kinds
}

// describe fills in the numbers of the decision.
func (p *Planner) describe() {
	for _, k := range p.sortedKinds() {
		s := p.kinds[k]
		p.decision.Desired = append(p.decision.Desired, Count{k.zone, k.spot, s.ordered})
		p.decision.Running = append(p.decision.Running, Count{k.zone, k.spot, s.serving})
	}
}
