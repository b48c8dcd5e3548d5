package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The decisions in this file respond to workspaces that contend for a pool of engines. While the pool refuses requests or
// would answer them late, each workspace's admitted work is bounded by its max-min fair share of what the pool admits. Work
// is measured in prompt tokens to prefill plus decodeCost for each output token.

const (
	// shareTiers is the number of tiers that are distinguished; less urgent ones count as the last.
	shareTiers = 3
	// shareHalfLife is the time in which the weight of past work halves.
	shareHalfLife = 2 * time.Second
	// shareInterval is the time between two computations of the shares. Only workspaces with requests in the last
	// shareRetention are part of one, so that each request costs a bounded number of steps.
	shareInterval  = 250 * time.Millisecond
	shareRetention = 10 * time.Second
	// maxShareWorkspaces bounds the tracked workspaces of a pool. Requests of others are not bounded by a share.
	maxShareWorkspaces = 10000
	// tightFraction is the fraction of recent requests that the pool cannot serve in time from which it is scarce. Shares
	// are then computed from the admitted work; otherwise they grow by shareGrowth, so that unused capacity goes to those
	// who ask for it. tightHalfLife is the time in which the weight of past requests halves.
	tightFraction = 0.04
	tightHalfLife = time.Second
	shareGrowth   = 1.1
	// scarcityHold is the time for which shares stay in force after the last sign of scarcity. The refusals of workspaces
	// above their share prevent further signs, which does not mean that the scarcity has ended.
	scarcityHold = 3 * time.Second
	// aboveShareFraction is the multiple of its share from which a workspace is refused first. The work of a workspace with
	// few requests varies around its share.
	aboveShareFraction = 1.2
	// pressedWaitFraction is the fraction of the wait limit, pressedStreams that of the slots, and pressedMemory that of the
	// memory, from which an engine has no capacity left for a workspace above its share. They are slightly below the limits
	// for others, so that the workspace uses what the others leave.
	pressedWaitFraction = 0.8
	pressedStreams      = 0.55
	pressedMemory       = 0.8
	// impatientWaitFraction is the same for a request that has returned early maxEarlyReturns times or more: it is placed
	// only when others leave clearly more, because so many tries find each short gap.
	impatientWaitFraction = 0.4
	// minServedFraction is the fraction of the pool's served share of requests below which no workspace's share may fall.
	// Users require a quarter.
	minServedFraction = 0.5
	// minServedSample is the number of recent requests of a workspace from which its served share is judged.
	minServedSample = 3.0
	// maxUrgentRefusals is the fraction of a class's requests that may be refused for shares if it is not of the lowest
	// priority. Users require that a class is served at most 5 in 100 less often than a less urgent one.
	maxUrgentRefusals = 0.04
)

// HashWorkspace returns the hash that identifies a workspace in place requests, or 0 for no workspace.
func HashWorkspace(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// SetFairShares switches the fair shares of workspaces on or off. It must be called before SetTable.
func (b *Placer) SetFairShares(on bool) { b.fairShares = on }

// servedCount counts requests and how many of them were admitted.
type servedCount struct {
	offered, admitted float64
}

func (c servedCount) share() float64 {
	if c.offered == 0 {
		return 1
	}
	return c.admitted / c.offered
}

// shareUsage is the recent work of a workspace by tier.
type shareUsage struct {
	workspace uint32
	updated   time.Time
	// lastRequest is the time of the last request.
	lastRequest       time.Time
	offered, admitted [shareTiers]float64
	counts            [shareTiers]servedCount
}

func (u *shareUsage) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(u.updated)) / float64(shareHalfLife))
	for t := range shareTiers {
		u.offered[t] *= factor
		u.admitted[t] *= factor
		u.counts[t].offered *= factor
		u.counts[t].admitted *= factor
	}
	u.updated = now
}

// upTo returns the work in tiers up to the given one, which is what competes with a request of that tier.
func upTo(work *[shareTiers]float64, tier int) (sum float64) {
	for t := range tier + 1 {
		sum += work[t]
	}
	return sum
}

// standing is the position of a workspace relative to its share.
type standing uint8

const (
	withinShare standing = iota
	aboveShare
)

// fairShares holds the shares of one pool's workspaces.
type fairShares struct {
	workspaces map[uint32]*shareUsage
	// list holds the same workspaces without order, and scratch the offered work of one tier during a computation: slices
	// are several times as fast as the map.
	list    []*shareUsage
	scratch []float64
	// total is the work of all workspaces, and classes holds the counts of each class.
	total   shareUsage
	classes map[uint32]*shareUsage
	// levels holds, by tier, the largest admitted work of a workspace. It is infinite without scarcity.
	levels      [shareTiers]float64
	computed    time.Time
	scarceUntil time.Time
	// tight and decided are the decayed numbers of requests that the pool could not serve in time, and of all.
	tight, decided float64
	observed       time.Time
	refused        returnQueue
}

func newFairShares() *fairShares {
	s := &fairShares{workspaces: map[uint32]*shareUsage{}, classes: map[uint32]*shareUsage{}, refused: newReturnQueue()}
	s.unlimited()
	return s
}

func (s *fairShares) unlimited() {
	for t := range s.levels {
		s.levels[t] = math.Inf(1)
	}
}

func shareTier(r *Request) int { return min(max(r.Tier, 0), shareTiers-1) }

// usage returns the usage of a workspace, or nil if there are too many workspaces.
func (s *fairShares) usage(now time.Time, workspace uint32) *shareUsage {
	u := s.workspaces[workspace]
	if u == nil {
		if len(s.workspaces) >= maxShareWorkspaces {
			return nil
		}
		u = &shareUsage{workspace: workspace, updated: now}
		s.workspaces[workspace] = u
		s.list = append(s.list, u)
	}
	return u
}

func (s *fairShares) class(now time.Time, class uint32) *shareUsage {
	c := s.classes[class]
	if c == nil {
		c = &shareUsage{updated: now}
		s.classes[class] = c
	}
	c.decay(now)
	return c
}

// offer records a request with its work, and returns the standing of its workspace. A request that was refused before is
// no new demand.
func (s *fairShares) offer(now time.Time, r *Request, work float64, repeated bool) standing {
	u := s.usage(now, r.Workspace)
	if u == nil {
		return withinShare
	}
	tier := shareTier(r)
	u.decay(now)
	s.total.decay(now)
	result := s.standing(u, tier)
	u.lastRequest = now
	if repeated {
		return result
	}
	for _, sum := range []*shareUsage{u, &s.total, s.class(now, r.Class)} {
		sum.offered[tier] += work
		sum.counts[tier].offered++
	}
	return result
}

func (s *fairShares) standing(u *shareUsage, tier int) standing {
	if upTo(&u.admitted, tier) <= aboveShareFraction*s.levels[tier] || s.isStarved(u, tier) {
		return withinShare
	}
	return aboveShare
}

// isStarved reports whether so few of a workspace's requests of a tier are admitted that its share does not count.
func (s *fairShares) isStarved(u *shareUsage, tier int) bool {
	count := u.counts[tier]
	return count.offered >= minServedSample && count.share() < minServedFraction*s.total.counts[tier].share()
}

// admit records that a request is admitted.
func (s *fairShares) admit(now time.Time, r *Request, work float64) {
	tier := shareTier(r)
	if u := s.workspaces[r.Workspace]; u != nil {
		for _, sum := range []*shareUsage{u, &s.total, s.class(now, r.Class)} {
			sum.admitted[tier] += work
			sum.counts[tier].admitted++
		}
	}
}

// observe records whether the pool could serve a request in time, and computes the shares if it is time.
func (s *fairShares) observe(now time.Time, tight bool) {
	factor := math.Exp2(-float64(now.Sub(s.observed)) / float64(tightHalfLife))
	s.observed, s.tight, s.decided = now, factor*s.tight, factor*s.decided+1
	if tight {
		s.tight++
	}
	if now.Sub(s.computed) >= shareInterval {
		s.compute(now)
	}
}

// compute forgets idle workspaces and computes the levels.
func (s *fairShares) compute(now time.Time) {
	s.computed = now
	isTight := s.tight > 1 && s.tight >= tightFraction*s.decided
	if isTight {
		s.scarceUntil = now.Add(scarcityHold)
	}
	s.list = slices.DeleteFunc(s.list, func(u *shareUsage) bool {
		idle := now.Sub(u.lastRequest) > shareRetention
		if idle {
			delete(s.workspaces, u.workspace)
		}
		return idle
	})
	for class, c := range s.classes {
		if now.Sub(c.updated) > shareRetention {
			delete(s.classes, class)
		}
	}
	switch {
	case !now.Before(s.scarceUntil):
		s.unlimited()
	case isTight:
		s.total.decay(now)
		for _, u := range s.list {
			u.decay(now)
		}
		for tier := range s.levels {
			s.levels[tier] = s.maxMinLevel(tier)
		}
	default:
		for tier := range s.levels {
			s.levels[tier] *= shareGrowth
		}
	}
}

// maxMinLevel returns the level at which the workspaces' offered work, each cut at the level, sums up to the admitted work
// of all. Each round raises the level by what the workspaces below it leave to the others.
func (s *fairShares) maxMinLevel(tier int) float64 {
	const maxRounds = 8
	s.scratch = s.scratch[:0]
	for _, u := range s.list {
		s.scratch = append(s.scratch, upTo(&u.offered, tier))
	}
	capacity, level := upTo(&s.total.admitted, tier), 0.0
	for range maxRounds {
		left, above := capacity, 0
		for _, offered := range s.scratch {
			if offered <= level {
				left -= offered
			} else {
				above++
			}
		}
		if above == 0 {
			return math.Inf(1)
		}
		next := max(left, 0) / float64(above)
		if next <= level*(1+1e-6) {
			break
		}
		level = next
	}
	return level
}

// mayRefuseUrgent reports whether a request of a class that is not of the lowest priority may be refused for its
// workspace's share.
func (s *fairShares) mayRefuseUrgent(now time.Time, r *Request) bool {
	c := s.class(now, r.Class).counts[shareTier(r)]
	return c.offered-c.admitted < maxUrgentRefusals*c.offered
}

// shareWork returns the work of a request on the chosen engine.
func shareWork(r *Request, c Choice) float64 {
	return float64(max(c.PrefillTokens, 0)) + decodeCost*float64(r.Output)
}

// admitFairly decides whether a request of a workspace is admitted to the best engine, given the limit of its wait. A
// workspace above its share is refused first: as soon as the engine has no capacity left for it.
func (b *Placer) admitFairly(now time.Time, p *pool, r *annotatedRequest, best Choice, limit waitLimit) *Refusal {
	s, work := p.shares, shareWork(r.Request, best)
	returned := s.refused.returns(now, r.Request)
	position := returned.adjust(s.offer(now, r.Request, work, returned != notRefused), now.Before(s.scarceUntil))
	late := r.FirstByte > 0 && best.Wait > p.latency.withoutMargin(time.Duration(maxWaitFraction*float64(r.FirstByte)))
	exceeded := limit.exceededBy(best) || (limit.isSet() && best.Full)
	s.observe(now, exceeded || (!limit.isSet() && late))
	refused := exceeded
	switch {
	case position == aboveShare && limit.isSet():
		refused = refused || b.pressed(p, r, best, limit, returned)
	case position == aboveShare:
		refused = late && s.mayRefuseUrgent(now, r.Request)
	}
	if limit.isSet() {
		p.refusals.record(now, refused)
	}
	if !refused {
		s.admit(now, r.Request, work)
		s.refused.admitted(now, r.Request)
		return nil
	}
	if position == aboveShare {
		// The workspace's excess takes the place of a request that the pool could not have served in time.
		s.scarceUntil = now.Add(scarcityHold)
	}
	reason := Overload
	switch {
	case !exceeded && position == aboveShare:
		reason = AboveShare
	case best.Full:
		reason = Full
	}
	excess := time.Duration(0)
	if limit.isSet() {
		excess = best.Wait - limit.of(best)
	}
	return &Refusal{Reason: reason, RetryAfter: s.refused.refuse(now, r.Request, excess)}
}

// observeNoMemory records a request that no engine has memory for, and returns the standing of its workspace.
func (b *Placer) observeNoMemory(now time.Time, p *pool, r *annotatedRequest) standing {
	if p.shares == nil || r.Workspace == 0 || r.Waited {
		return withinShare
	}
	position := p.shares.offer(now, r.Request, float64(r.Chain.Total)+decodeCost*float64(r.Output), false)
	p.shares.observe(now, true)
	return position
}

// pressed reports whether the chosen engine has no capacity left for workspaces above their share: its wait, its streams or
// its memory are close to the limits.
func (b *Placer) pressed(p *pool, r *annotatedRequest, c Choice, limit waitLimit, returned returnKind) bool {
	e := b.byHash[c.Hash]
	if e == nil {
		return false
	}
	fraction := pressedWaitFraction
	if returned == impatient {
		fraction = impatientWaitFraction
	}
	l := e.load()
	if capacity := p.Engine.CacheTokens; capacity > 0 && e.memory.tokens > 0 &&
		float64(e.memory.tokens+e.memory.added(r.Chain, r.Output)) > pressedMemory*float64(capacity) {
		return true
	}
	return float64(l.streams) >= pressedStreams*float64(max(e.Slots, 1)) ||
		(l.pendingPrefill > 0 && float64(c.Wait) > fraction*float64(limit.of(c)))
}
