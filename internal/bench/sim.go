package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// Constants of the driver.
const (
	// delay is the one-way network delay between any two processes.
	delay = time.Millisecond
	// progressEvery is the period of progress batches and of load reports.
	progressEvery = time.Second
	// reportLoss is the share of load reports that are lost with their cache events.
	reportLoss = 0.02
	// drainLimit bounds a run after the last arrival.
	drainLimit = 30 * time.Minute
)

// sim runs one policy through one scenario: it plays the callers, the entry daemon and the
// scheduler around the policy.
type sim struct {
	loop     loop
	dep      deployment
	scenario scenario
	seed     uint64
	rng      *rand.Rand

	policy   policy.Policy
	classes  []policy.Class
	engines  []*engine
	byID     map[string]*engine
	active   map[string]*call
	sources  int
	dirty    bool
	nextStep time.Duration
	buffer   []policy.Decision
	// sendPriority says whether engines see the tier as the priority.
	sendPriority bool

	// foreign are sequences of another scheduler, which count neither as useful nor as wasted.
	foreign []*sequence

	recovery *recovery
	checker  *checker
	metrics  *collector
}

// prioritizer is implemented by policies that decide whether engines see the tier of a request.
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
	s.metrics = newCollector(&s.dep, int(sc.window/progressEvery))
	s.addEngines()
	s.setClasses(s.classes)
	return s
}

func (s *sim) setClasses(classes []policy.Class) {
	s.classes = classes
	s.policy.SetClasses(s.loop.now, classes)
	s.checker.setClasses(classes)
	s.dirty = true
}

func (s *sim) addEngines() {
	var endpoints []policy.Endpoint
	for i := range s.dep.engines {
		e := &engine{
			id:         "runner-" + string(rune('a'+i)),
			zone:       s.dep.zones[i%len(s.dep.zones)],
			model:      s.dep.model,
			loop:       &s.loop,
			cache:      newPrefixCache(s.dep.model.cacheBlocks),
			firstToken: s.onFirstToken,
			ended:      s.onEnded,
			up:         true,
			slowdown:   1,
		}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		endpoints = append(endpoints, policy.Endpoint{
			ID: e.id, Zone: e.zone, MinSlots: 1, MaxSlots: e.model.slots,
			Resumes: true, CacheBlocks: e.model.cacheBlocks,
		})
	}
	s.policy.SetEndpoints(0, endpoints)
}

// run plays the scenario to its end.
func (s *sim) run(ctx context.Context) error {
	for i := range s.dep.classes {
		s.sources++
		s.follow(newSource(&s.dep, s.scenario.shape, i, s.seed))
	}
	for i, at := range s.scenario.shape.poisonAt {
		s.loop.at(at, func() { s.arrive(s.poisonCall(fmt.Sprint("poison-", i), 0)) })
	}
	for i, e := range s.engines {
		s.loop.at(time.Duration(i+1)*37*time.Millisecond, func() { s.reportLoad(e) })
	}
	s.loop.at(progressEvery, s.tick)
	if s.scenario.faults != nil {
		s.scenario.faults(s)
	}
	return s.loop.run(ctx, s.settle)
}

// follow schedules the arrivals of a source one after the other.
func (s *sim) follow(src *source) {
	c := src.next()
	if c == nil {
		s.sources--
		return
	}
	s.loop.at(c.arrival, func() {
		s.arrive(c)
		s.follow(src)
	})
}

// finished says that periodic work can end.
func (s *sim) finished() bool {
	return s.sources == 0 && (len(s.active) == 0 || s.loop.now > s.scenario.shape.horizon+drainLimit)
}

// settle runs the policy once after the events of an instant.
func (s *sim) settle() {
	if s.nextStep > 0 && s.loop.now >= s.nextStep {
		s.nextStep = 0
		s.dirty = true
	}
	if !s.dirty {
		return
	}
	s.dirty = false
	decisions, next := s.policy.Step(s.loop.now, s.buffer[:0])
	s.buffer = decisions
	for _, d := range decisions {
		s.decide(d)
	}
	if next > s.loop.now && (s.nextStep == 0 || next < s.nextStep) && !s.finished() {
		s.nextStep = next
		// The event has no work of its own: settle runs after it.
		s.loop.at(next, func() {})
	}
}

// tick sends the progress of running attempts and samples the classes' shares.
func (s *sim) tick() {
	for _, e := range s.engines {
		for _, q := range e.running {
			c := q.call
			if c.done || c.sequence != q {
				continue
			}
			var first time.Duration
			if q.firstAt > 0 {
				first = q.firstAt - q.startedAt
			}
			s.policy.Progress(s.loop.now, c.attemptID(), c.kept+e.tokens(q), first)
		}
	}
	s.dirty = true
	if s.loop.now < s.scenario.shape.horizon {
		s.metrics.sample(s.checker.order)
	}
	if !s.finished() {
		s.loop.after(progressEvery, s.tick)
	}
}

// reportLoad sends the load report of an engine, which arrives late or not at all.
func (s *sim) reportLoad(e *engine) {
	if e.up {
		report := e.report()
		if s.rng.Float64() >= reportLoss {
			s.loop.after(s.scenario.reportLag, func() {
				s.policy.Report(s.loop.now, report)
				s.dirty = true
			})
		}
	}
	if !s.finished() {
		s.loop.after(progressEvery, func() { s.reportLoad(e) })
	}
}
