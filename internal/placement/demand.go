package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/peer"
)

const (
	// demandHalfLife is the time in which the weight of past requests halves. It lets the engine partition
	// follow a burst within seconds.
	demandHalfLife = 1500 * time.Millisecond
	// decodeCost is the engine time of an output token relative to that of a prefilled prompt token, given that
	// batching shares a decoding step among all streams.
	decodeCost = 20.0
)

// classDemand is the recent load of a class per second: requests, unshared prompt tokens to prefill and output
// tokens.
type classDemand struct {
	requests float64
	prefill  float64
	decode   float64
}

// work returns the engine time that the class needs, in prefilled prompt tokens per second.
func (d classDemand) work() float64 { return d.prefill + decodeCost*d.decode }

type decayingDemand struct {
	classDemand
	updated time.Time
}

func (d *decayingDemand) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(d.updated)) / float64(demandHalfLife))
	d.requests *= factor
	d.prefill *= factor
	d.decode *= factor
	d.updated = now
}

// demand tracks the load of the classes of all pools on all daemons.
type demand struct {
	own    map[uint32]*decayingDemand
	remote map[string]map[uint32]classDemand
	// reportedAt holds the time of the last report of each daemon in remote.
	reportedAt map[string]time.Time
}

func newDemand() *demand {
	return &demand{own: map[uint32]*decayingDemand{}, remote: map[string]map[uint32]classDemand{}, reportedAt: map[string]time.Time{}}
}

// HashClass returns the hash that identifies a class of a pool's requests in messages between daemons.
func HashClass(pool, class string) uint32 { return uint32(xxhash.Sum64String(pool + "\x00" + class)) }

// decayRate returns the factor that converts an exponentially decaying sum to a rate per second.
func decayRate() float64 { return math.Ln2 / demandHalfLife.Seconds() }

// record counts a request with its numbers of unshared prompt tokens and of expected output tokens.
func (d *demand) record(now time.Time, h uint32, prefill, decode int) {
	own := d.own[h]
	if own == nil {
		own = &decayingDemand{updated: now}
		d.own[h] = own
	}
	own.decay(now)
	own.requests += decayRate()
	own.prefill += decayRate() * float64(prefill)
	own.decode += decayRate() * float64(decode)
}

// total returns the load of each class from all daemons.
func (d *demand) total(now time.Time) map[uint32]classDemand {
	sum := map[uint32]classDemand{}
	add := func(h uint32, c classDemand) {
		s := sum[h]
		s.requests += c.requests
		s.prefill += c.prefill
		s.decode += c.decode
		sum[h] = s
	}
	for h, own := range d.own {
		own.decay(now)
		add(h, own.classDemand)
	}
	for _, classes := range d.remote {
		for h, c := range classes {
			add(h, c)
		}
	}
	return sum
}

// RecordArrival counts a request for an engine pool, whether it is admitted or not.
func (b *Placer) RecordArrival(now time.Time, r *Request) {
	b.demand.record(now, r.Class, max(r.Chain.Total-r.Chain.Shared, 0), r.Output)
}

// FillReport adds this daemon's load to a report. If full is false, it adds only the load on plain services,
// which every daemon places for itself.
func (b *Placer) FillReport(now time.Time, r *peer.Report, full bool) {
	for _, e := range b.endpoints {
		p := b.pools[e.Pool]
		if e.own == (load{}) || (!full && p != nil && p.Engine != nil) {
			continue
		}
		r.Loads = append(r.Loads, &peer.EndpointLoad{
			Endpoint: e.hash, UnreadTokens: uint32(max(e.own.pendingPrefill, 0)), Streams: uint32(max(e.own.streams, 0)),
			StrictStreams:          uint32(max(e.own.strict, 0)),
			ScheduledUnreadTokens:  uint32(max(e.ownScheduled.pendingPrefill, 0)),
			ScheduledStreams:       uint32(max(e.ownScheduled.streams, 0)),
			ScheduledStrictStreams: uint32(max(e.ownScheduled.strict, 0)),
		})
	}
	if !full {
		return
	}
	for _, u := range b.cache.takeUpdates() {
		r.Cached = append(r.Cached, &peer.CachedPart{Part: u.key, Endpoint: u.engine, Tokens: uint32(u.tokens)})
	}
	for h, own := range b.demand.own {
		own.decay(now)
		if own.requests > 0.01 {
			r.Demand = append(r.Demand, &peer.ClassDemand{
				Class: h, RequestsPerKs: uint32(own.requests * 1000), ReadPerS: uint32(own.prefill), WritePerS: uint32(own.decode),
			})
		}
	}
}

// HandleReport replaces the load and the demand of the reporting daemon and adds the cached parts that it
// reports. scheduled is true if this daemon is the scheduler that the report names; the part of the load that
// this daemon scheduled is then not counted twice.
func (b *Placer) HandleReport(now time.Time, r *peer.Report, scheduled bool) {
	previous := b.reportedLoads[r.Daemon]
	reported := make([]*endpoint, 0, len(r.Loads))
	engineLoads := len(r.Demand) > 0
	for _, l := range r.Loads {
		e := b.byHash[l.Endpoint]
		if e == nil {
			continue
		}
		remote := load{pendingPrefill: int(l.UnreadTokens), streams: int(l.Streams), strict: int(l.StrictStreams)}
		if scheduled {
			remote.sub(load{
				pendingPrefill: int(l.ScheduledUnreadTokens), streams: int(l.ScheduledStreams),
				strict: int(l.ScheduledStrictStreams),
			})
		}
		e.setRemote(r.Daemon, remote)
		e.remotePeak.observe(now, e.remoteSum)
		engineLoads = engineLoads || b.isEngine(e)
		reported = append(reported, e)
	}
	for _, e := range previous {
		if !slices.Contains(reported, e) {
			e.setRemote(r.Daemon, load{})
		}
	}
	b.reportedLoads[r.Daemon] = reported
	if engineLoads {
		b.loadReporters[r.Daemon] = true
	} else {
		delete(b.loadReporters, r.Daemon)
	}
	for _, c := range r.Cached {
		e := b.byHash[c.Endpoint]
		if e == nil {
			continue
		}
		b.cache.upsert(now, b.cache.engine(e.hash), e.hash, c.Part, int(c.Tokens), true)
		if p := b.pools[e.Pool]; p != nil && p.Engine != nil {
			b.cache.evict(now, b.cache.engine(e.hash), e.hash, p.Engine.CacheTokens)
		}
	}
	classes := map[uint32]classDemand{}
	for _, d := range r.Demand {
		classes[d.Class] = classDemand{
			requests: float64(d.RequestsPerKs) / 1000, prefill: float64(d.ReadPerS), decode: float64(d.WritePerS),
		}
	}
	b.demand.remote[r.Daemon], b.demand.reportedAt[r.Daemon] = classes, now
}

// isEngine reports whether an endpoint belongs to a pool of engines.
func (b *Placer) isEngine(e *endpoint) bool {
	p := b.pools[e.Pool]
	return p != nil && p.Engine != nil
}

// ForgetDaemon removes the load and the demand of a daemon that no longer reports.
func (b *Placer) ForgetDaemon(daemon string) {
	for _, e := range b.reportedLoads[daemon] {
		e.setRemote(daemon, load{})
	}
	delete(b.reportedLoads, daemon)
	delete(b.loadReporters, daemon)
	delete(b.demand.remote, daemon)
	delete(b.demand.reportedAt, daemon)
}
