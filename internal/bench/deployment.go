package bench

import (
	"fmt"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// deployment is a fleet of engines and the classes that use it.
type deployment struct {
	name    string
	zones   []string
	engines int
	model   engineModel
	classes []classSpec
}

// classSpec is a class with its traffic.
type classSpec struct {
	policy.Class
	// share is the class's share of the load, in engine time.
	share float64
	// prompt and output are mean numbers of tokens; prompt is without the shared prefix.
	prompt    float64
	output    float64
	maxTokens int
	// patience is how long a caller waits for the first token, and patienceTotal for the end.
	patience      time.Duration
	patienceTotal time.Duration
}

// quickBetween is the target between tokens of the quick classes; engine capacity is counted at
// the largest batch that meets it.
const quickBetween = 34 * time.Millisecond

// runner is the model of today's engines. A full batch of 48 takes 30.6 ms a step, a step with a
// full chunk of prompt tokens 10 ms more, so that a full engine misses quickBetween.
var runner = engineModel{
	base:        9 * time.Millisecond,
	perSequence: 450 * time.Microsecond,
	perPrefill:  20 * time.Microsecond,
	chunk:       512,
	batch:       48,
	kvTokens:    150_000,
	cacheBlocks: 400,
	slots:       64,
}

// smallRunner has few and slow slots, which keeps a day of virtual time affordable.
var smallRunner = engineModel{
	base:        18 * time.Millisecond,
	perSequence: 1500 * time.Microsecond,
	perPrefill:  40 * time.Microsecond,
	chunk:       256,
	batch:       8,
	kvTokens:    60_000,
	cacheBlocks: 100,
	slots:       8,
}

// Deployments lists the names of the deployments.
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

// floor is the default share of a class.
const floor = 0.02

// hokkaido prioritizes attainment: quick questions must stay quick.
func hokkaido() deployment {
	return deployment{
		name:    "hokkaido",
		zones:   []string{"sapporo", "asahikawa", "hakodate"},
		engines: 20,
		model:   runner,
		classes: []classSpec{
			{
				Class: policy.Class{
					Name: "question", Tier: 1, Floor: floor, Late: policy.LateShed,
					FirstToken: 1200 * time.Millisecond, BetweenTokens: quickBetween,
				},
				share: 0.40, prompt: 200, output: 120, maxTokens: 1024,
				patience: 5 * time.Second, patienceTotal: 30 * time.Second,
			},
			{
				Class: policy.Class{
					Name: "judging", Tier: 2, Floor: floor, Late: policy.LateDemote,
					FirstToken: 4 * time.Second, BetweenTokens: 60 * time.Millisecond,
				},
				share: 0.35, prompt: 1200, output: 300, maxTokens: 2048,
				patience: 20 * time.Second, patienceTotal: 75 * time.Second,
			},
			{
				Class: policy.Class{
					Name: "care_history", Tier: 3, Floor: floor, Late: policy.LateServe,
					Total: 2 * time.Minute,
				},
				share: 0.25, prompt: 10_000, output: 600, maxTokens: 4096,
				patience: 2 * time.Minute, patienceTotal: 3 * time.Minute,
			},
		},
	}
}

// almaty prioritizes goodput and little wasted work.
func almaty() deployment {
	return deployment{
		name:    "almaty",
		zones:   []string{"zone-1", "zone-2", "zone-3", "zone-4"},
		engines: 10,
		model:   runner,
		classes: []classSpec{
			{
				Class: policy.Class{
					Name: "lot_status", Tier: 1, Floor: floor, Late: policy.LateShed,
					FirstToken: 1200 * time.Millisecond, BetweenTokens: quickBetween,
				},
				share: 0.35, prompt: 150, output: 80, maxTokens: 512,
				patience: 5 * time.Second, patienceTotal: 20 * time.Second,
			},
			{
				Class: policy.Class{
					Name: "broker", Tier: 2, Floor: floor, Late: policy.LateShed,
					FirstToken: 2500 * time.Millisecond, BetweenTokens: 50 * time.Millisecond,
				},
				share: 0.40, prompt: 600, output: 200, maxTokens: 2048,
				patience: 12 * time.Second, patienceTotal: 70 * time.Second,
			},
			{
				Class: policy.Class{
					Name: "dossier", Tier: 3, Floor: floor, Late: policy.LateServe,
					Total: 10 * time.Minute,
				},
				share: 0.25, prompt: 6000, output: 1000, maxTokens: 4096,
				patience: 15 * time.Minute, patienceTotal: 20 * time.Minute,
			},
		},
	}
}

// batchFor returns the largest batch whose steps without prompt tokens meet the target.
func (m engineModel) batchFor(between time.Duration) int {
	if between <= 0 {
		return m.batch
	}
	return max(1, min(m.batch, int((between-m.base)/m.perSequence)))
}

// cost is the engine time of a request at full batches.
func (m engineModel) cost(between time.Duration, prompt, output float64) float64 {
	perToken := m.perSequence.Seconds() + m.base.Seconds()/float64(m.batchFor(between))
	return prompt*m.perPrefill.Seconds() + output*perToken
}
