// Package checker finds violations of the invariants in the log of a test run. The log has what
// callers, stand-ins and operators saw; the daemons' own accounts are not used.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// CallerSent: a caller sent a request.
	CallerSent Kind = "caller_sent"
	// CallerDone: a caller got the end of a request, or gave up.
	CallerDone Kind = "caller_done"
	// EndpointRan: an endpoint began to run a request.
	EndpointRan Kind = "endpoint_ran"
	// ChangeAccepted: an operator's change was accepted with a revision.
	ChangeAccepted Kind = "change_accepted"
	// RevisionSeen: a daemon reported the revision that is in force there.
	RevisionSeen Kind = "revision_seen"
	// EndpointLeaving: the platform began to withdraw an endpoint.
	EndpointLeaving Kind = "endpoint_leaving"
	// RequestShed: a scheduler refused a waiting request.
	RequestShed Kind = "request_shed"
)

// Outcome is what a caller was told.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not_run"
	Failed    Outcome = "failed"
	Unknown   Outcome = "unknown"
	// Abandoned: the caller closed the connection itself.
	Abandoned Outcome = "abandoned"
)

// Event is one line of the log. Which fields are set depends on the kind.
type Event struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Since is when the observer asked; At is when it had the answer. Only RevisionSeen has it.
	Since time.Duration `json:"since,omitempty"`
	// Request is the caller's own number of the request; it reaches the endpoint in the body.
	Request string `json:"request,omitempty"`
	// Key is the idempotency key of a non-idempotent request. Resends have the same key.
	Key      string  `json:"key,omitempty"`
	Outcome  Outcome `json:"outcome,omitempty"`
	Want     string  `json:"want,omitempty"`
	Got      string  `json:"got,omitempty"`
	Daemon   string  `json:"daemon,omitempty"`
	Endpoint string  `json:"endpoint,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Tier     int     `json:"tier,omitempty"`
	// LowestWaiting is the lowest tier that waited in the shard at a RequestShed, 0 for none.
	LowestWaiting int `json:"lowest_waiting,omitempty"`
}

// Rule names a violated invariant.
type Rule string

// The rules.
const (
	RuleLost     Rule = "lost request"
	RuleDoubled  Rule = "non-idempotent request ran more than once"
	RuleForeign  Rule = "foreign answer"
	RuleCut      Rule = "cut answer reported as completed"
	RuleNotRun   Rule = "request ran although the caller was told not run"
	RuleReverted Rule = "configuration reverted"
	RuleStale    Rule = "accepted configuration not in force in time"
	RuleTier     Rule = "higher tier shed for a lower one"
	RuleLeaving  Rule = "leaving endpoint received new work"
)

// Violation is one violated rule.
type Violation struct {
	Rule    Rule
	Subject string
	Detail  string
}

// String describes the violation.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Bounds are the times that the requirements state.
type Bounds struct {
	// InForce is the time in which an accepted change is in force on every daemon that reports.
	InForce time.Duration
	// Leaving is the time after which a leaving endpoint receives no new work.
	Leaving time.Duration
}

// DefaultBounds are the bounds of the requirements: 10 s for the configuration at the target
// scale, and 5 s for "a few seconds" of a leaving endpoint.
var DefaultBounds = Bounds{InForce: 10 * time.Second, Leaving: 5 * time.Second}

// Check returns all violations in a log.
func Check(events []Event, b Bounds) []Violation {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	var all []Violation
	for _, check := range []func([]Event, Bounds) []Violation{
		checkLost, checkDoubled, checkAnswers, checkNotRun, checkReverted, checkInForce, checkTiers, checkLeaving,
	} {
		all = append(all, check(sorted, b)...)
	}
	return all
}

func checkLost(events []Event, _ Bounds) []Violation {
	open := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case CallerSent:
			open[e.Request] = true
		case CallerDone:
			delete(open, e.Request)
		}
	}
	var out []Violation
	for _, r := range sortedKeys(open) {
		out = append(out, Violation{RuleLost, r, "the caller never got an end"})
	}
	return out
}

func checkDoubled(events []Event, _ Bounds) []Violation {
	runs := map[string]int{}
	for _, e := range events {
		if e.Kind == EndpointRan && e.Key != "" {
			runs[e.Key]++
		}
	}
	var out []Violation
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			out = append(out, Violation{RuleDoubled, key, fmt.Sprintf("%d runs", runs[key])})
		}
	}
	return out
}

// checkAnswers compares what callers got with what they should get. A prefix of the right answer
// is a cut one, anything else belongs to another request.
func checkAnswers(events []Event, _ Bounds) []Violation {
	var out []Violation
	for _, e := range events {
		if e.Kind != CallerDone || e.Got == e.Want {
			continue
		}
		isPrefix := len(e.Got) < len(e.Want) && e.Want[:len(e.Got)] == e.Got
		switch {
		case !isPrefix:
			out = append(out, Violation{RuleForeign, e.Request, fmt.Sprintf("got %.80q, want %.80q", e.Got, e.Want)})
		case e.Outcome == Completed:
			out = append(out, Violation{RuleCut, e.Request, fmt.Sprintf("%d of %d bytes", len(e.Got), len(e.Want))})
		}
	}
	return out
}

func checkNotRun(events []Event, _ Bounds) []Violation {
	ran := map[string]string{}
	for _, e := range events {
		if e.Kind == EndpointRan {
			ran[e.Request] = e.Endpoint
		}
	}
	var out []Violation
	for _, e := range events {
		if endpoint, ok := ran[e.Request]; ok && e.Kind == CallerDone && e.Outcome == NotRun {
			out = append(out, Violation{RuleNotRun, e.Request, "ran at " + endpoint})
		}
	}
	return out
}

// checkReverted compares each report with those that were complete before it was asked for. Two
// reports that overlap say nothing about their order, since several observers ask the same daemon.
func checkReverted(events []Event, _ Bounds) []Violation {
	seen := map[string][]Event{}
	var out []Violation
	for _, e := range events {
		if e.Kind != RevisionSeen {
			continue
		}
		var highest uint64
		for _, earlier := range seen[e.Daemon] {
			if earlier.At < e.Since {
				highest = max(highest, earlier.Revision)
			}
		}
		if e.Revision < highest {
			out = append(out, Violation{RuleReverted, e.Daemon, fmt.Sprintf("revision %d after %d", e.Revision, highest)})
		}
		seen[e.Daemon] = append(seen[e.Daemon], e)
	}
	return out
}

// checkInForce compares each daemon's reports that come later than the bound after a change.
func checkInForce(events []Event, b Bounds) []Violation {
	var out []Violation
	for _, change := range events {
		if change.Kind != ChangeAccepted {
			continue
		}
		for _, e := range events {
			if e.Kind == RevisionSeen && e.At > change.At+b.InForce && e.Revision < change.Revision {
				out = append(out, Violation{RuleStale, e.Daemon,
					fmt.Sprintf("revision %d in force %v after revision %d was accepted", e.Revision, e.At-change.At, change.Revision)})
			}
		}
	}
	return out
}

func checkTiers(events []Event, _ Bounds) []Violation {
	var out []Violation
	for _, e := range events {
		if e.Kind == RequestShed && e.LowestWaiting > e.Tier {
			out = append(out, Violation{RuleTier, e.Request, fmt.Sprintf("tier %d shed while tier %d waited", e.Tier, e.LowestWaiting)})
		}
	}
	return out
}

func checkLeaving(events []Event, b Bounds) []Violation {
	leaving := map[string]time.Duration{}
	var out []Violation
	for _, e := range events {
		switch e.Kind {
		case EndpointLeaving:
			leaving[e.Endpoint] = e.At
		case EndpointRan:
			if since, ok := leaving[e.Endpoint]; ok && e.At > since+b.Leaving {
				out = append(out, Violation{RuleLeaving, e.Endpoint, fmt.Sprintf("request %s began %v after it was leaving", e.Request, e.At-since)})
			}
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
