package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/health"
	"github.com/chivewind/chivewind/policy"
)

// maxLoadEvents bounds the number of starts and ends kept to correct an endpoint's load reports.
const maxLoadEvents = 1024

// endpoint is the state of an endpoint.
type endpoint struct {
	policy.Endpoint
	// index is the endpoint's bit in the prefix cache.
	index int
	// configured is false for an endpoint that was not in the last SetEndpoints call but still runs attempts.
	configured bool
	running    int
	// suspects counts the running requests marked as Suspect. While there is one, the endpoint receives no
	// other suspect request.
	suspects int
	// backoffUntil is the time until which the endpoint receives no work after it refused a request.
	backoffUntil time.Duration
	health       *health.Endpoint
	limiter      slotLimiter
	// prefillUntil is when the prompts sent to the endpoint are expected to be processed; prefilling is
	// their number.
	prefillUntil  time.Duration
	prefilling    int
	load          load
	ring          blockRing
	cacheSequence uint64
}

// refusedBackoff is how long an endpoint receives no work after it refused a request.
const refusedBackoff = 200 * time.Millisecond

// loadEvent is a start (+1) or an end (-1) of an attempt.
type loadEvent struct {
	at    time.Duration
	delta int
}

// load is an endpoint's last load report and the events since its time stamp.
type load struct {
	valid bool
	at    time.Duration
	// reported is the number of attempts that run or wait at the endpoint; delta is the sum of events.
	reported int
	delta    int
	events   []loadEvent
}

func (l *load) addEvent(now time.Duration, delta int) {
	if !l.valid {
		return
	}
	if len(l.events) == maxLoadEvents {
		// The last report is ignored after this many events without a new one.
		l.valid, l.events = false, l.events[:0]
		return
	}
	l.events = append(l.events, loadEvent{at: now, delta: delta})
	l.delta += delta
}

func (l *load) applyReport(r policy.LoadReport) {
	l.valid, l.at, l.reported, l.delta = true, r.MeasuredAt, r.Running+r.Waiting, 0
	kept := l.events[:0]
	for _, e := range l.events {
		if e.at > r.MeasuredAt {
			kept = append(kept, e)
			l.delta += e.delta
		}
	}
	l.events = kept
}

// usedSlots returns the number of slots in use: the load report corrected by the attempts that started
// and ended since its time stamp, and never less than the number of attempts known to run.
func (p *Policy) usedSlots(e *endpoint, now time.Duration) int {
	l := &e.load
	if p.Disabled.Reports || !l.valid || now-l.at > p.ReportMaxAge {
		return e.running
	}
	return max(e.running, l.reported+l.delta)
}

// acceptsWork reports whether an endpoint may receive new work, regardless of its free slots.
func (p *Policy) acceptsWork(e *endpoint) bool {
	if !e.configured || e.Draining {
		return false
	}
	if p.now < e.backoffUntil {
		return false
	}
	return p.Disabled.Health || e.health.State() != health.Ejected
}

// SetEndpoints implements policy.Policy.
func (p *Policy) SetEndpoints(now time.Duration, endpoints []policy.Endpoint) {
	for _, e := range p.endpoints {
		e.configured = false
	}
	for _, settings := range endpoints {
		settings.MinSlots = max(1, settings.MinSlots)
		settings.MaxSlots = max(settings.MinSlots, settings.MaxSlots)
		e := p.endpointFor(settings.ID)
		e.Endpoint, e.configured = settings, true
		if e.limiter.limit == 0 {
			e.limiter.limit = max(float64(p.InitialSlots), float64(e.running))
		}
		e.limiter.limit = min(max(e.limiter.limit, float64(e.MinSlots)), float64(e.MaxSlots))
	}
	p.dropUnusedEndpoints()
	p.resizeCaches()
	p.updateNoEndpointExpiry(now)
}

// resizeCaches sets the number of tracked blocks per endpoint. An endpoint whose limit shrinks loses its
// tracked blocks.
func (p *Policy) resizeCaches() {
	for _, e := range p.endpoints {
		limit := e.CacheBlocks
		if limit == 0 {
			limit = p.CacheBlocks
		}
		limit = min(limit, p.MaxCacheBlocks/len(p.endpoints))
		if limit < e.ring.limit {
			p.cache.removeAll(e.index, &e.ring)
		}
		e.ring.limit = limit
	}
}

// endpointFor returns the endpoint with the given id. An endpoint that does not exist is added as not
// configured.
func (p *Policy) endpointFor(id string) *endpoint {
	e := p.endpointByID[id]
	if e != nil {
		return e
	}
	e = &endpoint{Endpoint: policy.Endpoint{ID: id, MinSlots: 1, MaxSlots: 1}, health: p.health.Add()}
	if n := len(p.freeIndexes); n > 0 {
		e.index = p.freeIndexes[n-1]
		p.freeIndexes = p.freeIndexes[:n-1]
	} else {
		e.index = len(p.endpoints)
		if p.cache.grow(e.index) {
			for _, other := range p.endpoints {
				other.ring.blocks, other.ring.clockHand = nil, 0
			}
		}
	}
	p.endpointByID[id] = e
	p.endpoints = append(p.endpoints, e)
	return e
}

// dropUnusedEndpoints drops endpoints that are not configured and run nothing.
func (p *Policy) dropUnusedEndpoints() {
	kept := p.endpoints[:0]
	for _, e := range p.endpoints {
		if e.configured || e.running > 0 {
			kept = append(kept, e)
			continue
		}
		delete(p.endpointByID, e.ID)
		p.health.Remove(e.health)
		p.cache.removeAll(e.index, &e.ring)
		p.freeIndexes = append(p.freeIndexes, e.index)
	}
	clear(p.endpoints[len(kept):])
	p.endpoints = kept
}

// Report implements policy.Policy.
func (p *Policy) Report(now time.Duration, r policy.LoadReport) {
	e := p.endpointByID[r.Endpoint]
	if e == nil || e.load.valid && r.MeasuredAt < e.load.at {
		return
	}
	e.load.applyReport(r)
	e.limiter.reportedBetween = r.BetweenTokens
	if r.Waiting > 0 {
		e.limiter.queuedReports++
	} else {
		e.limiter.queuedReports = 0
	}
	p.applyCacheEvents(e, r)
}

// applyCacheEvents applies an endpoint's cache events. The sequence number may count reports or single
// events. After a gap or a restart of the numbering, removals may have been lost, so all tracked blocks
// of the endpoint are dropped first.
func (p *Policy) applyCacheEvents(e *endpoint, r policy.LoadReport) {
	events := uint64(len(r.CacheAdded) + len(r.CacheRemoved))
	switch r.CacheSequence {
	case e.cacheSequence:
		if events > 0 && e.cacheSequence > 0 {
			return // Duplicate delivery.
		}
	case e.cacheSequence + 1, e.cacheSequence + events:
	default:
		if e.cacheSequence > 0 {
			p.cache.removeAll(e.index, &e.ring)
		}
	}
	e.cacheSequence = r.CacheSequence
	for _, b := range r.CacheRemoved {
		p.cache.remove(e.index, b)
	}
	for _, b := range r.CacheAdded {
		p.cache.add(e.index, &e.ring, b)
	}
}
