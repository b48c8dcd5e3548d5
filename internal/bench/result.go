package bench

import (
	"slices"
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
	// ShedWait is the median time from the arrival to the refusal in milliseconds.
	ShedWait float64 `json:"shed_wait_ms"`
}

// Spread is the smallest and the largest value over the seeds.
type Spread struct {
	Min float64 `json:"min"`
	Max float64 `json:"max"`
}

var wasteReasonNames = [wasteReasonCount]string{
	"abandoned", "expired", "retried", "preempted", "duplicated", "failed",
}

var shedReasonNames = map[policy.ShedReason]string{
	policy.Overload: "overload", policy.Expired: "expired", policy.NoEndpoint: "no_endpoint",
}

// result returns the figures of one run.
func (s *sim) result(bound float64) PolicyResult {
	m := s.metrics
	computed := s.computedTokens()
	r := PolicyResult{
		Classes:              map[string]ClassResult{},
		Goodput:              float64(m.goodputTokens) / s.scenario.workload.horizon.Seconds(),
		GoodputShare:         ratio(m.goodputTokens, bound),
		WastedByReason:       map[string]float64{},
		TierViolationsByKind: s.checker.violations,
		ShedsByTier:          m.shedsByTier,
		ShedsByReason:        m.shedsByReason,
		InvalidDecisions:     m.invalidDecisions,
		LowestShareMin:       quantile(m.shares, 0),
		LowestShare:          quantile(m.shares, 0.5),
	}
	for i, tokens := range m.wastedTokens {
		share := ratio(tokens, computed)
		r.WastedByReason[wasteReasonNames[i]] = share
		r.WastedWork += share
	}
	for spec, n := range m.classes {
		r.Classes[spec.Name] = n.result()
	}
	return r
}

// computedTokens is the number of tokens that engines computedTokens for the policy's requests.
func (s *sim) computedTokens() int {
	n := 0
	for _, e := range s.engines {
		n += e.computedTokens
	}
	for _, q := range s.foreignSequences {
		n -= q.computedTokens()
	}
	return n
}

func (n *classCounts) result() ClassResult {
	ms := func(values []time.Duration, q float64) float64 {
		return ratio(quantile(values, q), time.Millisecond)
	}
	return ClassResult{
		Attainment:       ratio(n.attained, n.offered),
		AttainmentSmall:  ratio(n.attainedSmall, n.offeredSmall),
		Offered:          float64(n.offered),
		Completed:        ratio(n.outcomes[outcomeCompleted], n.offered),
		Shed:             ratio(n.outcomes[outcomeShed], n.offered),
		Abandoned:        ratio(n.outcomes[outcomeAbandoned], n.offered),
		Expired:          ratio(n.outcomes[outcomeExpired], n.offered),
		Failed:           ratio(n.outcomes[outcomeFailed], n.offered),
		FirstTokenP95:    ms(n.firstToken, 0.95),
		BetweenTokensP95: ms(n.between, 0.95),
		ShedWait:         ms(n.shedWait, 0.5),
	}
}

// medianFields lists the medians of a class.
func (c *ClassResult) medianFields() []*float64 {
	return []*float64{
		&c.Attainment, &c.AttainmentSmall, &c.Offered, &c.Completed, &c.Shed, &c.Abandoned,
		&c.Expired, &c.Failed, &c.FirstTokenP95, &c.BetweenTokensP95, &c.ShedWait,
	}
}

func ratio[A, B ~int | ~int64 | ~float64](a A, b B) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// summarize merges the runs of one policy over the seeds.
func summarize(runs []PolicyResult) PolicyResult {
	median := func(get func(PolicyResult) float64) (float64, Spread) { return medianOf(runs, get) }
	r := PolicyResult{
		Classes:        map[string]ClassResult{},
		WastedByReason: map[string]float64{},
		ShedsByTier:    map[int]int{},
		ShedsByReason:  map[string]int{},
	}
	r.Goodput, r.GoodputSpread = median(func(p PolicyResult) float64 { return p.Goodput })
	r.GoodputShare, _ = median(func(p PolicyResult) float64 { return p.GoodputShare })
	r.WastedWork, r.WastedWorkSpread = median(func(p PolicyResult) float64 { return p.WastedWork })
	r.LowestShare, _ = median(func(p PolicyResult) float64 { return p.LowestShare })
	_, lowest := median(func(p PolicyResult) float64 { return p.LowestShareMin })
	r.LowestShareMin = lowest.Min
	for _, name := range wasteReasonNames {
		r.WastedByReason[name], _ = median(func(p PolicyResult) float64 { return p.WastedByReason[name] })
	}
	for _, run := range runs {
		r.TierViolationsByKind.add(run.TierViolationsByKind)
		r.InvalidDecisions += run.InvalidDecisions
		for tier, n := range run.ShedsByTier {
			r.ShedsByTier[tier] += n
		}
		for reason, n := range run.ShedsByReason {
			r.ShedsByReason[reason] += n
		}
	}
	r.TierViolations = r.TierViolationsByKind.total()
	for name := range runs[0].Classes {
		r.Classes[name] = summarizeClass(runs, name)
	}
	return r
}

func summarizeClass(runs []PolicyResult, name string) ClassResult {
	var c ClassResult
	for i, median := range c.medianFields() {
		*median, _ = medianOf(runs, func(p PolicyResult) float64 {
			class := p.Classes[name]
			return *class.medianFields()[i]
		})
	}
	_, c.AttainmentSpread = medianOf(runs, func(p PolicyResult) float64 { return p.Classes[name].Attainment })
	return c
}

func medianOf(runs []PolicyResult, get func(PolicyResult) float64) (float64, Spread) {
	var values []float64
	for _, run := range runs {
		values = append(values, get(run))
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2, Spread{values[0], values[n-1]}
}
