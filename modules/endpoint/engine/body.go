package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
)

// ErrCannotContinue means that a partial response to the request cannot be continued: its body has an
// unsupported format, or the partial response has already reached the token limit.
var ErrCannotContinue = errors.New("cannot continue the partial response: unsupported body or token limit reached")

var priorityKey = []byte(`"priority"`)

// lastEventID returns the Last-Event-ID that continues a response after the given number of tokens.
func lastEventID(tokens int) string { return strconv.Itoa(tokens) }

// jsonObject is a JSON object whose values are kept in their encoded form.
type jsonObject map[string]json.RawMessage

func (o jsonObject) set(name string, value any) error {
	raw, err := json.Marshal(value)
	o[name] = raw
	return err
}

// attemptBody returns the body to send to the engine. It is the client's body with the tier of the class as
// the priority, if the engine supports priorities, with streaming enabled, if the response is assembled from a
// stream, and with the partial response, if the attempt continues one. A priority set by the client is removed,
// since only the class determines it.
func attemptBody(a *endpoint.Attempt) ([]byte, error) {
	priority := a.Endpoint.Has(config.CapPriority)
	if !priority && a.Tokens == 0 && !a.Assemble && !bytes.Contains(a.Request.Body, priorityKey) {
		return a.Request.Body, nil
	}
	var o jsonObject
	if err := json.Unmarshal(a.Request.Body, &o); err != nil {
		return nil, err
	}
	delete(o, "priority")
	if priority {
		if err := o.set("priority", a.Tier); err != nil {
			return nil, err
		}
	}
	if a.Assemble {
		o["stream"] = json.RawMessage("true")
		o["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if a.Tokens > 0 {
		if err := o.continueResponse(a); err != nil {
			return nil, err
		}
	}
	return json.Marshal(o)
}

// chatMessage is a chat message that holds the partial response.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continueResponse appends the partial response to the prompt and lowers the limits for new tokens.
func (o jsonObject) continueResponse(a *endpoint.Attempt) error {
	if strings.HasSuffix(a.Request.Path, "/chat/completions") {
		if err := o.continueChat(a.Text); err != nil {
			return err
		}
	} else {
		var prompt string
		if err := json.Unmarshal(o["prompt"], &prompt); err != nil {
			return ErrCannotContinue
		}
		if err := o.set("prompt", prompt+a.Text); err != nil {
			return err
		}
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var limit int
		if json.Unmarshal(o[name], &limit) != nil || limit <= 0 {
			continue
		}
		if limit <= a.Tokens {
			return ErrCannotContinue
		}
		if err := o.set(name, limit-a.Tokens); err != nil {
			return err
		}
	}
	return nil
}

// continueChat appends the partial response as an assistant message that the engine continues.
func (o jsonObject) continueChat(text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(o["messages"], &messages); err != nil {
		return ErrCannotContinue
	}
	partial, err := json.Marshal(chatMessage{Role: "assistant", Content: text})
	if err != nil {
		return err
	}
	if err := o.set("messages", append(messages, partial)); err != nil {
		return err
	}
	if err := o.set("continue_final_message", true); err != nil {
		return err
	}
	return o.set("add_generation_prompt", false)
}
