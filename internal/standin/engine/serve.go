package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/standin/crashserver"
)

const (
	maxBodyBytes         = 8 << 20
	defaultCrashDuration = time.Second
	// bytesPerToken is the typical length of a token, used to estimate prompt tokens.
	bytesPerToken = 4
)

// call is one request to the engine.
type call struct {
	e      *Engine
	w      http.ResponseWriter
	r      *http.Request
	body   requestBody
	chat   bool
	id     string
	prompt string
	hash   uint64
	// resumed is the number of tokens that the client already has.
	resumed int
	// length is the number of tokens in the complete answer.
	length int
	faults Faults
	buf    []byte
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	c := &call{e: e, w: w, r: r, chat: chat, id: r.Header.Get(endpoint.HeaderRequestID), faults: e.faults.Take()}
	if !c.injectFaults() {
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(raw, &c.body) != nil {
		writeError(w, http.StatusBadRequest, "malformed body")
		return
	}
	if !c.parse() {
		return
	}
	if f := c.faults; f.Marker != "" && strings.Contains(c.prompt, f.Marker) {
		e.updateRun(c, func(r *AttemptCounts) { r.Started++ })
		down := time.Duration(f.DownMS) * time.Millisecond
		if down == 0 {
			down = defaultCrashDuration
		}
		e.Crash(down)
		return
	}
	if err := e.batch.acquireSlot(r.Context(), c.body.Priority); err != nil {
		return
	}
	defer e.batch.releaseSlot()
	c.run()
}

// injectFaults applies the faults that take effect before the request runs. It reports whether the request
// shall run.
func (c *call) injectFaults() bool {
	switch f := c.faults; {
	case f.Refuse:
		c.w.Header().Set(endpoint.HeaderNotRun, "true")
		c.w.Header().Set("Retry-After", "1")
		writeError(c.w, http.StatusServiceUnavailable, "not run")
		return false
	case f.Status > 0:
		writeError(c.w, f.Status, "fault switch")
		return false
	case f.CutFirst:
		crashserver.Abort(c.w)
		return false
	}
	return true
}

// parse extracts the prompt and checks that a partial answer is a prefix of the answer that the engine
// generates. It reports whether it is.
func (c *call) parse() bool {
	var partial string
	c.resumed, _ = strconv.Atoi(c.r.Header.Get("Last-Event-ID"))
	c.prompt, partial = c.body.prompt(c.chat, c.resumed)
	c.hash = xxhash.Sum64String(c.prompt)
	limit := c.body.limit()
	if limit > 0 {
		limit += c.resumed
	}
	c.length = AnswerTokens(c.prompt, limit)
	var want strings.Builder
	for i := 1; i <= c.resumed; i++ {
		want.WriteString(token(c.hash, i))
	}
	if partial != want.String() {
		c.e.mu.Lock()
		c.e.mismatches++
		c.e.mu.Unlock()
		writeError(c.w, http.StatusBadRequest, "the partial answer is not the beginning of the answer")
		return false
	}
	return true
}

func (c *call) run() {
	c.e.updateRun(c, func(r *AttemptCounts) {
		r.Started++
		if c.resumed > 0 {
			r.Resumed++
		}
	})
	completed := false
	tokens := 0
	defer func() {
		c.e.updateRun(c, func(r *AttemptCounts) {
			r.Tokens += tokens
			if completed {
				r.Completed++
			} else if c.r.Context().Err() != nil {
				r.Canceled++
			}
		})
	}()
	blocks := endpoint.PrefixHashes(c.prompt)
	missing := len(blocks) - c.e.cache.lookupAndInsert(blocks)
	prefill := c.e.options.Prefill + time.Duration(missing)*c.e.options.PrefillPerBlock
	prefill += time.Duration(c.faults.HeaderDelayMS) * time.Millisecond
	if !c.sleep(prefill) {
		return
	}
	if c.body.Stream {
		completed = c.stream(&tokens)
		return
	}
	completed = c.sendJSON(&tokens)
}

// sleep waits for d times the slowdown, or until the client disconnects if the engine is silent. It reports
// whether the client is still connected.
func (c *call) sleep(d time.Duration) bool {
	silent, slowdown := c.e.ongoingFaults()
	if silent || c.faults.Silent {
		<-c.r.Context().Done()
		return false
	}
	if d <= 0 {
		return c.r.Context().Err() == nil
	}
	t := time.NewTimer(time.Duration(float64(d) * slowdown))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

func (c *call) promptTokens() int { return (len(c.prompt)+c.resumed*TokenBytes)/bytesPerToken + 1 }

// errorBody is an error response in the OpenAI format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{Message: message, Type: "standin"}})
}
