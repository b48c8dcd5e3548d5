package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/policy"
)

// independentSchedulers simulates daemons that schedule without coordination. Each has its own policy,
// which sees all endpoints and load reports, but only the requests of that daemon.
type independentSchedulers struct {
	daemons []policy.Policy
}

var _ policy.Policy = (*independentSchedulers)(nil)

// IndependentVariant returns a variant for Options.Variants in which n daemons with the policy schedule requests
// to the same endpoints without coordination. Its name has the form "tiered-independent-8".
func IndependentVariant(id string, n int) (map[string]func() policy.Policy, error) {
	name := strings.TrimPrefix(id, "policy.")
	if _, err := loadPolicy("policy."+name, nil); err != nil {
		return nil, err
	}
	build := func() policy.Policy {
		f := &independentSchedulers{}
		for range n {
			// Errors are ruled out: the same policy was loaded above.
			p, _ := loadPolicy("policy."+name, nil)
			f.daemons = append(f.daemons, p)
		}
		return f
	}
	return map[string]func() policy.Policy{fmt.Sprintf("%s-independent-%d", name, n): build}, nil
}

// policyFor returns the policy of the daemon that schedules a request, which is the same for all
// attempts.
func (f *independentSchedulers) policyFor(request string) policy.Policy {
	return f.daemons[xxhash.Sum64String(request)%uint64(len(f.daemons))]
}

// SetClasses implements policy.Policy.
func (f *independentSchedulers) SetClasses(now time.Duration, classes []policy.Class) {
	for _, p := range f.daemons {
		p.SetClasses(now, classes)
	}
}

// SetWeights implements policy.Policy.
func (f *independentSchedulers) SetWeights(now time.Duration, weights []policy.Weight) {
	for _, p := range f.daemons {
		p.SetWeights(now, weights)
	}
}

// SetEndpoints implements policy.Policy.
func (f *independentSchedulers) SetEndpoints(now time.Duration, endpoints []policy.Endpoint) {
	for _, p := range f.daemons {
		p.SetEndpoints(now, endpoints)
	}
}

// Submit implements policy.Policy.
func (f *independentSchedulers) Submit(now time.Duration, r *policy.Request) {
	f.policyFor(r.ID.Request).Submit(now, r)
}

// Resume implements policy.Policy.
func (f *independentSchedulers) Resume(now time.Duration, r *policy.Request, endpoint string, tokens int) {
	f.policyFor(r.ID.Request).Resume(now, r, endpoint, tokens)
}

// Progress implements policy.Policy.
func (f *independentSchedulers) Progress(now time.Duration, id policy.AttemptID, tokens int, firstToken time.Duration) {
	f.policyFor(id.Request).Progress(now, id, tokens, firstToken)
}

// Finish implements policy.Policy.
func (f *independentSchedulers) Finish(now time.Duration, id policy.AttemptID, outcome policy.Outcome, tokens int) {
	f.policyFor(id.Request).Finish(now, id, outcome, tokens)
}

// Cancel implements policy.Policy.
func (f *independentSchedulers) Cancel(now time.Duration, id policy.AttemptID) {
	f.policyFor(id.Request).Cancel(now, id)
}

// Report implements policy.Policy.
func (f *independentSchedulers) Report(now time.Duration, report policy.LoadReport) {
	for _, p := range f.daemons {
		p.Report(now, report)
	}
}

// Step implements policy.Policy.
func (f *independentSchedulers) Step(now time.Duration, dst []policy.Decision) ([]policy.Decision, time.Duration) {
	var earliest time.Duration
	for _, p := range f.daemons {
		var next time.Duration
		dst, next = p.Step(now, dst)
		if next > 0 && (earliest == 0 || next < earliest) {
			earliest = next
		}
	}
	return dst, earliest
}

// Status implements policy.Policy. Classes and violations are sums; endpoints are those of one daemon.
func (f *independentSchedulers) Status(now time.Duration) policy.Status {
	sum := f.daemons[0].Status(now)
	for _, p := range f.daemons[1:] {
		s := p.Status(now)
		sum.TierViolations += s.TierViolations
		for _, c := range s.Classes {
			addClass(&sum, c)
		}
	}
	return sum
}

// addClass adds the counts of a class to the status.
func addClass(sum *policy.Status, c policy.ClassStatus) {
	for i := range sum.Classes {
		if sum.Classes[i].Class == c.Class {
			sum.Classes[i].Waiting += c.Waiting
			sum.Classes[i].Running += c.Running
			sum.Classes[i].Shed += c.Shed
			return
		}
	}
	sum.Classes = append(sum.Classes, c)
}

// EnginePriority reports whether requests are sent to the engine with their tier as the priority, as the daemons' policy
// chooses.
func (f *independentSchedulers) EnginePriority() bool {
	p, ok := f.daemons[0].(prioritizer)
	return !ok || p.EnginePriority()
}
