package bench

import (
	"context"
	"testing"
)

// TestIndependent guards against independent daemons that actually share one scheduler: a single daemon
// must give the same result as the policy itself, and several daemons a different one.
func TestIndependent(t *testing.T) {
	goodput := func(daemons int) (single, fleet float64) {
		variants, err := Independent("policy.strict_least", daemons)
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
				single = p.Goodput
			} else {
				fleet = p.Goodput
			}
		}
		return single, fleet
	}
	if alone, fleet := goodput(1); alone == 0 || alone != fleet {
		t.Errorf("one daemon has goodput %v, the policy %v", fleet, alone)
	}
	if alone, fleet := goodput(4); alone == fleet {
		t.Errorf("four daemons have the goodput of one: %v", fleet)
	}
}
