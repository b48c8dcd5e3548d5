package tiered

import (
	"fmt"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/policy"
)

// simulation runs a shard in simulated time: requests arrive, run for a fixed time per class and end.
type simulation struct {
	p   *Policy
	now time.Duration
	// serviceTime is how long a request of each class runs.
	serviceTime map[string]time.Duration
	ends        []completion
	count       int
	// granted, shed and longestGap are by class; longestGap is between two grants.
	granted    map[string]int
	shed       map[string]int
	lastGrant  map[string]time.Duration
	longestGap map[string]time.Duration
	classOf    map[string]string
}

type completion struct {
	at time.Duration
	id policy.AttemptID
}

func newSimulation(s Settings, classes []policy.Class, endpoints []policy.Endpoint) *simulation {
	r := &simulation{
		p: New(s), serviceTime: map[string]time.Duration{}, granted: map[string]int{}, shed: map[string]int{},
		lastGrant: map[string]time.Duration{}, longestGap: map[string]time.Duration{}, classOf: map[string]string{},
	}
	r.p.SetClasses(0, classes)
	r.p.SetEndpoints(0, endpoints)
	return r
}

func (r *simulation) submit(class, workspace string) {
	r.count++
	id := policy.AttemptID{Request: fmt.Sprint("r", r.count), Number: 1}
	r.classOf[id.Request] = class
	r.p.Submit(r.now, &policy.Request{ID: id, Class: class, Workspace: workspace, Arrival: r.now})
}

func (r *simulation) step() {
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.at <= r.now {
			r.p.Finish(r.now, e.id, policy.Completed, 0)
			delete(r.classOf, e.id.Request)
		} else {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	decisions, _ := r.p.Step(r.now, nil)
	for _, d := range decisions {
		class := r.classOf[d.ID.Request]
		switch d.Kind {
		case policy.Grant:
			r.granted[class]++
			r.longestGap[class] = max(r.longestGap[class], r.now-r.lastGrant[class])
			r.lastGrant[class] = r.now
			r.ends = append(r.ends, completion{r.now + r.serviceTime[class], d.ID})
		case policy.Shed:
			r.shed[class]++
			delete(r.classOf, d.ID.Request)
		}
	}
}

// TestNoClassStarvesForADay guards against the starvation of a class, whether its floor is above or below
// one slot, while the load of a higher tier alone exceeds the capacity for a day, and against a floor that
// takes much more than its share from the higher tier. It also checks the tier rule over the whole day.
func TestNoClassStarvesForADay(t *testing.T) {
	r := newSimulation(withPreemption(), []policy.Class{
		{Name: "quick", Tier: 1, FirstToken: 4 * time.Second, Late: policy.LateShed},
		{Name: "read", Tier: 2, Total: 10 * time.Minute, Late: policy.LateShed, Floor: 0.02},
		{Name: "batch", Tier: 3, Total: 24 * time.Hour, Late: policy.LateServe, Floor: 0.25},
	}, []policy.Endpoint{{ID: "e1", MaxSlots: 4}, {ID: "e2", MaxSlots: 4}})
	r.serviceTime = map[string]time.Duration{"quick": 2 * time.Second, "read": 5 * time.Second, "batch": 20 * time.Second}
	for r.now = 0; r.now < 24*time.Hour; r.now += time.Second {
		// The 8 slots serve 4 quick requests a second, so that 6 a second overload the shard.
		for range 6 {
			r.submit("quick", "w")
		}
		if r.now%(10*time.Second) == 0 {
			r.submit("read", "w")
			r.submit("batch", "w")
		}
		r.step()
	}
	if n := r.p.Status(r.now).TierViolations; n != 0 {
		t.Errorf("%d violations of the tier rule", n)
	}
	// Slots become free each second, so a grant within a floor is late by at most one second.
	if gap := r.longestGap["read"]; gap > 31*time.Second {
		t.Errorf("%s without a grant of read", gap)
	}
	if gap := r.longestGap["batch"]; gap > 21*time.Second {
		t.Errorf("%s without a grant of batch", gap)
	}
	slotSeconds := map[string]float64{}
	for class, n := range r.granted {
		slotSeconds[class] = float64(n) * r.serviceTime[class].Seconds() / (24 * 3600)
	}
	// The floor of batch is 2 of 8 slots, that of read one grant per floor window.
	if got := slotSeconds["batch"]; got < 1.9 || got > 2.6 {
		t.Errorf("batch used %.2f slots on average, want its floor of 2", got)
	}
	if got := slotSeconds["quick"]; got < 4.5 {
		t.Errorf("quick used %.2f slots on average, want most of the rest", got)
	}
}

// TestWorkspacesShareByWeight guards against a small workspace that waits behind a large one, and
// against weights without effect: grants follow the weights while all workspaces have requests
// waiting.
func TestWorkspacesShareByWeight(t *testing.T) {
	r := newSimulation(withPreemption(), []policy.Class{
		{Name: "read", Tier: 2, Total: 24 * time.Hour, Late: policy.LateServe},
	}, []policy.Endpoint{{ID: "e1", MaxSlots: 1}})
	r.p.SetWeights(0, []policy.Weight{{Workspace: "double", Value: 2}})
	workspaces := map[string]string{}
	add := func(workspace string, n int) {
		for range n {
			r.submit("read", workspace)
			workspaces[fmt.Sprint("r", r.count)] = workspace
		}
	}
	add("large", 1000)
	add("double", 200)
	add("small", 50)
	got := map[string]int{}
	for range 120 {
		decisions, _ := r.p.Step(r.now, nil)
		for _, d := range decisions {
			got[workspaces[d.ID.Request]]++
			r.p.Finish(r.now, d.ID, policy.Completed, 0)
		}
		r.now += time.Second
	}
	if got["large"] < 29 || got["large"] > 31 || got["double"] < 59 || got["double"] > 61 {
		t.Errorf("grants %v, want 30, 60 and 30", got)
	}
}

// TestRuleCheckDetectsViolations guards against a check of the tier rule that cannot fail: when the order
// of requests ignores tiers, the check must report violations.
func TestRuleCheckDetectsViolations(t *testing.T) {
	s := withPreemption()
	s.Disabled.Tiers = true
	r := newSimulation(s, []policy.Class{
		{Name: "quick", Tier: 1, FirstToken: 4 * time.Second, Late: policy.LateShed},
		{Name: "batch", Tier: 3, FirstToken: time.Second, Late: policy.LateServe},
	}, []policy.Endpoint{{ID: "e1", MaxSlots: 2}})
	r.serviceTime = map[string]time.Duration{"quick": time.Second, "batch": time.Second}
	for r.now = 0; r.now < 30*time.Second; r.now += time.Second {
		for range 4 {
			r.submit("quick", "w")
			r.submit("batch", "w")
		}
		r.step()
	}
	if r.p.Status(r.now).TierViolations == 0 {
		t.Error("no violation reported although batch went before quick")
	}
}

// TestHardBound guards against memory that grows with the queue, and against a hard bound that sheds
// requests of a higher tier or requests that a floor protects.
func TestHardBound(t *testing.T) {
	s := withPreemption()
	s.MaxWaiting = 50
	r := newSimulation(s, []policy.Class{
		{Name: "quick", Tier: 1, FirstToken: time.Hour, Late: policy.LateServe},
		{Name: "batch", Tier: 3, Total: 24 * time.Hour, Late: policy.LateServe},
	}, []policy.Endpoint{{ID: "e1", MaxSlots: 1}})
	for range 40 {
		r.submit("batch", "w")
	}
	for range 60 {
		r.submit("quick", "w")
	}
	r.step()
	// One of 50 remaining requests is granted, and one of batch is left.
	if r.shed["batch"] != 39 || r.shed["quick"] != 11 || r.p.waiting != 49 {
		t.Errorf("shed %v, waiting %d", r.shed, r.p.waiting)
	}
	if n := r.p.Status(r.now).TierViolations; n != 0 {
		t.Errorf("%d violations of the tier rule", n)
	}
}

// TestSettings guards against settings that are not read, and against invalid ones that are
// accepted.
func TestSettings(t *testing.T) {
	for _, c := range []struct {
		desc string
		yaml string
		ok   bool
	}{
		{"defaults", "{}", true},
		{"a mechanism off and a duration", "floor_window: 5s\noff: {floors: true}", true},
		{"unknown key", "flor_window: 5s", false},
		{"no floor window", "floor_window: 0s", false},
		{"factor above one", "limit_decrease: 1.5", false},
		{"bound below the mean", "affinity_bound: 0.5", false},
		{"no queue", "max_waiting: 0", false},
		{"negative lead", "preempt_lead: -1s", false},
		{"negative cache", "cache_blocks: -1", false},
	} {
		var node yaml.Node
		if err := yaml.Unmarshal([]byte(c.yaml), &node); err != nil {
			t.Fatal(err)
		}
		m, err := chivewind.Load(&chivewind.Context{}, "policy.tiered", node.Content[0])
		if (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.desc, err)
		}
		if c.desc == "a mechanism off and a duration" && err == nil {
			p := m.(*Policy)
			if p.FloorWindow != 5*time.Second || !p.Disabled.Floors || p.MaxWaiting != DefaultSettings().MaxWaiting {
				t.Errorf("%s: settings %+v", c.desc, p.Settings)
			}
		}
	}
}

// withPreemption returns the default settings with preemption on, so that tests cover its rules.
func withPreemption() Settings {
	s := DefaultSettings()
	s.Disabled.Preemption = false
	return s
}
