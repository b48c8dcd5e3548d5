// Package baseline provides simple scheduling policies for comparison with policy.tiered: FIFO with
// round-robin, FIFO with least outstanding requests, and strict priority with least outstanding
// requests.
//
// Each endpoint has a fixed number of slots, MaxSlots. Requests beyond that are queued, and a request
// is shed only when its class's MaxWait has passed or no endpoint can run it. The package starts no
// goroutines, opens no sockets and reads no clock.
package baseline

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/policy"
)

// The module ids of the baselines.
const (
	FIFORoundRobin         = "policy.fifo_roundrobin"
	FIFOLeastOutstanding   = "policy.fifo_least"
	StrictLeastOutstanding = "policy.strict_least"
)

// cooldown is how long an endpoint receives no work after it crashed or could not be reached.
// Without it a crashed endpoint would attract all requests, because it has none outstanding.
const cooldown = 5 * time.Second

// lowestTier is the tier of unknown classes. It orders their requests after all others.
const lowestTier = 1 << 20

// Policy is one of the baselines. Its zero value is not usable; use New.
type Policy struct {
	id         string
	strict     bool
	roundRobin bool

	classes   map[string]policy.Class
	queues    map[string]*queue
	endpoints []*endpoint
	waiting   map[policy.AttemptID]*item
	running   map[policy.AttemptID]*item
	shedCount map[string]uint64
	rotation  int
	sequence  uint64
	// classNames lists the classes with a queue in the order of their first request, so that the
	// decisions do not depend on the order of map keys.
	classNames []string
}

type endpoint struct {
	policy.Endpoint
	outstanding   int
	cooldownUntil time.Duration
	// gone says that the endpoint was removed.
	gone bool
}

var (
	_ policy.Policy    = (*Policy)(nil)
	_ chivewind.Module = (*Policy)(nil)
)

func init() {
	for _, id := range []string{FIFORoundRobin, FIFOLeastOutstanding, StrictLeastOutstanding} {
		chivewind.Register(New(id))
	}
}

// New returns the baseline policy with the given module id.
func New(id string) *Policy {
	return &Policy{
		id:         id,
		strict:     id == StrictLeastOutstanding,
		roundRobin: id == FIFORoundRobin,
		classes:    map[string]policy.Class{},
		queues:     map[string]*queue{},
		waiting:    map[policy.AttemptID]*item{},
		running:    map[policy.AttemptID]*item{},
		shedCount:  map[string]uint64{},
	}
}

// ModuleInfo implements chivewind.Module.
func (p *Policy) ModuleInfo() chivewind.ModuleInfo {
	id := p.id
	return chivewind.ModuleInfo{ID: id, New: func() chivewind.Module { return New(id) }}
}

// EnginePriority reports whether requests are sent to the engine with their tier as the priority.
func (p *Policy) EnginePriority() bool { return p.strict }

// SetClasses implements policy.Policy.
func (p *Policy) SetClasses(_ time.Duration, classes []policy.Class) {
	clear(p.classes)
	for _, c := range classes {
		p.classes[c.Name] = c
	}
}

// SetWeights implements policy.Policy. The baselines do not share by workspace.
func (p *Policy) SetWeights(time.Duration, []policy.Weight) {}

// SetEndpoints implements policy.Policy.
func (p *Policy) SetEndpoints(_ time.Duration, endpoints []policy.Endpoint) {
	old := p.endpoints
	p.endpoints = nil
	for _, e := range endpoints {
		state := &endpoint{}
		if i := slices.IndexFunc(old, func(o *endpoint) bool { return o.ID == e.ID }); i >= 0 {
			state = old[i]
			old = slices.Delete(slices.Clone(old), i, i+1)
		}
		state.Endpoint = e
		p.endpoints = append(p.endpoints, state)
	}
	for _, e := range old {
		e.gone = true
	}
}

// Submit implements policy.Policy.
func (p *Policy) Submit(now time.Duration, r *policy.Request) {
	q := p.queues[r.Class]
	if q == nil {
		q = &queue{}
		p.queues[r.Class] = q
		p.classNames = append(p.classNames, r.Class)
	}
	p.sequence++
	it := &item{request: r, submitted: now, sequence: p.sequence}
	q.add(it)
	p.waiting[r.ID] = it
}

// Resume implements policy.Policy.
func (p *Policy) Resume(_ time.Duration, r *policy.Request, id string, _ int) {
	it := &item{request: r}
	for _, e := range p.endpoints {
		if e.ID == id {
			it.endpoint = e
			e.outstanding++
		}
	}
	p.running[r.ID] = it
}

// Progress implements policy.Policy. The baselines do not use it.
func (p *Policy) Progress(time.Duration, policy.AttemptID, int, time.Duration) {}

// Finish implements policy.Policy.
func (p *Policy) Finish(now time.Duration, id policy.AttemptID, outcome policy.Outcome, _ int) {
	e := p.release(id)
	if e != nil && (outcome == policy.NotSent || outcome == policy.Crashed) {
		e.cooldownUntil = now + cooldown
	}
}

// Cancel implements policy.Policy.
func (p *Policy) Cancel(_ time.Duration, id policy.AttemptID) {
	if it := p.waiting[id]; it != nil {
		p.queues[it.request.Class].remove(it)
		delete(p.waiting, id)
		return
	}
	p.release(id)
}

// release frees the slot of a running attempt and returns its endpoint, or nil.
func (p *Policy) release(id policy.AttemptID) *endpoint {
	it := p.running[id]
	if it == nil {
		return nil
	}
	delete(p.running, id)
	if it.endpoint != nil {
		it.endpoint.outstanding--
	}
	return it.endpoint
}

// Report implements policy.Policy. The baselines use only their own counts.
func (p *Policy) Report(time.Duration, policy.LoadReport) {}

// Status implements policy.Policy.
func (p *Policy) Status(now time.Duration) policy.Status {
	var s policy.Status
	for _, name := range p.classNames {
		s.Classes = append(s.Classes, policy.ClassStatus{
			Class:   name,
			Waiting: p.queues[name].length,
			Running: p.runningInClass(name),
			Shed:    p.shedCount[name],
		})
	}
	for _, e := range p.endpoints {
		state := "ready"
		switch {
		case e.Draining:
			state = "draining"
		case now < e.cooldownUntil:
			state = "ejected"
		}
		s.Endpoints = append(s.Endpoints, policy.EndpointStatus{
			ID: e.ID, Zone: e.Zone, Running: e.outstanding, Slots: e.MaxSlots, State: state,
		})
	}
	return s
}

func (p *Policy) runningInClass(class string) int {
	n := 0
	for _, it := range p.running {
		if it.request.Class == class {
			n++
		}
	}
	return n
}
