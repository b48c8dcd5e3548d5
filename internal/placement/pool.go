package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/traffic"
)

// pool holds the endpoints of a pool that accept new requests.
type pool struct {
	traffic.Pool
	endpoints []*endpoint
	// closed holds the known endpoints of the pool that accept none.
	closed []uint32
	// inUse is set when the pool had endpoints before the last change. Endpoints of a pool that has just become known may
	// have been running for long.
	inUse     bool
	partition enginePartition
	// strictGap is the shortest inter-token target of the pool's classes.
	strictGap time.Duration
	latency   latencyModel
	refusals  refusalRate
	memory    memoryAccount
	// shares holds the fair shares of workspaces; nil if they are off.
	shares  *fairShares
	answers answerPace
}

func newPool(p traffic.Pool) *pool {
	return &pool{Pool: p, latency: newLatencyModel(), memory: newMemoryAccount()}
}

// incarnationHash returns the hash that identifies an incarnation of an endpoint in messages between daemons. A
// restarted endpoint keeps its id but has a new start time, and therefore another hash.
func incarnationHash(e traffic.Endpoint) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(e.ID)
	var startedAt [8]byte
	for i := range startedAt {
		startedAt[i] = byte(e.StartedAtMs >> (8 * i))
	}
	_, _ = d.Write(startedAt[:])
	return uint32(d.Sum64())
}

// SetTable replaces the routing table. SetEndpoints must be called afterwards.
func (b *Placer) SetTable(t *traffic.Table) {
	b.classPools, b.strictClasses = map[uint32]string{}, map[uint32]bool{}
	for i := range t.Routes {
		for _, p := range t.Routes[i].Pools {
			b.classPools[HashClass(p.Pool, t.Routes[i].Class)] = p.Pool
		}
	}
	maps.DeleteFunc(b.classes, func(class uint32, _ classState) bool { return b.classPools[class] == "" })
	for name := range b.pools {
		if _, ok := t.Pools[name]; !ok {
			delete(b.pools, name)
		}
	}
	for name, p := range t.Pools {
		known := b.pools[name]
		if known == nil {
			known = newPool(p)
			if b.fairShares && p.Engine != nil {
				known.shares = newFairShares()
			}
			b.pools[name] = known
		}
		known.Pool = p
		known.strictGap = findStrictClasses(t, name, b.strictClasses)
	}
}

// SetEndpoints replaces the endpoints that accept new requests, by pool, and the set of all existing endpoints,
// by id. Requests in progress on removed endpoints continue.
func (b *Placer) SetEndpoints(now time.Time, byPool map[string][]traffic.Endpoint, all map[string]traffic.Endpoint) {
	for id, e := range b.endpoints {
		known, exists := all[id]
		if !exists || incarnationHash(known) != e.hash {
			delete(b.endpoints, id)
			delete(b.byHash, e.hash)
			b.cache.removeEngine(e.hash)
			b.pacer.forget(e.hash)
		}
	}
	for _, p := range b.pools {
		p.inUse = p.inUse || len(p.endpoints) > 0
		p.endpoints, p.closed = p.endpoints[:0], p.closed[:0]
	}
	for _, e := range b.endpoints {
		e.open = false
	}
	for name, list := range byPool {
		p := b.pools[name]
		if p == nil {
			p = newPool(traffic.Pool{Name: name})
			b.pools[name] = p
		}
		for _, info := range list {
			known := b.endpoints[info.ID] != nil
			e := b.endpoint(now, info)
			if !known && p.inUse {
				b.pacer.beginNew(now, e)
			}
			if _, leaving := b.leaving[e.hash]; !leaving {
				e.open = true
				p.endpoints = append(p.endpoints, e)
			}
		}
		p.endpoints = interleaveZones(p.endpoints)
	}
	for _, e := range b.endpoints {
		if p := b.pools[e.Pool]; p != nil && !e.open {
			p.closed = append(p.closed, e.hash)
		}
	}
	b.expireLeaving(now)
}

func (b *Placer) endpoint(now time.Time, info traffic.Endpoint) *endpoint {
	e := b.endpoints[info.ID]
	if e == nil {
		e = newEndpoint(now, info)
		b.endpoints[info.ID] = e
		b.byHash[e.hash] = e
	}
	e.Endpoint = info
	return e
}

// Address returns the address of the endpoint with the given hash, or "" if it is not known.
func (b *Placer) Address(hash uint32) string {
	if e := b.byHash[hash]; e != nil {
		return e.Address
	}
	return ""
}

// Resolve fills in the endpoint of a choice made by another daemon. It returns false if the endpoint is not known
// here or takes no new requests from this daemon: the other one may not have learned yet that it is draining.
func (b *Placer) Resolve(now time.Time, c Choice) (Choice, bool) {
	e := b.byHash[c.Hash]
	if e == nil || !e.open || b.pauseExcludes(now, e) {
		return c, false
	}
	c.Endpoint = e.Endpoint
	return c, true
}

// Unavailable returns the hashes of the pool's endpoints to which this daemon sends no requests now, which another
// daemon need not know: those that accept none, those that asked for a pause, and those in back-off after a failed
// connection.
func (b *Placer) Unavailable(now time.Time, poolName string) []uint32 {
	p := b.pools[poolName]
	if p == nil {
		return nil
	}
	hashes := slices.Clone(p.closed)
	for _, e := range p.endpoints {
		if now.Before(e.health.downUntil) || b.pauseExcludes(now, e) {
			hashes = append(hashes, e.hash)
		}
	}
	return hashes
}
