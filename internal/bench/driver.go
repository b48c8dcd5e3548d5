package bench

import (
	"fmt"
	"time"

	"github.com/chivewind/chivewind/policy"
)

// end says how a call ended for its caller.
type end uint8

const (
	endCompleted end = iota
	endShed
	endAbandoned
	endExpired
	endFailed
)

// reason says why computed tokens were wasted.
type reason uint8

const (
	wasteAbandoned reason = iota
	wasteExpired
	wasteRetried
	wastePreempted
	wasteDuplicated
	wasteFailed
	reasonCount
)

// defaultPriority is the priority at the engine of requests that carry none.
const defaultPriority = 1

// poisonTokens is the number of tokens after which a poison request crashes its engine.
const poisonTokens = 30

func (c *call) attemptID() policy.AttemptID {
	return policy.AttemptID{Request: c.id, Number: c.attempt}
}

// deadline is the latest useful end; zero means none.
func (c *call) deadline() time.Duration {
	if c.class.Total == 0 {
		return 0
	}
	return c.arrival + c.class.Total
}

// arrive starts a call at its entry daemon.
func (s *sim) arrive(c *call) {
	c.arrival = s.loop.now
	s.metrics.arrive(c)
	if s.recovery.stopped(c) {
		s.conclude(c, endFailed)
		return
	}
	s.active[c.id] = c
	s.loop.after(delay, func() { s.submit(c) })
	s.loop.at(c.arrival+c.class.patience, func() {
		if c.firstToken == 0 || c.firstToken > s.loop.now {
			s.giveUp(c, endAbandoned, wasteAbandoned)
		}
	})
	s.loop.at(c.arrival+c.class.patienceTotal, func() { s.giveUp(c, endAbandoned, wasteAbandoned) })
	if d := c.deadline(); d > 0 {
		s.loop.at(d, func() { s.giveUp(c, endExpired, wasteExpired) })
	}
}

// submit asks the policy for a slot for the next attempt.
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
		ResumedTokens: c.kept,
		Arrival:       c.arrival,
		Deadline:      c.deadline(),
		Blocks:        c.blocks,
		Avoid:         c.avoid,
		AvoidZone:     c.avoidZone,
		Suspect:       c.suspect,
		WasPreempted:  c.wasPreempted,
	})
	s.checker.submit(c)
	s.dirty = true
}

// decide carries out a decision of the policy.
func (s *sim) decide(d policy.Decision) {
	c := s.active[d.ID.Request]
	expected := waiting
	if d.Kind == policy.Preempt {
		expected = granted
	}
	if c == nil || c.attempt != d.ID.Number || c.state != expected {
		s.metrics.invalidDecisions++
		return
	}
	s.checker.decide(c, d)
	switch d.Kind {
	case policy.Grant:
		c.state = granted
		c.endpoint = s.byID[d.Endpoint]
		s.loop.after(2*delay, func() { s.start(c) })
	case policy.Shed:
		s.metrics.shed(c, s.loop.now, s.checker.tier(c), d.Reason)
		c.state = idle
		s.metrics.waste(wasteRetried, c.kept)
		s.conclude(c, endShed)
	case policy.Preempt:
		attempt := c.attempt
		s.loop.after(2*delay, func() { s.preempt(c, attempt) })
	}
}

// start sends a granted attempt to its endpoint.
func (s *sim) start(c *call) {
	if c.done {
		return
	}
	q := &sequence{
		call: c, blocks: c.blocks, prompt: c.prompt + c.kept, output: c.output - c.kept,
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
	s.loop.after(2*delay, func() { s.recoverCall(c, c.attempt, policy.NotSent) })
}

func (s *sim) onFirstToken(q *sequence) {
	if c := q.call; c.firstToken == 0 {
		c.firstToken = s.loop.now + delay
	}
}

// onEnded is called when an engine completes a sequence or crashes.
func (s *sim) onEnded(q *sequence, outcome policy.Outcome) {
	c, attempt := q.call, q.call.attempt
	s.loop.after(delay, func() {
		if c.done {
			return
		}
		if outcome != policy.Completed {
			s.recoverCall(c, attempt, outcome)
			return
		}
		s.finish(c, policy.Completed)
		s.metrics.complete(c, s.loop.now)
		s.conclude(c, endCompleted)
	})
}

// finish tells the policy that an attempt has ended.
func (s *sim) finish(c *call, outcome policy.Outcome) {
	tokens := c.kept
	if c.sequence != nil {
		tokens += c.sequence.generated
	}
	s.policy.Finish(s.loop.now, c.attemptID(), outcome, tokens)
	s.checker.finish(c)
	c.state = idle
	s.dirty = true
}

// preempt cancels a running attempt and asks for the request again.
func (s *sim) preempt(c *call, attempt uint32) {
	if c.done || c.attempt != attempt || c.sequence == nil || c.sequence.ended {
		return
	}
	c.endpoint.cancel(c.sequence)
	s.loop.after(delay, func() { s.recoverCall(c, attempt, policy.Preempted) })
}

// recoverCall handles an attempt that ended without a complete answer: it resumes the request
// elsewhere or ends it.
func (s *sim) recoverCall(c *call, attempt uint32, outcome policy.Outcome) {
	if c.done || c.attempt != attempt {
		return
	}
	s.finish(c, outcome)
	why := wasteRetried
	if outcome == policy.Preempted {
		why = wastePreempted
	}
	if q := c.sequence; q != nil {
		// The caller has the generated tokens, and the next attempt continues after them.
		s.metrics.waste(why, q.prefilled)
		c.kept += q.generated
		c.sequence = nil
	}
	if !s.recovery.retry(c, outcome, s.metrics.offered(c)) {
		s.metrics.waste(wasteFailed, c.kept)
		s.conclude(c, endFailed)
		return
	}
	s.loop.after(delay, func() { s.submit(c) })
}

// giveUp ends a call whose caller is gone or whose deadline has passed. The engine computes for
// it until the cancellation arrives.
func (s *sim) giveUp(c *call, how end, why reason) {
	if c.done {
		return
	}
	c.done = true
	s.metrics.end(c, how)
	if c.resends > 0 {
		why = wasteDuplicated
	}
	s.loop.after(delay, func() {
		tokens := c.kept
		if q := c.sequence; q != nil {
			c.endpoint.cancel(q)
			tokens += q.computed()
		}
		s.metrics.waste(why, tokens)
		if c.state != idle {
			s.policy.Cancel(s.loop.now, c.attemptID())
			s.checker.cancel(c)
			s.dirty = true
		}
		delete(s.active, c.id)
	})
}

// conclude ends a call with an answer or an error to its caller.
func (s *sim) conclude(c *call, how end) {
	c.done = true
	s.metrics.end(c, how)
	delete(s.active, c.id)
	if c.poison && how == endFailed && c.resends < poisonResends {
		again := s.poisonCall(c.content, c.resends+1)
		s.loop.after(time.Second, func() { s.arrive(again) })
	}
}

// poisonResends is how often the caller of a poison request sends it again.
const poisonResends = 5

// poisonCall returns a request of tier 2 that crashes each engine that runs it.
func (s *sim) poisonCall(content string, resends int) *call {
	spec := &s.dep.classes[1]
	return &call{
		id: fmt.Sprintf("%s-%d", content, resends), content: content, class: spec,
		workspace: "workspace-1", zone: s.dep.zones[0], prompt: int(spec.prompt),
		output: spec.maxTokens, poison: true, resends: resends,
	}
}
