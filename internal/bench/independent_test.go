package bench

import (
	"context"
	"testing"
)

// TestIndependent guards against simulated daemons that share one scheduler by mistake: one daemon must
// give the same result as the policy itself, and several daemons a different one.
func TestIndependent(t *testing.T) {
	goodput := func(name, scenario string, n int) (direct, daemons float64) {
		variants, err := IndependentVariant("policy."+name, n)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(context.Background(), Options{Scenario: scenario, Deployment: "almaty", Seed: 3, Seeds: 1,
			Policies: []string{name}, Variants: variants})
		if err != nil {
			t.Fatal(err)
		}
		for variant, p := range r.Policies {
			if variant == name {
				direct = p.Goodput
			} else {
				daemons = p.Goodput
			}
		}
		return direct, daemons
	}
	for _, c := range []struct{ name, scenario string }{{"strict_least", "steady"}, {"fifo_least", "burst"}} {
		if direct, daemons := goodput(c.name, c.scenario, 1); direct == 0 || direct != daemons {
			t.Errorf("%s: one daemon has goodput %v, the policy %v", c.name, daemons, direct)
		}
	}
	if direct, daemons := goodput("strict_least", "steady", 4); direct == daemons {
		t.Errorf("four daemons have the goodput of one: %v", daemons)
	}
}
