// Package checker finds violations of the router's invariants in the event log of a test run or of the demo. The log
// holds what was observed from outside the daemons, not what they log about themselves. The callers record CallerSent
// and CallerDone, and the counters of the stand-ins yield EndpointRan. Only the integration tests record the other
// kinds: ChangeAccepted and EndpointLeaving when a test changes the configuration or the VM list, and RevisionSeen when
// it queries a daemon.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	// CallerSent: a caller sent a request.
	CallerSent EventKind = "caller_sent"
	// CallerDone: a caller got an outcome, or closed the connection itself.
	CallerDone EventKind = "caller_done"
	// EndpointRan: an endpoint started to run a request. Test runs and the demo add these events after the load, from
	// the stand-ins' counters: each has either Request or Key, and its At is not the time of the start.
	EndpointRan EventKind = "endpoint_ran"
	// ChangeAccepted: an operator's change was accepted with a revision.
	ChangeAccepted EventKind = "change_accepted"
	// RevisionSeen: an observer asked a daemon for its configuration revision in force and got an answer.
	RevisionSeen EventKind = "revision_seen"
	// EndpointLeaving: the platform began to remove an endpoint.
	EndpointLeaving EventKind = "endpoint_leaving"
	// RequestShed: a scheduler refused a waiting request. Neither the test runs nor the demo record this kind.
	RequestShed EventKind = "request_shed"
)

// Outcome is the outcome of a request as its caller received it.
type Outcome string

// The outcomes. The rules treat Failed and Unknown alike.
const (
	Completed Outcome = "completed"
	// NotRun: no endpoint ran the request.
	NotRun Outcome = "not_run"
	// Failed: the request ran, or may have run, and failed. A non-idempotent request has the outcome Unknown instead
	// if the router does not know its result. Integration tests also record Failed for a caller that got no response.
	Failed Outcome = "failed"
	// Unknown: a non-idempotent request may have run, and the router does not know its result, for example because
	// the connection to the endpoint broke before the response.
	Unknown Outcome = "unknown"
	// Abandoned: the caller closed the connection itself.
	Abandoned Outcome = "abandoned"
)

// Event is one entry of the log. The kind decides which fields are set.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration `json:"at"`
	Kind EventKind     `json:"kind"`
	// QueriedAt is the time at which the observer sent its query; At is the time of the answer. Only
	// RevisionSeen has it.
	QueriedAt time.Duration `json:"since,omitempty"`
	// Request is the caller's id of the request. The router forwards it in X-Request-Id, so that the stand-ins can
	// count their runs by id.
	Request string `json:"request,omitempty"`
	// Key is the idempotency key of a non-idempotent request. Resends have the same key.
	Key     string  `json:"key,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Want is the expected answer, Got the answer that the caller received.
	Want     string `json:"want,omitempty"`
	Got      string `json:"got,omitempty"`
	Daemon   string `json:"daemon,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Tier     int    `json:"tier,omitempty"`
	// LowestWaiting is the largest tier number, that is the lowest priority, among the waiting requests of the shard at
	// a RequestShed; 0 if there are none.
	LowestWaiting int `json:"lowest_waiting,omitempty"`
}

// Rule names a violated invariant.
type Rule string

// The rules.
const (
	// RuleLost: the caller got no outcome.
	RuleLost         Rule = "lost request"
	RuleDuplicateRun Rule = "non-idempotent request ran more than once"
	// RuleWrongAnswer: the caller got text that differs from the expected answer and is not the start of it, for
	// example text of another request.
	RuleWrongAnswer Rule = "foreign answer"
	// RuleTruncated: the caller got an incomplete answer with the outcome Completed.
	RuleTruncated Rule = "cut answer reported as completed"
	RuleNotRun    Rule = "request ran although the caller was told not run"
	// RuleReverted: the revision in force at a daemon went down.
	RuleReverted     Rule = "configuration reverted"
	RuleNotActivated Rule = "accepted configuration not in force in time"
	// RuleTierOrder: a request was shed while one of a tier with lower priority waited.
	RuleTierOrder Rule = "higher tier shed for a lower one"
	RuleLeaving   Rule = "leaving endpoint received new work"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule
	// Subject is the request, key, daemon or endpoint that the violation is about.
	Subject string
	Detail  string
}

// String returns the rule, the subject and the detail in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Subject, v.Detail) }

// Bounds are the time limits that the requirements state.
type Bounds struct {
	// ActivationDelay is the time within which an accepted change must be in force on every daemon that reports.
	ActivationDelay time.Duration
	// LeavingDelay is the time after which a leaving endpoint must receive no new work.
	LeavingDelay time.Duration
}

// DefaultBounds are the bounds that test runs and the demo check. ActivationDelay is the required limit at the target
// scale; LeavingDelay stands for the required "few seconds".
var DefaultBounds = Bounds{ActivationDelay: 10 * time.Second, LeavingDelay: 5 * time.Second}

// Check returns all violations in a log. The events may be in any order.
func Check(events []Event, b Bounds) []Violation {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	var all []Violation
	for _, check := range []func([]Event, Bounds) []Violation{
		checkLost, checkDuplicateRuns, checkAnswerTexts, checkNotRun, checkReverted, checkActivation, checkTierOrder,
		checkLeaving,
	} {
		all = append(all, check(sorted, b)...)
	}
	return all
}

// checkLost finds requests whose callers never got an outcome.
func checkLost(events []Event, _ Bounds) []Violation {
	pending := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case CallerSent:
			pending[e.Request] = true
		case CallerDone:
			delete(pending, e.Request)
		}
	}
	var out []Violation
	for _, r := range sortedKeys(pending) {
		out = append(out, Violation{RuleLost, r, "the caller never got an end"})
	}
	return out
}

func checkDuplicateRuns(events []Event, _ Bounds) []Violation {
	runs := map[string]int{}
	for _, e := range events {
		if e.Kind == EndpointRan && e.Key != "" {
			runs[e.Key]++
		}
	}
	var out []Violation
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			out = append(out, Violation{RuleDuplicateRun, key, fmt.Sprintf("%d runs", runs[key])})
		}
	}
	return out
}

// checkAnswerTexts compares the answers with the expected ones. A proper prefix of the expected answer is a
// truncated answer, which is a violation only with the outcome Completed. Any other difference is reported as
// RuleWrongAnswer.
func checkAnswerTexts(events []Event, _ Bounds) []Violation {
	var out []Violation
	for _, e := range events {
		if e.Kind != CallerDone || e.Got == e.Want {
			continue
		}
		isPrefix := len(e.Got) < len(e.Want) && e.Want[:len(e.Got)] == e.Got
		switch {
		case !isPrefix:
			out = append(out, Violation{RuleWrongAnswer, e.Request, fmt.Sprintf("got %.80q, want %.80q", e.Got, e.Want)})
		case e.Outcome == Completed:
			out = append(out, Violation{RuleTruncated, e.Request, fmt.Sprintf("%d of %d bytes", len(e.Got), len(e.Want))})
		}
	}
	return out
}

// checkNotRun finds requests that ran although their callers got the outcome NotRun.
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

// checkReverted finds daemons whose revision in force went down. It compares each answer only with answers
// that arrived before its query was sent: several observers query the same daemon, so the order of
// overlapping queries is unknown.
func checkReverted(events []Event, _ Bounds) []Violation {
	seen := map[string][]Event{}
	var out []Violation
	for _, e := range events {
		if e.Kind != RevisionSeen {
			continue
		}
		var highest uint64
		for _, earlier := range seen[e.Daemon] {
			if earlier.At < e.QueriedAt {
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

// checkActivation finds daemons that report an older revision later than b.ActivationDelay after a change was accepted.
func checkActivation(events []Event, b Bounds) []Violation {
	var out []Violation
	for _, change := range events {
		if change.Kind != ChangeAccepted {
			continue
		}
		for _, e := range events {
			if e.Kind == RevisionSeen && e.At > change.At+b.ActivationDelay && e.Revision < change.Revision {
				out = append(out, Violation{RuleNotActivated, e.Daemon,
					fmt.Sprintf("revision %d in force %v after revision %d was accepted", e.Revision, e.At-change.At, change.Revision)})
			}
		}
	}
	return out
}

// checkTierOrder finds requests that were shed while a request of a lower priority waited.
func checkTierOrder(events []Event, _ Bounds) []Violation {
	var out []Violation
	for _, e := range events {
		if e.Kind == RequestShed && e.LowestWaiting > e.Tier {
			out = append(out, Violation{RuleTierOrder, e.Request, fmt.Sprintf("tier %d shed while tier %d waited", e.Tier, e.LowestWaiting)})
		}
	}
	return out
}

// checkLeaving finds requests that started at an endpoint more than b.LeavingDelay after it began to leave. It needs
// EndpointRan events whose At is the time of the start, which neither the test runs nor the demo record. The test
// TestFaultLeavingEndpoint in test/integration checks the rule itself, with the stand-ins' counters.
func checkLeaving(events []Event, b Bounds) []Violation {
	leaving := map[string]time.Duration{}
	var out []Violation
	for _, e := range events {
		switch e.Kind {
		case EndpointLeaving:
			leaving[e.Endpoint] = e.At
		case EndpointRan:
			if since, ok := leaving[e.Endpoint]; ok && e.At > since+b.LeavingDelay {
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
