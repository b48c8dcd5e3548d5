package bench

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Result has the results of a scenario by policy. Values are medians over the seeds unless stated
// otherwise.
type Result struct {
	Scenario   string                  `json:"scenario"`
	Deployment string                  `json:"deployment"`
	Seed       uint64                  `json:"seed"`
	Seeds      int                     `json:"seeds"`
	Policies   map[string]PolicyResult `json:"policies"`
}

// PolicyResult has the results of one policy.
type PolicyResult struct {
	Classes map[string]ClassResult `json:"classes"`
	// Goodput is the rate, in tokens/s, of complete answers that met all targets of their class.
	Goodput float64 `json:"goodput"`
	// GoodputSpread is the range over the seeds. GoodputShare is the goodput as a fraction of the upper
	// bound.
	GoodputSpread Spread  `json:"goodput_spread"`
	GoodputShare  float64 `json:"goodput_share"`
	// WastedWork is the fraction of the computed tokens that were of no use.
	WastedWork       float64            `json:"wasted_work"`
	WastedWorkSpread Spread             `json:"wasted_work_spread"`
	WastedByReason   map[string]float64 `json:"wasted_by_reason"`
	// TierViolations, TierViolationsByKind, ShedsByTier, ShedsByReason and InvalidDecisions are sums over
	// the seeds.
	TierViolations       int            `json:"tier_violations"`
	TierViolationsByKind violations     `json:"tier_violations_by_kind"`
	ShedsByTier          map[int]int    `json:"sheds_by_tier"`
	ShedsByReason        map[string]int `json:"sheds_by_reason"`
	// InvalidDecisions counts decisions about requests that were not in a matching state.
	InvalidDecisions int `json:"invalid_decisions"`
	// LowestShareMin and LowestShare are the minimum and the median, over windows, of the share of the
	// lowest class in the running requests while it had requests. The minimum is over all seeds.
	LowestShareMin float64 `json:"lowest_share_min"`
	LowestShare    float64 `json:"lowest_share"`
}

// ClassResult has the results of one class. Shares are relative to the offered requests.
type ClassResult struct {
	Attainment       float64 `json:"attainment"`
	AttainmentSpread Spread  `json:"attainment_spread"`
	// AttainmentSmall excludes the requests of the largest workspace.
	AttainmentSmall float64 `json:"attainment_small_workspaces"`
	Offered         float64 `json:"offered"`
	Completed       float64 `json:"completed"`
	Shed            float64 `json:"shed"`
	Abandoned       float64 `json:"abandoned"`
	Expired         float64 `json:"expired"`
	Failed          float64 `json:"failed"`
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds, over complete answers.
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
	// ShedWait is the median time, in milliseconds, from the arrival of a shed request to its rejection.
	ShedWait float64 `json:"shed_wait_ms"`
}

// Spread has the smallest and the largest value over the seeds.
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

// result returns the results of one simulation; bound is the upper bound of the goodput tokens.
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

// computedTokens returns the number of tokens that engines computed for the policy's requests.
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

// medianFields returns the fields that are medians over the seeds.
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

// summarize combines the simulations of one policy over the seeds.
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
