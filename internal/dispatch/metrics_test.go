package dispatch_test

import (
	"strings"
	"testing"

	"github.com/chivewind/chivewind/internal/promtext"
	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
)

// TestClassMetrics guards against requests that are missing from the metrics of their class, and against
// recomputed tokens that are not counted as wasted.
func TestClassMetrics(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.post(t, "/v1/chat/completions", "", chat("plain length=10", true, ""))
	h.post(t, "/services/bookings/new", "key-1", "{}")
	h.engines[0].SetFaults(enginestandin.Faults{CutAfter: 4, MaxRequests: 1})
	h.post(t, "/v1/chat/completions", "", chat("crash length=10", true, ""))
	var b strings.Builder
	if err := promtext.Write(&b, h.metrics); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`chivewind_requests_total{class="quick",outcome="completed"} 3`,
		`chivewind_target_met_total{class="quick",target="first_token"} 3`,
		`chivewind_target_requests_total{class="quick",target="all"} 3`,
		`chivewind_goodput_tokens_total{class="quick"} 20`,
		`chivewind_retries_total{class="quick"} 1`,
		`chivewind_first_token_seconds_count{class="quick"} 3`,
		// The second engine processes the 6 prompt tokens and the first 4 response tokens again.
		`chivewind_wasted_tokens_total{class="quick",reason="retried"} 10`,
		`chivewind_wasted_tokens_total{class="quick",reason="failed"} 0`,
	} {
		if !strings.Contains(b.String(), want+"\n") {
			t.Errorf("missing %s in\n%s", want, b.String())
		}
	}
}
