package tiered

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivewind/chivewind/policy"
)

// model is a reference model of a shard. It generates events and checks each decision of the policy.
type model struct {
	t          *rapid.T
	p          *Policy
	now        time.Duration
	classes    map[string]policy.Class
	endpoints  map[string]policy.Endpoint
	waiting    []*policy.Request
	running    []*policy.Request
	endpointOf map[string]string
	lastGrant  map[string]time.Duration
	preempted  map[string]bool
	// waitedDuringSwitch holds the requests that waited during a preset switch. They must not be shed
	// as overload.
	waitedDuringSwitch map[string]bool
	classList          []policy.Class
	// floors holds each class's floor in slots before the current step.
	floors map[string]int
	// resubmit holds the next attempts of the requests that were preempted in this step.
	resubmit []*policy.Request
	count    int
}

var (
	testClasses   = []string{"a", "b", "c", "d"}
	testEndpoints = []string{"e1", "e2", "e3", "e4", "e5"}
)

func (m *model) setClasses() {
	var list []policy.Class
	seconds := rapid.IntRange(0, 20)
	for _, name := range testClasses {
		if rapid.IntRange(0, 5).Draw(m.t, "absent") == 0 {
			continue
		}
		list = append(list, policy.Class{
			Name:       name,
			Tier:       rapid.IntRange(1, 3).Draw(m.t, "tier"),
			FirstToken: time.Duration(seconds.Draw(m.t, "first")) * time.Second,
			Total:      time.Duration(seconds.Draw(m.t, "total")) * 2 * time.Second,
			MaxWait:    time.Duration(seconds.Draw(m.t, "wait")) * time.Second,
			Floor:      rapid.SampledFrom([]float64{0, 0.02, 0.2, 0.4}).Draw(m.t, "floor"),
			Late:       policy.LateAction(rapid.IntRange(1, 3).Draw(m.t, "late")),
		})
	}
	m.p.SetClasses(m.now, list)
	if slices.Equal(list, m.classList) {
		return
	}
	m.classList = list
	for _, c := range list {
		m.classes[c.Name] = c
	}
	for _, r := range m.waiting {
		m.waitedDuringSwitch[r.ID.Request] = true
	}
}

func (m *model) setEndpoints() {
	var list []policy.Endpoint
	clear(m.endpoints)
	for i, id := range testEndpoints {
		if rapid.IntRange(0, 4).Draw(m.t, "absent") == 0 {
			continue
		}
		e := policy.Endpoint{
			ID: id, Zone: fmt.Sprint("z", i%2), MaxSlots: rapid.IntRange(1, 3).Draw(m.t, "slots"),
			Draining: rapid.IntRange(0, 4).Draw(m.t, "drain") == 0,
		}
		if i%2 == 0 {
			e.Adapters = []string{"x"}
		}
		list = append(list, e)
		m.endpoints[id] = e
	}
	m.p.SetEndpoints(m.now, list)
}

func (m *model) submit() {
	for range rapid.IntRange(1, 6).Draw(m.t, "burst") {
		m.count++
		r := &policy.Request{
			ID:        policy.AttemptID{Request: fmt.Sprint("r", m.count), Number: 1},
			Class:     rapid.SampledFrom(testClasses).Draw(m.t, "class"),
			Workspace: rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(m.t, "workspace"),
			Zone:      rapid.SampledFrom([]string{"z0", "z1"}).Draw(m.t, "zone"),
			Arrival:   m.now, MaxTokens: 100, Blocks: []uint64{uint64(m.count % 3), uint64(m.count % 5)},
		}
		switch rapid.IntRange(0, 9).Draw(m.t, "kind") {
		case 0:
			r.Adapter = "x"
		case 1:
			r.Suspect = true
		case 2:
			r.Avoid = []string{rapid.SampledFrom(testEndpoints).Draw(m.t, "avoid")}
		case 3:
			r.AvoidZone = "z0"
		case 4:
			r.Deadline = m.now + 8*time.Second
		case 5:
			r.WasPreempted = true
		}
		m.p.Submit(m.now, r)
		m.waiting = append(m.waiting, r)
		m.step()
	}
}

func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	r := rapid.SampledFrom(m.running).Draw(m.t, "running")
	outcome := rapid.SampledFrom([]policy.Outcome{
		policy.Completed, policy.Completed, policy.Completed, policy.Failed, policy.Crashed, policy.Refused,
	}).Draw(m.t, "outcome")
	m.p.Progress(m.now, r.ID, 50, 100*time.Millisecond)
	m.p.Finish(m.now, r.ID, outcome, 60)
	m.end(r)
}

func (m *model) end(r *policy.Request) {
	m.running = slices.DeleteFunc(m.running, func(o *policy.Request) bool { return o == r })
	delete(m.endpointOf, r.ID.Request)
}

func (m *model) cancel() {
	if len(m.waiting) == 0 {
		return
	}
	r := rapid.SampledFrom(m.waiting).Draw(m.t, "waiting")
	m.p.Cancel(m.now, r.ID)
	m.waiting = slices.DeleteFunc(m.waiting, func(o *policy.Request) bool { return o == r })
}

// report delivers a load report that is up to three seconds old.
func (m *model) report() {
	at := m.now - time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "lag"))*time.Millisecond
	m.p.Report(m.now, policy.LoadReport{
		Endpoint: rapid.SampledFrom(testEndpoints).Draw(m.t, "reporter"), MeasuredAt: max(0, at),
		Running: rapid.IntRange(0, 3).Draw(m.t, "engine running"), CacheSequence: uint64(m.count),
		CacheAdded: []uint64{uint64(m.count % 7)}, CacheRemoved: []uint64{uint64(m.count % 3)},
	})
}

// resume registers a request that a previous scheduler granted, possibly on an unknown endpoint.
func (m *model) resume() {
	m.count++
	r := &policy.Request{
		ID: policy.AttemptID{Request: fmt.Sprint("r", m.count), Number: 1}, Arrival: m.now,
		Class: rapid.SampledFrom(testClasses).Draw(m.t, "class"),
	}
	endpointID := rapid.SampledFrom(append(testEndpoints, "gone")).Draw(m.t, "place")
	m.p.Resume(m.now, r, endpointID, 10)
	m.running = append(m.running, r)
	m.endpointOf[r.ID.Request] = endpointID
}

func (m *model) advance() {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "ms")) * time.Millisecond
}

// allowed reports whether a request may run on an endpoint, regardless of its load.
func (m *model) allowed(r *policy.Request, e policy.Endpoint) bool {
	if e.Draining || slices.Contains(r.Avoid, e.ID) || r.Adapter != "" && !slices.Contains(e.Adapters, r.Adapter) {
		return false
	}
	return !r.Suspect || !slices.ContainsFunc(m.running, func(o *policy.Request) bool {
		return o.Suspect && m.endpointOf[o.ID.Request] == e.ID
	})
}

func (m *model) step() {
	for _, c := range m.p.classes {
		if c.waiting < 0 || c.running < 0 {
			m.t.Fatalf("negative counts of class %s", c.Name)
		}
		if c.waiting == 0 && len(c.lanes) > 0 {
			m.t.Fatalf("class %s has state of workspaces without requests", c.Name)
		}
		m.floors[c.Name] = c.floorSlots // A request may be shed before the step updates the floors.
	}
	decisions, next := m.p.Step(m.now, nil)
	for _, d := range decisions {
		switch d.Kind {
		case policy.Grant:
			m.grant(d)
		case policy.Shed:
			m.shed(d)
		case policy.Preempt:
			m.preempt(d)
		}
	}
	again := m.resubmit
	m.resubmit = nil
	for _, r := range again {
		m.p.Submit(m.now, r)
		m.waiting = append(m.waiting, r)
		m.step()
	}
	if len(again) > 0 {
		return
	}
	if next != 0 && next <= m.now {
		m.t.Fatalf("the next step at %s is not after %s", next, m.now)
	}
	status := m.p.Status(m.now)
	if status.TierViolations != 0 {
		m.t.Fatalf("%d violations of the tier rule", status.TierViolations)
	}
	m.checkWorkConserving(status)
}

func (m *model) takeWaiting(d policy.Decision) *policy.Request {
	i := slices.IndexFunc(m.waiting, func(r *policy.Request) bool { return r.ID == d.ID })
	if i < 0 {
		m.t.Fatalf("decision %+v on a request that does not wait", d)
	}
	r := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	return r
}

func (m *model) grant(d policy.Decision) {
	r := m.takeWaiting(d)
	e, ok := m.endpoints[d.Endpoint]
	if !ok || !m.allowed(r, e) {
		m.t.Fatalf("request %+v granted endpoint %q", r, d.Endpoint)
	}
	it := m.p.items[d.ID]
	for _, o := range m.waiting {
		// While a request of a higher tier that could use the slot waits, only a grant within the floor
		// may go first.
		if m.tier(o) < m.tier(r) && m.allowed(o, e) && !it.withinFloor {
			m.t.Fatalf("%s of tier %d granted beyond its floor before %s", r.ID.Request, m.tier(r), o.ID.Request)
		}
	}
	if it.withinFloor {
		m.checkFloor(r)
	}
	m.lastGrant[r.Class] = m.now
	m.running = append(m.running, r)
	m.endpointOf[r.ID.Request] = e.ID
}

// checkFloor checks that a grant within the floor is within the class's share or due by the floor window.
func (m *model) checkFloor(r *policy.Request) {
	running := 0
	for _, o := range m.running {
		if o.Class == r.Class {
			running++
		}
	}
	last := m.lastGrant[r.Class]
	slots := 3 * len(m.endpoints)
	if float64(running) >= m.classes[r.Class].Floor*float64(slots) && m.now-last < 10*time.Second {
		m.t.Fatalf("%s granted within its floor with %d running, last grant %s ago", r.ID.Request, running, m.now-last)
	}
}

func (m *model) tier(r *policy.Request) int { return m.p.classByName[r.Class].Tier }

func (m *model) shed(d policy.Decision) {
	r := m.takeWaiting(d)
	if d.RetryAfter <= 0 {
		m.t.Fatalf("shed without a time to retry: %+v", d)
	}
	if d.Reason != policy.Overload {
		return
	}
	if m.waitedDuringSwitch[d.ID.Request] && m.p.MaxWaiting > 100 {
		m.t.Fatalf("%s shed as overload although it waited during a switch", d.ID.Request)
	}
	own := m.p.classByName[r.Class]
	for _, o := range m.waiting {
		if c := m.p.classByName[o.Class]; own != nil && c.Tier > own.Tier && c.waiting > max(1, c.floorSlots, m.floors[o.Class]) {
			m.t.Fatalf("%s of tier %d shed while %d of class %s in tier %d wait", r.ID.Request, own.Tier, c.waiting, c.Name, c.Tier)
		}
	}
}

func (m *model) preempt(d policy.Decision) {
	i := slices.IndexFunc(m.running, func(r *policy.Request) bool { return r.ID == d.ID })
	if i < 0 || m.preempted[d.ID.Request] || m.running[i].WasPreempted {
		m.t.Fatalf("preempted %+v, which does not run or was preempted before", d)
	}
	r := m.running[i]
	if !slices.ContainsFunc(m.waiting, func(o *policy.Request) bool { return m.tier(o) < m.tier(r) }) {
		m.t.Fatalf("preempted %s although no higher tier waits", d.ID.Request)
	}
	m.preempted[d.ID.Request] = true
	m.p.Finish(m.now, r.ID, policy.Preempted, 10)
	m.end(r)
	again := *r
	again.ID.Number, again.WasPreempted = 2, true
	m.resubmit = append(m.resubmit, &again)
}

// checkWorkConserving checks that no request waits while a slot that it could use is free.
func (m *model) checkWorkConserving(status policy.Status) {
	for _, s := range status.Endpoints {
		own := m.p.endpointByID[s.ID]
		free := m.p.acceptsWork(own) && m.p.usedSlots(own, m.now) < s.Slots
		e, ok := m.endpoints[s.ID]
		if !free || !ok {
			continue
		}
		for _, r := range m.waiting {
			if m.allowed(r, e) {
				m.t.Fatalf("%s waits while %s has %d of %d slots in use", r.ID.Request, s.ID, s.Running, s.Slots)
			}
		}
	}
}

// TestRandomEvents guards against any sequence of events after which the policy breaks a rule: tier
// order, floors, eligibility of endpoints, idle slots with waiting requests, decisions on unknown
// requests, and refusals because of a switch. rapid prints the seed of a failure.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := withPreemption()
		settings.MaxWaiting = rapid.SampledFrom([]int{12, 1000}).Draw(t, "max waiting")
		m := &model{
			t: t, p: New(settings), classes: map[string]policy.Class{},
			endpoints: map[string]policy.Endpoint{}, endpointOf: map[string]string{},
			lastGrant: map[string]time.Duration{}, preempted: map[string]bool{}, waitedDuringSwitch: map[string]bool{}, floors: map[string]int{},
		}
		m.setClasses()
		m.setEndpoints()
		actions := []func(){
			m.submit, m.submit, m.submit, m.submit, m.finish, m.finish, m.finish, m.finish,
			m.advance, m.advance, m.cancel, m.setClasses, m.setEndpoints, m.report, m.resume,
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			m.step()
		}
	})
}
