// Package placement selects an endpoint for each request and decides whether to admit the request. It has no
// goroutines, sockets or clocks: callers pass the time and serialize all calls.
//
// One of the daemons, the scheduler, places the requests for model engines. Without a scheduler, and for plain
// services, each entry daemon places the requests that it has received. A daemon knows the requests in flight
// that it placed or sent itself, and the load that the other daemons report. For model engines the main
// criteria are the prompt tokens waiting for prefill, because prefill delays the next token of every stream on
// the same engine; cached prompt parts, which need no prefill; and the streams in progress. Plain services are
// selected by their requests in progress and their service times.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/traffic"
)

// Request describes a request to be placed.
type Request struct {
	// Class is the HashClass of the pool and the class.
	Class uint32
	// Zone is the availability zone of the daemon that received the request.
	Zone string
	// Chain identifies the parts of the prompt. It is empty for plain services.
	Chain PrefixChain
	// Output is the expected number of output tokens.
	Output int
	// Workspace is the HashWorkspace of the caller's workspace; 0 for none.
	Workspace uint32
	// Tier is the priority rank of the route's class; 0 is the highest priority.
	Tier int
	// Remaining is the time until the request's deadline; zero means that there is none.
	Remaining time.Duration
	// FirstByte is the target for the time to the first byte; zero means that there is none.
	FirstByte time.Duration
	// MaxWait is how much longer the request may wait for shared prompt parts that an engine is prefilling.
	MaxWait time.Duration
	// Waited is set when the request was admitted before and has waited for shared parts since. It is then no
	// longer refused for Overload or Full.
	Waited bool
	// Avoid lists the hashes of endpoints that must not be selected.
	Avoid []uint32
	// Unscheduled is set when this daemon places a request for an engine itself although another daemon is the scheduler.
	Unscheduled bool
}

// Choice is the endpoint selected for one attempt of a request.
type Choice struct {
	Endpoint traffic.Endpoint
	// Hash identifies the endpoint in messages between daemons.
	Hash uint32
	// FetchFrom is the hash of an engine from which cached parts are copied, or 0 for none.
	FetchFrom uint32
	// PrefillTokens is the number of prompt tokens that the engine has to prefill.
	PrefillTokens int
	// Wait is the expected time to the first byte, or to the complete response of a plain service.
	Wait time.Duration
	// WaitForPrefill is set when the request should not be sent yet but be placed again after
	// PlacementRetryInterval, because the engine is prefilling at least minSharedTokens of its prompt for another
	// request. An engine looks up a prompt in its cache only when it admits the request, so sending the
	// request now would prefill these tokens twice.
	WaitForPrefill bool
	// Full is set when the engine has too many streams, when it has too little memory for another request, or
	// when the prefill would make streams of strict classes exceed their inter-token targets.
	Full bool
	// Recomputes is set when the engine would prefill at least minSharedTokens of shared parts that are cached or
	// being prefilled elsewhere.
	Recomputes bool
	// OutsidePartition is set when the engine belongs to the other partition of the pool and the choice costs
	// partitionWeight.
	OutsidePartition bool
	// Cost is the score of the choice, for logs; lower is better. A cost of 1 equals the loss of one request.
	Cost float64
}

// Weights of the cost of a choice. A cost of 1 equals the loss of one request.
const (
	// latenessWeight is the cost of a first byte that is expected exactly at the target. The cost grows with
	// the square of the expected wait, because short waits leave room for variation.
	latenessWeight = 0.6
	// maxLatenessCost limits the cost of a late answer.
	maxLatenessCost = 3.0
	// recomputeWeight is the cost of 1,000 shared prompt tokens that another engine has cached or is
	// prefilling, and transferWeight the cost of copying them from there instead.
	recomputeWeight = 0.03
	transferWeight  = 0.015
	// nonPreferredWeight is the cost of 1,000 shared prompt tokens that no engine has and that would be
	// prefilled by an engine other than the preferred one, where it costs nothing. Daemons that place requests without
	// a scheduler agree on the preferred engine.
	nonPreferredWeight = 0.02
	// occupancyWeight is the cost of an engine with all slots taken: each stream slows down the others.
	occupancyWeight = 0.25
	// interferenceWeight is the cost of a prefill that makes the engine's strict streams exceed their
	// inter-token targets.
	interferenceWeight = 8.0
	// partitionWeight is the cost of an engine outside the partition of the request's class.
	partitionWeight = 0.5
	// crossZoneWeight is the cost of an endpoint in another availability zone.
	crossZoneWeight = 0.05
	// queueWeight is the cost of waiting for a slot of a plain service. It exceeds crossZoneWeight, so that no
	// request waits for a slot in its own availability zone while an endpoint in another one has a free slot.
	queueWeight = 0.1
	// tieBreakWeight makes daemons prefer different plain endpoints when their costs are otherwise equal.
	tieBreakWeight = 0.001
	// failureWeight is the cost of an endpoint whose failure rate is 1.
	failureWeight = 1.5
	// saturationWeight is the cost of an engine that has too many streams or too little memory for another
	// request.
	saturationWeight = 4.0
	// minSharedTokens is the number of shared tokens from which a request waits for the prefill of another
	// request, and from which a second prefill counts as Recomputes. For fewer tokens a second prefill takes an
	// engine only a few steps.
	minSharedTokens = 2000
	// unresponsiveWeight is the cost of an endpoint that has requests but has sent nothing for
	// unresponsiveAfter.
	unresponsiveWeight = 1.0
)

const (
	// PlacementRetryInterval is the time after which a waiting request is placed again. Prefill of a long shared part
	// takes a few hundred milliseconds.
	PlacementRetryInterval = 50 * time.Millisecond
	// sharedWaitFraction is the fraction of the first-byte target for which a request may wait for shared
	// parts.
	sharedWaitFraction = 0.6
)

// MaxSharedWait returns how long a request with the given first-byte target may wait for shared prompt parts.
func MaxSharedWait(target time.Duration) time.Duration {
	return time.Duration(sharedWaitFraction * float64(target))
}

// Placer tracks the load, health and cached prompt parts of all endpoints and places requests on them. Its
// methods must not be called concurrently.
type Placer struct {
	salt      rendezvous.Hash
	pools     map[string]*pool
	endpoints map[string]*endpoint
	byHash    map[uint32]*endpoint
	cache     *cacheIndex
	demand    *demand
	// reportedLoads holds the endpoints for which each other daemon has reported a load.
	reportedLoads map[string][]*endpoint
	// loadReporters holds the daemons that report their load on engines, and daemons is the number of known daemons,
	// including this one.
	loadReporters map[string]bool
	daemons       int
	// classPools holds the pool of each class of the routing table.
	classPools map[uint32]string
	// strictClasses holds the hashes of the strict classes, whose inter-token targets (traffic.Route.EventGap) are
	// close to the shortest one of their pool; see findStrictClasses.
	strictClasses map[uint32]bool
	// classes holds the classes of the routing table that have had requests to engine pools.
	classes map[uint32]classState
	// leaving holds the endpoints that have said that they are leaving, with the time when they were last listed.
	leaving map[uint32]time.Time
	pauses  pauses
	// fairShares is set if workspaces get fair shares of engine pools.
	fairShares bool
	// pacer is nil unless EnablePacing has been called.
	pacer *pacer
	// schedulerEpoch is incremented with each change of the scheduler.
	schedulerEpoch int
	// dryRun is set on the copy that Explain uses, whose endpoints are those of the original: nothing is claimed on them.
	dryRun bool
}

// New returns a placer without endpoints. Placers with different salts prefer different endpoints of a plain
// service among those with equal costs.
func New(salt uint64) *Placer {
	return &Placer{
		salt: rendezvous.Hash(salt), pools: map[string]*pool{}, endpoints: map[string]*endpoint{}, byHash: map[uint32]*endpoint{},
		cache: newCacheIndex(), demand: newDemand(), reportedLoads: map[string][]*endpoint{}, loadReporters: map[string]bool{}, strictClasses: map[uint32]bool{}, classes: map[uint32]classState{},
		leaving: map[uint32]time.Time{}, pauses: pauses{},
	}
}

// annotatedRequest is a request with the data for scoring that are the same for all endpoints.
type annotatedRequest struct {
	*Request
	strict bool
	// preferred is the engine that should prefill shared parts that no engine has; nil if there is none.
	preferred *endpoint
	// sharedKnown is set when an engine has the shared parts or is prefilling them.
	sharedKnown bool
	copySources copySources
	// claimed is the engine that keeps memory free for the request, or nil.
	claimed *endpoint
}

// Choose selects the endpoint with the lowest cost. If the request has a wait limit, endpoints that can serve it
// within the limit and whose choice is not Full, OutsidePartition or Recomputes come before all others. Choose
// returns a refusal if the request must not be sent.
func (b *Placer) Choose(now time.Time, poolName string, r *Request) (Choice, *Refusal) {
	return b.choose(now, poolName, r, nil)
}

// choose implements Choose, and records the scored endpoints in t unless it is nil.
func (b *Placer) choose(now time.Time, poolName string, r *Request, t *trace) (Choice, *Refusal) {
	p := b.pools[poolName]
	if p == nil {
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
	}
	b.updatePartition(now, p)
	annotated := &annotatedRequest{Request: r, strict: b.strictClasses[r.Class]}
	if p.Engine != nil {
		state := b.classes[r.Class]
		state.pool, state.tier, state.firstByte, state.lastRequest = poolName, r.Tier, r.FirstByte, now
		b.classes[r.Class] = state
		annotated.preferred = p.preferredEngine(annotated)
		annotated.sharedKnown = b.cache.sharedPrefixKnown(r.Chain)
		annotated.copySources = b.cache.findCopySources(r.Chain, func(engine uint32) bool {
			e := b.byHash[engine]
			return e != nil && e.Pool == poolName && e.health.usable(now, 0)
		})
	}
	var best Choice
	var parts CostParts
	var bestInTime bool
	found := false
	memory := b.newMemoryCheck(now, p, annotated)
	if memory.tooLarge() {
		return Choice{}, &Refusal{Reason: TooLarge, RetryAfter: maxRetryAfter}
	}
	annotated.claimed = memory.claimed
	limit := b.waitLimit(now, p, annotated)
	for pass := 0; pass < 2 && !found && !memory.noRoom; pass++ {
		for i, e := range p.endpoints {
			// The second pass includes endpoints in back-off, when there are no others.
			if slices.Contains(r.Avoid, e.hash) || (pass == 0 && !b.usable(now, p, e)) {
				continue
			}
			if !memory.fits(e) {
				continue
			}
			choice := b.score(now, p, i, e, annotated, &parts)
			// Without a wait limit only the cost counts.
			inTime := !limit.isSet() || (!limit.exceededBy(choice) && !choice.Full && !choice.OutsidePartition && !choice.Recomputes)
			if t != nil {
				t.add(i, choice, parts, limit, inTime)
			}
			if !found || (inTime && !bestInTime) || (inTime == bestInTime && choice.Cost < best.Cost) {
				best, bestInTime, found = choice, inTime, true
			}
		}
	}
	if !found && memory.noRoom {
		return best, memory.refusal(b.observeNoMemory(now, p, annotated))
	}
	if !found {
		return best, &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
	}
	refusal := b.admit(now, p, annotated, best, limit)
	if refusal != nil && refusal.Reason == Full {
		memory.claimFull(best, refusal.RetryAfter)
	}
	return best, refusal
}

// usable reports whether an endpoint may receive a request, unless there is no other.
func (b *Placer) usable(now time.Time, p *pool, e *endpoint) bool {
	if b.pacer != nil {
		return !now.Before(e.health.downUntil) && b.paceAllows(now, p, e)
	}
	return e.health.usable(now, e.requests())
}

// score returns the choice of the endpoint e, which has the given index in the pool, with its cost, and fills
// in the parts of the cost.
func (b *Placer) score(now time.Time, p *pool, index int, e *endpoint, r *annotatedRequest, parts *CostParts) Choice {
	choice := Choice{Endpoint: e.Endpoint, Hash: e.hash}
	*parts = CostParts{Failures: failureWeight * e.health.currentFailureRate(now)}
	if e.Zone != r.Zone {
		parts.Zone = crossZoneWeight
	}
	if e.unresponsive(now) {
		parts.Unresponsive = unresponsiveWeight
	}
	if p.Engine == nil {
		if e.load().streams >= max(e.Slots, 1) {
			parts.Queue = queueWeight
		}
		parts.TieBreak = tieBreakWeight * float64(rendezvous.Weight(b.salt, rendezvous.Hash(e.hash))) / math.MaxUint64
		choice.Wait = e.plainWait()
		parts.Lateness = latenessCost(choice.Wait, r.FirstByte)
		choice.Cost = parts.Sum()
		return choice
	}
	load := e.load()
	matched, confirmed := b.cache.matchPrefix(r.Chain, e.hash)
	choice.PrefillTokens = r.Chain.Total - r.Chain.prefixTokens(matched)
	source, sourceMatched := r.copySources.bestFor(e.hash)
	if sourceMatched > confirmed {
		// The engine also copies the parts that it is still prefilling or copying for another request.
		choice.FetchFrom = source
	} else {
		choice.WaitForPrefill = r.MaxWait > 0 &&
			r.Chain.prefixTokens(matched)-r.Chain.prefixTokens(confirmed) >= minSharedTokens
	}
	if sourceMatched > matched {
		copied := r.Chain.prefixTokens(sourceMatched) - r.Chain.prefixTokens(matched)
		choice.PrefillTokens -= copied
		parts.Transfer = transferWeight * float64(copied) / 1000
		if p.Engine.LinkBytesPerMs > 0 {
			choice.Wait += milliseconds(float64(copied) * p.Engine.TokenBytes / p.Engine.LinkBytesPerMs)
		}
	} else if shared := r.Chain.Shared - min(r.Chain.prefixTokens(matched), r.Chain.Shared); shared > 0 && (r.preferred != e || r.sharedKnown) {
		weight := nonPreferredWeight
		if r.sharedKnown {
			weight = recomputeWeight
			choice.Recomputes = shared >= minSharedTokens
		}
		parts.Recompute = weight * float64(shared) / 1000
	}
	choice.Wait += p.latency.predict(float64(load.pendingPrefill+choice.PrefillTokens) / e.relativeSpeed)
	parts.Lateness = latenessCost(choice.Wait, r.FirstByte)
	parts.Occupancy = occupancyWeight * float64(load.streams) / float64(max(e.Slots, 1))
	parts.Partition = b.partitionCost(p, index, e, load, r, choice.PrefillTokens)
	choice.OutsidePartition = parts.Partition > 0
	if b.delaysStrictStreams(p, e, load, r, choice.PrefillTokens) {
		choice.Full = true
		parts.Interference = interferenceWeight
	}
	if streamsSaturated(e, load, r) || (r.claimed != e && e.memory.exceeds(r.Chain, r.Output, p.Engine.CacheTokens)) {
		choice.Full = true
		parts.Saturation = saturationWeight
	}
	choice.Cost = parts.Sum()
	return choice
}

// latenessCost returns the cost of an expected wait.
func latenessCost(wait, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	x := float64(wait) / float64(target)
	return min(latenessWeight*x*x, maxLatenessCost)
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
