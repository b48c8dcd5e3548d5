package telemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/internal/promtext"
)

func quickClass() config.Class {
	return config.Class{
		Name: "quick", Tier: 1,
		FirstToken: config.Duration(time.Second), BetweenTokens: config.Duration(30 * time.Millisecond),
	}
}

// value returns the exported value of a metric, or "" if the metric is missing.
func value(t *testing.T, r metrics.Registry, name string) string {
	t.Helper()
	var b strings.Builder
	if err := promtext.Write(&b, r); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(b.String()) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// TestAttainment guards against refused, late and incomplete answers that count as met or as goodput.
func TestAttainment(t *testing.T) {
	for _, tc := range []struct {
		desc                      string
		result                    RequestResult
		first, between, all, good string
		// counted is "1" if the request counts for the target between_tokens, else "0".
		counted string
	}{
		{desc: "in time", result: RequestResult{Outcome: OutcomeCompleted, FirstToken: time.Second, Gaps: 100, LateGaps: 5,
			Tokens: 101}, first: "1", between: "1", all: "1", good: "101", counted: "1"},
		{desc: "late first token", result: RequestResult{Outcome: OutcomeCompleted, FirstToken: time.Second + 1, Gaps: 100,
			Tokens: 101}, first: "0", between: "1", all: "0", good: "0", counted: "1"},
		{desc: "slow tokens", result: RequestResult{Outcome: OutcomeCompleted, FirstToken: 1, Gaps: 100, LateGaps: 6,
			Tokens: 101}, first: "1", between: "0", all: "0", good: "0", counted: "1"},
		{desc: "refused", result: RequestResult{Outcome: OutcomeNotRun, Total: 1, Shed: true}, first: "0", between: "0", all: "0", good: "0", counted: "1"},
		{desc: "cut", result: RequestResult{Outcome: OutcomeFailed, FirstToken: 1, Tokens: 7}, first: "0", between: "0", all: "0", good: "0", counted: "1"},
		{desc: "late answer without tokens", result: RequestResult{Outcome: OutcomeCompleted, Total: 2 * time.Second}, first: "0", between: "0", all: "0", good: "0", counted: "0"},
		{desc: "answer without tokens", result: RequestResult{Outcome: OutcomeCompleted, Total: time.Second}, first: "1", between: "0", all: "1", good: "0", counted: "0"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := metrics.NewRegistry()
			New(r).Record(quickClass(), tc.result)
			for name, want := range map[string]string{
				`chivewind_target_met_total{class="quick",target="first_token"}`:         tc.first,
				`chivewind_target_met_total{class="quick",target="between_tokens"}`:      tc.between,
				`chivewind_target_met_total{class="quick",target="all"}`:                 tc.all,
				`chivewind_target_requests_total{class="quick",target="all"}`:            "1",
				`chivewind_target_requests_total{class="quick",target="between_tokens"}`: tc.counted,
				`chivewind_target_requests_total{class="quick",target="total"}`:          "0",
				`chivewind_goodput_tokens_total{class="quick"}`:                          tc.good,
			} {
				if got := value(t, r, name); got != want {
					t.Errorf("%s is %q, want %q", name, got, want)
				}
			}
		})
	}
}

// TestCounts guards against requests that are counted under the wrong class, outcome, reason or tier.
func TestCounts(t *testing.T) {
	r := metrics.NewRegistry()
	rec := New(r)
	result := RequestResult{Outcome: OutcomeAbandoned, FirstToken: 2 * time.Second, Retries: 2, Shed: true}
	result.Wasted[Preempted] = 40
	rec.Record(quickClass(), result)
	rec.Record(config.Class{Name: "long", Tier: 3}, RequestResult{Outcome: OutcomeCompleted, Tokens: 9})
	for name, want := range map[string]string{
		`chivewind_requests_total{class="quick",outcome="abandoned"}`:        "1",
		`chivewind_requests_total{class="long",outcome="completed"}`:         "1",
		`chivewind_requests_total{class="long",outcome="abandoned"}`:         "0",
		`chivewind_wasted_tokens_total{class="quick",reason="preempted"}`:    "40",
		`chivewind_wasted_tokens_total{class="quick",reason="abandoned"}`:    "0",
		`chivewind_retries_total{class="quick"}`:                             "2",
		`chivewind_sheds_total{tier="1"}`:                                    "1",
		`chivewind_goodput_tokens_total{class="long"}`:                       "9",
		`chivewind_first_token_seconds{class="quick",quantile="0.5"}`:        "2",
		`chivewind_target_requests_total{class="long",target="first_token"}`: "0",
	} {
		if got := value(t, r, name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
}

// TestRecordAllocates guards against allocations per request after the first request of a class.
func TestRecordAllocates(t *testing.T) {
	rec := New(metrics.NewRegistry())
	c := quickClass()
	// The request has no first token, because the sample of go-metrics' timer may allocate.
	result := RequestResult{Outcome: OutcomeCompleted, Total: time.Millisecond, Tokens: 10, Gaps: 9}
	rec.Record(c, result)
	if n := testing.AllocsPerRun(100, func() { rec.Record(c, result) }); n > 0 {
		t.Errorf("%v allocations per request, want 0", n)
	}
}
