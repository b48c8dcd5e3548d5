package front

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/dispatch"
)

const (
	// bytesPerToken is the typical length of a text token. It is used to estimate the prompt size for
	// scheduling; engines count tokens exactly.
	bytesPerToken = 4
	// maxRequestIDBytes is the maximum length in bytes of a request id chosen by the client.
	maxRequestIDBytes = 128
)

// modelBody holds the fields of a model request that are needed to route and schedule it and to decide
// whether its response can be continued or assembled from a stream.
type modelBody struct {
	Model               string          `json:"model"`
	Messages            []modelMessage  `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	BestOf              int             `json:"best_of"`
	Echo                bool            `json:"echo"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Modalities          json.RawMessage `json:"modalities"`
	Logprobs            json.RawMessage `json:"logprobs"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// singleSequence reports whether the response is a single sequence of generated tokens, without an echo of
// the prompt. Such a response can be continued.
func (b *modelBody) singleSequence() bool { return b.N <= 1 && b.BestOf <= 1 && !b.Echo }

// textOnly reports whether the request sets none of the fields that can add something other than text to the
// response. A null value of tools, functions or modalities counts as set.
func (b *modelBody) textOnly() bool {
	return len(b.Tools)+len(b.Functions)+len(b.Modalities) == 0 &&
		(len(b.Logprobs) == 0 || string(b.Logprobs) == "null" || string(b.Logprobs) == "false")
}

type modelMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// modelRequest resolves a chat completion or completion request.
func (f *Front) modelRequest(w http.ResponseWriter, r *http.Request, b *requestBody) (*dispatch.Request, *dispatch.Error) {
	s, workspace, e := f.authenticateRequest(r)
	if e != nil {
		return nil, e
	}
	class, e := classFor(s, workspace, r, "")
	if e != nil {
		return nil, e
	}
	raw, e := f.readBody(w, r, b, claimOf(r, workspace, class, modelCopies))
	if e != nil {
		return nil, e
	}
	var body modelBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, newError(http.StatusBadRequest, codeInvalidRequest, "the body is not a valid request: %v", err)
	}
	pool, adapter, ok := poolOf(s, body.Model)
	if !ok {
		return nil, newError(http.StatusNotFound, codeModelNotFound, "model %q does not exist", body.Model)
	}
	prompt := body.prompt()
	req := &dispatch.Request{
		Request: endpoint.Request{
			Workspace: workspace.Name, Method: http.MethodPost, Path: r.URL.Path, Body: raw,
			Stream: body.Stream, MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens),
		},
		Class: class, Pool: pool, Adapter: adapter, Route: r.URL.Path,
		PromptTokens: len(prompt)/bytesPerToken + 1,
		PrefixHashes: endpoint.PrefixHashes(prompt),
		Resumable:    body.singleSequence(),
		Assemblable:  !body.Stream && body.singleSequence() && body.textOnly(),
		IncludeUsage: body.StreamOptions.IncludeUsage,
	}
	setIdempotencyKey(req, r)
	return req, nil
}

// poolOf returns the pool that serves a model, and the adapter if the name has the form "model:adapter".
func poolOf(s *config.Snapshot, model string) (pool config.Pool, adapter string, ok bool) {
	if name, found := s.Models[model]; found {
		return s.Pools[name], "", true
	}
	base, adapter, _ := strings.Cut(model, ":")
	name, found := s.Models[base]
	return s.Pools[name], adapter, found && adapter != ""
}

// prompt returns the prompt as text. Its length gives the estimate of the prompt tokens, and the hashes of its
// prefix blocks identify the engines that have a part of it in their caches.
func (b *modelBody) prompt() string {
	var p strings.Builder
	if len(b.Messages) == 0 {
		return contentText(b.Prompt)
	}
	for _, m := range b.Messages {
		p.WriteString(m.Role)
		p.WriteString(": ")
		p.WriteString(contentText(m.Content))
		p.WriteByte('\n')
	}
	return p.String()
}

// contentText returns the value of a JSON string, or the raw JSON of any other value.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// authenticateRequest waits for a configuration and resolves the workspace. It does not read the body.
func (f *Front) authenticateRequest(r *http.Request) (*config.Snapshot, config.Workspace, *dispatch.Error) {
	s, e := f.awaitSnapshot(r.Context())
	if e != nil {
		return nil, config.Workspace{}, e
	}
	workspace, e := authenticate(s, r)
	return s, workspace, e
}

// setIdempotencyKey copies the Idempotency-Key header. A request that has one runs at most once: it is marked as
// non-idempotent, so that it is not sent again once it may have run.
func setIdempotencyKey(req *dispatch.Request, r *http.Request) {
	req.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	req.NonIdempotent = req.IdempotencyKey != ""
}

// requestID returns the client's request id, or a new one if it is missing, too long or has characters
// other than visible ASCII.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	unsafe := func(c rune) bool { return c <= ' ' || c > '~' }
	if id == "" || len(id) > maxRequestIDBytes || strings.IndexFunc(id, unsafe) >= 0 {
		return newID()
	}
	return id
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// requestDeadline returns the time after which a response is no longer useful: the earlier of the
// client's limit and, for classes that shed late requests, the class's total time. It returns the zero
// time if there is no limit.
func requestDeadline(r *http.Request, c config.Class, arrival time.Time) (time.Time, *dispatch.Error) {
	var limit time.Duration
	if c.Late == config.LateShed {
		limit = c.Total.D()
	}
	if v := r.Header.Get(HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return time.Time{}, newError(http.StatusBadRequest, codeInvalidRequest, "header %s: %q is not a duration such as 30s", HeaderTimeout, v)
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
