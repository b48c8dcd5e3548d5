// Package placement chooses the endpoint for a request. It is pure: it has no goroutines, sockets or
// clocks; the time is passed in and callers serialize all calls.
//
// Each entry daemon places its own requests on a view of the load that all daemons share: the requests it
// has in flight itself, and what the others report of theirs. For model engines the load that matters is
// the number of prompt tokens still to be read, because reading a prompt delays the tokens of all streams
// of the same engine; cached prompt parts, which need not be read; and the streams in progress.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/traffic"
)

// Request is what placement needs to know of a request.
type Request struct {
	// Class is the hash of the class's name.
	Class uint32
	Zone  string
	// Chain is empty for plain services.
	Chain Chain
	// Output is the expected number of generated tokens.
	Output int
	// Tier is the rank of the route's class, 0 first.
	Tier int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// FirstByte is the latency target; zero means none.
	FirstByte time.Duration
	// MayWait is the time for which the request may wait for shared parts that an engine is reading.
	MayWait time.Duration
	// Waited says that the request was admitted before and has waited since.
	Waited bool
	// Avoid lists hashes of endpoints that must not be chosen.
	Avoid []uint32
}

// Choice is the endpoint for one attempt of a request.
type Choice struct {
	Endpoint traffic.Endpoint
	// Hash names the endpoint in messages between daemons.
	Hash uint32
	// FetchFrom is the hash of an engine from which cached parts are copied; 0 for none.
	FetchFrom uint32
	// Read is the number of prompt tokens that the engine has to read.
	Read int
	// Wait is the expected time to the first byte.
	Wait time.Duration
	// Hold says that the engine is reading the request's shared parts for another request. An engine compares
	// a prompt with its cache when it admits it, so that it would read them twice if it got the request now.
	Hold bool
	// Full says that the engine has too many streams, or too little memory for the request beside them.
	Full bool
	// Rereads says that the engine reads long shared parts which another one has or is reading.
	Rereads bool
	// OtherLane says that the engine serves other classes in the first place.
	OtherLane bool
	// Cost is the expected loss, in shares of a request's worth; for logs.
	Cost float64
}

// Weights of the cost of a choice, each as a share of a request's worth.
const (
	// lateWeight is the loss when the first byte arrives just at the target. It grows with the square of
	// the wait, because short waits leave room for variation.
	lateWeight = 0.6
	// maxLate bounds the loss of a late answer.
	maxLate = 3.0
	// rereadWeight is the loss for 1,000 shared prompt tokens that another engine has or is reading, and
	// fetchWeight the loss for copying them from there instead.
	rereadWeight = 0.03
	fetchWeight  = 0.015
	// homeWeight is the loss for 1,000 shared prompt tokens that nobody has and that are read by an engine that
	// is not their home. Daemons that place requests without a scheduler agree on the home.
	homeWeight = 0.02
	// streamWeight is the loss when all slots of an engine are taken: each stream slows the others.
	streamWeight = 0.25
	// disturbWeight is the loss when reading the prompt breaks the pauses of the engine's strict streams.
	disturbWeight = 8.0
	// laneWeight is the loss for leaving the request's lane.
	laneWeight = 0.5
	// zoneWeight is the loss for crossing availability zones.
	zoneWeight = 0.05
	// queueWeight is the loss for waiting for a slot of a plain service. It exceeds zoneWeight, so that no
	// request waits while another endpoint has a free slot.
	queueWeight = 0.1
	// tieWeight spreads the daemons over plain services that are equal otherwise.
	tieWeight = 0.001
	// failureWeight is the loss for a failure that is certain.
	failureWeight = 1.5
	// fullWeight is the loss at an engine that is full.
	fullWeight = 4.0
	// minHold is the number of shared tokens for which a request waits until another one has made the engine
	// read them; fewer are read again within a few steps of the engine.
	minHold = 2000
	// silentWeight is the loss at an endpoint that has sent nothing for a while although requests run there.
	silentWeight = 1.0
)

const (
	// HoldInterval is the time after which a waiting request is placed again. An engine reads a long shared
	// part in some hundred milliseconds.
	HoldInterval = 50 * time.Millisecond
	// holdShare is the part of the latency target for which a request may wait for shared parts.
	holdShare = 0.6
)

// MayWait returns the time for which a request with a latency target may wait for shared parts.
func MayWait(target time.Duration) time.Duration { return time.Duration(holdShare * float64(target)) }

// Board holds the load of all endpoints.
type Board struct {
	salt      rendezvous.Hash
	pools     map[string]*pool
	endpoints map[string]*endpoint
	byHash    map[uint32]*endpoint
	cache     *cacheMap
	demand    *demand
	// strict has the hashes of the classes with the shortest pauses.
	strict map[uint32]bool
	// targets are the classes seen.
	targets map[uint32]target
	// epoch grows with each change of the scheduler.
	epoch int
}

// New returns a board without endpoints. Daemons with different salts prefer different ones among equal
// endpoints.
func New(salt uint64) *Board {
	return &Board{
		salt: rendezvous.Hash(salt), pools: map[string]*pool{}, endpoints: map[string]*endpoint{}, byHash: map[uint32]*endpoint{},
		cache: newCacheMap(), demand: newDemand(), strict: map[uint32]bool{}, targets: map[uint32]target{},
	}
}

// pool is the set of endpoints of a pool that take new requests.
type pool struct {
	traffic.Pool
	endpoints   []*endpoint
	lanes       lanes
	calibration calibration
	pressure    pressure
}

func newPool(p traffic.Pool) *pool {
	return &pool{Pool: p, calibration: newCalibration()}
}

// hashID names an incarnation of an endpoint in reports.
func hashID(e traffic.Endpoint) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.ID)
	var born [8]byte
	for i := range born {
		born[i] = byte(e.Born >> (8 * i))
	}
	_, _ = d.Write(born[:])
	return uint32(d.Sum64())
}

// SetTable replaces the routing table.
func (b *Board) SetTable(t *traffic.Table) {
	b.strict, b.demand.strictGap = strictClasses(t)
	b.targets = map[uint32]target{}
	for name, p := range t.Pools {
		if known := b.pools[name]; known != nil {
			known.Pool = p
			continue
		}
		b.pools[name] = newPool(p)
	}
}

// SetEndpoints replaces the endpoints that take new requests, by pool, and those that exist at all.
// Requests on other endpoints go on.
func (b *Board) SetEndpoints(now time.Time, byPool map[string][]traffic.Endpoint, all map[string]traffic.Endpoint) {
	for id, e := range b.endpoints {
		known, exists := all[id]
		if !exists || hashID(known) != e.hash {
			delete(b.endpoints, id)
			delete(b.byHash, e.hash)
			b.cache.drop(e.hash)
		}
	}
	for _, p := range b.pools {
		p.endpoints = p.endpoints[:0]
	}
	for name, list := range byPool {
		p := b.pools[name]
		if p == nil {
			p = newPool(traffic.Pool{Name: name})
			b.pools[name] = p
		}
		for _, info := range list {
			p.endpoints = append(p.endpoints, b.endpoint(now, info))
		}
		p.endpoints = interleaveZones(p.endpoints)
	}
}

func (b *Board) endpoint(now time.Time, info traffic.Endpoint) *endpoint {
	e := b.endpoints[info.ID]
	if e == nil {
		e = newEndpoint(now, info)
		b.endpoints[info.ID] = e
		b.byHash[e.hash] = e
	}
	e.Endpoint = info
	return e
}

// Address returns the address of the endpoint with a hash; empty when it is not known.
func (b *Board) Address(hash uint32) string {
	if e := b.byHash[hash]; e != nil {
		return e.Address
	}
	return ""
}

// Resolve completes a choice that another daemon made. It returns false when the endpoint is not known here.
func (b *Board) Resolve(c Choice) (Choice, bool) {
	e := b.byHash[c.Hash]
	if e == nil {
		return c, false
	}
	c.Endpoint = e.Endpoint
	return c, true
}

// Unreachable returns the hashes of a pool's endpoints that this daemon could not reach lately.
func (b *Board) Unreachable(now time.Time, poolName string) []uint32 {
	var down []uint32
	if p := b.pools[poolName]; p != nil {
		for _, e := range p.endpoints {
			if now.Before(e.health.downUntil) {
				down = append(down, e.hash)
			}
		}
	}
	return down
}

// candidate is what rating needs to know of a request and is the same for all endpoints.
type candidate struct {
	*Request
	strict bool
	// home is the engine that reads unread shared parts; nil when there is none.
	home *endpoint
	// read says that an engine has the shared parts or is reading them.
	read    bool
	sources sources
}

// Choose returns the endpoint with the least expected loss, or why the request is refused.
func (b *Board) Choose(now time.Time, poolName string, r *Request) (Choice, *Refusal) {
	p := b.pools[poolName]
	if p == nil {
		return Choice{}, &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetry}
	}
	b.updateLanes(now, p)
	c := &candidate{Request: r, strict: b.strict[r.Class]}
	if p.Engine != nil {
		b.targets[r.Class] = target{tier: r.Tier, firstByte: r.FirstByte}
	}
	if p.Engine != nil {
		c.home = p.home(c)
		c.read = b.cache.known(r.Chain)
		c.sources = b.cache.sources(r.Chain, func(engine uint32) bool {
			e := b.byHash[engine]
			return e != nil && e.Pool == poolName && e.health.usable(now, 0)
		})
	}
	var best Choice
	var bestInTime bool
	found := false
	limit := b.waitLimit(now, p, c)
	for pass := 0; pass < 2 && !found; pass++ {
		for i, e := range p.endpoints {
			// The second pass takes endpoints that seem down, when there are no others.
			if slices.Contains(r.Avoid, e.hash) || (pass == 0 && !e.health.usable(now, e.requests())) {
				continue
			}
			choice := b.rate(now, p, i, e, c)
			// An endpoint that can serve the request in time is better than any that cannot.
			inTime := limit <= 0 || (choice.Wait <= limit && !choice.Full && !choice.OtherLane && !choice.Rereads)
			if !found || (inTime && !bestInTime) || (inTime == bestInTime && choice.Cost < best.Cost) {
				best, bestInTime, found = choice, inTime, true
			}
		}
	}
	if !found {
		return best, &Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetry}
	}
	return best, b.admit(now, p, c, best, limit)
}

// rate returns the choice of an endpoint with its cost.
func (b *Board) rate(now time.Time, p *pool, index int, e *endpoint, r *candidate) Choice {
	choice := Choice{Endpoint: e.Endpoint, Hash: e.hash}
	cost := failureWeight * e.health.failureShare(now)
	if e.Zone != r.Zone {
		cost += zoneWeight
	}
	if e.silent(now) {
		cost += silentWeight
	}
	if p.Engine == nil {
		if e.load().streams >= max(e.Slots, 1) {
			cost += queueWeight
		}
		cost += tieWeight * float64(rendezvous.Weight(b.salt, rendezvous.Hash(e.hash))) / math.MaxUint64
		choice.Wait = e.plainWait()
		choice.Cost = cost + lateness(choice.Wait, r.FirstByte)
		return choice
	}
	load := e.load()
	kept, confirmed := b.cache.kept(r.Chain, e.hash)
	choice.Read = r.Chain.Total - r.Chain.tokens(kept)
	source, more := r.sources.best(e.hash)
	if more > confirmed {
		// The engine copies what has not arrived there yet.
		choice.FetchFrom = source
	} else {
		choice.Hold = r.MayWait > 0 && r.Chain.tokens(kept)-r.Chain.tokens(confirmed) >= minHold
	}
	if more > kept {
		moved := r.Chain.tokens(more) - r.Chain.tokens(kept)
		choice.Read -= moved
		cost += fetchWeight * float64(moved) / 1000
		if p.Engine.LinkBytesPerMs > 0 {
			choice.Wait += ms(float64(moved) * p.Engine.TokenBytes / p.Engine.LinkBytesPerMs)
		}
	} else if shared := r.Chain.Shared - min(r.Chain.tokens(kept), r.Chain.Shared); shared > 0 && r.home != e {
		weight := homeWeight
		if r.read {
			weight = rereadWeight
			choice.Rereads = shared >= minHold
		}
		cost += weight * float64(shared) / 1000
	}
	choice.Wait += p.calibration.expect(float64(load.unread+choice.Read) / e.speed)
	cost += lateness(choice.Wait, r.FirstByte)
	cost += streamWeight * float64(load.streams) / float64(max(e.Slots, 1))
	lane := b.laneCost(p, index, e, load, r, choice.Read)
	choice.OtherLane = lane > 0
	cost += lane
	if b.disturbs(p, e, load, r, choice.Read) {
		choice.Full = true
		cost += disturbWeight
	}
	if crowded(e, load, r) || e.memory.exceeds(r.Chain, r.Output, p.Engine.CacheTokens) {
		choice.Full = true
		cost += fullWeight
	}
	choice.Cost = cost
	return choice
}

// lateness is the expected loss for a wait.
func lateness(wait, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	x := float64(wait) / float64(target)
	return min(lateWeight*x*x, maxLate)
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
