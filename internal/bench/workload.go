package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// call is one request of a caller, with the state that its driver keeps.
type call struct {
	id        string
	class     *classSpec
	workspace string
	zone      string
	prompt    int
	output    int
	blocks    []uint64
	arrival   time.Duration
	poison    bool
	// content identifies the request's content: a resent request has the same.
	content string
	resends int

	attempt  uint32
	state    callState
	done     bool
	endpoint *engine
	sequence *sequence
	// submitOrder is the checker's count of events when the attempt was submitted.
	submitOrder   uint64
	firstToken    time.Duration
	resumedTokens int
	avoid         []string
	avoidZone     string
	suspect       bool
	wasPreempted  bool
}

type callState uint8

const (
	idle callState = iota
	waiting
	granted
)

// workload has the parts of a scenario that determine its arrivals.
type workload struct {
	horizon time.Duration
	// load is the offered load as a share of the capacity.
	load float64
	// sigma is the standard deviation of the logarithm of lengths.
	sigma float64
	// prefixes is the number of shared prompt prefixes, each of prefixBlocks blocks.
	prefixes     int
	prefixBlocks int
	// burstTier's class arrives at burstLoad times the capacity between burstFrom and burstTo.
	burstTier          int
	burstLoad          float64
	burstFrom, burstTo time.Duration
	// largeShare is the share of the burst that one workspace sends; 0 means the usual mix.
	largeShare float64
	// poisonAt are the arrivals of requests that crash engines.
	poisonAt []time.Duration
}

// defaults of a shape.
const (
	defaultSigma        = 0.7
	defaultPrefixes     = 10
	defaultPrefixBlocks = 2
	// maxBlocks bounds the blocks of a prompt that a request names.
	maxBlocks = 64
)

// workspaceWeights is the usual mix: a few large workspaces and several small ones.
var workspaceWeights = []float64{0.30, 0.20, 0.14, 0.08, 0.06, 0.06, 0.05, 0.05, 0.03, 0.03}

// source generates the calls of one class in the order of arrival. It depends only on the seed,
// the scenario and the class, so that every policy gets the same calls.
type source struct {
	rng        *rand.Rand
	dep        *deployment
	class      *classSpec
	workload   workload
	classIndex int
	now        time.Duration
	count      int
	// capacityRate is the rate in calls/s that amounts to the whole capacity.
	capacityRate float64
}

func newSource(dep *deployment, sh workload, class int, seed uint64) *source {
	spec := &dep.classes[class]
	prompt := spec.prompt + float64(sh.prefixBlocks*blockTokens)
	return &source{
		rng:          rand.New(rand.NewPCG(seed, uint64(class)+1)),
		dep:          dep,
		class:        spec,
		workload:     sh,
		classIndex:   class,
		capacityRate: float64(dep.engines) / dep.model.engineSeconds(interactiveBetweenTokens, prompt, spec.output),
	}
}

// next returns the next call, or nil after the horizon. Gaps are exponential at the highest
// rate and thinned to the current one.
func (s *source) next() *call {
	baseRate := s.workload.load * s.class.share * s.capacityRate
	burstRate := 0.0
	if s.class.Tier == s.workload.burstTier {
		burstRate = s.workload.burstLoad * s.capacityRate
	}
	maxRate := baseRate + burstRate
	for {
		s.now += time.Duration(s.rng.ExpFloat64() / maxRate * float64(time.Second))
		if s.now >= s.workload.horizon {
			return nil
		}
		isBurst := s.rng.Float64()*maxRate >= baseRate
		if isBurst && (s.now < s.workload.burstFrom || s.now >= s.workload.burstTo) {
			continue
		}
		return s.call(isBurst)
	}
}

func (s *source) call(isBurst bool) *call {
	s.count++
	c := &call{
		id:      fmt.Sprintf("%s-%d", s.class.Name, s.count),
		class:   s.class,
		zone:    s.dep.zones[s.rng.IntN(len(s.dep.zones))],
		arrival: s.now,
	}
	c.content = c.id
	workspace := s.pickWorkspace(isBurst)
	c.workspace = fmt.Sprintf("workspace-%d", workspace)
	prefix := workspace
	if s.workload.prefixes != defaultPrefixes {
		prefix = s.rng.IntN(s.workload.prefixes)
	}
	prompt := s.length(s.class.prompt, 32*1024)
	c.prompt = s.workload.prefixBlocks*blockTokens + prompt
	c.output = s.length(s.class.output, s.class.maxTokens)
	for i := range s.workload.prefixBlocks {
		c.blocks = append(c.blocks, blockHash(uint64(s.classIndex+1)<<48|uint64(prefix+1)<<32|uint64(i)))
	}
	for i := range min(maxBlocks-s.workload.prefixBlocks, prompt/blockTokens) {
		c.blocks = append(c.blocks, blockHash(uint64(s.classIndex+1)<<56|uint64(s.count)<<8|uint64(i)))
	}
	return c
}

func (s *source) pickWorkspace(isBurst bool) int {
	if isBurst && s.rng.Float64() < s.workload.largeShare {
		return 0
	}
	x := s.rng.Float64()
	for i, w := range workspaceWeights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(workspaceWeights) - 1
}

// length draws from a log-normal distribution with the given mean, before the cut at most.
func (s *source) length(mean float64, maxLength int) int {
	mu := math.Log(mean) - s.workload.sigma*s.workload.sigma/2
	return max(1, min(maxLength, int(math.Exp(mu+s.workload.sigma*s.rng.NormFloat64()))))
}

// blockHash spreads the bits of a block's number (the finalizer of SplitMix64).
func blockHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
