package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/peer"
)

const (
	// demandMemory is the time in which the weight of past requests halves. It lets the lanes follow a
	// burst within seconds.
	demandMemory = 1500 * time.Millisecond
	// writeCost is the engine time of a generated token relative to a prompt token that is read: batching
	// shares a step among all streams.
	writeCost = 20.0
)

// classDemand is the recent load of a class per second.
type classDemand struct {
	requests float64
	read     float64
	write    float64
}

// work is the engine time of the class, in prompt tokens per second.
func (d classDemand) work() float64 { return d.read + writeCost*d.write }

type decaying struct {
	classDemand
	at time.Time
}

func (d *decaying) decay(now time.Time) {
	f := math.Exp2(-float64(now.Sub(d.at)) / float64(demandMemory))
	d.requests *= f
	d.read *= f
	d.write *= f
	d.at = now
}

// demand sums the load of the classes over all daemons.
type demand struct {
	own    map[uint32]*decaying
	remote map[string]map[uint32]classDemand
	// strictGap is the shortest pause target.
	strictGap time.Duration
}

func newDemand() *demand {
	return &demand{own: map[uint32]*decaying{}, remote: map[string]map[uint32]classDemand{}}
}

// HashClass names a class in messages between daemons.
func HashClass(class string) uint32 { return uint32(xxhash.Sum64String(class)) }

// perSecond scales a sum with exponential decay to a rate.
func perSecond() float64 { return math.Ln2 / demandMemory.Seconds() }

// arrived counts a request with the prompt tokens to be read and the expected output.
func (d *demand) arrived(now time.Time, h uint32, read, write int) {
	own := d.own[h]
	if own == nil {
		own = &decaying{at: now}
		d.own[h] = own
	}
	own.decay(now)
	own.requests += perSecond()
	own.read += perSecond() * float64(read)
	own.write += perSecond() * float64(write)
}

// total returns the load of each class by all daemons.
func (d *demand) total(now time.Time) map[uint32]classDemand {
	sum := map[uint32]classDemand{}
	add := func(h uint32, c classDemand) {
		s := sum[h]
		s.requests += c.requests
		s.read += c.read
		s.write += c.write
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

// Arrived counts a request for an engine pool, whether it is admitted or not.
func (b *Board) Arrived(now time.Time, r *Request) {
	b.demand.arrived(now, r.Class, max(r.Chain.Total-r.Chain.Shared, 0), r.Output)
}

// FillReport adds this daemon's load to a report; without full only that of plain services, which every
// daemon places for itself.
func (b *Board) FillReport(now time.Time, r *peer.Report, full bool) {
	for _, e := range b.endpoints {
		p := b.pools[e.Pool]
		if e.own == (load{}) || (!full && p != nil && p.Engine != nil) {
			continue
		}
		r.Loads = append(r.Loads, &peer.EndpointLoad{
			Endpoint: e.hash, UnreadTokens: uint32(max(e.own.unread, 0)), Streams: uint32(max(e.own.streams, 0)),
			StrictStreams:         uint32(max(e.own.strict, 0)),
			ScheduledUnreadTokens: uint32(max(e.ownScheduled.unread, 0)), ScheduledStreams: uint32(max(e.ownScheduled.streams, 0)),
			ScheduledStrictStreams: uint32(max(e.ownScheduled.strict, 0)),
		})
	}
	if !full {
		return
	}
	for _, n := range b.cache.takeNews() {
		r.Cached = append(r.Cached, &peer.CachedPart{Part: n.key, Endpoint: n.engine, Tokens: uint32(n.tokens)})
	}
	for h, own := range b.demand.own {
		own.decay(now)
		if own.requests > 0.01 {
			r.Demand = append(r.Demand, &peer.ClassDemand{
				Class: h, RequestsPerKs: uint32(own.requests * 1000), ReadPerS: uint32(own.read), WritePerS: uint32(own.write),
			})
		}
	}
}

// HandleReport takes the load of another daemon. scheduled says that this daemon is the scheduler that the
// report names, so that it knows the scheduled part of the load itself.
func (b *Board) HandleReport(now time.Time, r *peer.Report, scheduled bool) {
	reported := make(map[uint32]bool, len(r.Loads))
	for _, l := range r.Loads {
		e := b.byHash[l.Endpoint]
		if e == nil {
			continue
		}
		remote := load{unread: int(l.UnreadTokens), streams: int(l.Streams), strict: int(l.StrictStreams)}
		if scheduled {
			remote.sub(load{unread: int(l.ScheduledUnreadTokens), streams: int(l.ScheduledStreams), strict: int(l.ScheduledStrictStreams)})
		}
		e.setRemote(r.Daemon, remote)
		reported[l.Endpoint] = true
	}
	for hash, e := range b.byHash {
		if !reported[hash] {
			e.setRemote(r.Daemon, load{})
		}
	}
	for _, c := range r.Cached {
		e := b.byHash[c.Endpoint]
		if e == nil {
			continue
		}
		b.cache.put(now, b.cache.engine(e.hash), e.hash, c.Part, int(c.Tokens), true)
		if p := b.pools[e.Pool]; p != nil && p.Engine != nil {
			b.cache.trim(now, b.cache.engine(e.hash), e.hash, p.Engine.CacheTokens)
		}
	}
	classes := map[uint32]classDemand{}
	for _, d := range r.Demand {
		classes[d.Class] = classDemand{requests: float64(d.RequestsPerKs) / 1000, read: float64(d.ReadPerS), write: float64(d.WritePerS)}
	}
	b.demand.remote[r.Daemon] = classes
}

// ForgetDaemon drops the load of a daemon that is silent.
func (b *Board) ForgetDaemon(daemon string) {
	for _, e := range b.endpoints {
		e.setRemote(daemon, load{})
	}
	delete(b.demand.remote, daemon)
}
