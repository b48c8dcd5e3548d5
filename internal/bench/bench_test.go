package bench

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/chivewind/chivewind/modules/policy/baseline"
	"github.com/chivewind/chivewind/policy"
)

// runScenario simulates one scenario on the Almaty deployment with a baseline policy.
func runScenario(t *testing.T, name, id string, seed uint64) *sim {
	t.Helper()
	sc, err := scenarioByName(name)
	if err != nil {
		t.Fatal(err)
	}
	s := newSim(sc.adapt(almaty()).clone(), sc, seed, baseline.New(id))
	if err := s.run(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestAccounting guards against calls that never end, against computed tokens that are counted twice or
// not at all, which would falsify the share of wasted work, and against an upper bound that a policy
// exceeds.
func TestAccounting(t *testing.T) {
	for _, info := range Scenarios() {
		if info.Name == "floor_day" {
			// A simulated day takes several seconds and covers the same code as the burst.
			continue
		}
		t.Run(info.Name, func(t *testing.T) {
			const seed = 7
			s := runScenario(t, info.Name, baseline.StrictLeastOutstanding, seed)
			if len(s.active) > 0 || s.metrics.invalidDecisions > 0 {
				t.Errorf("seed %d: %d unfinished calls, %d invalid decisions", seed, len(s.active), s.metrics.invalidDecisions)
			}
			for spec, n := range s.metrics.classes {
				ends := 0
				for _, k := range n.outcomes {
					ends += k
				}
				if ends != n.offered {
					t.Errorf("seed %d: class %s has %d calls and %d ends", seed, spec.Name, n.offered, ends)
				}
			}
			counted := s.metrics.usefulTokens
			for _, n := range s.metrics.wastedTokens {
				counted += n
			}
			if computed := s.computedTokens(); counted != computed {
				t.Errorf("seed %d: %d tokens counted, %d computed", seed, counted, computed)
			}
			if b := goodputBound(s.dep, s.scenario, seed); float64(s.metrics.goodputTokens) > b {
				t.Errorf("seed %d: goodput of %d tokens exceeds the bound %.0f", seed, s.metrics.goodputTokens, b)
			}
			for _, state := range s.checker.classList {
				if state.waiting != 0 || state.running != 0 {
					t.Errorf("seed %d: class %s ends with %d waiting and %d running", seed, state.class.Name, state.waiting, state.running)
				}
			}
		})
	}
}

// TestRunIsDeterministic guards against results that depend on the order of parallel simulations, and
// against entries of Options.Variants that are missing from the results.
func TestRunIsDeterministic(t *testing.T) {
	o := Options{
		Scenario: "crash", Deployment: "almaty", Seed: 11, Seeds: 2, Policies: []string{"policy.fifo_least"},
		Variants: map[string]func() policy.Policy{
			"variant": func() policy.Policy { return baseline.New(baseline.FIFOLeastOutstanding) },
		},
	}
	var lines []string
	for _, workers := range []int{1, 4} {
		o.Workers = workers
		r, err := Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		line, err := r.JSON()
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
		if !reflect.DeepEqual(r.Policies["fifo_least"], r.Policies["variant"]) {
			t.Errorf("seed %d: the same policy under two names has different results", o.Seed)
		}
	}
	if lines[0] != lines[1] {
		t.Errorf("seed %d: different results of the same runs:\n%s\n%s", o.Seed, lines[0], lines[1])
	}
}

// TestRunRejects guards against a misspelled name that is accepted and measures something else.
func TestRunRejects(t *testing.T) {
	for _, o := range []Options{
		{Scenario: "burts", Deployment: "almaty"},
		{Scenario: "burst", Deployment: "alamty"},
		{Scenario: "burst", Deployment: "almaty", Policies: []string{"fifo"}},
	} {
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("%+v: no error", o)
		}
	}
}

// TestAblateRejects guards against an ablation variant that equals the original policy because the
// policy has no such switch.
func TestAblateRejects(t *testing.T) {
	if _, err := AblationVariants("policy.fifo_least", "affinity"); err == nil {
		t.Error("no error for a policy without switches")
	}
}

// TestPoison guards against a request that crashes more than two engines when its caller sends it again.
func TestPoison(t *testing.T) {
	s := runScenario(t, "poison", baseline.FIFOLeastOutstanding, 3)
	for _, content := range []string{"poison-0", "poison-1"} {
		if n := s.recovery.crashes[content]; n != crashLimit {
			t.Errorf("%s: %d attempts ended by engine crashes, want %d", content, n, crashLimit)
		}
	}
}

// TestChecker guards against a check of the tier rule that misses a violation or that reports a grant
// within a floor.
func TestChecker(t *testing.T) {
	for _, c := range []struct {
		desc   string
		floor  float64
		grants int
		// waits is the number of requests of the lower tier that are still waiting.
		waits  int
		reason policy.ShedReason
		want   violations
	}{
		{"nothing below", 0, 0, 0, policy.Overload, violations{}},
		{"lower tier waits", 0, 0, 2, policy.Overload, violations{ShedWhileLowerWaits: 1}},
		{"lower tier waits for its floor", 0, 0, 1, policy.Overload, violations{ShedWhileFloorWaits: 1}},
		{"first grant in the window", 0, 1, 0, policy.Overload, violations{}},
		{"more grants than the floor", 0, 2, 0, policy.Overload, violations{ShedAfterLowerGrant: 1}},
		{"grants within the share", 0.5, 2, 0, policy.Overload, violations{}},
		{"expired after a grant", 0, 2, 2, policy.Expired, violations{ExpiredAfterLowerGrant: 1}},
		{"expired while a lower one waits", 0, 0, 2, policy.Expired, violations{ExpiredWhileLowerWaits: 1}},
		{"no endpoint", 0, 2, 2, policy.NoEndpoint, violations{}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			now := time.Minute
			high := &classState{class: policy.Class{Name: "high", Tier: 1}}
			low := &classState{class: policy.Class{Name: "low", Tier: 3, Floor: c.floor}, lastGrant: -time.Hour}
			k := &checker{
				now: &now, policy: baseline.New(baseline.FIFOLeastOutstanding), slots: 4, classList: []*classState{high, low},
				classes: map[string]*classState{"high": high, "low": low},
			}
			upper := &call{class: &classSpec{Class: high.class}}
			k.submit(upper)
			for range c.grants {
				lower := &call{class: &classSpec{Class: low.class}}
				k.submit(lower)
				k.recordDecision(lower, policy.Decision{Kind: policy.Grant})
			}
			for range c.waits {
				k.submit(&call{class: &classSpec{Class: low.class}})
			}
			k.recordDecision(upper, policy.Decision{Kind: policy.Shed, Reason: c.reason})
			if k.violations != c.want {
				t.Errorf("got %+v, want %+v", k.violations, c.want)
			}
		})
	}
}
