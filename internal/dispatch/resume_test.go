package dispatch_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/dispatch"
	"github.com/chivewind/chivewind/internal/retry"
	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
	"github.com/chivewind/chivewind/peer"
	"pgregory.net/rapid"
)

// checkStream verifies that a complete stream has each token once and in order, and a single chunk ID.
func checkStream(t rapid.TB, s streamResult, want string) {
	t.Helper()
	if s.text != want || !s.done || s.error != "" || s.finish == "" {
		t.Fatalf("got %+v, want text %q and [DONE]", s, want)
	}
	for i, id := range s.ids {
		if id != strconv.Itoa(i+1) {
			t.Fatalf("token %d has id %s", i+1, id)
		}
	}
	if len(s.chunkIDs) != 1 {
		t.Fatalf("chunks have ids %v, want one", s.chunkIDs)
	}
}

// TestResumeAtRandomTokens guards against lost, repeated or reordered tokens when an engine crashes at any point
// of a stream, and against a response that ends early.
func TestResumeAtRandomTokens(t *testing.T) {
	h := newHarness(t, harnessOptions{retry: retry.Options{Reserve: 1000}})
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		length := rapid.IntRange(1, 60).Draw(rt, "length")
		first := rapid.SampledFrom([]enginestandin.Faults{
			{CutAfter: rapid.IntRange(1, 60).Draw(rt, "crash after")}, {CutEnd: true}, {CutDone: true}, {CutFirst: true},
		}).Draw(rt, "first fault")
		second := rapid.SampledFrom([]enginestandin.Faults{{}, {Refuse: true}, {Status: 500}}).Draw(rt, "second fault")
		usage := rapid.Bool().Draw(rt, "usage")
		h.engines[0].SetFaults(first)
		h.engines[2].SetFaults(second)
		content := "crash " + strconv.Itoa(n) + " length=" + strconv.Itoa(length)
		extra := `,"max_tokens":` + strconv.Itoa(length)
		if usage {
			extra = `,"stream_options":{"include_usage":true}`
		}
		r, body := h.post(t, "/v1/chat/completions", "", chat(content, true, extra))
		s := parseStream(t, body)
		checkStream(rt, s, enginestandin.Answer(enginestandin.ChatPrompt(content), 0))
		if outcome(r) != "completed" {
			rt.Fatalf("outcome %q", outcome(r))
		}
		if usage && !first.CutDone && !strings.Contains(s.usage, `"completion_tokens":`+strconv.Itoa(length)) {
			rt.Fatalf("usage %s, want %d completion tokens", s.usage, length)
		}
	})
	for _, e := range h.engines {
		if e.Mismatches() != 0 {
			t.Errorf("an engine got a partial response that does not match its own")
		}
	}
}

// TestCannotContinue guards against a partial response that is marked as complete when no engine can resume it.
func TestCannotContinue(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusInternalServerError, http.StatusTooManyRequests} {
		for _, stream := range []bool{true, false} {
			h := newHarness(t, harnessOptions{})
			h.engines[0].SetFaults(enginestandin.Faults{CutAfter: 3})
			h.engines[1].SetFaults(enginestandin.Faults{Status: status})
			h.engines[2].SetFaults(enginestandin.Faults{Status: status})
			r, body := h.post(t, "/v1/chat/completions", "", chat("partial length=30", stream, ""))
			s := parseStream(t, body)
			if outcome(r) != "failed" || s.done || (stream && s.error == "") || (!stream && r.StatusCode < 500) {
				t.Errorf("status %d, stream %v: outcome %q, body %s", status, stream, outcome(r), body)
			}
		}
	}
}

// TestTroubleErrorAmidStream guards against the error of the engine that was to resume a stream in the middle of that
// stream.
func TestTroubleErrorAmidStream(t *testing.T) {
	for _, f := range []enginestandin.Faults{{Status: http.StatusInternalServerError}, {Status: http.StatusBadRequest}, {Refuse: true}} {
		h := newHarness(t, harnessOptions{})
		h.engines[0].SetFaults(enginestandin.Faults{CutAfter: 3})
		h.engines[1].SetFaults(f)
		h.engines[2].SetFaults(f)
		_, body := h.post(t, "/v1/chat/completions", "", chat("partial length=30", true, ""))
		for _, line := range strings.Split(body, "\n") {
			if line != "" && !strings.HasPrefix(line, "data: ") && !strings.HasPrefix(line, "id: ") && !strings.HasPrefix(line, "event: ") {
				t.Errorf("%+v: line %q is no part of an event", f, line)
			}
		}
		if strings.Contains(body, "fault switch") || strings.Contains(body, "[DONE]") {
			t.Errorf("%+v: the engine's error or an end marker in %q", f, body)
		}
	}
}

// TestAssembledAnswer guards against assembled responses that lose or repeat tokens when the underlying stream
// breaks, and against assembled responses with wrong token counts.
func TestAssembledAnswer(t *testing.T) {
	h := newHarness(t, harnessOptions{interToken: 400 * time.Millisecond})
	want := enginestandin.Answer(enginestandin.ChatPrompt("whole length=30"), 0)
	for _, f := range []enginestandin.Faults{{}, {CutAfter: 7}, {SilentAfter: 7}, {CutEnd: true}, {CutDone: true}} {
		h.engines[0].SetFaults(f)
		r, body := h.post(t, "/v1/chat/completions", "", chat("whole length=30", false, ""))
		var completion struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
				FinishReason string `json:"finish_reason"`
			} `json:"choices"`
			Usage struct {
				Prompt     int `json:"prompt_tokens"`
				Completion int `json:"completion_tokens"`
				Total      int `json:"total_tokens"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(body), &completion); err != nil {
			t.Fatalf("%+v: %s: %v", f, body, err)
		}
		u := completion.Usage
		if outcome(r) != "completed" || completion.Choices[0].Message.Content != want || completion.Choices[0].FinishReason != "stop" ||
			u.Completion != 30 || u.Total != u.Prompt+30 {
			t.Errorf("%+v: outcome %q, body %s", f, outcome(r), body)
		}
	}
}

// TestPreemptedStreamContinues guards against a preempted stream that loses or repeats tokens, and against a
// second preemption.
func TestPreemptedStreamContinues(t *testing.T) {
	h := newHarness(t, harnessOptions{engine: enginestandin.Options{TokenTime: 2 * time.Millisecond}})
	h.scheduler.preempt = true
	r, body := h.post(t, "/v1/chat/completions", "", chat("preempt length=100", true, ""))
	checkStream(t, parseStream(t, body), enginestandin.Answer(enginestandin.ChatPrompt("preempt length=100"), 0))
	if outcome(r) != "completed" {
		t.Errorf("outcome %q", outcome(r))
	}
	if o := h.scheduler.outcomes(); !slices.Equal(o, []peer.Outcome{peer.Outcome_OUTCOME_PREEMPTED, peer.Outcome_OUTCOME_COMPLETED}) {
		t.Errorf("slots ended with %v", o)
	}
	if last := h.scheduler.acquires[len(h.scheduler.acquires)-1]; !last.Preempted || len(last.Avoid) > 0 {
		t.Errorf("second Acquire: %v", last)
	}
}

// TestPoisonIsStopped guards against a request that crashes every engine it is sent to. It must be stopped after
// two crashes, announced to other daemons before the failure is returned, and then rejected by all daemons.
func TestPoisonIsStopped(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	for _, e := range h.engines {
		e.SetFaults(enginestandin.Faults{Marker: "poison", DownMS: 30})
	}
	r, body := h.post(t, "/v1/chat/completions", "", chat("poison", true, ""))
	if r.StatusCode != http.StatusUnprocessableEntity || outcome(r) != "failed" || !strings.Contains(body, dispatch.CodeRepeatedCrash) {
		t.Errorf("status %d, outcome %q, body %s", r.StatusCode, outcome(r), body)
	}
	announced := h.announcer.list()
	if len(announced) != 2 || announced[0].Fingerprint != announced[1].Fingerprint || announced[0].Endpoint == announced[1].Endpoint {
		t.Errorf("announced %v", announced)
	}
	runs := 0
	for _, e := range h.engines {
		runs += e.AttemptsByPrompt(enginestandin.ChatPrompt("poison")).Started
	}
	if runs != 2 {
		t.Errorf("ran %d times, want 2", runs)
	}
	other := newHarness(t, harnessOptions{})
	other.dispatch.HandleSuspects(announced)
	if r, _ := other.post(t, "/v1/chat/completions", "", chat("poison", true, "")); r.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("another daemon answered with status %d", r.StatusCode)
	}
}
