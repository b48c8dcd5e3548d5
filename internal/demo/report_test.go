package demo

import (
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/checker"
)

// TestMet guards against answers that count as attained although they were late or incomplete.
func TestMet(t *testing.T) {
	quick := baseConfig().Presets[0].Classes[0]
	slow := make([]time.Duration, 20)
	slow[0], slow[1] = time.Second, time.Second
	for _, tc := range []struct {
		desc string
		chat chat
		want bool
	}{
		{desc: "in time", chat: chat{outcome: checker.Completed, firstToken: 500 * time.Millisecond, gaps: slow[2:]}, want: true},
		{desc: "one slow token of 20", chat: chat{outcome: checker.Completed, gaps: append(slow[1:20:20], 0)}, want: true},
		{desc: "two slow tokens of 20", chat: chat{outcome: checker.Completed, gaps: slow}},
		{desc: "late first token", chat: chat{outcome: checker.Completed, firstToken: 501 * time.Millisecond}},
		{desc: "incomplete", chat: chat{outcome: checker.Failed}},
		{desc: "no outcome", chat: chat{}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			if got := tc.chat.met(quick); got != tc.want {
				t.Errorf("met is %v, want %v", got, tc.want)
			}
		})
	}
}

// TestCheckCounts guards against violations that the report leaves out.
func TestCheckCounts(t *testing.T) {
	l := &load{}
	l.sent("a")
	l.ended(checker.Event{Request: "a"})
	l.sent("b")
	l.ended(checker.Event{Request: "b", Outcome: checker.Completed, Got: "x", Want: "xy"})
	ran := checker.Event{Kind: checker.EndpointRan, Key: "k"}
	var r Report
	r.check(append(l.events, ran, ran))
	if r.Lost != 1 || r.Cut != 1 || r.Doubled != 1 || len(r.Violations) != 3 {
		t.Errorf("lost %d, cut %d, doubled %d, violations %v", r.Lost, r.Cut, r.Doubled, r.Violations)
	}
}
