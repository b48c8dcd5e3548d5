package tiered

import (
	"time"

	"github.com/chivewind/chivewind/policy"
)

// endpoint is an endpoint with its running attempts.
type endpoint struct {
	policy.Endpoint
	// known is false for an endpoint that was removed while attempts run on it.
	known    bool
	running  int
	suspects int
	limit    float64
}

// slots returns the number of attempts that may run at once.
func (p *Policy) slots(e *endpoint) int {
	if p.Off.Limits || !p.paced {
		return e.MaxSlots
	}
	return int(e.limit)
}

// used returns the number of slots in use.
func (p *Policy) used(e *endpoint, now time.Duration) int {
	return e.running
}

// open says whether an endpoint may receive new work.
func (p *Policy) open(e *endpoint, now time.Duration) bool {
	return e.known && !e.Draining
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
		if e.limit == 0 {
			e.limit = float64(p.InitialSlots)
		}
		e.limit = min(max(e.limit, float64(e.MinSlots)), float64(e.MaxSlots))
	}
	p.dropEndpoints()
}

// endpointFor returns the endpoint with an id, and adds it as unknown when there is none.
func (p *Policy) endpointFor(id string) *endpoint {
	e := p.byID[id]
	if e == nil {
		e = &endpoint{Endpoint: policy.Endpoint{ID: id}}
		p.byID[id] = e
		p.endpoints = append(p.endpoints, e)
	}
	return e
}

// dropEndpoints forgets removed endpoints on which nothing runs.
func (p *Policy) dropEndpoints() {
	kept := p.endpoints[:0]
	for _, e := range p.endpoints {
		if e.known || e.running > 0 {
			kept = append(kept, e)
		} else {
			delete(p.byID, e.ID)
		}
	}
	clear(p.endpoints[len(kept):])
	p.endpoints = kept
}
