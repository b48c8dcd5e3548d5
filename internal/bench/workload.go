package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// call is one simulated request of a caller, with its state in the simulation. Each of its attempts that reaches an
// engine is a sequence.
type call struct {
	id        string
	class     *classSpec
	workspace string
	zone      string
	// prompt and output are numbers of tokens; prompt includes the shared prefix.
	prompt int
	output int
	// blocks has the hashes of the leading blocks of the prompt.
	blocks  []uint64
	arrival time.Duration
	// poison says that the request crashes each engine that runs it.
	poison bool
	// content identifies the content of the request, which a resent request shares.
	content string
	// resends is how often the caller has sent the same content before.
	resends int

	// attempt is the number of the current attempt, from 1 on.
	attempt  uint32
	state    callState
	done     bool
	endpoint *engine
	sequence *sequence
	// submitOrder is the checker's event number of the submission of the current attempt.
	submitOrder uint64
	firstToken  time.Duration
	// resumedTokens is the number of tokens that earlier attempts have generated.
	resumedTokens int
	// avoid has the endpoints of failed attempts, and avoidZone the zone of the last one.
	avoid     []string
	avoidZone string
	// crashedEngine says that an engine crashed during an attempt of the call.
	crashedEngine bool
	// wasPreempted says that an attempt of the call was preempted.
	wasPreempted bool
}

// callState is the state of a call at the scheduler.
type callState uint8

const (
	// idle means that no attempt is waiting or granted.
	idle callState = iota
	// waiting is the state from the submission of an attempt until it is granted or shed.
	waiting
	// granted is the state from the grant of an attempt until its end is reported.
	granted
)

// workload has the parameters of a scenario that determine its arrivals.
type workload struct {
	// horizon is the end of the arrivals.
	horizon time.Duration
	// load is the offered load as a fraction of the capacity.
	load float64
	// sigma is the standard deviation of the logarithm of prompt and answer lengths.
	sigma float64
	// prefixes is the number of shared prompt prefixes of a class, each with prefixBlocks blocks. With
	// defaultPrefixes, each workspace has a prefix of its own; with another number, each call picks one at
	// random.
	prefixes     int
	prefixBlocks int
	// The class with tier burstTier gets additional arrivals at burstLoad times the capacity between
	// burstFrom and burstTo.
	burstTier          int
	burstLoad          float64
	burstFrom, burstTo time.Duration
	// burstShareOfLargest is the fraction of the burst that comes from workspace-0 alone; the rest is
	// distributed by workspaceWeights.
	burstShareOfLargest float64
	// poisonAt has the arrival times of requests that crash engines.
	poisonAt []time.Duration
}

// Defaults and limits of a workload.
const (
	defaultSigma        = 0.7
	defaultPrefixes     = 10
	defaultPrefixBlocks = 2
	// maxBlocks limits the number of prompt blocks that a request lists.
	maxBlocks = 64
)

// workspaceWeights is the distribution of requests over workspaces: a few large ones and several small
// ones.
var workspaceWeights = []float64{0.30, 0.20, 0.14, 0.08, 0.06, 0.06, 0.05, 0.05, 0.03, 0.03}

// source generates the calls of one class in order of arrival. They depend only on the seed, the
// scenario, the deployment and the class, so that every policy gets the same calls.
type source struct {
	rng        *rand.Rand
	dep        *deployment
	class      *classSpec
	workload   workload
	classIndex int
	now        time.Duration
	count      int
	// capacityRate is the rate, in calls/s of this class, that uses the whole capacity.
	capacityRate float64
}

func newSource(dep *deployment, w workload, class int, seed uint64) *source {
	spec := &dep.classes[class]
	prompt := spec.prompt + float64(w.prefixBlocks*blockTokens)
	return &source{
		rng:          rand.New(rand.NewPCG(seed, uint64(class)+1)),
		dep:          dep,
		class:        spec,
		workload:     w,
		classIndex:   class,
		capacityRate: float64(dep.engineCount) / dep.engine.engineSeconds(tier1BetweenTokens, prompt, spec.output),
	}
}

// next returns the next call, or nil after the horizon. Arrivals are a Poisson process, which is
// generated at the maximum rate and thinned to the current rate.
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
	if isBurst && s.rng.Float64() < s.workload.burstShareOfLargest {
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

// length draws a length in tokens from a log-normal distribution with the given mean, and limits it to
// 1 to maxLength.
func (s *source) length(mean float64, maxLength int) int {
	mu := math.Log(mean) - s.workload.sigma*s.workload.sigma/2
	return max(1, min(maxLength, int(math.Exp(mu+s.workload.sigma*s.rng.NormFloat64()))))
}

// blockHash mixes the bits of a block number with the finalizer of SplitMix64.
func blockHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
