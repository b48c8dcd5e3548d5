package dispatch

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/chivewind/chivewind/endpoint"
)

// identity holds the fields that are equal in all chunks of one response. A resumed response keeps those of
// its first attempt, because client libraries reject a chunk with a different ID.
type identity struct {
	id      []byte
	created []byte
}

var (
	idMarker      = []byte(`"id":"`)
	createdMarker = []byte(`"created":`)
)

func parseIdentity(data []byte) identity {
	return identity{
		id:      bytes.Clone(valueAfter(data, idMarker)),
		created: bytes.Clone(valueAfter(data, createdMarker)),
	}
}

// valueAfter returns the bytes between the marker and the end of the JSON value that follows it.
func valueAfter(data, marker []byte) []byte {
	at := bytes.Index(data, marker)
	if at < 0 {
		return nil
	}
	rest := data[at+len(marker):]
	end := bytes.IndexAny(rest, `",}`)
	if end < 0 {
		return nil
	}
	return rest[:end]
}

func (i identity) empty() bool { return len(i.id) == 0 }

func (i identity) equal(o identity) bool {
	return bytes.Equal(i.id, o.id) && bytes.Equal(i.created, o.created)
}

// replace replaces the identity i in data by o.
func (i identity) replace(data []byte, o identity) []byte {
	data = replaceValue(data, idMarker, i.id, o.id)
	return replaceValue(data, createdMarker, i.created, o.created)
}

func replaceValue(data, marker, from, to []byte) []byte {
	return bytes.Replace(data, append(bytes.Clone(marker), from...), append(bytes.Clone(marker), to...), 1)
}

// correctUsage moves the resumed tokens from prompt_tokens, where the resuming engine counted them, to
// completion_tokens. It returns data unchanged when it cannot be decoded. mu must be held.
func (l *relay) correctUsage(data []byte, kind endpoint.EventKind) []byte {
	if kind&endpoint.EventUsage == 0 || l.resumedTokens == 0 {
		return data
	}
	var f map[string]json.RawMessage
	var usage map[string]json.RawMessage
	if json.Unmarshal(data, &f) != nil || json.Unmarshal(f["usage"], &usage) != nil {
		return data
	}
	shift := func(name string, by int) {
		if n, err := strconv.Atoi(string(usage[name])); err == nil {
			usage[name] = strconv.AppendInt(nil, int64(n+by), 10)
		}
	}
	shift("prompt_tokens", -l.resumedTokens)
	shift("completion_tokens", l.resumedTokens)
	raw, err := json.Marshal(usage)
	if err != nil {
		return data
	}
	f["usage"] = raw
	if raw, err = json.Marshal(f); err != nil {
		return data
	}
	return raw
}

// finishChunk is the last chunk of a stream that ended at its maximum number of tokens.
type finishChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []finishChoice `json:"choices"`
}

type finishChoice struct {
	Index int `json:"index"`
	// Delta is used by chat completions, Text by completions.
	Delta        *struct{} `json:"delta,omitempty"`
	Text         *string   `json:"text,omitempty"`
	FinishReason string    `json:"finish_reason"`
}

// finishAtMaxTokens sends the last chunk in place of an endpoint that failed after the last token that the
// request allows. No other endpoint can supply it, since it would have to generate a further token. mu must be
// held.
func (l *relay) finishAtMaxTokens() error {
	c := finishChunk{ID: string(l.identity.id), Object: "chat.completion.chunk", Model: l.req.Pool.Model}
	c.Created, _ = strconv.ParseInt(string(l.identity.created), 10, 64)
	choice := finishChoice{FinishReason: "length"}
	if l.req.Route == PathCompletions {
		c.Object = "text_completion"
		choice.Text = new(string)
	} else {
		choice.Delta = &struct{}{}
	}
	c.Choices = []finishChoice{choice}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	l.hasFinishReason = true
	if l.assembling {
		l.assembly.finishReason = json.RawMessage(`"length"`)
		return nil
	}
	_, err = l.out.Write([]byte("data: " + string(raw) + "\n\n"))
	return callerError(err)
}
