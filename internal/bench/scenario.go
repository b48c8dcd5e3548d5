package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// ScenarioInfo has the name of a scenario and a description in one sentence.
type ScenarioInfo struct {
	Name        string
	Description string
}

// scenario is a workload together with the faults that are injected.
type scenario struct {
	ScenarioInfo
	workload workload
	// smallFleet replaces the engines of the deployment by two small ones, so that long simulations are
	// affordable.
	smallFleet bool
	// reportLag is the delay between the measurement of a load report and its arrival.
	reportLag time.Duration
	// cacheBlocks overrides the size of the prefix cache; 0 keeps that of the deployment.
	cacheBlocks int
	// shareWindow is the window over which the lowest class's fraction of the running requests is averaged.
	shareWindow time.Duration
	// faults schedules faults and actions of operators.
	faults func(*sim)
}

// defaultReportLag is the default of scenario.reportLag.
const defaultReportLag = 300 * time.Millisecond

// Scenarios returns all scenarios.
func Scenarios() []ScenarioInfo {
	var infos []ScenarioInfo
	for _, s := range scenarios() {
		infos = append(infos, s.ScenarioInfo)
	}
	return infos
}

func scenarioByName(name string) (scenario, error) {
	var known []string
	for _, s := range scenarios() {
		if s.Name == name {
			return s.withDefaults(), nil
		}
		known = append(known, s.Name)
	}
	return scenario{}, fmt.Errorf("unknown scenario %q; one of %s", name, strings.Join(known, ", "))
}

func (s scenario) withDefaults() scenario {
	if s.workload.sigma == 0 {
		s.workload.sigma = defaultSigma
	}
	if s.workload.prefixes == 0 {
		s.workload.prefixes = defaultPrefixes
		s.workload.prefixBlocks = defaultPrefixBlocks
	}
	if s.reportLag == 0 {
		s.reportLag = defaultReportLag
	}
	if s.shareWindow == 0 {
		s.shareWindow = 10 * time.Second
	}
	return s
}

func scenarios() []scenario {
	const s = time.Second
	burst := workload{
		horizon: 90 * s, load: 0.5, burstTier: 1, burstLoad: 3, burstFrom: 30 * s, burstTo: 50 * s,
	}
	info := func(name, description string) ScenarioInfo { return ScenarioInfo{name, description} }
	return []scenario{
		{
			ScenarioInfo: info("steady", "Steady arrivals of all classes at 70% of the capacity."),
			workload:     workload{horizon: 90 * s, load: 0.7},
		},
		{
			ScenarioInfo: info("burst", "The class of tier 1 arrives at 3 times the capacity for 20 s."),
			workload:     burst,
		},
		{
			ScenarioInfo: info("heavy_tail", "Heavy-tailed prompt and answer lengths at 70% of the capacity."),
			workload:     workload{horizon: 90 * s, load: 0.7, sigma: 1.8},
		},
		{
			ScenarioInfo: info("straggler", "One engine is 5 times slower for 50 s at 70% of the capacity."),
			workload:     workload{horizon: 90 * s, load: 0.7},
			faults:       stragglerFault,
		},
		{
			ScenarioInfo: info("crash", "Engines crash four times and restart after 15 s at 70% of the capacity."),
			workload:     workload{horizon: 90 * s, load: 0.7},
			faults:       crashFaults,
		},
		{
			ScenarioInfo: info("poison", "Two requests crash each engine that runs them and are resent by their callers."),
			workload:     workload{horizon: 90 * s, load: 0.6, poisonAt: []time.Duration{15 * s, 45 * s}},
		},
		{
			ScenarioInfo: info("stale_reports", "Load reports arrive 5 s late while another scheduler loads a third of the engines in turn."),
			workload:     workload{horizon: 90 * s, load: 0.7},
			reportLag:    5 * s,
			faults:       foreignLoad,
		},
		{
			ScenarioInfo: info("shared_prefix", "Long shared prefixes with a small prefix cache at 90% of the capacity without cache hits."),
			workload:     workload{horizon: 90 * s, load: 0.9, prefixes: 60, prefixBlocks: 16},
			cacheBlocks:  128,
		},
		{
			ScenarioInfo: info("large_workspace", "One workspace sends requests of tier 2 at twice the capacity for 40 s."),
			workload: workload{
				horizon: 90 * s, load: 0.4, burstTier: 2, burstLoad: 2,
				burstFrom: 20 * s, burstTo: 60 * s, burstShareOfLargest: 1,
			},
		},
		{
			ScenarioInfo: info("preset_switch", "Operators switch presets amid a burst of tier 1: tiers 2 and 3 swap, then become one."),
			workload:     burst,
			faults:       presetSwitch,
		},
		{
			ScenarioInfo: info("floor_day", "Tier 1 arrives at 1.3 times the capacity of two small engines for a day."),
			workload: workload{
				// Tier 1 has a share of 0.35 or 0.4 of the base load: 0.3 × 0.4 + 1.18 is 1.3 times the capacity.
				horizon: 24 * time.Hour, load: 0.3, burstTier: 1, burstLoad: 1.18,
				burstFrom: 0, burstTo: 24 * time.Hour,
			},
			smallFleet:  true,
			shareWindow: time.Minute,
		},
	}
}

func stragglerFault(s *sim) {
	e := s.engines[s.engineIndex(1)]
	s.loop.at(20*time.Second, func() { e.setSlowdown(5) })
	s.loop.at(70*time.Second, func() { e.setSlowdown(1) })
}

func crashFaults(s *sim) {
	for i, at := range []time.Duration{20, 21, 45, 60} {
		e := s.engines[s.engineIndex(i)]
		s.loop.at(at*time.Second, e.crash)
	}
}

// presetSwitch swaps tiers 2 and 3 during the burst, as an operator does to finish overnight work, and
// merges them at its end.
func presetSwitch(s *sim) {
	original := s.classes
	for _, preset := range []struct {
		at    time.Duration
		tiers map[int]int
	}{
		{38 * time.Second, map[int]int{1: 1, 2: 3, 3: 2}},
		{50 * time.Second, map[int]int{1: 1, 2: 2, 3: 2}},
	} {
		classes := slices.Clone(original)
		for i := range classes {
			classes[i].Tier = preset.tiers[classes[i].Tier]
		}
		s.loop.at(preset.at, func() { s.setClasses(classes) })
	}
}

// foreignLoad sends requests of another scheduler to a third of the engines, every 10 s to the next third, as
// happens while two schedulers own a shard. The policy sees these requests only in load reports.
func foreignLoad(s *sim) {
	const period, requests = 10 * time.Second, 30
	for turn := 0; time.Duration(turn)*period < s.scenario.workload.horizon; turn++ {
		s.loop.at(time.Duration(turn)*period, func() {
			for i, e := range s.engines {
				for range requests {
					if (i+turn)%3 != 0 {
						break
					}
					q := &sequence{call: &call{done: true}, priority: defaultPriority, prompt: 500, output: 350}
					s.foreignSequences = append(s.foreignSequences, q)
					e.submit(q)
				}
			}
		})
	}
}

// engineIndex returns the index of the engine for the i-th fault, which depends on the seed. Consecutive values
// of i are 3 engines apart: with 10 or 20 engines, the values 0 to 9 give different engines.
func (s *sim) engineIndex(i int) int {
	return (int(s.seed%uint64(len(s.engines))) + i*3) % len(s.engines)
}
