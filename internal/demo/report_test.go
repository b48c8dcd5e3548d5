package demo

import (
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
)

// TestMet guards against late or incomplete answers that count as having met their targets.
func TestMet(t *testing.T) {
	quick := baseConfig().Presets[0].Classes[0]
	slow := make([]time.Duration, 20)
	slow[0], slow[1] = time.Second, time.Second
	for _, tc := range []struct {
		desc string
		chat chatRequest
		want bool
	}{
		{desc: "in time", chat: chatRequest{outcome: checker.Completed, firstToken: 500 * time.Millisecond, gaps: slow[2:]}, want: true},
		{desc: "one slow token of 20", chat: chatRequest{outcome: checker.Completed, gaps: append(slow[1:20:20], 0)}, want: true},
		{desc: "two slow tokens of 20", chat: chatRequest{outcome: checker.Completed, gaps: slow}},
		{desc: "late first token", chat: chatRequest{outcome: checker.Completed, firstToken: 501 * time.Millisecond}},
		{desc: "incomplete", chat: chatRequest{outcome: checker.Failed}},
		{desc: "no outcome", chat: chatRequest{}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			if got := tc.chat.metTargets(quick); got != tc.want {
				t.Errorf("met is %v, want %v", got, tc.want)
			}
		})
	}
}

// TestCheckCounts guards against violations that the report does not count.
func TestCheckCounts(t *testing.T) {
	l := &loadGenerator{}
	l.recordSent("a")
	l.recordEnd(checker.Event{Request: "a"})
	l.recordSent("b")
	l.recordEnd(checker.Event{Request: "b", Outcome: checker.Completed, Got: "x", Want: "xy"})
	ran := checker.Event{Kind: checker.EndpointRan, Key: "k"}
	var r Report
	r.countViolations(append(l.events, ran, ran))
	if r.Lost != 1 || r.TruncatedAnswers != 1 || r.DuplicateRuns != 1 || len(r.Violations) != 3 {
		t.Errorf("lost %d, cut %d, doubled %d, violations %v", r.Lost, r.TruncatedAnswers, r.DuplicateRuns, r.Violations)
	}
}
