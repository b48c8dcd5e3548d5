// Package placement chooses the endpoint for a request. It is pure: it has no goroutines, sockets or
// clocks; the time is passed in and callers serialize all calls.
//
// Each entry daemon places its own requests on a view of the load that all daemons share: the requests it
// has in flight itself, and what the others report of theirs. For model engines the load that matters is
// the number of prompt tokens still to be read, because reading a prompt delays the tokens of all streams
// of the same engine; cached prompt parts, which need not be read; and the streams in progress.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/traffic"
)

// Request is what placement needs to know of a request.
type Request struct {
	Class string
	Zone  string
	// Prompt is nil for plain services.
	Prompt *traffic.Prompt
	// FirstByte and Gap are the latency targets; zero means none.
	FirstByte time.Duration
	Gap       time.Duration
	// Avoid lists endpoints that must not be chosen.
	Avoid []string
}

// Choice is the endpoint for one attempt of a request.
type Choice struct {
	Endpoint traffic.Endpoint
	// FetchFrom is the address of an engine from which cached parts are copied; empty for none.
	FetchFrom string
	// Read is the number of prompt tokens that the engine has to read.
	Read int
	// Wait is the expected time to the first byte.
	Wait time.Duration
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
	// rereadWeight is the loss for 1,000 shared prompt tokens that are read by an engine that is not their
	// home, and fetchWeight the loss for copying them from another engine instead.
	rereadWeight = 0.03
	fetchWeight  = 0.006
	// streamWeight is the loss when all slots of an engine are taken: each stream slows the others.
	streamWeight = 0.25
	// disturbWeight is the loss for each stream with strict pauses that reading this prompt would break.
	disturbWeight = 0.3
	// maxDisturbed bounds the streams counted for it.
	maxDisturbed = 10
	// laneWeight is the loss for leaving the request's lane.
	laneWeight = 0.5
	// zoneWeight is the loss for crossing availability zones.
	zoneWeight = 0.05
	// failureWeight is the loss for a failure that is certain.
	failureWeight = 1.5
	// silentWeight is the loss at an endpoint that has sent nothing for a while although requests run there.
	silentWeight = 1.0
)

// Board holds the load of all endpoints.
type Board struct {
	zone      string
	pools     map[string]*pool
	endpoints map[string]*endpoint
	byHash    map[uint32]*endpoint
	cache     *cacheMap
	demand    *demand
	strict    map[string]bool
}

// New returns a board without endpoints for a daemon in an availability zone.
func New(zone string) *Board {
	return &Board{
		zone: zone, pools: map[string]*pool{}, endpoints: map[string]*endpoint{}, byHash: map[uint32]*endpoint{},
		cache: newCacheMap(), demand: newDemand(), strict: map[string]bool{},
	}
}

// pool is the set of endpoints of a pool that take new requests.
type pool struct {
	traffic.Pool
	endpoints []*endpoint
	lanes     lanes
	// speed is the reading speed of an engine in tokens per millisecond, from all engines of the pool.
	speed float64
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
	b.strict = strictClasses(t)
	b.demand.setStrict(t, b.strict)
	for name, p := range t.Pools {
		if known := b.pools[name]; known != nil {
			known.Pool = p
			continue
		}
		b.pools[name] = &pool{Pool: p, speed: initialSpeed}
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
			p = &pool{Pool: traffic.Pool{Name: name}, speed: initialSpeed}
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

// Choose returns the endpoint with the least expected loss, or false when none takes requests.
func (b *Board) Choose(now time.Time, poolName string, r *Request) (Choice, bool) {
	p := b.pools[poolName]
	if p == nil {
		return Choice{}, false
	}
	b.updateLanes(now, p)
	var chain chain
	if p.Engine != nil && r.Prompt != nil {
		chain = newChain(r.Prompt)
	}
	var best Choice
	found := false
	for pass := 0; pass < 2 && !found; pass++ {
		for i, e := range p.endpoints {
			// The second pass takes endpoints that seem down, when there are no others.
			if avoided(e.ID, r.Avoid) || (pass == 0 && !e.health.usable(now, e.requests())) {
				continue
			}
			c := b.rate(now, p, i, e, r, chain)
			if !found || c.Cost < best.Cost {
				best, found = c, true
			}
		}
	}
	return best, found
}

func avoided(id string, avoid []string) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

// rate returns the choice of an endpoint with its cost.
func (b *Board) rate(now time.Time, p *pool, index int, e *endpoint, r *Request, c chain) Choice {
	choice := Choice{Endpoint: e.Endpoint}
	cost := failureWeight * e.health.failureShare(now)
	if e.Zone != r.Zone {
		cost += zoneWeight
	}
	if e.silent(now) {
		cost += silentWeight
	}
	if p.Engine == nil {
		choice.Wait = e.plainWait(now)
		choice.Cost = cost + lateness(choice.Wait, r.FirstByte)
		return choice
	}
	load := e.load(now)
	kept := b.cache.kept(c, e.hash)
	choice.Read = c.total - c.tokens(kept)
	source, more := b.cache.source(c, kept, e.hash)
	if from := b.byHash[source]; more > kept && from != nil && from.health.usable(now, 0) {
		moved := c.tokens(more) - c.tokens(kept)
		choice.FetchFrom = from.Address
		choice.Read -= moved
		cost += fetchWeight * float64(moved) / 1000
		if p.Engine.LinkBytesPerMs > 0 {
			choice.Wait += ms(float64(moved) * p.Engine.TokenBytes / p.Engine.LinkBytesPerMs)
		}
	} else if shared := c.shared - min(c.tokens(kept), c.shared); shared > 0 && !b.isHome(p, index, r, c, e) {
		cost += rereadWeight * float64(shared) / 1000
	}
	choice.Wait += ms(float64(load.unread+choice.Read) / e.readingSpeed(p))
	cost += lateness(choice.Wait, r.FirstByte)
	cost += streamWeight * float64(load.streams) / float64(max(e.Slots, 1))
	cost += b.laneCost(p, index, e, load, r, choice.Read)
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
