package bench

import (
	"fmt"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// callOutcome says how a call ended for its caller.
type callOutcome uint8

const (
	outcomeCompleted callOutcome = iota
	outcomeShed
	// outcomeAbandoned means that the caller left after one of its time-outs.
	outcomeAbandoned
	// outcomeExpired means that the class's target for the total time passed.
	outcomeExpired
	outcomeFailed
)

// wasteReason says why computed tokens were of no use.
type wasteReason uint8

const (
	wasteAbandoned wasteReason = iota
	wasteExpired
	// wasteRetried is for prompt tokens of failed attempts, also if no retry follows, and for the incomplete
	// answers of calls that were shed.
	wasteRetried
	// wastePreempted is for prompt tokens of preempted attempts.
	wastePreempted
	// wasteDuplicated is for resent requests that were abandoned or expired.
	wasteDuplicated
	// wasteFailed is for the incomplete answers of failed calls.
	wasteFailed
	wasteReasonCount
)

// defaultPriority is the priority at the engine of requests without one.
const defaultPriority = 1

// poisonTokens is the number of generated tokens after which a poison request crashes its engine.
const poisonTokens = 30

func (c *call) attemptID() policy.AttemptID {
	return policy.AttemptID{Request: c.id, Number: c.attempt}
}

// deadline returns the time at which the call expires; zero means never.
func (c *call) deadline() time.Duration {
	if c.class.Total == 0 {
		return 0
	}
	return c.arrival + c.class.Total
}

// arrive starts a call at the daemon that receives it and schedules its time-outs.
func (s *sim) arrive(c *call) {
	c.arrival = s.loop.now
	s.metrics.recordArrival(c)
	if s.recovery.blocked(c) {
		s.finishCall(c, outcomeFailed)
		return
	}
	s.active[c.id] = c
	s.loop.after(networkDelay, func() { s.submit(c) })
	s.loop.at(c.arrival+c.class.firstTokenTimeout, func() {
		if c.firstToken == 0 || c.firstToken > s.loop.now {
			s.cancelCall(c, outcomeAbandoned, wasteAbandoned)
		}
	})
	s.loop.at(c.arrival+c.class.totalTimeout, func() { s.cancelCall(c, outcomeAbandoned, wasteAbandoned) })
	if d := c.deadline(); d > 0 {
		s.loop.at(d, func() { s.cancelCall(c, outcomeExpired, wasteExpired) })
	}
}

// submit submits the next attempt of a call to the policy.
func (s *sim) submit(c *call) {
	if c.done {
		return
	}
	c.attempt++
	c.state = waiting
	c.endpoint, c.sequence = nil, nil
	s.policy.Submit(s.loop.now, &policy.Request{
		ID:            c.attemptID(),
		Class:         c.class.Name,
		Workspace:     c.workspace,
		Zone:          c.zone,
		PromptTokens:  c.prompt,
		MaxTokens:     c.class.maxTokens,
		ResumedTokens: c.resumedTokens,
		Arrival:       c.arrival,
		Deadline:      c.deadline(),
		Blocks:        c.blocks,
		Avoid:         c.avoid,
		AvoidZone:     c.avoidZone,
		Suspect:       c.crashedEngine,
		WasPreempted:  c.wasPreempted,
	})
	s.checker.submit(c)
	s.policyRunNeeded = true
}

// applyDecision carries out a decision of the policy. Decisions that do not match the state of the call
// are counted as invalid.
func (s *sim) applyDecision(d policy.Decision) {
	c := s.active[d.ID.Request]
	expected := waiting
	if d.Kind == policy.Preempt {
		expected = granted
	}
	if c == nil || c.attempt != d.ID.Number || c.state != expected {
		s.metrics.invalidDecisions++
		return
	}
	s.checker.recordDecision(c, d)
	switch d.Kind {
	case policy.Grant:
		c.state = granted
		c.endpoint = s.byID[d.Endpoint]
		s.loop.after(2*networkDelay, func() { s.startAttempt(c) })
	case policy.Shed:
		s.metrics.recordShed(c, s.loop.now, s.checker.tier(c), d.Reason)
		c.state = idle
		s.metrics.recordWaste(wasteRetried, c.resumedTokens)
		s.finishCall(c, outcomeShed)
	case policy.Preempt:
		attempt := c.attempt
		s.loop.after(2*networkDelay, func() { s.preempt(c, attempt) })
	}
}

// startAttempt sends a granted attempt to its endpoint.
func (s *sim) startAttempt(c *call) {
	if c.done {
		return
	}
	q := &sequence{
		call: c, blocks: c.blocks, prompt: c.prompt + c.resumedTokens, output: c.output - c.resumedTokens,
		priority: defaultPriority,
	}
	if s.sendPriority {
		q.priority = s.checker.tier(c)
	}
	if c.poison {
		q.crashAfter = poisonTokens
	}
	if c.endpoint.submit(q) {
		c.sequence = q
		return
	}
	s.loop.after(2*networkDelay, func() { s.retryOrFail(c, c.attempt, policy.NotSent) })
}

func (s *sim) onFirstToken(q *sequence) {
	if c := q.call; c.firstToken == 0 {
		c.firstToken = s.loop.now + networkDelay
	}
}

// onEnded handles the end of a sequence at an engine: completed, or ended by a crash.
func (s *sim) onEnded(q *sequence, outcome policy.Outcome) {
	c, attempt := q.call, q.call.attempt
	s.loop.after(networkDelay, func() {
		if c.done {
			return
		}
		if outcome != policy.Completed {
			s.retryOrFail(c, attempt, outcome)
			return
		}
		s.finishAttempt(c, policy.Completed)
		s.metrics.recordCompletion(c, s.loop.now)
		s.finishCall(c, outcomeCompleted)
	})
}

// finishAttempt reports the end of an attempt to the policy.
func (s *sim) finishAttempt(c *call, outcome policy.Outcome) {
	tokens := c.resumedTokens
	if c.sequence != nil {
		tokens += c.sequence.generated
	}
	s.policy.Finish(s.loop.now, c.attemptID(), outcome, tokens)
	s.checker.finish(c)
	c.state = idle
	s.policyRunNeeded = true
}

// preempt cancels a running attempt so that the call can be submitted again.
func (s *sim) preempt(c *call, attempt uint32) {
	if c.done || c.attempt != attempt || c.sequence == nil || c.sequence.ended {
		return
	}
	c.endpoint.cancel(c.sequence)
	s.loop.after(networkDelay, func() { s.retryOrFail(c, attempt, policy.Preempted) })
}

// retryOrFail handles an attempt that ended without a complete answer: it submits the call again, or
// fails it if no retry is allowed.
func (s *sim) retryOrFail(c *call, attempt uint32, outcome policy.Outcome) {
	if c.done || c.attempt != attempt {
		return
	}
	s.finishAttempt(c, outcome)
	reason := wasteRetried
	if outcome == policy.Preempted {
		reason = wastePreempted
	}
	if q := c.sequence; q != nil {
		// The caller already has the generated tokens; the next attempt resumes after them.
		s.metrics.recordWaste(reason, q.prefilled)
		c.resumedTokens += q.generated
		c.sequence = nil
	}
	if !s.recovery.prepareRetry(c, outcome, s.metrics.offered(c)) {
		s.metrics.recordWaste(wasteFailed, c.resumedTokens)
		s.finishCall(c, outcomeFailed)
		return
	}
	s.loop.after(networkDelay, func() { s.submit(c) })
}

// cancelCall ends a call whose caller has left or whose deadline has passed. The engine keeps computing
// for it until the cancellation arrives.
func (s *sim) cancelCall(c *call, outcome callOutcome, reason wasteReason) {
	if c.done {
		return
	}
	c.done = true
	s.metrics.recordOutcome(c, outcome)
	if c.resends > 0 {
		reason = wasteDuplicated
	}
	s.loop.after(networkDelay, func() {
		tokens := c.resumedTokens
		if q := c.sequence; q != nil {
			c.endpoint.cancel(q)
			tokens += q.computedTokens()
		}
		s.metrics.recordWaste(reason, tokens)
		if c.state != idle {
			s.policy.Cancel(s.loop.now, c.attemptID())
			s.checker.cancel(c)
			s.policyRunNeeded = true
		}
		delete(s.active, c.id)
	})
}

// finishCall ends a call with an answer or an error. The caller of a poison request that failed sends it
// again.
func (s *sim) finishCall(c *call, outcome callOutcome) {
	c.done = true
	s.metrics.recordOutcome(c, outcome)
	delete(s.active, c.id)
	if c.poison && outcome == outcomeFailed && c.resends < poisonResends {
		resent := s.poisonCall(c.content, c.resends+1)
		s.loop.after(time.Second, func() { s.arrive(resent) })
	}
}

// poisonResends is how often the caller of a poison request sends it again.
const poisonResends = 5

// poisonCall returns a request of the second class (tier 2) that crashes each engine that runs it.
func (s *sim) poisonCall(content string, resends int) *call {
	spec := &s.dep.classes[1]
	return &call{
		id: fmt.Sprintf("%s-%d", content, resends), content: content, class: spec,
		workspace: "workspace-1", zone: s.dep.zones[0], prompt: int(spec.prompt),
		output: spec.maxTokens, poison: true, resends: resends,
	}
}
