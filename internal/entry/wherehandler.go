package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/chivewind/chivewind/traffic"
)

const (
	// PatternWhere is the pattern of WhereHandler, and HeaderWhereKey the header with the caller's API key. The key is in no
	// URL, because URLs appear in errors and logs of clients.
	PatternWhere   = "GET /where"
	HeaderWhereKey = "Where-Key"
	// maxWhereQuery and maxWhereKey are the largest sizes of a question and of its key in bytes.
	maxWhereQuery = 8 << 10
	maxWhereKey   = 1 << 10
	// maxWhereParts is the largest number of prompt parts, and maxWhereTokens that of tokens of each of them.
	maxWhereParts  = 64
	maxWhereTokens = 1 << 24
)

// WhereHandler returns the handler that answers questions with a WhereAnswer. It answers one at a time and others with
// 503, because a daemon may have a seventh of a core.
func (s *Server) WhereHandler() http.Handler {
	var busy atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !busy.CompareAndSwap(false, true) {
			http.Error(w, "another question is being answered", http.StatusServiceUnavailable)
			return
		}
		defer busy.Store(false)
		q, err := parseQuestion(r)
		var answer WhereAnswer
		if err == nil {
			answer, err = s.Where(q)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}

// parseQuestion returns the question in the query of an HTTP request. No error contains a part of the input.
func parseQuestion(r *http.Request) (WhereQuestion, error) {
	key := r.Header.Get(HeaderWhereKey)
	if len(r.URL.RawQuery) > maxWhereQuery || len(key) > maxWhereKey {
		return WhereQuestion{}, errors.New("the question is too long")
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return WhereQuestion{}, errors.New("the query is malformed")
	}
	q := WhereQuestion{Host: values.Get("host"), Path: values.Get("path"), Key: key, Pool: values.Get("pool")}
	q.Path, _, _ = strings.Cut(q.Path, "?")
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return WhereQuestion{}, errors.New("host and path are required, and the path starts with a slash")
	}
	q.Prompt, err = parsePrompt(values.Get("model"), values.Get("tokens"), values.Get("parts"))
	return q, err
}

// parsePrompt returns the prompt that tokens (PROMPT,OUTPUT) and parts (ID:TOKENS,…) describe, or nil if both are empty.
func parsePrompt(model, tokens, parts string) (*traffic.Prompt, error) {
	if tokens == "" && parts == "" {
		return nil, nil
	}
	p := &traffic.Prompt{Model: model}
	if tokens != "" {
		prompt, output, _ := strings.Cut(tokens, ",")
		var okPrompt, okOutput bool
		p.Tokens, okPrompt = parseTokens(prompt)
		p.MaxOutput, okOutput = parseTokens(output)
		if !okPrompt || !okOutput {
			return nil, errors.New("tokens has the form PROMPT,OUTPUT")
		}
	}
	if parts == "" {
		return p, nil
	}
	list := strings.Split(parts, ",")
	if len(list) > maxWhereParts {
		return nil, errors.New("there are too many parts")
	}
	for _, part := range list {
		// An ID may contain colons.
		colon := strings.LastIndexByte(part, ':')
		n, ok := parseTokens(part[colon+1:])
		if colon <= 0 || !ok {
			return nil, errors.New("parts has the form ID:TOKENS,ID:TOKENS,…")
		}
		p.Parts = append(p.Parts, traffic.Part{ID: part[:colon], Tokens: n})
	}
	return p, nil
}

func parseTokens(s string) (int, bool) {
	n, err := strconv.Atoi(s)
	return n, err == nil && n >= 0 && n <= maxWhereTokens
}
