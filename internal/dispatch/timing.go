package dispatch

import (
	"time"

	"github.com/chivewind/chivewind/internal/telemetry"
)

// timing is what a request's relay measures for the metrics of its class.
type timing struct {
	// firstToken is counted from the arrival; 0 means that there was none.
	firstToken time.Duration
	last       time.Time
	// gaps counts the gaps between tokens, lateGaps those longer than the target.
	gaps, lateGaps int
	wasted         [telemetry.WasteReasons]int
}

// begin starts an attempt. The header of an earlier attempt without tokens was not the answer's.
func (t *timing) begin(tokens int) {
	if tokens == 0 {
		t.firstToken, t.last, t.gaps, t.lateGaps = 0, time.Time{}, 0, 0
	}
}

// first notes the first token, or the header of an answer without tokens.
func (t *timing) first(arrival time.Time) {
	if t.firstToken == 0 {
		t.firstToken = max(time.Since(arrival), 1)
	}
}

// token notes a token. A gap over two attempts counts as one.
func (t *timing) token(arrival time.Time, target time.Duration) {
	now := time.Now()
	if !t.last.IsZero() {
		t.gaps++
		if target > 0 && now.Sub(t.last) > target {
			t.lateGaps++
		}
	}
	t.last = now
	t.first(arrival)
}

// waste counts tokens that were of no use.
func (l *relay) waste(why telemetry.Waste, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timing.wasted[why] += tokens
}

// record counts the end of the request in the metrics of its class.
func (r *run) record(res Result) {
	l := r.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	end := telemetry.End{
		Outcome: telemetry.Outcome(res.Outcome), FirstToken: l.timing.firstToken, Total: time.Since(r.r.Arrival),
		Gaps: l.timing.gaps, LateGaps: l.timing.lateGaps, Tokens: l.tokens,
		Wasted: l.timing.wasted, Retries: r.retries, Shed: r.shed,
	}
	if res.Err != nil {
		why := telemetry.Failed
		switch res.Err.Code {
		case CodeCallerGone:
			why = telemetry.Abandoned
			end.Outcome = telemetry.OutcomeAbandoned
		case CodeDeadline:
			why = telemetry.Expired
		}
		if r.started {
			end.Wasted[why] += r.r.PromptTokens + l.tokens
		}
	}
	r.d.telemetry.Record(r.r.Class, end)
}
