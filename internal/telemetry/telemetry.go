// Package telemetry counts ended requests by class: outcomes, attainment of the latency targets (the share of
// requests that met them), goodput (the tokens of complete answers that met all targets) and wasted tokens.
//
// The metrics of a class are created at its first request; later requests find them with one map lookup by
// class name. A Recorder's lock is the last one in the lock order of a daemon.
package telemetry

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/promtext"
)

// WasteReason is the reason why tokens were wasted. A token of a prompt or an answer is wasted if an endpoint
// computed it for an answer that was not completed, or computed or sent it again.
type WasteReason int

// The reasons for wasted tokens.
const (
	// Abandoned: the caller closed its connection before the answer was complete.
	Abandoned WasteReason = iota
	// Expired: the deadline passed before the answer was complete.
	Expired
	// Retried: prompt and answer tokens were computed again after an attempt failed.
	Retried
	// Preempted: prompt and answer tokens were computed again after the scheduler preempted the request.
	Preempted
	// Duplicated: an endpoint sent tokens again that the answer already contained.
	Duplicated
	// Failed: the request ended without a complete answer for another reason.
	Failed
	// WasteReasonCount is the number of reasons.
	WasteReasonCount
)

// wasteReasonLabels are the values of the metric label reason.
var wasteReasonLabels = [WasteReasonCount]string{"abandoned", "expired", "retried", "preempted", "duplicated", "failed"}

// String returns the value of the metric label reason.
func (w WasteReason) String() string { return wasteReasonLabels[w] }

// Outcome is the outcome of a request, as in the metric label outcome.
type Outcome string

// The outcomes.
const (
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun: no endpoint ran the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed: the request ran, or may have run, and failed. The caller may repeat it.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown: a non-idempotent request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAbandoned: the caller closed the connection before the request's end, whatever became of it.
	OutcomeAbandoned Outcome = "abandoned"
)

var outcomes = []Outcome{OutcomeCompleted, OutcomeNotRun, OutcomeFailed, OutcomeUnknown, OutcomeAbandoned}

// gapQuantile is the share of an answer's gaps between tokens that must be within the class's target.
const gapQuantile = 0.95

// RequestResult describes a request that has ended.
type RequestResult struct {
	Outcome Outcome
	// FirstToken and Total are measured from the request's arrival. FirstToken is the time to the first token,
	// or to the header of a response that is not an event stream. It is 0 when there was neither.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps is the number of gaps between tokens, LateGaps the number of those longer than the target.
	Gaps, LateGaps int
	// Tokens is the number of generated tokens of the answer.
	Tokens int
	// Wasted is the number of wasted tokens by reason.
	Wasted  [WasteReasonCount]int
	Retries int
	// Shed says that a scheduler refused the request.
	Shed bool
}

// Recorder counts ended requests. It is safe for concurrent use.
type Recorder struct {
	registry metrics.Registry

	// mu guards classes, by class name, and sheds, by tier.
	mu      sync.RWMutex
	classes map[string]*classMetrics
	sheds   map[int]metrics.Counter
}

// classMetrics has the metrics of one class. The counters of targets that no preset sets stay 0.
type classMetrics struct {
	requests            map[Outcome]metrics.Counter
	firstTokenTarget    targetCounters
	betweenTokensTarget targetCounters
	totalTarget         targetCounters
	allTargets          targetCounters
	goodput             metrics.Counter
	wasted              [WasteReasonCount]metrics.Counter
	retries             metrics.Counter
	firstToken          metrics.Timer
}

// targetCounters counts the requests that had a target and those that met it.
type targetCounters struct{ requests, met metrics.Counter }

func (c targetCounters) record(met bool) {
	c.requests.Inc(1)
	if met {
		c.met.Inc(1)
	}
}

// New returns a Recorder that registers its metrics in registry.
func New(registry metrics.Registry) *Recorder {
	return &Recorder{registry: registry, classes: map[string]*classMetrics{}, sheds: map[int]metrics.Counter{}}
}

// Record counts an ended request. c is the class of the preset that was in force when the request arrived.
func (r *Recorder) Record(c config.Class, result RequestResult) {
	m := r.classMetricsFor(c.Name)
	m.requests[result.Outcome].Inc(1)
	complete := result.Outcome == OutcomeCompleted
	first := result.FirstToken
	if first == 0 {
		// Neither a token nor a header was timed, for example because the ledger returned a recorded answer.
		// The target of the first token then applies to the total time.
		first = result.Total
	}
	good := complete
	check := func(target time.Duration, counters targetCounters, met bool) {
		if target > 0 {
			met = met && complete
			counters.record(met)
			good = good && met
		}
	}
	check(c.FirstToken.D(), m.firstTokenTarget, first <= c.FirstToken.D())
	if !complete || result.Gaps > 0 {
		// Incomplete requests always count as missed. Complete answers of plain services have no gaps;
		// counting them as met would hide slow tokens of other requests of the class.
		check(c.BetweenTokens.D(), m.betweenTokensTarget, float64(result.LateGaps) <= (1-gapQuantile)*float64(result.Gaps))
	}
	check(c.Total.D(), m.totalTarget, result.Total <= c.Total.D())
	m.allTargets.record(good)
	if good {
		m.goodput.Inc(int64(result.Tokens))
	}
	if result.FirstToken > 0 {
		m.firstToken.Update(result.FirstToken)
	}
	for reason, tokens := range result.Wasted {
		if tokens > 0 {
			m.wasted[reason].Inc(int64(tokens))
		}
	}
	m.retries.Inc(int64(result.Retries))
	if result.Shed {
		r.shedCounter(c.Tier).Inc(1)
	}
}

// classMetricsFor returns the metrics of a class and creates them at its first request.
func (r *Recorder) classMetricsFor(name string) *classMetrics {
	r.mu.RLock()
	m := r.classes[name]
	r.mu.RUnlock()
	if m != nil {
		return m
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m = r.classes[name]; m == nil {
		m = r.newClassMetrics(name)
		r.classes[name] = m
	}
	return m
}

func (r *Recorder) newClassMetrics(name string) *classMetrics {
	counter := func(metric string, labels ...string) metrics.Counter {
		return metrics.GetOrRegisterCounter(promtext.Name(metric, append([]string{"class", name}, labels...)...), r.registry)
	}
	target := func(target string) targetCounters {
		return targetCounters{
			requests: counter("chivewind_target_requests_total", "target", target),
			met:      counter("chivewind_target_met_total", "target", target),
		}
	}
	m := &classMetrics{
		requests:            map[Outcome]metrics.Counter{},
		firstTokenTarget:    target("first_token"),
		betweenTokensTarget: target("between_tokens"),
		totalTarget:         target("total"),
		allTargets:          target("all"),
		goodput:             counter("chivewind_goodput_tokens_total"),
		retries:             counter("chivewind_retries_total"),
	}
	for _, o := range outcomes {
		m.requests[o] = counter("chivewind_requests_total", "outcome", string(o))
	}
	for w := range WasteReasonCount {
		m.wasted[w] = counter("chivewind_wasted_tokens_total", "reason", w.String())
	}
	timer := promtext.Name("chivewind_first_token_seconds", "class", name)
	m.firstToken = r.registry.GetOrRegister(timer, newTimer).(metrics.Timer)
	return m
}

// newTimer returns a timer without a meter. A meter needs a goroutine that computes rates, and promtext does
// not export rates.
func newTimer() metrics.Timer {
	const samples, alpha = 1028, 0.015 // the library's defaults for timers
	return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(samples, alpha)), metrics.NilMeter{})
}

// shedCounter returns the counter of the shed requests of a tier.
func (r *Recorder) shedCounter(tier int) metrics.Counter {
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
