package tiered

import (
	"testing"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/policy"
)

// TestLoadAndGrantByTier guards against a module that cannot be loaded by its id, and a policy that
// leaves slots unused or takes a lower tier first.
func TestLoadAndGrantByTier(t *testing.T) {
	m, err := chivewind.Load(&chivewind.Context{}, "policy.tiered", nil)
	if err != nil {
		t.Fatal(err)
	}
	p := m.(policy.Policy)
	p.SetClasses(0, []policy.Class{
		{Name: "quick", Tier: 1, FirstToken: time.Second, Late: policy.LateServe},
		{Name: "batch", Tier: 3, Total: time.Hour, Late: policy.LateServe},
	})
	p.SetEndpoints(0, []policy.Endpoint{{ID: "e1", MaxSlots: 2}})
	for _, id := range []string{"b1", "b2", "b3", "b4"} {
		p.Submit(0, &policy.Request{ID: policy.AttemptID{Request: id, Number: 1}, Class: "batch"})
	}
	p.Submit(0, &policy.Request{ID: policy.AttemptID{Request: "q1", Number: 1}, Class: "quick"})
	p.Submit(0, &policy.Request{ID: policy.AttemptID{Request: "q2", Number: 1}, Class: "quick"})
	got, _ := p.Step(0, nil)
	if len(got) != 2 || got[0].ID.Request != "q1" || got[1].ID.Request != "q2" {
		t.Fatalf("decisions %+v, want grants of q1 and q2", got)
	}
	p.Finish(time.Second, got[1].ID, policy.Completed, 0)
	got, _ = p.Step(time.Second, nil)
	if len(got) != 1 || got[0].ID.Request != "b1" {
		t.Fatalf("decisions %+v, want a grant of b1", got)
	}
}
