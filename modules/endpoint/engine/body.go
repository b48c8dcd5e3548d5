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

// ErrCannotContinue means that the request's form does not allow to continue a partial answer.
var ErrCannotContinue = errors.New("the request's form does not allow to continue its answer")

var priorityKey = []byte(`"priority"`)

func lastEventID(tokens int) string { return strconv.Itoa(tokens) }

// fields is a JSON object whose values are kept as they are.
type fields map[string]json.RawMessage

func (f fields) set(name string, value any) error {
	raw, err := json.Marshal(value)
	f[name] = raw
	return err
}

// attemptBody returns the caller's body, with the priority of the class and with the partial answer
// when the attempt continues one. A caller's own priority is removed: classes decide.
func attemptBody(a *endpoint.Attempt) ([]byte, error) {
	priority := a.Endpoint.Has(config.CapPriority)
	if !priority && a.Tokens == 0 && !a.Assemble && !bytes.Contains(a.Request.Body, priorityKey) {
		return a.Request.Body, nil
	}
	var f fields
	if err := json.Unmarshal(a.Request.Body, &f); err != nil {
		return nil, err
	}
	delete(f, "priority")
	if priority {
		if err := f.set("priority", a.Tier); err != nil {
			return nil, err
		}
	}
	if a.Assemble {
		f["stream"] = json.RawMessage("true")
		f["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if a.Tokens > 0 {
		if err := f.continueAnswer(a); err != nil {
			return nil, err
		}
	}
	return json.Marshal(f)
}

// message is a chat message of the partial answer.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continueAnswer appends the partial answer and lowers the bound of new tokens.
func (f fields) continueAnswer(a *endpoint.Attempt) error {
	if strings.HasSuffix(a.Request.Path, "/chat/completions") {
		if err := f.continueChat(a.Text); err != nil {
			return err
		}
	} else {
		var prompt string
		if err := json.Unmarshal(f["prompt"], &prompt); err != nil {
			return ErrCannotContinue
		}
		if err := f.set("prompt", prompt+a.Text); err != nil {
			return err
		}
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var bound int
		if json.Unmarshal(f[name], &bound) != nil || bound <= 0 {
			continue
		}
		if bound <= a.Tokens {
			return ErrCannotContinue
		}
		if err := f.set(name, bound-a.Tokens); err != nil {
			return err
		}
	}
	return nil
}

func (f fields) continueChat(text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(f["messages"], &messages); err != nil {
		return ErrCannotContinue
	}
	partial, err := json.Marshal(message{Role: "assistant", Content: text})
	if err != nil {
		return err
	}
	if err := f.set("messages", append(messages, partial)); err != nil {
		return err
	}
	if err := f.set("continue_final_message", true); err != nil {
		return err
	}
	return f.set("add_generation_prompt", false)
}
