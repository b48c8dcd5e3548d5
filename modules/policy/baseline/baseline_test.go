package baseline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/policy"
)

func setUp(t *testing.T, id string) policy.Policy {
	t.Helper()
	m, err := chivewind.Load(nil, id, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := m.(policy.Policy)
	p.SetClasses(0, []policy.Class{{Name: "high", Tier: 1}, {Name: "low", Tier: 3, MaxWait: 2 * time.Second}})
	p.SetEndpoints(0, []policy.Endpoint{{ID: "a", MaxSlots: 1}, {ID: "b", MaxSlots: 2}})
	return p
}

func submit(p policy.Policy, now time.Duration, id, class string) {
	p.Submit(now, &policy.Request{ID: policy.AttemptID{Request: id, Number: 1}, Class: class, Arrival: now})
}

// step runs a step and returns its decisions as "request:kind:endpoint" and the time of the next step.
func step(p policy.Policy, now time.Duration) (string, time.Duration) {
	decisions, next := p.Step(now, nil)
	var out []string
	for _, d := range decisions {
		out = append(out, fmt.Sprintf("%s:%d:%s", d.ID.Request, d.Kind, d.Endpoint))
	}
	return strings.Join(out, " "), next
}

// TestOrderAndChoice guards against a baseline that orders requests or chooses endpoints
// differently from its name, which would make every comparison with it wrong.
func TestOrderAndChoice(t *testing.T) {
	for _, c := range []struct{ desc, id, first, second string }{
		{"order of arrival, in turn", FIFORoundRobin, "1:1:a 2:1:b 3:1:b", "4:1:b"},
		{"order of arrival, fewest outstanding", FIFOLeastOutstanding, "1:1:a 2:1:b 3:1:b", "4:1:b"},
		{"highest tier first", StrictLeastOutstanding, "3:1:a 4:1:b 1:1:b", "2:1:b"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			p := setUp(t, c.id)
			for i, class := range []string{"low", "low", "high", "high"} {
				submit(p, time.Duration(i), fmt.Sprint(i+1), class)
			}
			got, _ := step(p, 10)
			if got != c.first {
				t.Errorf("first step: %s, want %s", got, c.first)
			}
			second := strings.Split(c.first, " ")[1][:1]
			p.Finish(20, policy.AttemptID{Request: second, Number: 1}, policy.Completed, 5)
			if got, _ = step(p, 20); got != c.second {
				t.Errorf("second step: %s, want %s", got, c.second)
			}
		})
	}
}

// TestMaxWaitAndCancel guards against requests that stay queued after MaxWait or after their caller has
// disconnected, and against a step that does not return the time at which MaxWait passes.
func TestMaxWaitAndCancel(t *testing.T) {
	p := setUp(t, FIFOLeastOutstanding)
	for i := range 3 {
		submit(p, 0, fmt.Sprint(i), "high")
	}
	submit(p, time.Second, "late", "low")
	submit(p, time.Second, "gone", "low")
	p.Cancel(time.Second, policy.AttemptID{Request: "gone", Number: 1})
	if _, next := step(p, time.Second); next != 3*time.Second {
		t.Errorf("next step at %s, want 3s", next)
	}
	if got, _ := step(p, 3*time.Second); got != "late:2:" {
		t.Errorf("decisions %q, want late to be refused", got)
	}
}

// TestCooldown guards against a crashed endpoint that attracts all requests because it has none
// outstanding.
func TestCooldown(t *testing.T) {
	p := setUp(t, FIFOLeastOutstanding)
	submit(p, 0, "1", "high")
	step(p, 0)
	p.Finish(time.Second, policy.AttemptID{Request: "1", Number: 1}, policy.Crashed, 0)
	for i := range 3 {
		submit(p, time.Second, fmt.Sprint("n", i), "high")
	}
	got, next := step(p, time.Second)
	if got != "n0:1:b n1:1:b" || next != 6*time.Second {
		t.Errorf("decisions %q, next %s; want both slots of b and 6s", got, next)
	}
	if got, _ := step(p, 6*time.Second); got != "n2:1:a" {
		t.Errorf("after the cooldown: %q, want n2 on a", got)
	}
}
