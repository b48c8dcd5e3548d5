package bench

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// largestWorkspace is the workspace with the most requests, see workspaceWeights.
const largestWorkspace = "workspace-0"

// collector records the metrics of one simulation.
type collector struct {
	classes      map[*classSpec]*classCounts
	wastedTokens [wasteReasonCount]int
	// usefulTokens counts the computed tokens of completed calls that are not counted as wasted.
	usefulTokens int
	// goodputTokens counts the tokens of complete answers that met all targets of their class.
	goodputTokens    int
	shedsByTier      map[int]int
	shedsByReason    map[string]int
	invalidDecisions int

	// shares has, for each window, the share of the lowest class in the running requests.
	shares []float64
	// windowSize is the number of samples of a window; samples, lowestRunning and allRunning are sums over
	// the current one.
	windowSize                int
	samples                   int
	lowestRunning, allRunning int
	// lowestActive says whether the lowest class had a request at each sample of the window.
	lowestActive bool
	lowestName   string
}

// classCounts counts the calls of a class, without poison requests. The fields ending in Small leave out
// the largest workspace.
type classCounts struct {
	offered       int
	offeredSmall  int
	attained      int
	attainedSmall int
	outcomes      [outcomeFailed + 1]int
	firstToken    []time.Duration
	between       []time.Duration
	shedWait      []time.Duration
}

func newCollector(dep *deployment, windowSize int) *collector {
	m := &collector{
		classes:       map[*classSpec]*classCounts{},
		shedsByTier:   map[int]int{},
		shedsByReason: map[string]int{},
		windowSize:    windowSize,
		lowestActive:  true,
	}
	tier := 0
	for i := range dep.classes {
		spec := &dep.classes[i]
		m.classes[spec] = &classCounts{}
		if spec.Tier > tier {
			tier, m.lowestName = spec.Tier, spec.Name
		}
	}
	return m
}

func (m *collector) recordArrival(c *call) {
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

func (m *collector) recordOutcome(c *call, outcome callOutcome) {
	if !c.poison {
		m.classes[c.class].outcomes[outcome]++
	}
}

func (m *collector) recordWaste(reason wasteReason, tokens int) { m.wastedTokens[reason] += tokens }

func (m *collector) recordShed(c *call, now time.Duration, tier int, reason policy.ShedReason) {
	m.classes[c.class].shedWait = append(m.classes[c.class].shedWait, now-c.arrival)
	m.shedsByTier[tier]++
	m.shedsByReason[shedReasonNames[reason]]++
}

// recordCompletion records a complete answer. The time between tokens is the mean over the answer.
func (m *collector) recordCompletion(c *call, now time.Duration) {
	m.usefulTokens += c.resumedTokens + c.sequence.computedTokens()
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
	if !meetsTarget(first, c.class.FirstToken) || !meetsTarget(between, c.class.BetweenTokens) ||
		!meetsTarget(now-c.arrival, c.class.Total) {
		return
	}
	n.attained++
	if c.workspace != largestWorkspace {
		n.attainedSmall++
	}
	m.goodputTokens += c.output
}

func meetsTarget(value, target time.Duration) bool { return target == 0 || value <= target }

// sampleShares adds the running requests of one instant to the current window. Windows in which the
// lowest class had no request at some sample are left out.
func (m *collector) sampleShares(classes []*classState) {
	for _, state := range classes {
		m.allRunning += state.running
		if state.class.Name == m.lowestName {
			m.lowestRunning += state.running
			m.lowestActive = m.lowestActive && state.running+state.waiting > 0
		}
	}
	m.samples++
	if m.samples < m.windowSize {
		return
	}
	if m.lowestActive && m.allRunning > 0 {
		m.shares = append(m.shares, float64(m.lowestRunning)/float64(m.allRunning))
	}
	m.samples, m.lowestRunning, m.allRunning, m.lowestActive = 0, 0, 0, true
}

// quantile returns the q-quantile of values in any order, or zero if there are none.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
