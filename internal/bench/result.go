package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Result has the figures of a scenario by policy. Figures without another note are medians over
// the seeds.
type Result struct {
	Scenario   string                  `json:"scenario"`
	Deployment string                  `json:"deployment"`
	Seed       uint64                  `json:"seed"`
	Seeds      int                     `json:"seeds"`
	Policies   map[string]PolicyResult `json:"policies"`
}

// PolicyResult has the figures of one policy.
type PolicyResult struct {
	Classes map[string]ClassResult `json:"classes"`
	// Goodput is in tokens/s of complete answers that met all targets of their class.
	Goodput float64 `json:"goodput"`
	// GoodputSpread is over the seeds; GoodputShare is relative to the bound.
	GoodputSpread Spread  `json:"goodput_spread"`
	GoodputShare  float64 `json:"goodput_share"`
	// WastedWork is the share of computed tokens that were of no use.
	WastedWork       float64            `json:"wasted_work"`
	WastedWorkSpread Spread             `json:"wasted_work_spread"`
	WastedByReason   map[string]float64 `json:"wasted_by_reason"`
	// TierViolations, its kinds, the sheds and InvalidDecisions are sums over the seeds.
	TierViolations       int            `json:"tier_violations"`
	TierViolationsByKind violations     `json:"tier_violations_by_kind"`
	ShedsByTier          map[int]int    `json:"sheds_by_tier"`
	ShedsByReason        map[string]int `json:"sheds_by_reason"`
	// InvalidDecisions counts decisions about requests that were not in the matching state.
	InvalidDecisions int `json:"invalid_decisions"`
	// LowestShareMin and LowestShare are the minimum and the median over windows of the lowest
	// class's share of the running requests while it had any; the minimum is over all seeds.
	LowestShareMin float64 `json:"lowest_share_min"`
	LowestShare    float64 `json:"lowest_share"`
}

// ClassResult has the figures of one class. Shares are of the offered requests.
type ClassResult struct {
	Attainment       float64 `json:"attainment"`
	AttainmentSpread Spread  `json:"attainment_spread"`
	// AttainmentSmall leaves out the requests of the largest workspace.
	AttainmentSmall float64 `json:"attainment_small_workspaces"`
	Offered         float64 `json:"offered"`
	Completed       float64 `json:"completed"`
	Shed            float64 `json:"shed"`
	Abandoned       float64 `json:"abandoned"`
	Expired         float64 `json:"expired"`
	Failed          float64 `json:"failed"`
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds, of complete answers.
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
}

// Spread is the smallest and the largest value over the seeds.
type Spread struct {
	Min float64 `json:"min"`
	Max float64 `json:"max"`
}

// outcome has the figures of one run.
type outcome struct {
	classes    map[string]ClassResult
	goodput    float64
	share      float64
	wasted     float64
	byReason   [reasonCount]float64
	violations violations
	sheds      map[int]int
	reasons    map[policy.ShedReason]int
	invalid    int
	shares     []float64
}

var reasonNames = [reasonCount]string{
	"abandoned", "expired", "retried", "preempted", "duplicated", "failed",
}

var shedNames = map[policy.ShedReason]string{
	policy.Overload: "overload", policy.Expired: "expired", policy.NoEndpoint: "no_endpoint",
}

func (s *sim) outcome(bound float64) outcome {
	m := s.metrics
	computed := 0
	for _, e := range s.engines {
		computed += e.computed
	}
	o := outcome{
		classes:    map[string]ClassResult{},
		goodput:    float64(m.goodTokens) / s.scenario.shape.horizon.Seconds(),
		share:      ratio(float64(m.goodTokens), bound),
		violations: s.checker.violations,
		sheds:      m.shedsByTier,
		reasons:    m.shedsByReason,
		invalid:    m.invalidDecisions,
		shares:     m.shares,
	}
	for i, tokens := range m.wasted {
		o.byReason[i] = ratio(float64(tokens), float64(computed))
		o.wasted += o.byReason[i]
	}
	for spec, n := range m.classes {
		o.classes[spec.Name] = n.result()
	}
	return o
}

func (n *classCount) result() ClassResult {
	share := func(e end) float64 { return ratio(float64(n.ends[e]), float64(n.offered)) }
	ms := func(values []time.Duration) float64 {
		return float64(quantile(values, 0.95)) / float64(time.Millisecond)
	}
	return ClassResult{
		Attainment:       ratio(float64(n.attained), float64(n.offered)),
		AttainmentSmall:  ratio(float64(n.attainedSmall), float64(n.offeredSmall)),
		Offered:          float64(n.offered),
		Completed:        share(endCompleted),
		Shed:             share(endShed),
		Abandoned:        share(endAbandoned),
		Expired:          share(endExpired),
		Failed:           share(endFailed),
		FirstTokenP95:    ms(n.firstToken),
		BetweenTokensP95: ms(n.between),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// summarize merges the runs of one policy over the seeds.
func summarize(runs []outcome) PolicyResult {
	over := func(get func(outcome) float64) (float64, Spread) { return medianOf(runs, get) }
	r := PolicyResult{
		Classes:        map[string]ClassResult{},
		WastedByReason: map[string]float64{},
		ShedsByTier:    map[int]int{},
		ShedsByReason:  map[string]int{},
		LowestShareMin: 1,
	}
	r.Goodput, r.GoodputSpread = over(func(o outcome) float64 { return o.goodput })
	r.GoodputShare, _ = over(func(o outcome) float64 { return o.share })
	r.WastedWork, r.WastedWorkSpread = over(func(o outcome) float64 { return o.wasted })
	r.LowestShare, _ = over(func(o outcome) float64 { return quantile(o.shares, 0.5) })
	for i, name := range reasonNames {
		r.WastedByReason[name], _ = over(func(o outcome) float64 { return o.byReason[i] })
	}
	for _, o := range runs {
		r.TierViolationsByKind.add(o.violations)
		r.InvalidDecisions += o.invalid
		r.LowestShareMin = min(r.LowestShareMin, quantile(o.shares, 0))
		for tier, n := range o.sheds {
			r.ShedsByTier[tier] += n
		}
		for why, n := range o.reasons {
			r.ShedsByReason[shedNames[why]] += n
		}
	}
	r.TierViolations = r.TierViolationsByKind.total()
	for name := range runs[0].classes {
		r.Classes[name] = summarizeClass(runs, name)
	}
	return r
}

func summarizeClass(runs []outcome, name string) ClassResult {
	var c ClassResult
	set := func(into *float64, get func(ClassResult) float64) Spread {
		var spread Spread
		*into, spread = medianOf(runs, func(o outcome) float64 { return get(o.classes[name]) })
		return spread
	}
	c.AttainmentSpread = set(&c.Attainment, func(c ClassResult) float64 { return c.Attainment })
	set(&c.AttainmentSmall, func(c ClassResult) float64 { return c.AttainmentSmall })
	set(&c.Offered, func(c ClassResult) float64 { return c.Offered })
	set(&c.Completed, func(c ClassResult) float64 { return c.Completed })
	set(&c.Shed, func(c ClassResult) float64 { return c.Shed })
	set(&c.Abandoned, func(c ClassResult) float64 { return c.Abandoned })
	set(&c.Expired, func(c ClassResult) float64 { return c.Expired })
	set(&c.Failed, func(c ClassResult) float64 { return c.Failed })
	set(&c.FirstTokenP95, func(c ClassResult) float64 { return c.FirstTokenP95 })
	set(&c.BetweenTokensP95, func(c ClassResult) float64 { return c.BetweenTokensP95 })
	return c
}

func medianOf(runs []outcome, get func(outcome) float64) (float64, Spread) {
	var values []float64
	for _, o := range runs {
		values = append(values, get(o))
	}
	return quantile(values, 0.5), Spread{quantile(values, 0), quantile(values, 1)}
}

func (v *violations) add(o violations) {
	v.ShedWhileLowerWaits += o.ShedWhileLowerWaits
	v.ShedAfterLowerGrant += o.ShedAfterLowerGrant
	v.ExpiredAfterLowerGrant += o.ExpiredAfterLowerGrant
	v.PreemptWhileLower += o.PreemptWhileLower
	v.ExpiredWhileLowerWaits += o.ExpiredWhileLowerWaits
}

// JSON returns the result as one line.
func (r Result) JSON() (string, error) {
	line, err := json.Marshal(r)
	return string(line), err
}

// String returns the result as a table.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "scenario %s, deployment %s, seeds %d to %d; medians (smallest to largest) over seeds\n",
		r.Scenario, r.Deployment, r.Seed, r.Seed+uint64(r.Seeds)-1)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	policies := slices.Sorted(maps.Keys(r.Policies))
	if len(policies) == 0 {
		return b.String()
	}
	classes := slices.Sorted(maps.Keys(r.Policies[policies[0]].Classes))
	fmt.Fprintf(w, "policy\tattainment %s\tgoodput tokens/s\tof bound\twasted\tsheds by tier\ttier violations\tlowest class min/median\n",
		strings.Join(classes, "\tattainment "))
	for _, name := range policies {
		p := r.Policies[name]
		fmt.Fprintf(w, "%s", name)
		for _, class := range classes {
			c := p.Classes[class]
			fmt.Fprintf(w, "\t%.1f%% (%.1f to %.1f)", 100*c.Attainment, 100*c.AttainmentSpread.Min, 100*c.AttainmentSpread.Max)
		}
		fmt.Fprintf(w, "\t%.0f (%.0f to %.0f)\t%.1f%%\t%.1f%%\t%s\t%d\t%.1f%%/%.1f%%\n",
			p.Goodput, p.GoodputSpread.Min, p.GoodputSpread.Max, 100*p.GoodputShare, 100*p.WastedWork,
			tiers(p.ShedsByTier), p.TierViolations, 100*p.LowestShareMin, 100*p.LowestShare)
	}
	w.Flush()
	return b.String()
}

func tiers(sheds map[int]int) string {
	var parts []string
	for _, tier := range slices.Sorted(maps.Keys(sheds)) {
		parts = append(parts, fmt.Sprintf("%d:%d", tier, sheds[tier]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}
