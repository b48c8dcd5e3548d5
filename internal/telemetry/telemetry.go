// Package telemetry counts how requests end, by class: attainment of the latency targets, goodput
// and wasted work.
//
// The metrics of a class are created with its first request and then found by one lookup per
// request. A Recorder's lock is the last one in the lock order of a daemon.
package telemetry

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/promtext"
)

// Waste is the reason why computed tokens were of no use.
type Waste int

// The reasons for wasted tokens.
const (
	// Abandoned: the caller closed its connection before the answer was complete.
	Abandoned Waste = iota
	// Expired: the deadline passed before the answer was complete.
	Expired
	// Retried: tokens were computed again after an attempt failed.
	Retried
	// Preempted: tokens were computed again after the scheduler took the slot back.
	Preempted
	// Duplicated: an endpoint sent tokens that the answer already had.
	Duplicated
	// Failed: the request ended without a complete answer for another reason.
	Failed
	// WasteReasons is the number of reasons.
	WasteReasons
)

// wasteNames are the values of the label reason.
var wasteNames = [WasteReasons]string{"abandoned", "expired", "retried", "preempted", "duplicated", "failed"}

// String returns the value of the label reason.
func (w Waste) String() string { return wasteNames[w] }

// Outcome is the value of the label outcome.
type Outcome string

// The outcomes. OutcomeAbandoned stands for any end that the caller did not wait for.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeFailed    Outcome = "failed"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeAbandoned Outcome = "abandoned"
)

var outcomes = []Outcome{OutcomeCompleted, OutcomeNotRun, OutcomeFailed, OutcomeUnknown, OutcomeAbandoned}

// gapQuantile is the share of an answer's gaps between tokens that must meet the target.
const gapQuantile = 0.95

// End describes a request that has ended.
type End struct {
	Outcome Outcome
	// FirstToken and Total are counted from the arrival; FirstToken is 0 without a first token.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps counts the gaps between tokens, LateGaps those longer than the class's target.
	Gaps, LateGaps int
	// Tokens is the number of generated tokens of the answer.
	Tokens  int
	Wasted  [WasteReasons]int
	Retries int
	// Shed says that a scheduler refused the request.
	Shed bool
}

// Recorder counts ended requests. It is safe for concurrent use.
type Recorder struct {
	registry metrics.Registry

	mu      sync.RWMutex
	classes map[string]*class
	sheds   map[int]metrics.Counter
}

// class has the metrics of one class. Targets that no preset sets keep the value 0.
type class struct {
	requests   map[Outcome]metrics.Counter
	first      attainment
	between    attainment
	total      attainment
	all        attainment
	goodput    metrics.Counter
	wasted     [WasteReasons]metrics.Counter
	retries    metrics.Counter
	firstToken metrics.Timer
}

// attainment counts requests with a target and those that met it.
type attainment struct{ requests, met metrics.Counter }

func (a attainment) count(met bool) {
	a.requests.Inc(1)
	if met {
		a.met.Inc(1)
	}
}

// New returns a Recorder that registers its metrics in a registry.
func New(registry metrics.Registry) *Recorder {
	return &Recorder{registry: registry, classes: map[string]*class{}, sheds: map[int]metrics.Counter{}}
}

// Record counts the end of a request of a class. The class has the targets of the preset that was in
// force when the request arrived.
func (r *Recorder) Record(c config.Class, e End) {
	m := r.class(c.Name)
	m.requests[e.Outcome].Inc(1)
	complete := e.Outcome == OutcomeCompleted
	first := e.FirstToken
	if first == 0 {
		// An answer from the ledger arrives as a whole.
		first = e.Total
	}
	good := complete
	check := func(target time.Duration, a attainment, met bool) {
		if target > 0 {
			met = met && complete
			a.count(met)
			good = good && met
		}
	}
	check(c.FirstToken.D(), m.first, first <= c.FirstToken.D())
	if !complete || e.Gaps > 0 {
		// Answers of plain services have no gaps; as met they would hide slow tokens of the class.
		check(c.BetweenTokens.D(), m.between, float64(e.LateGaps) <= (1-gapQuantile)*float64(e.Gaps))
	}
	check(c.Total.D(), m.total, e.Total <= c.Total.D())
	m.all.count(good)
	if good {
		m.goodput.Inc(int64(e.Tokens))
	}
	if e.FirstToken > 0 {
		m.firstToken.Update(e.FirstToken)
	}
	for why, tokens := range e.Wasted {
		if tokens > 0 {
			m.wasted[why].Inc(int64(tokens))
		}
	}
	m.retries.Inc(int64(e.Retries))
	if e.Shed {
		r.shed(c.Tier).Inc(1)
	}
}

// class returns the metrics of a class and creates them at its first request.
func (r *Recorder) class(name string) *class {
	r.mu.RLock()
	m := r.classes[name]
	r.mu.RUnlock()
	if m != nil {
		return m
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m = r.classes[name]; m == nil {
		m = r.newClass(name)
		r.classes[name] = m
	}
	return m
}

func (r *Recorder) newClass(name string) *class {
	counter := func(metric string, labels ...string) metrics.Counter {
		return metrics.GetOrRegisterCounter(promtext.Name(metric, append([]string{"class", name}, labels...)...), r.registry)
	}
	target := func(target string) attainment {
		return attainment{
			requests: counter("chivewind_target_requests_total", "target", target),
			met:      counter("chivewind_target_met_total", "target", target),
		}
	}
	m := &class{
		requests: map[Outcome]metrics.Counter{},
		first:    target("first_token"), between: target("between_tokens"), total: target("total"), all: target("all"),
		goodput: counter("chivewind_goodput_tokens_total"),
		retries: counter("chivewind_retries_total"),
	}
	for _, o := range outcomes {
		m.requests[o] = counter("chivewind_requests_total", "outcome", string(o))
	}
	for w := range WasteReasons {
		m.wasted[w] = counter("chivewind_wasted_tokens_total", "reason", w.String())
	}
	timer := promtext.Name("chivewind_first_token_seconds", "class", name)
	m.firstToken = r.registry.GetOrRegister(timer, newTimer).(metrics.Timer)
	return m
}

// newTimer returns a timer without a meter, which would run a goroutine for rates that nobody reads.
func newTimer() metrics.Timer {
	const samples, alpha = 1028, 0.015 // the library's defaults for timers
	return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(samples, alpha)), metrics.NilMeter{})
}

// shed returns the counter of a tier's sheds.
func (r *Recorder) shed(tier int) metrics.Counter {
	r.mu.RLock()
	c := r.sheds[tier]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c = metrics.GetOrRegisterCounter(promtext.Name("chivewind_sheds_total", "tier", strconv.Itoa(tier)), r.registry)
	r.sheds[tier] = c
	return c
}
