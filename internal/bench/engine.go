package bench

import (
	"slices"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// engineSpec has the step times and limits of an engine with continuous batching. A step takes stepBase +
// perSequence × decoding sequences + perPrefillToken × prompt tokens of the step.
type engineSpec struct {
	stepBase        time.Duration
	perSequence     time.Duration
	perPrefillToken time.Duration
	// prefillChunk is the maximum number of prompt tokens in one step.
	prefillChunk int
	// maxBatch, in sequences, and kvCacheTokens, in tokens of KV cache, limit the running sequences; the others
	// wait in the queue of the engine.
	maxBatch      int
	kvCacheTokens int
	// cacheBlocks is the capacity of the prefix cache in blocks.
	cacheBlocks int
	// maxSlots is the maximum number of concurrent attempts that a policy may place on the engine. It becomes the
	// MaxSlots of the policy.Endpoint.
	maxSlots int
}

// maxOutputKVTokens is the maximum number of tokens of KV cache that an engine reserves for the output of a
// sequence.
const maxOutputKVTokens = 512

// sequence is one attempt of a call at an engine.
type sequence struct {
	call     *call
	priority int
	blocks   []uint64
	// prompt is the number of tokens to process before the first new token, not reduced by cache hits.
	prompt int
	// output is the number of tokens to generate.
	output int
	// crashAfter is the number of generated tokens after which the request crashes the engine; 0 means
	// never.
	crashAfter int

	// submittedAt is when the engine accepted the sequence, before any wait in the queue of the engine.
	submittedAt  time.Duration
	firstTokenAt time.Duration
	prefillLeft  int
	prefilled    int
	generated    int
	ended        bool
}

// kvTokens returns the number of tokens of KV cache that the engine reserves for the sequence.
func (q *sequence) kvTokens() int { return q.prompt + min(maxOutputKVTokens, q.output) }

// computedTokens returns the number of prompt and answer tokens that the engine has computed.
func (q *sequence) computedTokens() int { return q.prefilled + q.generated }

// remainingSteps returns the number of steps until a decoding sequence ends or crashes the engine.
func (q *sequence) remainingSteps() int {
	if q.crashAfter > 0 {
		return min(q.output, q.crashAfter) - q.generated
	}
	return q.output - q.generated
}

// engine simulates a model engine in virtual time. Consecutive steps with the same batch are one event,
// so that the cost of a simulation depends on the number of requests rather than on tokens.
type engine struct {
	id    string
	zone  string
	spec  engineSpec
	loop  *eventLoop
	cache *prefixCache
	// onFirstToken is called at the first token of a sequence. onEnded is called when a sequence completes or
	// the engine crashes, but not after cancel.
	onFirstToken func(*sequence)
	onEnded      func(*sequence, policy.Outcome)

	up bool
	// slowdown is a factor on the duration of steps.
	slowdown float64
	waiting  []*sequence
	running  []*sequence
	// kvReserved is the number of tokens of KV cache that are reserved for running sequences.
	kvReserved int
	plan       plan
	// planEndNumber is the sequence number of the latest scheduled end of a plan. A scheduled end with a lower
	// number is ignored. A crash increments planEndNumber, so that the end of the interrupted plan is ignored.
	planEndNumber int
	// computedTokens counts prompt and answer tokens. stepTime and steps are totals since the last load
	// report.
	computedTokens int
	stepTime       time.Duration
	steps          int
}

// plan is a run of identical steps, which have the same batch and the same duration.
type plan struct {
	active   bool
	start    time.Duration
	duration time.Duration
	steps    int
	decoding []*sequence
	prefill  []prefillPart
}

// prefillPart is the number of prompt tokens of a sequence that the step processes.
type prefillPart struct {
	sequence *sequence
	tokens   int
}

// submit queues a sequence, ordered by priority and then by arrival. It returns false if the engine is
// down.
func (e *engine) submit(q *sequence) bool {
	if !e.up {
		return false
	}
	q.submittedAt = e.loop.now
	at, _ := slices.BinarySearchFunc(e.waiting, q, func(w, q *sequence) int {
		if w.priority <= q.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, q)
	e.truncateOrStartPlan()
	return true
}

// cancel stops a sequence. It has no effect on one that has ended.
func (e *engine) cancel(q *sequence) {
	if q.ended {
		return
	}
	e.truncateOrStartPlan()
	e.remove(q)
}

func (e *engine) remove(q *sequence) {
	q.ended = true
	if i := slices.Index(e.waiting, q); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if i := slices.Index(e.running, q); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kvReserved -= q.kvTokens()
	}
}

// truncateOrStartPlan lets the batch change as early as possible. If a plan is active, it executes the completed
// steps and shortens the plan to the current step, after which the next plan starts. Otherwise it starts a plan.
func (e *engine) truncateOrStartPlan() {
	if !e.plan.active {
		e.startPlan()
		return
	}
	if e.plan.steps == 1 {
		return
	}
	passed := min(int((e.loop.now-e.plan.start)/e.plan.duration), e.plan.steps-1)
	e.decodeSteps(passed)
	e.plan.start += time.Duration(passed) * e.plan.duration
	e.plan.steps = 1
	e.schedulePlanEnd()
}

// startPlan admits waiting sequences and plans the next steps. A plan with prompt tokens has one step;
// others last until the first sequence ends.
func (e *engine) startPlan() {
	e.admit()
	e.plan = plan{start: e.loop.now, steps: 1}
	if len(e.running) == 0 {
		return
	}
	e.plan.active = true
	budget := e.spec.prefillChunk
	minRemaining := 0
	for _, q := range e.running {
		if q.prefillLeft == 0 {
			e.plan.decoding = append(e.plan.decoding, q)
			if r := q.remainingSteps(); minRemaining == 0 || r < minRemaining {
				minRemaining = r
			}
			continue
		}
		if n := min(q.prefillLeft, budget); n > 0 {
			budget -= n
			e.plan.prefill = append(e.plan.prefill, prefillPart{q, n})
		}
	}
	if len(e.plan.prefill) == 0 {
		e.plan.steps = max(minRemaining, 1)
	}
	e.plan.duration = time.Duration(e.slowdown * float64(e.spec.stepBase+
		time.Duration(len(e.plan.decoding))*e.spec.perSequence+
		time.Duration(e.spec.prefillChunk-budget)*e.spec.perPrefillToken))
	e.schedulePlanEnd()
}

// schedulePlanEnd schedules the end of the plan and invalidates the end scheduled before.
func (e *engine) schedulePlanEnd() {
	e.planEndNumber++
	number := e.planEndNumber
	e.loop.at(e.plan.start+time.Duration(e.plan.steps)*e.plan.duration, func() {
		if number == e.planEndNumber {
			e.finishPlan()
		}
	})
}

// finishPlan executes the plan and starts the next one.
func (e *engine) finishPlan() {
	decoding := e.plan.decoding
	e.decodeSteps(e.plan.steps)
	// The steps have been executed. Below, crash would execute some of them again if it found more than one step.
	e.plan.steps = 1
	for _, part := range e.plan.prefill {
		q := part.sequence
		if q.ended {
			continue
		}
		q.prefillLeft -= part.tokens
		q.prefilled += part.tokens
		e.computedTokens += part.tokens
		if q.prefillLeft == 0 {
			// The step that completes the prompt also generates the first token.
			e.generate(q, 1)
			decoding = append(decoding, q)
		}
	}
	for _, q := range decoding {
		if q.ended || q.remainingSteps() > 0 {
			continue
		}
		// No steps remain although output tokens are missing, so the sequence has reached crashAfter.
		if q.generated < q.output {
			e.crash()
			return
		}
		e.remove(q)
		e.onEnded(q, policy.Completed)
	}
	e.startPlan()
}

// decodeSteps executes n steps of the plan, which generate n tokens for each decoding sequence.
func (e *engine) decodeSteps(n int) {
	e.stepTime += time.Duration(n) * e.plan.duration
	e.steps += n
	if n == 0 {
		return
	}
	for _, q := range e.plan.decoding {
		if !q.ended {
			e.generate(q, n)
		}
	}
}

func (e *engine) generate(q *sequence, n int) {
	if q.generated == 0 {
		q.firstTokenAt = e.loop.now
		e.onFirstToken(q)
	}
	q.generated += n
	e.computedTokens += n
}

// generatedTokens returns the number of tokens that q has generated by now, including completed steps of
// the plan that are not yet recorded.
func (e *engine) generatedTokens(q *sequence) int {
	if q.ended || q.prefillLeft > 0 || e.plan.steps == 1 || !slices.Contains(e.plan.decoding, q) {
		return q.generated
	}
	return q.generated + min(int((e.loop.now-e.plan.start)/e.plan.duration), e.plan.steps-1)
}

// admit moves waiting sequences into the batch until the batch or the KV cache is full. A sequence that
// is larger than the KV cache runs alone.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.maxBatch {
		q := e.waiting[0]
		if e.kvReserved+q.kvTokens() > e.spec.kvCacheTokens && len(e.running) > 0 {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		cached := e.cache.access(q.blocks) * blockTokens
		q.prefillLeft = max(q.prompt-cached, 1)
		e.kvReserved += q.kvTokens()
		e.running = append(e.running, q)
	}
}

// setSlowdown sets the factor on the duration of all later steps.
func (e *engine) setSlowdown(factor float64) {
	e.truncateOrStartPlan()
	e.slowdown = factor
}

// crash ends all sequences and clears the cache. The engine restarts after restartDelay.
func (e *engine) crash() {
	if !e.up {
		return
	}
	if e.plan.active && e.plan.steps > 1 {
		e.decodeSteps(min(int((e.loop.now-e.plan.start)/e.plan.duration), e.plan.steps-1))
	}
	all := append(slices.Clone(e.running), e.waiting...)
	e.up = false
	e.planEndNumber++
	e.plan = plan{}
	e.running, e.waiting, e.kvReserved = nil, nil, 0
	e.cache.clear()
	for _, q := range all {
		q.ended = true
		e.onEnded(q, policy.Crashed)
	}
	e.loop.after(restartDelay, func() { e.up = true })
}

// restartDelay is the time that a crashed engine needs to load its model again.
const restartDelay = 15 * time.Second

// takeLoadReport returns the current load report and starts the next reporting period.
func (e *engine) takeLoadReport() policy.LoadReport {
	if e.plan.active {
		e.truncateOrStartPlan()
	}
	r := policy.LoadReport{
		Endpoint: e.id, MeasuredAt: e.loop.now, Running: len(e.running), Waiting: len(e.waiting),
	}
	if e.steps > 0 {
		r.BetweenTokens = e.stepTime / time.Duration(e.steps)
	}
	e.steps, e.stepTime = 0, 0
	r.CacheSequence, r.CacheAdded, r.CacheRemoved = e.cache.takeEvents()
	return r
}
