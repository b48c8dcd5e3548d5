package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/telemetry"
)

// errTokenWithoutText ends an attempt whose tokens cannot be assembled into one response.
var errTokenWithoutText = errors.New("the response has a token without text")

// assembly collects a stream for a caller that asked for a non-streaming response. Streaming from the engine
// lets the inter-token timeout detect a silent engine and the scheduler see the progress, and it preserves
// the tokens received before a crash or preemption.
type assembly struct {
	// firstChunk is the first chunk. It supplies the fields that all chunks have in common.
	firstChunk   []byte
	finishReason json.RawMessage
	usage        json.RawMessage
}

// partialChunk holds the fields of a chunk that the assembled response needs.
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

// completionResponse is a non-streaming response of the OpenAI API.
type completionResponse struct {
	ID          string             `json:"id"`
	Object      string             `json:"object"`
	Created     int64              `json:"created"`
	Model       string             `json:"model"`
	Choices     []completionChoice `json:"choices"`
	Usage       json.RawMessage    `json:"usage,omitempty"`
	Fingerprint json.RawMessage    `json:"system_fingerprint,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	Logprobs     *struct{}          `json:"logprobs"`
	FinishReason json.RawMessage    `json:"finish_reason"`
}

type completionMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// collect adds an event to the assembly. mu must be held.
func (l *relay) collect(e endpoint.Event) error {
	if e.Kind&endpoint.EventToken != 0 && len(e.Text) == 0 {
		return errTokenWithoutText
	}
	if l.assembly.firstChunk == nil {
		l.assembly.firstChunk = bytes.Clone(e.Data)
	}
	if e.Kind&(endpoint.EventFinish|endpoint.EventUsage) == 0 {
		return nil
	}
	var c partialChunk
	if err := json.Unmarshal(l.correctUsage(e.Data, e.Kind), &c); err != nil {
		return err
	}
	if e.Kind&endpoint.EventFinish != 0 && len(c.Choices) > 0 {
		l.assembly.finishReason = c.Choices[0].FinishReason
	}
	if e.Kind&endpoint.EventUsage != 0 {
		l.assembly.usage = c.Usage
	}
	return nil
}

// discardAssembly drops the collected tokens so that the next attempt starts from the beginning.
func (l *relay) discardAssembly(reason telemetry.WasteReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timing.wasted[reason] += l.tokens
	l.assembly = assembly{}
	l.tokens = 0
	l.text = l.text[:0]
	l.preambleSent = false
	l.hasFinishReason = false
	l.hasUsage = false
}

// buildResponse sets status, header and body from the assembly. mu must be held.
func (l *relay) buildResponse() error {
	var c partialChunk
	if l.assembly.firstChunk != nil {
		if err := json.Unmarshal(l.assembly.firstChunk, &c); err != nil {
			return err
		}
	}
	text := string(l.text)
	choice := completionChoice{FinishReason: l.assembly.finishReason}
	a := completionResponse{
		ID: c.ID, Created: c.Created, Model: c.Model,
		Usage: l.assembly.usage, Fingerprint: c.Fingerprint,
	}
	if l.req.Route == PathCompletions {
		a.Object = "text_completion"
		choice.Text = &text
	} else {
		a.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	}
	if choice.FinishReason == nil {
		choice.FinishReason = json.RawMessage("null")
	}
	a.Choices = []completionChoice{choice}
	raw, err := json.Marshal(a)
	if err != nil {
		return err
	}
	l.status = http.StatusOK
	l.header = http.Header{"Content-Type": {"application/json"}}
	l.body = raw
	return nil
}
