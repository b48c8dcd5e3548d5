package checker

import (
	"slices"
	"testing"
	"time"
)

// TestCheck guards against a checker that misses a violation or reports a false one: each log has at most one
// violation.
func TestCheck(t *testing.T) {
	// Times without a unit are in nanoseconds; only their order matters.
	sent := Event{Kind: CallerSent, Request: "r1"}
	done := func(o Outcome, got, want string) Event {
		return Event{At: time.Second, Kind: CallerDone, Request: "r1", Outcome: o, Got: got, Want: want}
	}
	ran := func(at time.Duration, endpoint string) Event {
		return Event{At: at, Kind: EndpointRan, Request: "r1", Key: "k1", Endpoint: endpoint}
	}
	seen := func(at time.Duration, rev uint64) Event {
		return Event{At: at, QueriedAt: at, Kind: RevisionSeen, Daemon: "d1", Revision: rev}
	}
	for _, tc := range []struct {
		desc   string
		events []Event
		want   []Rule
	}{
		{desc: "clean", events: []Event{sent, ran(0, "e1"), done(Completed, "abc", "abc"), seen(0, 1), seen(1, 2)}},
		{desc: "lost", events: []Event{sent}, want: []Rule{RuleLost}},
		{desc: "doubled", events: []Event{sent, ran(0, "e1"), ran(1, "e2"), done(Completed, "a", "a")}, want: []Rule{RuleDuplicateRun}},
		{desc: "foreign", events: []Event{sent, done(Completed, "xyz", "abc")}, want: []Rule{RuleWrongAnswer}},
		{desc: "too long", events: []Event{sent, done(Completed, "abcc", "abc")}, want: []Rule{RuleWrongAnswer}},
		{desc: "foreign part of a failed answer", events: []Event{sent, done(Failed, "x", "abc")}, want: []Rule{RuleWrongAnswer}},
		{desc: "cut", events: []Event{sent, done(Completed, "ab", "abc")}, want: []Rule{RuleTruncated}},
		{desc: "cut but said so", events: []Event{sent, done(Failed, "ab", "abc")}},
		{desc: "false not run", events: []Event{sent, ran(0, "e1"), done(NotRun, "", "abc")}, want: []Rule{RuleNotRun}},
		{desc: "reverted", events: []Event{seen(0, 2), seen(1, 1)}, want: []Rule{RuleReverted}},
		// The second query was sent after the first answer.
		{desc: "reverted under observers that overlap", events: []Event{
			{At: 4, QueriedAt: 1, Kind: RevisionSeen, Daemon: "d1", Revision: 2},
			{At: 9, QueriedAt: 5, Kind: RevisionSeen, Daemon: "d1", Revision: 1},
		}, want: []Rule{RuleReverted}},
		// The second query was sent before the first answer, so its revision may be the older one.
		{desc: "answers that overlap", events: []Event{
			{At: 4, QueriedAt: 1, Kind: RevisionSeen, Daemon: "d1", Revision: 2},
			{At: 5, QueriedAt: 2, Kind: RevisionSeen, Daemon: "d1", Revision: 1},
		}},
		{desc: "late configuration", events: []Event{{Kind: ChangeAccepted, Revision: 2}, seen(11*time.Second, 1)}, want: []Rule{RuleNotActivated}},
		{desc: "configuration within the bound", events: []Event{{Kind: ChangeAccepted, Revision: 2}, seen(9*time.Second, 1), seen(11*time.Second, 2)}},
		{desc: "tier", events: []Event{{Kind: RequestShed, Request: "r2", Tier: 1, LowestWaiting: 3}}, want: []Rule{RuleTierOrder}},
		{desc: "lowest tier shed", events: []Event{{Kind: RequestShed, Request: "r2", Tier: 3, LowestWaiting: 3}}},
		{desc: "leaving", events: []Event{{Kind: EndpointLeaving, Endpoint: "e1"}, {At: 6 * time.Second, Kind: EndpointRan, Endpoint: "e1"}}, want: []Rule{RuleLeaving}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var got []Rule
			for _, v := range Check(tc.events, DefaultBounds) {
				got = append(got, v.Rule)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("violations %v, want %v", got, tc.want)
			}
		})
	}
}
