// Package bench compares scheduling policies in a discrete-event simulation with virtual time. It runs
// any policy.Policy against simulated model engines. There is one scheduler, except in the variants of
// IndependentVariant, and the network has a constant delay.
//
// The seed determines the arrivals, which are the same for every policy, and the results are
// reproducible.
package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chivewind/chivewind"
	"github.com/chivewind/chivewind/modules/policy/baseline"
	"github.com/chivewind/chivewind/policy"
)

// Options select the scenario, the deployment and the policies that Run measures.
type Options struct {
	// Scenario and Deployment are names from Scenarios and Deployments.
	Scenario   string
	Deployment string
	// Seed is the first seed. Seeds is the number of consecutive seeds; 0 means 10.
	Seed  uint64
	Seeds int
	// Policies are module ids, with or without the prefix "policy."; empty means all registered policies,
	// unless Variants is set.
	Policies []string
	// Variants adds policies by the name that they have in the results, see AblationVariants and
	// IndependentVariant.
	Variants map[string]func() policy.Policy
	// Workers limits the number of simulations that run in parallel; 0 means 2.
	Workers int
	// Progress, if set, is called after each simulation, possibly concurrently.
	Progress func(done, total int)
}

// Defaults of Options.
const (
	defaultSeeds   = 10
	defaultWorkers = 2
)

// variant is a policy and its name in the results.
type variant struct {
	name  string
	build func() (policy.Policy, error)
}

// Run simulates a scenario for each policy and seed. It returns an error for an unknown scenario,
// deployment or policy, or if ctx ends.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Seeds <= 0 {
		o.Seeds = defaultSeeds
	}
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	sc, err := scenarioByName(o.Scenario)
	if err != nil {
		return Result{}, err
	}
	dep, err := deploymentByName(o.Deployment)
	if err != nil {
		return Result{}, err
	}
	dep = sc.adapt(dep)
	variants, err := o.variants()
	if err != nil {
		return Result{}, err
	}
	runs, err := runAll(ctx, o, dep, sc, variants)
	if err != nil {
		return Result{}, err
	}
	result := Result{
		Scenario: o.Scenario, Deployment: o.Deployment, Seed: o.Seed, Seeds: o.Seeds,
		Policies: map[string]PolicyResult{},
	}
	for i, v := range variants {
		result.Policies[v.name] = summarize(runs[i*o.Seeds : (i+1)*o.Seeds])
	}
	return result, nil
}

// runAll returns the results of all simulations, ordered by variant and then by seed.
func runAll(ctx context.Context, o Options, dep deployment, sc scenario, variants []variant) ([]PolicyResult, error) {
	runs := make([]PolicyResult, len(variants)*o.Seeds)
	bounds := make([]float64, o.Seeds)
	for i := range bounds {
		bounds[i] = goodputBound(dep, sc, o.Seed+uint64(i))
	}
	done := make(chan struct{}, len(runs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Workers)
	for i := range runs {
		g.Go(func() error {
			p, err := variants[i/o.Seeds].build()
			if err != nil {
				return err
			}
			s := newSim(dep.clone(), sc, o.Seed+uint64(i%o.Seeds), p)
			if err := s.run(ctx); err != nil {
				return err
			}
			runs[i] = s.result(bounds[i%o.Seeds])
			done <- struct{}{}
			if o.Progress != nil {
				o.Progress(len(done), len(runs))
			}
			return nil
		})
	}
	return runs, g.Wait()
}

// adapt returns the deployment with the changes that the scenario makes to its engines.
func (s scenario) adapt(dep deployment) deployment {
	if s.smallFleet {
		dep.engineCount = 2
		dep.engine = smallEngine
	}
	if s.cacheBlocks > 0 {
		dep.engine.cacheBlocks = s.cacheBlocks
	}
	return dep
}

// clone returns a copy with its own classes, so that concurrent simulations share none. Counters of a simulation
// are keyed by the address of a class in its copy.
func (d deployment) clone() deployment {
	d.classes = slices.Clone(d.classes)
	return d
}

// variants returns the policies to measure, ordered by name.
func (o Options) variants() ([]variant, error) {
	ids := o.Policies
	if len(ids) == 0 && len(o.Variants) == 0 {
		for _, info := range chivewind.Modules("policy") {
			ids = append(ids, info.ID)
		}
	}
	var variants []variant
	for _, id := range ids {
		name := strings.TrimPrefix(id, "policy.")
		if _, err := chivewind.Lookup("policy." + name); err != nil {
			return nil, err
		}
		variants = append(variants, variant{name, func() (policy.Policy, error) { return loadPolicy("policy."+name, nil) }})
	}
	for name, build := range o.Variants {
		variants = append(variants, variant{name, func() (policy.Policy, error) { return build(), nil }})
	}
	slices.SortFunc(variants, func(a, b variant) int { return strings.Compare(a.name, b.name) })
	return variants, nil
}

// AblationVariants returns variants of a policy for Options.Variants, each with one mechanism turned off. Their
// names have the form "tiered-affinity". The settings of the policy must have a map "off" with a switch
// for each mechanism; otherwise AblationVariants returns an error.
func AblationVariants(id string, mechanisms ...string) (map[string]func() policy.Policy, error) {
	name := strings.TrimPrefix(id, "policy.")
	variants := map[string]func() policy.Policy{}
	for _, mechanism := range mechanisms {
		var settings yaml.Node
		if err := settings.Encode(map[string]map[string]bool{"off": {mechanism: true}}); err != nil {
			return nil, err
		}
		if _, err := loadPolicy("policy."+name, &settings); err != nil {
			return nil, err
		}
		variants[name+"-"+mechanism] = func() policy.Policy {
			// Errors are ruled out: the same settings were loaded above.
			p, _ := loadPolicy("policy."+name, &settings)
			return p
		}
	}
	return variants, nil
}

// loadPolicy creates a registered policy; nil settings select the defaults.
func loadPolicy(id string, settings *yaml.Node) (policy.Policy, error) {
	ctx := &chivewind.Context{Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()}
	m, err := chivewind.Load(ctx, id, settings)
	if err != nil {
		return nil, err
	}
	p, ok := m.(policy.Policy)
	if !ok {
		return nil, fmt.Errorf("module %s is not a scheduling policy", id)
	}
	return p, nil
}

// The import registers the baseline policies.
var _ = baseline.New
