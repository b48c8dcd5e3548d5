package front

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/dispatch"
)

const (
	// bytesPerToken is the usual length of a token of text. Engines count exactly; scheduling only
	// needs an estimate.
	bytesPerToken = 4
	// maxRequestID bounds a caller's own request id.
	maxRequestID = 128
)

// modelBody has the fields of a model request that routing and resumption need.
type modelBody struct {
	Model         string          `json:"model"`
	Messages      []modelMessage  `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	MaxTokens     int             `json:"max_tokens"`
	MaxCompletion int             `json:"max_completion_tokens"`
	N             int             `json:"n"`
	BestOf        int             `json:"best_of"`
	Echo          bool            `json:"echo"`
	Tools         json.RawMessage `json:"tools"`
	Functions     json.RawMessage `json:"functions"`
	Modalities    json.RawMessage `json:"modalities"`
	Logprobs      json.RawMessage `json:"logprobs"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// single says that the answer is one sequence of tokens that can be continued.
func (b *modelBody) single() bool { return b.N <= 1 && b.BestOf <= 1 && !b.Echo }

// textOnly says that the answer is nothing but text.
func (b *modelBody) textOnly() bool {
	return len(b.Tools)+len(b.Functions)+len(b.Modalities) == 0 &&
		(len(b.Logprobs) == 0 || string(b.Logprobs) == "null" || string(b.Logprobs) == "false")
}

type modelMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// modelRequest resolves a chat completion or a completion.
func (f *Front) modelRequest(w http.ResponseWriter, r *http.Request) (*dispatch.Request, *dispatch.Error) {
	s, workspace, e := f.admit(r)
	if e != nil {
		return nil, e
	}
	class, e := classFor(s, workspace, r, "")
	if e != nil {
		return nil, e
	}
	raw, e := f.readBody(w, r)
	if e != nil {
		return nil, e
	}
	var body modelBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, refusal(http.StatusBadRequest, codeInvalidRequest, "the body is not a valid request: %v", err)
	}
	pool, adapter, ok := poolOf(s, body.Model)
	if !ok {
		return nil, refusal(http.StatusNotFound, codeModelNotFound, "model %q does not exist", body.Model)
	}
	prompt := body.prompt()
	req := &dispatch.Request{
		Request: endpoint.Request{
			Workspace: workspace.Name, Method: http.MethodPost, Path: r.URL.Path, Body: raw,
			Stream: body.Stream, MaxTokens: max(body.MaxTokens, body.MaxCompletion),
		},
		Class: class, Pool: pool, Adapter: adapter, Route: r.URL.Path,
		PromptTokens: len(prompt)/bytesPerToken + 1,
		Blocks:       endpoint.Blocks(prompt),
		Continuable:  body.single(),
		Assemblable:  !body.Stream && body.single() && body.textOnly(),
		WantsUsage:   body.StreamOptions.IncludeUsage,
	}
	setKey(req, r)
	return req, nil
}

// poolOf returns the pool of a model. "model:adapter" names an adapter of the model.
func poolOf(s *config.Snapshot, model string) (pool config.Pool, adapter string, ok bool) {
	if name, found := s.Models[model]; found {
		return s.Pools[name], "", true
	}
	base, adapter, _ := strings.Cut(model, ":")
	name, found := s.Models[base]
	return s.Pools[name], adapter, found && adapter != ""
}

// prompt returns the text whose prefix blocks engines cache.
func (b *modelBody) prompt() string {
	var p strings.Builder
	if len(b.Messages) == 0 {
		return text(b.Prompt)
	}
	for _, m := range b.Messages {
		p.WriteString(m.Role)
		p.WriteString(": ")
		p.WriteString(text(m.Content))
		p.WriteByte('\n')
	}
	return p.String()
}

func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// admit checks what precedes the body.
func (f *Front) admit(r *http.Request) (*config.Snapshot, config.Workspace, *dispatch.Error) {
	s, e := f.snapshot(r.Context())
	if e != nil {
		return nil, config.Workspace{}, e
	}
	workspace, e := authenticate(s, r)
	return s, workspace, e
}

// readBody reads the whole body, since a repeated attempt needs it again.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *dispatch.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	limited := http.MaxBytesReader(w, r.Body, int64(f.o.Limits.MaxBody))
	raw, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is larger than %d bytes", f.o.Limits.MaxBody)
	}
	if err != nil {
		return nil, refusal(http.StatusBadRequest, codeInvalidRequest, "read the body: %v", err)
	}
	return raw, nil
}

// setKey marks a request with an Idempotency-Key as non-idempotent.
func setKey(req *dispatch.Request, r *http.Request) {
	req.IdempotencyKey = r.Header.Get(HeaderIdempotency)
	req.NonIdempotent = req.IdempotencyKey != ""
}

// requestID returns the caller's request id, or a new one when it has none or an unsafe one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	unsafe := func(c rune) bool { return c <= ' ' || c > '~' }
	if id == "" || len(id) > maxRequestID || strings.IndexFunc(id, unsafe) >= 0 {
		return newID()
	}
	return id
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// deadline returns the latest useful end of a request: the caller's own limit, or the class's target
// when late answers of the class are of no use.
func deadline(r *http.Request, c config.Class, arrival time.Time) (time.Time, *dispatch.Error) {
	var limit time.Duration
	if c.Late == config.LateShed {
		limit = c.Total.D()
	}
	if v := r.Header.Get(HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return time.Time{}, refusal(http.StatusBadRequest, codeInvalidRequest, "header %s: %q is not a duration such as 30s", HeaderTimeout, v)
		}
		if limit == 0 || d < limit {
			limit = d
		}
	}
	if limit == 0 {
		return time.Time{}, nil
	}
	return arrival.Add(limit), nil
}
