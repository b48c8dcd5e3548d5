package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Parameters of the simulation.
const (
	// networkDelay is the one-way delay between any two processes.
	networkDelay = time.Millisecond
	// progressInterval is the interval between progress updates and between load reports of an engine.
	progressInterval = time.Second
	// reportLoss is the fraction of load reports that are lost, with their cache events.
	reportLoss = 0.02
	// periodicEventsTail is the time after the horizon at which periodic events stop even if calls are
	// active.
	periodicEventsTail = 30 * time.Minute
)

// sim simulates one policy in one scenario. It stands in for the callers, the daemon that receives their
// requests, and the scheduler that runs the policy.
type sim struct {
	loop     eventLoop
	dep      deployment
	scenario scenario
	seed     uint64
	rng      *rand.Rand

	policy  policy.Policy
	classes []policy.Class
	engines []*engine
	byID    map[string]*engine
	// active has the calls that have not ended, by id.
	active map[string]*call
	// openSources is the number of sources that have not reached the horizon.
	openSources int
	// policyRunNeeded says that the policy must run at the end of the current instant.
	policyRunNeeded bool
	// nextPolicyRun is the time at which the policy asked to run again; 0 means none.
	nextPolicyRun  time.Duration
	decisionBuffer []policy.Decision
	// sendPriority says whether requests carry their tier as the priority at the engine.
	sendPriority bool

	// foreignSequences are sequences of another scheduler, which count neither as useful nor as wasted.
	foreignSequences []*sequence

	recovery *recovery
	checker  *checker
	metrics  *collector
}

// prioritizer is implemented by policies that choose whether engines get the tier as the priority.
type prioritizer interface{ EnginePriority() bool }

func newSim(dep deployment, sc scenario, seed uint64, p policy.Policy) *sim {
	s := &sim{
		dep:          dep,
		scenario:     sc,
		seed:         seed,
		rng:          rand.New(rand.NewPCG(seed, 0)),
		policy:       p,
		byID:         map[string]*engine{},
		active:       map[string]*call{},
		sendPriority: true,
	}
	if pr, ok := p.(prioritizer); ok {
		s.sendPriority = pr.EnginePriority()
	}
	for i := range dep.classes {
		s.classes = append(s.classes, dep.classes[i].Class)
	}
	s.recovery = newRecovery()
	s.checker = newChecker(s)
	s.metrics = newCollector(&s.dep, int(sc.shareWindow/progressInterval))
	s.addEngines()
	s.setClasses(s.classes)
	return s
}

func (s *sim) setClasses(classes []policy.Class) {
	s.classes = classes
	s.policy.SetClasses(s.loop.now, classes)
	s.checker.setClasses(classes)
	s.policyRunNeeded = true
}

func (s *sim) addEngines() {
	var endpoints []policy.Endpoint
	for i := range s.dep.engineCount {
		e := &engine{
			id:           "runner-" + string(rune('a'+i)),
			zone:         s.dep.zones[i%len(s.dep.zones)],
			spec:         s.dep.engine,
			loop:         &s.loop,
			cache:        newPrefixCache(s.dep.engine.cacheBlocks),
			onFirstToken: s.onFirstToken,
			onEnded:      s.onEnded,
			up:           true,
			slowdown:     1,
		}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		endpoints = append(endpoints, policy.Endpoint{
			ID: e.id, Zone: e.zone, MinSlots: 1, MaxSlots: e.spec.maxSlots,
			CanResume: true, CacheBlocks: e.spec.cacheBlocks,
		})
	}
	s.policy.SetEndpoints(0, endpoints)
}

// run simulates the scenario until no event is left.
func (s *sim) run(ctx context.Context) error {
	for i := range s.dep.classes {
		s.openSources++
		s.scheduleArrivals(newSource(&s.dep, s.scenario.workload, i, s.seed))
	}
	for i, at := range s.scenario.workload.poisonAt {
		s.loop.at(at, func() { s.arrive(s.poisonCall(fmt.Sprint("poison-", i), 0)) })
	}
	// The first reports are staggered, so that engines do not report at the same time.
	for i, e := range s.engines {
		s.loop.at(time.Duration(i+1)*37*time.Millisecond, func() { s.reportLoad(e) })
	}
	s.loop.at(progressInterval, s.tick)
	if s.scenario.faults != nil {
		s.scenario.faults(s)
	}
	return s.loop.run(ctx, s.runPolicy)
}

// scheduleArrivals schedules the next call of a source, and at its arrival the one after it.
func (s *sim) scheduleArrivals(src *source) {
	c := src.next()
	if c == nil {
		s.openSources--
		return
	}
	s.loop.at(c.arrival, func() {
		s.arrive(c)
		s.scheduleArrivals(src)
	})
}

// finished says whether periodic events can stop.
func (s *sim) finished() bool {
	return s.openSources == 0 && (len(s.active) == 0 || s.loop.now > s.scenario.workload.horizon+periodicEventsTail)
}

// runPolicy runs the policy, if needed, after all events of an instant.
func (s *sim) runPolicy() {
	if s.nextPolicyRun > 0 && s.loop.now >= s.nextPolicyRun {
		s.nextPolicyRun = 0
		s.policyRunNeeded = true
	}
	if !s.policyRunNeeded {
		return
	}
	s.policyRunNeeded = false
	decisions, next := s.policy.Step(s.loop.now, s.decisionBuffer[:0])
	s.decisionBuffer = decisions
	for _, d := range decisions {
		s.applyDecision(d)
	}
	if next > s.loop.now && (s.nextPolicyRun == 0 || next < s.nextPolicyRun) && !s.finished() {
		s.nextPolicyRun = next
		// The event itself does nothing; runPolicy runs after it.
		s.loop.at(next, func() {})
	}
}

// tick reports the progress of running attempts to the policy and samples the lowest class's fraction of the
// running requests.
func (s *sim) tick() {
	for _, e := range s.engines {
		for _, q := range e.running {
			c := q.call
			if c.done || c.sequence != q {
				continue
			}
			var first time.Duration
			if q.firstTokenAt > 0 {
				first = q.firstTokenAt - q.submittedAt
			}
			s.policy.Progress(s.loop.now, c.attemptID(), c.resumedTokens+e.generatedTokens(q), first)
		}
	}
	s.policyRunNeeded = true
	if s.loop.now < s.scenario.workload.horizon {
		s.metrics.sampleShares(s.checker.classList)
	}
	if !s.finished() {
		s.loop.after(progressInterval, s.tick)
	}
}

// reportLoad sends the load report of an engine, which is delayed and may be lost.
func (s *sim) reportLoad(e *engine) {
	if e.up {
		report := e.takeLoadReport()
		if s.rng.Float64() >= reportLoss {
			s.loop.after(s.scenario.reportLag, func() {
				s.policy.Report(s.loop.now, report)
				s.policyRunNeeded = true
			})
		}
	}
	if !s.finished() {
		s.loop.after(progressInterval, func() { s.reportLoad(e) })
	}
}
