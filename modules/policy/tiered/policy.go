package tiered

import (
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/policy"
)

func init() {
	chivewind.Register(New(DefaultSettings()))
}

var (
	_ policy.Policy       = (*Policy)(nil)
	_ chivewind.Module    = (*Policy)(nil)
	_ chivewind.Validator = (*Policy)(nil)
)

// Policy is the scheduling policy of one shard.
type Policy struct {
	Settings `yaml:",inline"`

	classes   []*class
	byName    map[string]*class
	endpoints []*endpoint
	byID      map[string]*endpoint
	items     map[policy.AttemptID]*item
	weights   map[string]float64
	waiting   int
	seq       uint64
	pass      uint64
	// paced says that a class has a target for the time between tokens.
	paced bool
	// capacity is the number of slots of all open endpoints, free the unused ones.
	capacity   int
	free       int
	rotation   int
	violations int

	spareItems []*item
	spareFlows []*flow
	spareLanes []*lane
}

// New returns a policy without classes and endpoints.
func New(s Settings) *Policy {
	return &Policy{
		Settings: s,
		byName:   map[string]*class{},
		byID:     map[string]*endpoint{},
		items:    map[policy.AttemptID]*item{},
		weights:  map[string]float64{},
	}
}

// ModuleInfo implements chivewind.Module.
func (p *Policy) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{
		ID:  "policy.tiered",
		New: func() chivewind.Module { return New(DefaultSettings()) },
	}
}

// SetClasses implements policy.Policy.
func (p *Policy) SetClasses(now time.Duration, classes []policy.Class) {
	for _, c := range p.classes {
		c.current = false
	}
	p.paced = false
	for _, settings := range classes {
		c := p.byName[settings.Name]
		if c == nil {
			c = p.addClass(settings)
		}
		c.Class, c.current = settings, true
		p.paced = p.paced || settings.BetweenTokens > 0
	}
	p.dropUnused()
}

// SetWeights implements policy.Policy.
func (p *Policy) SetWeights(now time.Duration, weights []policy.Weight) {
	clear(p.weights)
	for _, w := range weights {
		if w.Value > 0 {
			p.weights[w.Workspace] = w.Value
		}
	}
}

func (p *Policy) weight(workspace string) float64 {
	if w, ok := p.weights[workspace]; ok {
		return w
	}
	return 1
}

// Submit implements policy.Policy.
func (p *Policy) Submit(now time.Duration, r *policy.Request) {
	if p.items[r.ID] != nil {
		return
	}
	it := p.newItem(r, p.classFor(r.Class))
	it.submittedAt = now
	it.cost = 1
	p.schedule(now, it)
	p.laneFor(it).add(it)
}

// schedule sets the times that follow from the class's targets.
func (p *Policy) schedule(now time.Duration, it *item) {
	c, r := it.class, it.req
	it.latest = never
	if c.FirstToken > 0 {
		it.latest = r.Arrival + c.FirstToken
	}
	if c.Total > 0 {
		it.latest = min(it.latest, r.Arrival+c.Total)
	}
}

// Resume implements policy.Policy.
func (p *Policy) Resume(now time.Duration, r *policy.Request, endpoint string, tokens int) {
	if p.items[r.ID] != nil {
		return
	}
	it := p.newItem(r, p.classFor(r.Class))
	it.submittedAt, it.tokens, it.progressAt = now, tokens, now
	p.start(now, it, p.endpointFor(endpoint))
}

// start counts a request as running.
func (p *Policy) start(now time.Duration, it *item, e *endpoint) {
	it.endpoint, it.grantedAt = e, now
	it.class.running++
	e.running++
	if it.req.Suspect {
		e.suspects++
	}
}

// stop counts a running request as ended and forgets it.
func (p *Policy) stop(it *item) {
	e := it.endpoint
	it.class.running--
	e.running--
	if it.req.Suspect {
		e.suspects--
	}
	gone := !e.known && e.running == 0
	unused := !it.class.current && it.class.running == 0 && it.class.waiting == 0
	p.freeItem(it)
	if gone {
		p.dropEndpoints()
	}
	if unused {
		p.dropUnused()
	}
}

// Progress implements policy.Policy.
func (p *Policy) Progress(now time.Duration, id policy.AttemptID, tokens int, firstToken time.Duration) {
}

// Finish implements policy.Policy.
func (p *Policy) Finish(now time.Duration, id policy.AttemptID, outcome policy.Outcome, tokens int) {
	it := p.items[id]
	if it == nil {
		return
	}
	if it.endpoint == nil {
		p.forget(it)
		return
	}
	p.stop(it)
}

// Cancel implements policy.Policy.
func (p *Policy) Cancel(now time.Duration, id policy.AttemptID) {
	p.Finish(now, id, policy.Canceled, 0)
}

// forget removes a waiting request.
func (p *Policy) forget(it *item) {
	c := it.class
	it.lane.take(it, false)
	p.freeItem(it)
	if !c.current && c.running == 0 && c.waiting == 0 {
		p.dropUnused()
	}
}

// Report implements policy.Policy.
func (p *Policy) Report(now time.Duration, report policy.LoadReport) {}

// Status implements policy.Policy.
func (p *Policy) Status(now time.Duration) policy.Status {
	s := policy.Status{TierViolations: p.violations}
	for _, c := range p.classes {
		s.Classes = append(s.Classes, policy.ClassStatus{
			Class: c.Name, Waiting: c.waiting, Running: c.running, Shed: c.shed,
		})
	}
	for _, e := range p.endpoints {
		s.Endpoints = append(s.Endpoints, policy.EndpointStatus{
			ID: e.ID, Zone: e.Zone, Running: e.running, Slots: p.slots(e), State: p.state(e),
		})
	}
	return s
}

func (p *Policy) state(e *endpoint) string {
	if e.Draining || !e.known {
		return "draining"
	}
	return "ready"
}
