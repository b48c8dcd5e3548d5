package tiered

import (
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/internal/health"
	"github.com/chivewind/chivewind/policy"
)

// promptTokensPerToken is how many prompt tokens cost an engine about as much as one generated
// token. Fair queueing charges workspaces for both.
const promptTokensPerToken = 8

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
	// items holds all waiting and running requests.
	items   map[policy.AttemptID]*item
	weights map[string]float64
	timers  indexHeap[*item]
	// urgent lists requests that may preempt in this step.
	urgent []policy.AttemptID
	// pending holds decisions made outside Step.
	pending   []policy.Decision
	estimates *estimate.Estimator
	health    *health.Monitor
	cache     *prefixCache

	now     time.Duration
	waiting int
	seq     uint64
	pass    uint64
	// paced says that a class has a target for the time between tokens.
	paced bool
	// capacity is the number of slots of all open endpoints, free the unused ones.
	capacity int
	free     int
	// candidates are the open endpoints with free slots in this step.
	candidates []candidate
	rotation   int
	// matched says that the last choice found cached blocks.
	matched bool
	prefill prefillModel
	// perToken is the expected time per prompt token.
	perToken   time.Duration
	preempting int
	trimAt     time.Duration
	tickAt     time.Duration
	// wakeAt is when the last endpoint that refused a request may receive work again.
	wakeAt     time.Duration
	violations int

	// unused says that a class that is not in the settings has lost its last request.
	unused bool

	spareItems   []*item
	spareFlows   []*flow
	spareLanes   []*lane
	spareIndexes []int
}

// New returns a policy without classes and endpoints.
func New(s Settings) *Policy {
	return &Policy{
		Settings:  s,
		byName:    map[string]*class{},
		byID:      map[string]*endpoint{},
		items:     map[policy.AttemptID]*item{},
		weights:   map[string]float64{},
		estimates: estimate.New(),
		health:    health.NewMonitor(),
		cache:     newPrefixCache(),
	}
}

// ModuleInfo implements chivewind.Module.
func (p *Policy) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{
		ID:  "policy.tiered",
		New: func() chivewind.Module { return New(DefaultSettings()) },
	}
}

// SetWeights implements policy.Policy. A workspace with waiting requests in a class keeps its weight
// there until they are gone.
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
	it := p.newItem(r, p.classFor(now, r.Class))
	it.submittedAt = now
	it.cost = float64(1 + r.PromptTokens/promptTokensPerToken + it.series.Tokens(0.5, r.ResumedTokens, r.MaxTokens) - r.ResumedTokens)
	p.schedule(it)
	if !p.servable(it) {
		it.stranded = now + p.NoEndpointWait
	}
	p.laneFor(it).add(it)
	p.setTimer(it)
	p.admit(now, it)
}

// Resume implements policy.Policy.
func (p *Policy) Resume(now time.Duration, r *policy.Request, endpoint string, tokens int) {
	if p.items[r.ID] != nil {
		return
	}
	it := p.newItem(r, p.classFor(now, r.Class))
	it.submittedAt, it.tokens, it.progressAt = now, tokens, now
	e := p.endpointFor(endpoint)
	p.start(now, it, e)
	p.startPrefill(now, it, e, 0)
	if e.known {
		p.raiseLimit(e)
	}
}

// Status implements policy.Policy.
func (p *Policy) Status(now time.Duration) policy.Status {
	s := policy.Status{TierViolations: p.violations}
	for _, c := range p.classes {
		s.Classes = append(s.Classes, policy.ClassStatus{
			Class: c.Name, Waiting: c.waiting, Running: c.running, Shed: c.shed,
		})
	}
	for _, e := range p.endpoints {
		state := e.health.State().String()
		if e.Draining || !e.known {
			state = "draining"
		}
		s.Endpoints = append(s.Endpoints, policy.EndpointStatus{
			ID: e.ID, Zone: e.Zone, Running: e.running, Slots: p.slots(e), State: state,
		})
	}
	return s
}
