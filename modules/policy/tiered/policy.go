package tiered

import (
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/internal/estimate"
	"github.com/chivewind/chivewind/internal/health"
	"github.com/chivewind/chivewind/policy"
)

// promptTokensPerOutputToken is the number of prompt tokens that cost an engine about as much as one
// generated token. Fair queueing charges workspaces for both.
const promptTokensPerOutputToken = 8

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

	classes      []*class
	classByName  map[string]*class
	endpoints    []*endpoint
	endpointByID map[string]*endpoint
	// items holds all waiting and running requests.
	items   map[policy.AttemptID]*item
	weights map[string]float64
	timers  indexHeap[*item]
	// preemptCandidates lists the requests that may preempt others in this step.
	preemptCandidates []policy.AttemptID
	// pendingDecisions holds decisions that the next flush returns to the caller.
	pendingDecisions []policy.Decision
	estimates        *estimate.Estimator
	health           *health.Monitor
	cache            *prefixCache

	now     time.Duration
	waiting int
	// seq is the number of the latest submission, grantPass that of the latest call of grantAll.
	seq       uint64
	grantPass uint64
	// hasInterTokenTarget says that some class has a target for the time between tokens.
	hasInterTokenTarget bool
	// totalSlots is the number of slots of all endpoints that accept work, freeSlots the unused ones.
	totalSlots int
	freeSlots  int
	// candidates are the endpoints that accept work and have free slots in this step.
	candidates []candidate
	// rotation is the offset at which choose starts, so that ties are spread over the endpoints.
	rotation int
	// prefixMatched says that the last call of choose found cached prefix blocks on some endpoint.
	prefixMatched bool
	prefill       prefillModel
	// prefillPerToken is the expected prefill time per prompt token.
	prefillPerToken time.Duration
	// preemptingCount counts running requests with a Preempt decision.
	preemptingCount int
	// trimAt and tickAt are when trim and tick are next due.
	trimAt time.Duration
	tickAt time.Duration
	// backoffEndsAt is when the endpoint that last refused a request may receive work again.
	backoffEndsAt  time.Duration
	tierViolations int

	// hasUnusedClass says that a class that is not configured may have no requests left.
	hasUnusedClass bool

	// The pools hold released records for reuse, freeIndexes the endpoint indexes that are not in use.
	itemPool    []*item
	flowPool    []*flow
	lanePool    []*lane
	freeIndexes []int
}

// New returns a policy without classes and endpoints.
func New(s Settings) *Policy {
	return &Policy{
		Settings:     s,
		classByName:  map[string]*class{},
		endpointByID: map[string]*endpoint{},
		items:        map[policy.AttemptID]*item{},
		weights:      map[string]float64{},
		estimates:    estimate.New(),
		health:       health.NewMonitor(),
		cache:        newPrefixCache(),
	}
}

// ModuleInfo implements chivewind.Module.
func (p *Policy) ModuleInfo() chivewind.ModuleInfo {
	return chivewind.ModuleInfo{
		ID:  "policy.tiered",
		New: func() chivewind.Module { return New(DefaultSettings()) },
	}
}

// SetWeights implements policy.Policy. A workspace with waiting requests in a lane keeps its previous
// weight in that lane until none of them waits.
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
	it.cost = float64(1 + r.PromptTokens/promptTokensPerOutputToken + it.series.OutputTokensQuantile(0.5, r.ResumedTokens, r.MaxTokens) - r.ResumedTokens)
	p.setDeadlines(it)
	if !p.servable(it) {
		it.noEndpointExpiry = now + p.NoEndpointWait
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
	it.submittedAt, it.tokens, it.lastTokenAt = now, tokens, now
	e := p.endpointFor(endpoint)
	p.start(now, it, e)
	p.startPrefill(now, it, e, 0)
	if e.configured {
		p.raiseLimit(e)
	}
}

// Status implements policy.Policy.
func (p *Policy) Status(now time.Duration) policy.Status {
	s := policy.Status{TierViolations: p.tierViolations}
	for _, c := range p.classes {
		s.Classes = append(s.Classes, policy.ClassStatus{
			Class: c.Name, Waiting: c.waiting, Running: c.running, Shed: c.shedCount,
		})
	}
	for _, e := range p.endpoints {
		state := e.health.State().String()
		if e.Draining || !e.configured {
			state = "draining"
		}
		s.Endpoints = append(s.Endpoints, policy.EndpointStatus{
			ID: e.ID, Zone: e.Zone, Running: e.running, Slots: p.slots(e), State: state,
		})
	}
	return s
}
