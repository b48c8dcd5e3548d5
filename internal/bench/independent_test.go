package bench

import (
	"context"
	"testing"
)

// TestIndependent guards against simulated daemons that share one scheduler by mistake: one daemon must
// give the same result as the policy itself, and several daemons a different one.
func TestIndependent(t *testing.T) {
	goodput := func(n int) (direct, daemons float64) {
		variants, err := IndependentVariant("policy.strict_least", n)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(context.Background(), Options{Scenario: "steady", Deployment: "almaty", Seed: 3, Seeds: 1,
			Policies: []string{"strict_least"}, Variants: variants})
		if err != nil {
			t.Fatal(err)
		}
		for name, p := range r.Policies {
			if name == "strict_least" {
				direct = p.Goodput
			} else {
				daemons = p.Goodput
			}
		}
		return direct, daemons
	}
	if direct, daemons := goodput(1); direct == 0 || direct != daemons {
		t.Errorf("one daemon has goodput %v, the policy %v", daemons, direct)
	}
	if direct, daemons := goodput(4); direct == daemons {
		t.Errorf("four daemons have the goodput of one: %v", daemons)
	}
}
