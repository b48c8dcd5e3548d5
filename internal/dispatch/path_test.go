package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	enginestandin "github.com/chivewind/chivewind/internal/standin/engine"
	plainstandin "github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/modules/front"
)

// chat returns the body of a chat completion request.
func chat(content string, stream bool, extra string) string {
	return fmt.Sprintf(`{"model":"standin","stream":%t,"messages":[{"role":"user","content":%q}]%s}`, stream, content, extra)
}

// outcome returns the outcome from the header or trailer of the response.
func outcome(r *http.Response) string {
	if o := r.Header.Get(front.HeaderOutcome); o != "" {
		return o
	}
	return r.Trailer.Get(front.HeaderOutcome)
}

// streamResult is the content of a stream as received by the caller.
type streamResult struct {
	ids   []string
	text  string
	done  bool
	error string
	// chunkIDs is the set of chunk IDs.
	chunkIDs map[string]bool
	finish   string
	usage    string
}

func parseStream(t testing.TB, body string) streamResult {
	t.Helper()
	s := streamResult{chunkIDs: map[string]bool{}}
	for block := range strings.SplitSeq(body, "\n\n") {
		name := ""
		for line := range strings.SplitSeq(block, "\n") {
			field, value, _ := strings.Cut(line, ": ")
			switch {
			case field == "event":
				name = value
			case field == "id":
				s.ids = append(s.ids, value)
			case field == "data" && value == "[DONE]":
				s.done = true
			case field == "data" && name == "error":
				s.error = value
			case field == "data":
				s.add(t, value)
			}
		}
	}
	return s
}

func (s *streamResult) add(t testing.TB, data string) {
	t.Helper()
	var c struct {
		ID      string `json:"id"`
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("chunk %q: %v", data, err)
	}
	s.chunkIDs[c.ID] = true
	s.usage += string(c.Usage)
	for _, choice := range c.Choices {
		s.text += choice.Delta.Content + choice.Text
		s.finish += choice.FinishReason
	}
}

// TestPathAnswers guards against responses that are altered, truncated or lack an outcome on the way from the
// endpoint to the caller.
func TestPathAnswers(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	want := enginestandin.Answer(enginestandin.ChatPrompt("hello"), 0)

	r, body := h.post(t, "/v1/chat/completions", "", chat("hello", true, ""))
	if s := parseStream(t, body); s.text != want || !s.done || s.finish != "stop" || outcome(r) != "completed" {
		t.Errorf("stream: outcome %q, got %+v, want text %q", outcome(r), s, want)
	}
	r, body = h.post(t, "/v1/chat/completions", "", chat("hello", false, ""))
	if !strings.Contains(body, want) || outcome(r) != "completed" || r.StatusCode != http.StatusOK {
		t.Errorf("non-streaming: status %d, outcome %q, body %s", r.StatusCode, outcome(r), body)
	}
	r, body = h.post(t, "/v1/completions", "", `{"model":"standin","prompt":"hello","stream":true}`)
	if s := parseStream(t, body); s.text != enginestandin.Answer("hello", 0) || !s.done || outcome(r) != "completed" {
		t.Errorf("completion: outcome %q, got %+v", outcome(r), s)
	}
	r, body = h.post(t, "/services/bookings/new?room=7", "key-1", "two beds")
	var a plainstandin.Answer
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatalf("plain: %q: %v", body, err)
	}
	if a.Body != "two beds" || a.Query != "room=7" || a.Path != "/services/bookings/new" || a.Run != 1 || outcome(r) != "completed" {
		t.Errorf("plain: outcome %q, answer %+v", outcome(r), a)
	}
	if r.Header.Get("X-Service") != "bookings" || r.Header.Get(front.HeaderRequestID) == "" {
		t.Errorf("plain: headers %v", r.Header)
	}
}
