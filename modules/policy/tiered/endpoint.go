package tiered

import (
	"time"

	"github.com/chivewind/chivewind/internal/health"
	"github.com/chivewind/chivewind/policy"
)

// maxLoadEvents bounds the starts and ends kept for the correction of an endpoint's next report.
const maxLoadEvents = 1024

// endpoint is an endpoint with its running attempts.
type endpoint struct {
	policy.Endpoint
	// index is the endpoint's bit in the prefix cache.
	index int
	// known is false for an endpoint that was removed while attempts run on it.
	known    bool
	running  int
	suspects int
	// backoffUntil is when the endpoint may receive work again after a refusal.
	backoffUntil time.Duration
	health       *health.Endpoint
	pace         pace
	// prefillUntil is when the prompts sent are expected to be processed, prefilling their number.
	prefillUntil time.Duration
	prefilling   int
	load         load
	ring         blockRing
	sequence     uint64
}

// refusedBackoff is how long an endpoint that refused a request receives no other.
const refusedBackoff = 200 * time.Millisecond

// loadEvent is a start (+1) or an end (-1) of an attempt.
type loadEvent struct {
	at     time.Duration
	change int
}

// load is an endpoint's last report with the events since its time stamp.
type load struct {
	valid  bool
	at     time.Duration
	total  int
	change int
	events []loadEvent
}

func (l *load) event(now time.Duration, change int) {
	if !l.valid {
		return
	}
	if len(l.events) == maxLoadEvents {
		// Without reports for so many events the last one says nothing any more.
		l.valid, l.events = false, l.events[:0]
		return
	}
	l.events = append(l.events, loadEvent{at: now, change: change})
	l.change += change
}

func (l *load) report(r policy.LoadReport) {
	l.valid, l.at, l.total, l.change = true, r.At, r.Running+r.Waiting, 0
	kept := l.events[:0]
	for _, e := range l.events {
		if e.at > r.At {
			kept = append(kept, e)
			l.change += e.change
		}
	}
	l.events = kept
}

// used returns the number of slots in use: the report corrected by what was started and finished
// since its time stamp, and never less than the attempts known to run.
func (p *Policy) used(e *endpoint, now time.Duration) int {
	l := &e.load
	if p.Off.Reports || !l.valid || now-l.at > p.ReportMaxAge {
		return e.running
	}
	return max(e.running, l.total+l.change)
}

// open says whether an endpoint may receive new work.
func (p *Policy) open(e *endpoint) bool {
	if !e.known || e.Draining {
		return false
	}
	if p.now < e.backoffUntil {
		return false
	}
	return p.Off.Health || e.health.State() != health.Ejected
}

// SetEndpoints implements policy.Policy.
func (p *Policy) SetEndpoints(now time.Duration, endpoints []policy.Endpoint) {
	for _, e := range p.endpoints {
		e.known = false
	}
	for _, settings := range endpoints {
		settings.MinSlots = max(1, settings.MinSlots)
		settings.MaxSlots = max(settings.MinSlots, settings.MaxSlots)
		e := p.endpointFor(settings.ID)
		e.Endpoint, e.known = settings, true
		if e.pace.limit == 0 {
			e.pace.limit = max(float64(p.InitialSlots), float64(e.running))
		}
		e.pace.limit = min(max(e.pace.limit, float64(e.MinSlots)), float64(e.MaxSlots))
	}
	p.dropEndpoints()
	p.resizeCaches()
	p.markStranded(now)
}

// resizeCaches divides the tracked blocks among the endpoints.
func (p *Policy) resizeCaches() {
	for _, e := range p.endpoints {
		limit := e.CacheBlocks
		if limit == 0 {
			limit = p.CacheBlocks
		}
		limit = min(limit, p.MaxCacheBlocks/len(p.endpoints))
		if limit < e.ring.limit {
			p.cache.forget(e.index, &e.ring)
		}
		e.ring.limit = limit
	}
}

// endpointFor returns the endpoint with an id, and adds it as unknown when there is none.
func (p *Policy) endpointFor(id string) *endpoint {
	e := p.byID[id]
	if e != nil {
		return e
	}
	e = &endpoint{Endpoint: policy.Endpoint{ID: id, MinSlots: 1, MaxSlots: 1}, health: p.health.Add()}
	if n := len(p.spareIndexes); n > 0 {
		e.index = p.spareIndexes[n-1]
		p.spareIndexes = p.spareIndexes[:n-1]
	} else {
		e.index = len(p.endpoints)
		if p.cache.grow(e.index) {
			for _, other := range p.endpoints {
				other.ring.blocks, other.ring.hand = nil, 0
			}
		}
	}
	p.byID[id] = e
	p.endpoints = append(p.endpoints, e)
	return e
}

// dropEndpoints forgets removed endpoints on which nothing runs.
func (p *Policy) dropEndpoints() {
	kept := p.endpoints[:0]
	for _, e := range p.endpoints {
		if e.known || e.running > 0 {
			kept = append(kept, e)
			continue
		}
		delete(p.byID, e.ID)
		p.health.Remove(e.health)
		p.cache.forget(e.index, &e.ring)
		p.spareIndexes = append(p.spareIndexes, e.index)
	}
	clear(p.endpoints[len(kept):])
	p.endpoints = kept
}

// Report implements policy.Policy.
func (p *Policy) Report(now time.Duration, r policy.LoadReport) {
	e := p.byID[r.Endpoint]
	if e == nil || e.load.valid && r.At < e.load.at {
		return
	}
	e.load.report(r)
	e.pace.reported = r.BetweenTokens
	if r.Waiting > 0 {
		e.pace.queued++
	} else {
		e.pace.queued = 0
	}
	p.cacheEvents(e, r)
}

// cacheEvents applies an endpoint's cache events. The sequence number may count reports or single
// events. After a gap, or a restart of the numbering, nothing is known of what was removed, so the
// endpoint's blocks are forgotten.
func (p *Policy) cacheEvents(e *endpoint, r policy.LoadReport) {
	events := uint64(len(r.CacheAdded) + len(r.CacheRemoved))
	switch r.CacheSequence {
	case e.sequence:
		if events > 0 && e.sequence > 0 {
			return // Delivered twice.
		}
	case e.sequence + 1, e.sequence + events:
	default:
		if e.sequence > 0 {
			p.cache.forget(e.index, &e.ring)
		}
	}
	e.sequence = r.CacheSequence
	for _, b := range r.CacheRemoved {
		p.cache.remove(e.index, b)
	}
	for _, b := range r.CacheAdded {
		p.cache.add(e.index, &e.ring, b)
	}
}
