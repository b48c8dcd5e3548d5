package bench

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// largestWorkspace sends the most requests, see workspaceWeights.
const largestWorkspace = "workspace-0"

// collector counts what happens in one run.
type collector struct {
	classes map[*classSpec]*classCount
	wasted  [reasonCount]int
	// useful are the computed tokens of completed calls without those counted as wasted.
	useful int
	// goodTokens are the answer tokens of complete answers that met their targets.
	goodTokens       int
	shedsByTier      map[int]int
	shedsByReason    map[string]int
	invalidDecisions int

	// shares are the lowest class's shares of the running requests over windows.
	shares       []float64
	windowSize   int
	samples      int
	lowest, both int
	demand       bool
	lowestName   string
}

// classCount counts the calls of a class; calls that crash engines are not counted.
type classCount struct {
	offered       int
	offeredSmall  int
	attained      int
	attainedSmall int
	ends          [endFailed + 1]int
	firstToken    []time.Duration
	between       []time.Duration
	shedWait      []time.Duration
}

func newCollector(dep *deployment, windowSize int) *collector {
	m := &collector{
		classes:       map[*classSpec]*classCount{},
		shedsByTier:   map[int]int{},
		shedsByReason: map[string]int{},
		windowSize:    windowSize,
		demand:        true,
	}
	tier := 0
	for i := range dep.classes {
		spec := &dep.classes[i]
		m.classes[spec] = &classCount{}
		if spec.Tier > tier {
			tier, m.lowestName = spec.Tier, spec.Name
		}
	}
	return m
}

func (m *collector) arrive(c *call) {
	if c.poison {
		return
	}
	n := m.classes[c.class]
	n.offered++
	if c.workspace != largestWorkspace {
		n.offeredSmall++
	}
}

func (m *collector) offered(c *call) int { return m.classes[c.class].offered }

func (m *collector) end(c *call, how end) {
	if !c.poison {
		m.classes[c.class].ends[how]++
	}
}

func (m *collector) waste(why reason, tokens int) { m.wasted[why] += tokens }

func (m *collector) shed(c *call, now time.Duration, tier int, why policy.ShedReason) {
	m.classes[c.class].shedWait = append(m.classes[c.class].shedWait, now-c.arrival)
	m.shedsByTier[tier]++
	m.shedsByReason[shedNames[why]]++
}

// complete records a complete answer. The time between tokens is the mean over the answer.
func (m *collector) complete(c *call, now time.Duration) {
	m.useful += c.kept + c.sequence.computed()
	if c.poison {
		return
	}
	n := m.classes[c.class]
	first := c.firstToken - c.arrival
	var between time.Duration
	if c.output > 1 {
		between = (now - c.firstToken) / time.Duration(c.output-1)
	}
	n.firstToken = append(n.firstToken, first)
	n.between = append(n.between, between)
	if !meets(first, c.class.FirstToken) || !meets(between, c.class.BetweenTokens) ||
		!meets(now-c.arrival, c.class.Total) {
		return
	}
	n.attained++
	if c.workspace != largestWorkspace {
		n.attainedSmall++
	}
	m.goodTokens += c.output
}

func meets(value, target time.Duration) bool { return target == 0 || value <= target }

// sample adds the running requests of one instant to the current window. Windows in which the
// lowest class had no request at some sample are left out.
func (m *collector) sample(classes []*classState) {
	for _, state := range classes {
		m.both += state.running
		if state.class.Name == m.lowestName {
			m.lowest += state.running
			m.demand = m.demand && state.running+state.waiting > 0
		}
	}
	m.samples++
	if m.samples < m.windowSize {
		return
	}
	if m.demand && m.both > 0 {
		m.shares = append(m.shares, float64(m.lowest)/float64(m.both))
	}
	m.samples, m.lowest, m.both, m.demand = 0, 0, 0, true
}

// quantile returns the q-quantile of unsorted values, or zero without values.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
