package engine

import (
	"bytes"
	"encoding/json"

	"github.com/chivewind/chivewind/endpoint"
)

// Markers to search for in chunks of compact JSON, the form that engines usually send. Quotation marks
// inside a JSON string are escaped, so a marker cannot occur in the text of a token.
var (
	contentMarker   = []byte(`"content":"`)
	textMarker      = []byte(`"text":"`)
	reasoningMarker = []byte(`"reasoning_content":"`)
	toolMarker      = []byte(`"tool_calls":[`)
	noFinishMarker  = []byte(`"finish_reason":null`)
	finishMarker    = []byte(`"finish_reason":"`)
	usageMarker     = []byte(`"usage":{`)
	noChoicesMarker = []byte(`"choices":[]`)
	choicesMarker   = []byte(`"choices":[`)
)

// classify returns the kinds of a chunk and appends the token's text to dst. It searches for markers,
// because decoding every chunk takes several times as much CPU time. Chunks that are not in the expected
// compact form or have reasoning content are decoded.
func classify(data, dst []byte) (endpoint.EventKind, []byte) {
	if !bytes.Contains(data, choicesMarker) || bytes.Contains(data, reasoningMarker) {
		return decodeAndClassify(data, dst)
	}
	var kind endpoint.EventKind
	if bytes.Contains(data, usageMarker) {
		kind |= endpoint.EventUsage
	}
	if bytes.Contains(data, noChoicesMarker) {
		return kind, nil
	}
	switch {
	case bytes.Contains(data, finishMarker):
		kind |= endpoint.EventFinish
	case !bytes.Contains(data, noFinishMarker):
		return decodeAndClassify(data, dst)
	}
	text, ok := stringAfter(data, contentMarker, dst)
	if !ok {
		text, ok = stringAfter(data, textMarker, dst)
	}
	if (ok && len(text) > 0) || bytes.Contains(data, toolMarker) {
		kind |= endpoint.EventToken
	}
	return kind, text
}

// stringAfter appends the decoded JSON string that follows a marker to dst.
func stringAfter(data, marker, dst []byte) ([]byte, bool) {
	start := bytes.Index(data, marker)
	if start < 0 {
		return nil, false
	}
	rest := data[start+len(marker):]
	for i := 0; i < len(rest); i++ {
		switch rest[i] {
		case '"':
			return append(dst, rest[:i]...), true
		case '\\':
			return decodeString(data[start+len(marker)-1:], dst)
		}
	}
	return nil, false
}

// decodeString appends the decoded JSON string at the start of data to dst.
func decodeString(data, dst []byte) ([]byte, bool) {
	var s string
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&s); err != nil {
		return nil, false
	}
	return append(dst, s...), true
}

// chunk holds the fields of a chunk that are needed for classification.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content   string            `json:"content"`
			Reasoning string            `json:"reasoning_content"`
			ToolCalls []json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// decodeAndClassify is classify for chunks in any form of JSON. Invalid JSON has no kind.
func decodeAndClassify(data, dst []byte) (endpoint.EventKind, []byte) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return 0, nil
	}
	var kind endpoint.EventKind
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		kind |= endpoint.EventUsage
	}
	if len(c.Choices) == 0 {
		return kind, nil
	}
	first := c.Choices[0]
	if first.FinishReason != nil {
		kind |= endpoint.EventFinish
	}
	dst = append(append(dst, first.Delta.Content...), first.Text...)
	if len(dst) > 0 || first.Delta.Reasoning != "" || len(first.Delta.ToolCalls) > 0 {
		kind |= endpoint.EventToken
	}
	return kind, dst
}
