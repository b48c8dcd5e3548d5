package engine

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// Guards against tokens that are miscounted, and against lost token text, for the JSON formats that
// engines send. Lost text would make a continued response wrong.
func TestClassify(t *testing.T) {
	const token, finish, usage = endpoint.EventToken, endpoint.EventFinish, endpoint.EventUsage
	cases := []struct {
		desc string
		data string
		kind endpoint.EventKind
		text string
	}{
		{"role", `{"id":"1","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`, 0, ""},
		{"token", `{"id":"1","choices":[{"index":0,"delta":{"content":" a"},"finish_reason":null}]}`, token, " a"},
		{"escaped token", `{"id":"1","choices":[{"index":0,"delta":{"content":"a\"\n\u00e9"},"finish_reason":null}]}`, token, "a\"\né"},
		{"token that looks like a field", `{"choices":[{"delta":{"content":"\"finish_reason\":\"stop\""},"finish_reason":null}]}`, token, `"finish_reason":"stop"`},
		{"completion", `{"choices":[{"text":"b","index":0,"finish_reason":null}]}`, token, "b"},
		{"finish", `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, finish, ""},
		{"last token with finish", `{"choices":[{"index":0,"delta":{"content":"z"},"finish_reason":"length"}]}`, token | finish, "z"},
		{"usage", `{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}`, usage, ""},
		{"null usage", `{"choices":[{"delta":{"content":"a"},"finish_reason":null}],"usage":null}`, token, "a"},
		{"spaces", `{"choices": [{"delta": {"content": "a"}, "finish_reason": null}]}`, token, "a"},
		{"spaces, finish", `{"choices": [{"delta": {}, "finish_reason": "stop"}]}`, finish, ""},
		{"no finish field", `{"choices":[{"delta":{"content":"a"}}]}`, token, "a"},
		{"null content", `{"choices":[{"delta":{"role":"assistant","content":null},"finish_reason":null}]}`, 0, ""},
		{"tool call", `{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"content\":\"x\"}"}}]},"finish_reason":null}]}`, token, ""},
		{"reasoning", `{"choices":[{"delta":{"reasoning_content":"hm"},"finish_reason":null}]}`, token, ""},
		{"not JSON", `hello`, 0, ""},
	}
	for _, c := range cases {
		kind, text := classify([]byte(c.data), nil)
		if kind != c.kind || string(text) != c.text {
			t.Errorf("%s: kind %b, text %q, want %b, %q", c.desc, kind, text, c.kind, c.text)
		}
	}
}

// Guards against events that are split, merged or lost when the stream is parsed.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	input := ": comment\n\ndata: one\n\nid: 7\r\ndata: two\r\n\r\nevent: error\ndata:{}\n\ndata: a\ndata: b\n\ndata: " + long + "\n\ndata: cut\n"
	r := newEventReader(strings.NewReader(input))
	want := []event{{data: []byte("one")}, {id: 7, data: []byte("two")}, {name: "error", data: []byte("{}")}, {data: []byte("a\nb")}, {data: []byte(long)}}
	for i, w := range want {
		got, err := r.next()
		if err != nil || got.id != w.id || got.name != w.name || string(got.data) != string(w.data) {
			t.Errorf("event %d: %d %q %.20q, %v", i, got.id, got.name, got.data, err)
		}
	}
	if _, err := r.next(); err != io.ErrUnexpectedEOF {
		t.Errorf("end: %v", err)
	}
	r = newEventReader(strings.NewReader("data: " + strings.Repeat("x", 2*maxEventBytes) + "\n\n"))
	if _, err := r.next(); err != errEventTooLarge {
		t.Errorf("too large: %v", err)
	}
}

// Guards against a client that sets its own priority, and against a continued response that exceeds the
// client's token limit or continues a different prompt.
func TestAttemptBody(t *testing.T) {
	cases := []struct {
		desc     string
		path     string
		body     string
		priority bool
		assemble bool
		tokens   int
		want     string
	}{
		{desc: "as it is", body: `{"model":"m", "messages":[]}`, want: `{"model":"m", "messages":[]}`},
		{desc: "caller's priority", body: `{"model":"m","priority":-1}`, want: `{"model":"m"}`},
		{desc: "class's priority", body: `{"model":"m","priority":-1}`, priority: true, want: `{"model":"m","priority":2}`},
		{desc: "assembled", body: `{"model":"m","stream":false}`, assemble: true, want: `{"model":"m","stream":true,"stream_options":{"include_usage":true}}`},
		{desc: "continued chat", path: "/v1/chat/completions", body: `{"messages":[{"role":"user","content":"q"}],"max_tokens":9}`, tokens: 2,
			want: `{"add_generation_prompt":false,"continue_final_message":true,"max_tokens":7,"messages":[{"role":"user","content":"q"},{"role":"assistant","content":"a b"}]}`},
		{desc: "continued completion", path: "/v1/completions", body: `{"prompt":"q "}`, tokens: 2, want: `{"prompt":"q a b"}`},
		{desc: "continued at the bound", path: "/v1/completions", body: `{"prompt":"q","max_tokens":2}`, tokens: 2},
		{desc: "continued list of prompts", path: "/v1/completions", body: `{"prompt":["q"]}`, tokens: 2},
	}
	for _, c := range cases {
		a := &endpoint.Attempt{
			Request: &endpoint.Request{Path: c.path, Body: []byte(c.body)}, Tier: 2,
			Assemble: c.assemble, Tokens: c.tokens,
		}
		if c.tokens > 0 {
			a.Text = "a b"
		}
		if c.priority {
			a.Endpoint.Capabilities = []config.Capability{config.CapPriority}
		}
		got, err := attemptBody(a)
		if (err != nil) != (c.want == "") || string(got) != c.want {
			t.Errorf("%s: %s, %v, want %s", c.desc, got, err, c.want)
		}
		if err == nil && !json.Valid(got) {
			t.Errorf("%s: not JSON: %s", c.desc, got)
		}
	}
}
