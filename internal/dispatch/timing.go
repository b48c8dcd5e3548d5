package dispatch

import (
	"time"

	"github.com/chivewind/chivewind/internal/telemetry"
)

// timing holds the latency measurements of a request for the metrics of its class.
type timing struct {
	// firstToken is the time from the request's arrival to its first token, or to the header of a response that
	// is not an event stream. Zero means that there was neither.
	firstToken time.Duration
	lastToken  time.Time
	// gaps counts the intervals between tokens, lateGaps those longer than the class's target for the time
	// between tokens.
	gaps, lateGaps int
	// wasted holds the number of wasted tokens by telemetry.WasteReason.
	wasted [telemetry.WasteReasonCount]int
}

// beginAttempt starts an attempt. If no token has been received yet, it discards the earlier measurements,
// because the header of the earlier attempt does not belong to the response that will be delivered.
func (t *timing) beginAttempt(tokens int) {
	if tokens == 0 {
		t.firstToken, t.lastToken, t.gaps, t.lateGaps = 0, time.Time{}, 0, 0
	}
}

// recordFirst records the time of the first token, or of the header of a response that is not an event
// stream.
func (t *timing) recordFirst(arrival time.Time) {
	if t.firstToken == 0 {
		t.firstToken = max(time.Since(arrival), 1)
	}
}

// recordToken records a token. An interval that spans two attempts counts once.
func (t *timing) recordToken(arrival time.Time, target time.Duration) {
	now := time.Now()
	if !t.lastToken.IsZero() {
		t.gaps++
		if target > 0 && now.Sub(t.lastToken) > target {
			t.lateGaps++
		}
	}
	t.lastToken = now
	t.recordFirst(arrival)
}

// addWasted adds tokens to the number of tokens that are wasted for the reason.
func (l *relay) addWasted(reason telemetry.WasteReason, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timing.wasted[reason] += tokens
}

// recordMetrics records the end of the request in the metrics of its class.
func (r *run) recordMetrics(res Result) {
	l := r.relay
	l.mu.Lock()
	defer l.mu.Unlock()
	end := telemetry.RequestResult{
		Outcome: telemetry.Outcome(res.Outcome), FirstToken: l.timing.firstToken, Total: time.Since(r.req.Arrival),
		Gaps: l.timing.gaps, LateGaps: l.timing.lateGaps, Tokens: l.tokens,
		Wasted: l.timing.wasted, Retries: r.retries, Shed: r.shed,
	}
	if res.Err != nil {
		reason := telemetry.Failed
		switch res.Err.Code {
		case CodeCallerGone:
			reason = telemetry.Abandoned
			end.Outcome = telemetry.OutcomeAbandoned
		case CodeDeadlineExceeded:
			reason = telemetry.Expired
		}
		if r.mayHaveRun {
			end.Wasted[reason] += r.req.PromptTokens + l.tokens
		}
	}
	r.dispatcher.telemetry.Record(r.req.Class, end)
}
