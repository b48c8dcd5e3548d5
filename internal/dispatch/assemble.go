package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/telemetry"
)

// errOpaque ends an attempt whose tokens cannot be assembled into one answer.
var errOpaque = errors.New("the answer has tokens without text")

// assembly collects a streamed answer for a caller that asked for a whole one. The engine is asked to
// stream, so that a silent engine is noticed between two tokens, the scheduler sees the progress, and
// a crash or a preemption does not lose the tokens so far.
type assembly struct {
	// first is the first chunk, from which the answer takes the fields of all chunks.
	first  []byte
	reason json.RawMessage
	usage  json.RawMessage
}

// partialChunk has the fields of a chunk that the whole answer needs.
type partialChunk struct {
	ID          string          `json:"id"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint json.RawMessage `json:"system_fingerprint"`
	Choices     []struct {
		FinishReason json.RawMessage `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// wholeAnswer is the OpenAI form of an answer that is not streamed.
type wholeAnswer struct {
	ID          string          `json:"id"`
	Object      string          `json:"object"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Choices     []wholeChoice   `json:"choices"`
	Usage       json.RawMessage `json:"usage,omitempty"`
	Fingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Message      *wholeMessage   `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     *struct{}       `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// collect adds an event to the assembly. It is called with mu held.
func (l *relay) collect(e endpoint.Event) error {
	if e.Kind&endpoint.EventToken != 0 && len(e.Text) == 0 {
		return errOpaque
	}
	if l.assembly.first == nil {
		l.assembly.first = bytes.Clone(e.Data)
	}
	if e.Kind&(endpoint.EventFinish|endpoint.EventUsage) == 0 {
		return nil
	}
	var c partialChunk
	if err := json.Unmarshal(l.correctUsage(e.Data, e.Kind), &c); err != nil {
		return err
	}
	if e.Kind&endpoint.EventFinish != 0 && len(c.Choices) > 0 {
		l.assembly.reason = c.Choices[0].FinishReason
	}
	if e.Kind&endpoint.EventUsage != 0 {
		l.assembly.usage = c.Usage
	}
	return nil
}

// restart drops what was collected, so that another endpoint begins anew.
func (l *relay) restart(why telemetry.Waste) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timing.wasted[why] += l.tokens
	l.assembly = assembly{}
	l.tokens = 0
	l.text = l.text[:0]
	l.opened = false
	l.finished = false
	l.hasUsage = false
}

// compose turns the assembly into the answer's body. It is called with mu held.
func (l *relay) compose() error {
	var c partialChunk
	if l.assembly.first != nil {
		if err := json.Unmarshal(l.assembly.first, &c); err != nil {
			return err
		}
	}
	text := string(l.text)
	choice := wholeChoice{FinishReason: l.assembly.reason}
	a := wholeAnswer{ID: c.ID, Created: c.Created, Model: c.Model, Usage: l.assembly.usage, Fingerprint: c.Fingerprint}
	if l.r.Route == PathCompletions {
		a.Object = "text_completion"
		choice.Text = &text
	} else {
		a.Object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	}
	if choice.FinishReason == nil {
		choice.FinishReason = json.RawMessage("null")
	}
	a.Choices = []wholeChoice{choice}
	raw, err := json.Marshal(a)
	if err != nil {
		return err
	}
	l.status = http.StatusOK
	l.header = http.Header{"Content-Type": {"application/json"}}
	l.body = raw
	return nil
}
