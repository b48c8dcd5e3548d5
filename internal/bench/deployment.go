package bench

import (
	"fmt"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// deployment is a fleet of engines and the request classes that it serves.
type deployment struct {
	zones       []string
	engineCount int
	engine      engineSpec
	classes     []classSpec
}

// classSpec is a request class and its traffic.
type classSpec struct {
	policy.Class
	// share is the class's fraction of the offered load, in engine time.
	share float64
	// prompt and output are mean numbers of tokens; prompt excludes the shared prefix.
	prompt    float64
	output    float64
	maxTokens int
	// firstTokenTimeout and totalTimeout are how long a caller waits for the first token and for the
	// complete answer before it leaves.
	firstTokenTimeout time.Duration
	totalTimeout      time.Duration
}

// interactiveBetweenTokens is the target for the time between tokens of the interactive classes. The
// capacity of an engine is computed for the largest batch that meets this target.
const interactiveBetweenTokens = 34 * time.Millisecond

// standardEngine is the engine of the deployments. A step with a full batch of 48 takes 30.6 ms, and a
// full chunk of prompt tokens adds 10 ms, so that a fully loaded engine misses interactiveBetweenTokens.
var standardEngine = engineSpec{
	stepBase:        9 * time.Millisecond,
	perSequence:     450 * time.Microsecond,
	perPrefillToken: 20 * time.Microsecond,
	prefillChunk:    512,
	maxBatch:        48,
	kvCacheTokens:   150_000,
	cacheBlocks:     400,
	maxSlots:        64,
}

// smallEngine has a small capacity, so that a day has few requests and its simulation takes only seconds.
var smallEngine = engineSpec{
	stepBase:        18 * time.Millisecond,
	perSequence:     1500 * time.Microsecond,
	perPrefillToken: 40 * time.Microsecond,
	prefillChunk:    256,
	maxBatch:        8,
	kvCacheTokens:   60_000,
	cacheBlocks:     100,
	maxSlots:        8,
}

// Deployments returns the names of all deployments.
func Deployments() []string { return []string{"hokkaido", "almaty"} }

func deploymentByName(name string) (deployment, error) {
	switch name {
	case "hokkaido":
		return hokkaido(), nil
	case "almaty":
		return almaty(), nil
	}
	return deployment{}, fmt.Errorf("unknown deployment %q; one of %v", name, Deployments())
}

// defaultFloor is the fraction of the slots that is guaranteed to each class.
const defaultFloor = 0.02

// hokkaido is a deployment for which attainment of the targets matters most: interactive questions must
// be answered fast.
func hokkaido() deployment {
	const ms, s = time.Millisecond, time.Second
	question := newClass("question", 1, policy.LateShed, 1200*ms, interactiveBetweenTokens, 0)
	judging := newClass("judging", 2, policy.LateDemote, 4*s, 60*ms, 0)
	care := newClass("care_history", 3, policy.LateServe, 0, 0, 120*s)
	return deployment{
		zones:       []string{"sapporo", "asahikawa", "hakodate"},
		engineCount: 20,
		engine:      standardEngine,
		classes: []classSpec{
			{question, 0.40, 200, 120, 1024, 5 * s, 30 * s},
			{judging, 0.35, 1200, 300, 2048, 20 * s, 75 * s},
			{care, 0.25, 10_000, 600, 4096, 120 * s, 180 * s},
		},
	}
}

// almaty is a deployment for which goodput and little wasted work matter most.
func almaty() deployment {
	const ms, s = time.Millisecond, time.Second
	lotStatus := newClass("lot_status", 1, policy.LateShed, 1200*ms, interactiveBetweenTokens, 0)
	broker := newClass("broker", 2, policy.LateShed, 2500*ms, 50*ms, 0)
	dossier := newClass("dossier", 3, policy.LateServe, 0, 0, 600*s)
	return deployment{
		zones:       []string{"zone-1", "zone-2", "zone-3", "zone-4"},
		engineCount: 10,
		engine:      standardEngine,
		classes: []classSpec{
			{lotStatus, 0.35, 150, 80, 512, 5 * s, 20 * s},
			{broker, 0.40, 600, 200, 2048, 12 * s, 70 * s},
			{dossier, 0.25, 6000, 1000, 4096, 900 * s, 1200 * s},
		},
	}
}

func newClass(name string, tier int, late policy.LateAction, first, between, total time.Duration) policy.Class {
	return policy.Class{
		Name: name, Tier: tier, FirstToken: first, BetweenTokens: between, Total: total,
		Floor: defaultFloor, Late: late,
	}
}

// maxBatchFor returns the largest batch whose steps without prompt tokens meet a target for the time
// between tokens; 0 means no target.
func (m engineSpec) maxBatchFor(between time.Duration) int {
	if between <= 0 {
		return m.maxBatch
	}
	return max(1, min(m.maxBatch, int((between-m.stepBase)/m.perSequence)))
}

// engineSeconds returns the engine time of a request in seconds, at the batch size of maxBatchFor.
func (m engineSpec) engineSeconds(between time.Duration, prompt, output float64) float64 {
	perToken := m.perSequence.Seconds() + m.stepBase.Seconds()/float64(m.maxBatchFor(between))
	return prompt*m.perPrefillToken.Seconds() + output*perToken
}
