package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	standin "github.com/chivewind/chivewind/internal/standin/engine"
	"github.com/chivewind/chivewind/modules/endpoint/engine"
	"github.com/chivewind/chivewind/peer"
)

// recorder is a sink that records what it receives.
type recorder struct {
	status int
	body   strings.Builder
	text   strings.Builder
	kinds  endpoint.EventKind
	// onToken is called for each token.
	onToken func(index int) error
}

func (r *recorder) Head(status int, _ http.Header) error {
	r.status = status
	return nil
}

func (r *recorder) Body(p []byte) error {
	r.body.Write(p)
	return nil
}

func (r *recorder) Event(e endpoint.Event) error {
	r.kinds |= e.Kind
	r.text.Write(e.Text)
	if r.onToken != nil && e.Kind&endpoint.EventToken != 0 {
		return r.onToken(e.Index)
	}
	return nil
}

func (r *recorder) Flush() error { return nil }

func attempt(url string, stream bool) *endpoint.Attempt {
	return &endpoint.Attempt{
		Request: &endpoint.Request{
			ID: "request-1", Path: "/v1/chat/completions", Stream: stream,
			Body: fmt.Appendf(nil, `{"model":"standin","stream":%t,"messages":[{"role":"user","content":"hi length=9"}]}`, stream),
		},
		Endpoint:          config.Endpoint{ID: "engine-1", URL: url, Capabilities: []config.Capability{config.CapResume, config.CapPriority}},
		Number:            1,
		FirstTokenTimeout: 500 * time.Millisecond, InterTokenTimeout: 500 * time.Millisecond,
	}
}

// Guards against a wrong result of an attempt, which would cause a retry of a request that has run, a
// missing retry of one that has not, or a truncated response that is reported as complete.
func TestContract(t *testing.T) {
	cases := []struct {
		desc         string
		faults       standin.Faults
		down         bool
		nonStreaming bool
		want         endpoint.Result
		outcome      peer.Outcome
	}{
		{desc: "stream", want: endpoint.Result{Sent: true, Complete: true, Status: 200, Tokens: 9}, outcome: peer.Outcome_OUTCOME_COMPLETED},
		{desc: "whole answer", nonStreaming: true, want: endpoint.Result{Sent: true, Complete: true, Status: 200}, outcome: peer.Outcome_OUTCOME_COMPLETED},
		{desc: "connection refused", down: true, want: endpoint.Result{}, outcome: peer.Outcome_OUTCOME_NOT_SENT},
		{desc: "503 not run", faults: standin.Faults{Refuse: true}, want: endpoint.Result{Sent: true, NotRun: true, Status: 503, RetryAfter: time.Second}, outcome: peer.Outcome_OUTCOME_REFUSED},
		{desc: "503 without a statement", faults: standin.Faults{Status: 503}, want: endpoint.Result{Sent: true, Complete: true, Status: 503}, outcome: peer.Outcome_OUTCOME_FAILED},
		{desc: "crash before the first byte", faults: standin.Faults{CutFirst: true}, want: endpoint.Result{Sent: true, Crashed: true}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "crash by the prompt", faults: standin.Faults{Marker: "hi"}, want: endpoint.Result{Sent: true, Crashed: true}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "crash in mid-stream", faults: standin.Faults{CutAfter: 4}, want: endpoint.Result{Sent: true, Crashed: true, Status: 200, Tokens: 4}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "crash after the last token", faults: standin.Faults{CutEnd: true}, want: endpoint.Result{Sent: true, Crashed: true, Status: 200, Tokens: 9}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "crash before the end marker", faults: standin.Faults{CutDone: true}, want: endpoint.Result{Sent: true, Crashed: true, Status: 200, Tokens: 9}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "silence from the start", faults: standin.Faults{Silent: true}, want: endpoint.Result{Sent: true, Timeout: endpoint.TimeoutFirstToken}, outcome: peer.Outcome_OUTCOME_FAILED},
		{desc: "silence in mid-stream", faults: standin.Faults{SilentAfter: 4}, want: endpoint.Result{Sent: true, Status: 200, Timeout: endpoint.TimeoutBetweenTokens, Tokens: 4}, outcome: peer.Outcome_OUTCOME_FAILED},
		{desc: "slow header within the limit", faults: standin.Faults{HeaderDelayMS: 20}, want: endpoint.Result{Sent: true, Complete: true, Status: 200, Tokens: 9}, outcome: peer.Outcome_OUTCOME_COMPLETED},
		{desc: "header after the limit", faults: standin.Faults{HeaderDelayMS: 5000}, want: endpoint.Result{Sent: true, Timeout: endpoint.TimeoutFirstToken}, outcome: peer.Outcome_OUTCOME_FAILED},
		{desc: "truncated whole answer", nonStreaming: true, faults: standin.Faults{Truncate: true}, want: endpoint.Result{Sent: true, Crashed: true, Status: 200}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "crash during a whole answer", nonStreaming: true, faults: standin.Faults{CutAfter: 3}, want: endpoint.Result{Sent: true, Crashed: true}, outcome: peer.Outcome_OUTCOME_CRASHED},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			e, err := standin.Start(standin.Options{})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Close()
			e.SetFaults(c.faults)
			if c.down {
				e.Crash(0)
			}
			r := &recorder{}
			got := engine.New().Do(context.Background(), attempt(e.URL(), !c.nonStreaming), r)
			if (got.Err == nil) != got.Complete {
				t.Errorf("complete %v with error %v", got.Complete, got.Err)
			}
			if (got.FirstTokenAfter > 0) != (got.Tokens > 0 || (got.Complete && got.Status != 0) || (c.nonStreaming && got.Status == 200)) {
				t.Errorf("first token after %v with %d tokens", got.FirstTokenAfter, got.Tokens)
			}
			got.Err = nil
			got.FirstTokenAfter = 0
			if got != c.want || got.Outcome() != c.outcome {
				t.Errorf("got %+v, %v\nwant %+v, %v", got, got.Outcome(), c.want, c.outcome)
			}
			want := standin.Answer(standin.ChatPrompt("hi length=9"), 0)
			if got.Complete && got.Status == 200 && r.text.String() != want && !strings.Contains(r.body.String(), want) {
				t.Errorf("text %q, body %q, want %q", r.text.String(), r.body.String(), want)
			}
			if runs := e.AttemptsByID("request-1").Started; runs > 1 {
				t.Errorf("the request ran %d times", runs)
			}
		})
	}
}

// Guards against an engine that continues to generate tokens after the client has disconnected.
func TestCancelClosesTheStream(t *testing.T) {
	e, err := standin.Start(standin.Options{TokenTime: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{onToken: func(int) error {
		cancel()
		return nil
	}}
	got := engine.New().Do(ctx, attempt(e.URL(), true), r)
	if !got.Canceled || got.Crashed || got.Outcome() != peer.Outcome_OUTCOME_CANCELED {
		t.Errorf("got %+v", got)
	}
	deadline := time.Now().Add(5 * time.Second)
	for e.AttemptsByID("request-1").Canceled == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the engine did not see the cancellation")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a between-tokens timeout that is caused by a client that reads the response slowly.
func TestSlowReceiver(t *testing.T) {
	e, err := standin.Start(standin.Options{TokenTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	a := attempt(e.URL(), true)
	a.InterTokenTimeout = 100 * time.Millisecond
	r := &recorder{onToken: func(index int) error {
		if index == 3 {
			<-time.After(3 * a.InterTokenTimeout)
		}
		return nil
	}}
	if got := engine.New().Do(context.Background(), a, r); !got.Complete || got.Timeout != endpoint.TimeoutNone {
		t.Errorf("got %+v", got)
	}
}

// Guards against load reports that omit cache events, or repeat those up to the requested sequence number.
func TestLoadReport(t *testing.T) {
	e, err := standin.Start(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	k := engine.New()
	a := attempt(e.URL(), true)
	a.Request.Body = fmt.Appendf(nil, `{"model":"standin","stream":true,"messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", 1000))
	if got := k.Do(context.Background(), a, &recorder{}); !got.Complete {
		t.Fatalf("got %+v", got)
	}
	l, err := k.Load(context.Background(), a.Endpoint, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := endpoint.PrefixHashes(standin.ChatPrompt(strings.Repeat("x", 1000)))
	if len(l.CacheAdded) != 3 || l.CacheSequence != 3 || l.CacheAdded[2] != want[2] || time.Since(l.At) > time.Minute {
		t.Errorf("report %+v, want blocks %x", l, want)
	}
	if l, err = k.Load(context.Background(), a.Endpoint, 2); err != nil || len(l.CacheAdded) != 1 {
		t.Errorf("report after event 2: %+v, %v", l, err)
	}
}
