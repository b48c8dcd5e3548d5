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
	// share is the class's fraction of the offered load, measured in engine time; see engineSpec.engineSeconds.
	share float64
	// prompt and output are mean numbers of tokens; prompt excludes the shared prefix.
	prompt    float64
	output    float64
	maxTokens int
	// firstTokenTimeout and totalTimeout are how long a caller waits for the first token and for the
	// complete answer before it cancels the request.
	firstTokenTimeout time.Duration
	totalTimeout      time.Duration
}

// tier1BetweenTokens is the target for the time between tokens of the classes of tier 1. The
// capacity of an engine is computed for the largest batch that meets this target.
const tier1BetweenTokens = 34 * time.Millisecond

// standardEngine is the engine of the deployments. A step with a full batch of 48 takes 30.6 ms, and a
// full chunk of prompt tokens adds 10 ms, so that a fully loaded engine misses tier1BetweenTokens.
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

// smallEngine replaces the engine of a deployment in scenarios with a small fleet. The rate of arrivals is
// proportional to the capacity, which is small enough for the simulation of a whole day to take only seconds.
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

// hokkaido is a latency-sensitive deployment: questions must be answered fast, so attainment of the targets is
// its most important result.
func hokkaido() deployment {
	const ms, s = time.Millisecond, time.Second
	question := newClass("question", 1, policy.LateShed, 1200*ms, tier1BetweenTokens, 0)
	judging := newClass("judging", 2, policy.LateDemote, 4*s, 60*ms, 0)
	care := newClass("care_history", 3, policy.LateServe, 0, 0, 120*s)
	return deployment{
		zones:       []string{"sapporo", "asahikawa", "hakodate"},
		engineCount: 20,
		engine:      standardEngine,
		classes: []classSpec{
			{
				Class: question, share: 0.40, prompt: 200, output: 120, maxTokens: 1024,
				firstTokenTimeout: 5 * s, totalTimeout: 30 * s,
			},
			{
				Class: judging, share: 0.35, prompt: 1200, output: 300, maxTokens: 2048,
				firstTokenTimeout: 20 * s, totalTimeout: 75 * s,
			},
			{
				Class: care, share: 0.25, prompt: 10_000, output: 600, maxTokens: 4096,
				firstTokenTimeout: 120 * s, totalTimeout: 180 * s,
			},
		},
	}
}

// almaty is a throughput-oriented deployment: goodput and the share of wasted work are its most important results.
func almaty() deployment {
	const ms, s = time.Millisecond, time.Second
	lotStatus := newClass("lot_status", 1, policy.LateShed, 1200*ms, tier1BetweenTokens, 0)
	broker := newClass("broker", 2, policy.LateShed, 2500*ms, 50*ms, 0)
	dossier := newClass("dossier", 3, policy.LateServe, 0, 0, 600*s)
	return deployment{
		zones:       []string{"zone-1", "zone-2", "zone-3", "zone-4"},
		engineCount: 10,
		engine:      standardEngine,
		classes: []classSpec{
			{
				Class: lotStatus, share: 0.35, prompt: 150, output: 80, maxTokens: 512,
				firstTokenTimeout: 5 * s, totalTimeout: 20 * s,
			},
			{
				Class: broker, share: 0.40, prompt: 600, output: 200, maxTokens: 2048,
				firstTokenTimeout: 12 * s, totalTimeout: 70 * s,
			},
			{
				Class: dossier, share: 0.25, prompt: 6000, output: 1000, maxTokens: 4096,
				firstTokenTimeout: 900 * s, totalTimeout: 1200 * s,
			},
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
func (s engineSpec) maxBatchFor(between time.Duration) int {
	if between <= 0 {
		return s.maxBatch
	}
	return max(1, min(s.maxBatch, int((between-s.stepBase)/s.perSequence)))
}

// engineSeconds returns the engine time of a request in seconds, at the batch size of maxBatchFor.
func (s engineSpec) engineSeconds(between time.Duration, prompt, output float64) float64 {
	perToken := s.perSequence.Seconds() + s.stepBase.Seconds()/float64(s.maxBatchFor(between))
	return prompt*s.perPrefillToken.Seconds() + output*perToken
}
