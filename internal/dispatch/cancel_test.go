package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
	plainstandin "github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/peer"
)

// TestCallerGone guards against capacity spent on callers that have disconnected: the engine must see the
// cancellation, the scheduler must get its slot back, and no further attempt may be made.
func TestCallerGone(t *testing.T) {
	h := newHarness(t, harnessOptions{engine: enginestandin.Options{TokenTime: 5 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/v1/chat/completions", strings.NewReader(chat("gone length=5000", true, "")))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	h.awaitIdle(t)
	if o := h.scheduler.outcomes(); !slices.Equal(o, []peer.Outcome{peer.Outcome_OUTCOME_CANCELED}) {
		t.Errorf("slots ended with %v", o)
	}
	deadline := time.Now().Add(5 * time.Second)
	for h.engines[0].AttemptsByPrompt(enginestandin.ChatPrompt("gone length=5000")).Canceled == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the engine did not see the cancellation")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestDeadline guards against an attempt that continues after the deadline set by the class or the caller.
func TestDeadline(t *testing.T) {
	class := config.Class{Name: "quick", Tier: 1, Total: config.Duration(400 * time.Millisecond), Late: config.LateShed}
	h := newHarness(t, harnessOptions{engine: enginestandin.Options{TokenTime: 5 * time.Millisecond}, class: class})
	r, body := h.post(t, "/v1/chat/completions", "", chat("late length=5000", false, ""))
	if r.StatusCode != http.StatusGatewayTimeout || outcome(r) != "failed" {
		t.Errorf("class: status %d, outcome %q, body %s", r.StatusCode, outcome(r), body)
	}
	class.Late = config.LateServe
	h = newHarness(t, harnessOptions{engine: enginestandin.Options{TokenTime: 5 * time.Millisecond}, class: class})
	req, err := http.NewRequest(http.MethodPost, h.url+"/v1/chat/completions", strings.NewReader(chat("late length=5000", false, "")))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Chivewind-Timeout", "300ms")
	if r, body := do(t, req); r.StatusCode != http.StatusGatewayTimeout || outcome(r) != "failed" {
		t.Errorf("caller: status %d, outcome %q, body %s", r.StatusCode, outcome(r), body)
	}
	if o := h.scheduler.outcomes(); !slices.Equal(o, []peer.Outcome{peer.Outcome_OUTCOME_CANCELED}) {
		t.Errorf("slots ended with %v", o)
	}
}

// TestSilentEngine guards against a stream that hangs when its engine stops sending: it must be resumed on
// another engine.
func TestSilentEngine(t *testing.T) {
	h := newHarness(t, harnessOptions{interToken: 400 * time.Millisecond})
	h.engines[0].SetFaults(enginestandin.Faults{SilentAfter: 4})
	r, body := h.post(t, "/v1/chat/completions", "", chat("silent length=30", true, ""))
	checkStream(t, parseStream(t, body), enginestandin.Answer(enginestandin.ChatPrompt("silent length=30"), 0))
	if outcome(r) != "completed" || len(h.announcer.list()) != 0 {
		t.Errorf("outcome %q, suspects %v", outcome(r), h.announcer.list())
	}
}

// TestStalledCaller guards against capacity spent on a caller that keeps its connection open but reads nothing.
func TestStalledCaller(t *testing.T) {
	h := newHarness(t, harnessOptions{writeStall: 100 * time.Millisecond})
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := chat("stall length=1000000", true, "")
	if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(20 * time.Second)
	for len(h.scheduler.outcomes()) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the stalled request does not end")
		}
		time.Sleep(time.Millisecond)
	}
	if o := h.scheduler.outcomes(); o[0] != peer.Outcome_OUTCOME_CANCELED {
		t.Errorf("slot ended with %v", o)
	}
}

// TestStaleConnection guards against an idempotent call that fails because the service has closed a pooled
// connection.
func TestStaleConnection(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	for i, f := range []plainstandin.Faults{{}, {CutBeforeRun: true, MaxRequests: 1}} {
		h.services[0].SetFaults(f)
		req, err := http.NewRequest(http.MethodGet, h.url+"/services/bookings/7", nil)
		if err != nil {
			t.Fatal(err)
		}
		if r, body := do(t, req); outcome(r) != "completed" {
			t.Errorf("call %d: outcome %q, body %s", i, outcome(r), body)
		}
	}
	last := h.scheduler.acquires[len(h.scheduler.acquires)-1]
	if last.Attempt.Number != 2 || len(last.Avoid) > 0 || len(h.announcer.list()) > 0 {
		t.Errorf("last Acquire %v, suspects %v", last, h.announcer.list())
	}
}

// TestUnmarkedMethods guards against a second run of a call with a non-idempotent method on a route that does
// not require an Idempotency-Key, and against a call with an idempotent method that is not retried.
func TestUnmarkedMethods(t *testing.T) {
	for method, want := range map[string]string{http.MethodPatch: "failed", http.MethodPut: "completed"} {
		h := newHarness(t, harnessOptions{})
		h.services[0].SetFaults(plainstandin.Faults{CutAfterRun: true})
		req, err := http.NewRequest(method, h.url+"/services/bookings/7", strings.NewReader("two beds"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", "call-1")
		r, body := do(t, req)
		runs := h.services[0].RunsByID("call-1") + h.services[1].RunsByID("call-1")
		if outcome(r) != want || (method == http.MethodPatch && runs != 1) {
			t.Errorf("%s: outcome %q, %d runs, body %s", method, outcome(r), runs, body)
		}
	}
}

// TestKeepAlive guards against a waiting stream that sends nothing, so that its caller could take the connection
// for broken, and against an error after the header, which would look like a complete response: an invalid
// request must get status 400.
func TestKeepAlive(t *testing.T) {
	h := newHarness(t, harnessOptions{engine: enginestandin.Options{Prefill: 300 * time.Millisecond}, keepAlive: 20 * time.Millisecond})
	r, body := h.post(t, "/v1/chat/completions", "", chat("wait", true, ""))
	if !strings.HasPrefix(body, ": waiting\n\n") || outcome(r) != "completed" || !parseStream(t, body).done {
		t.Errorf("outcome %q, body %s", outcome(r), body)
	}
	for _, e := range h.engines {
		e.SetFaults(enginestandin.Faults{SilentAfter: 1})
	}
	r, body = h.post(t, "/v1/chat/completions", "", `{"model":"standin","stream":true,"prompt":5,"messages":[{"role":"user","content":"wait"}],"max_tokens":"x"}`)
	if r.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d, body %s", r.StatusCode, body)
	}
}
