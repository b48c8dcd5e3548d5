// Package engine is a stand-in for a model engine with the OpenAI-compatible API. Each answer is a
// deterministic function of the prompt, so that a checker can verify it. Faults are set in code or with
// POST /admin/faults; GET /admin/runs returns the counts of attempts.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/standin/crashserver"
)

// Options configures an engine. Zero values select the defaults.
type Options struct {
	// Address is the listen address. Default 127.0.0.1:0.
	Address string
	// Model is the model name. Default "standin".
	Model string
	// Slots is the maximum number of requests in the batch. Default 32.
	Slots int
	// Prefill is the base time to the first token; each prompt block that is not cached adds
	// PrefillPerBlock.
	Prefill         time.Duration
	PrefillPerBlock time.Duration
	// TokenTime is the time per token when a single request runs; each additional request in the batch
	// adds TokenTimePerRequest.
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks. Default 4096.
	CacheBlocks int
	// ReportLag is the minimum time between updates of the reported load.
	ReportLag time.Duration
}

func (o Options) withDefaults() Options {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Model == "" {
		o.Model = "standin"
	}
	if o.Slots == 0 {
		o.Slots = 32
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 4096
	}
	return o
}

// Faults selects the faults to inject.
type Faults struct {
	// Marker crashes the engine when a prompt contains this text.
	Marker string `json:"marker,omitempty"`
	// DownMS is the time in milliseconds for which the engine refuses connections after a crash caused by
	// Marker; 0 means 1 s.
	DownMS int `json:"down_ms,omitempty"`
	// Slowdown multiplies the time to the first token and the time per token of all requests, also of those that
	// are already running, until the faults are replaced or cleared; values up to 1 have no effect.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Silent keeps connections open without sending anything more until the client disconnects, also those of
	// requests that are already running.
	Silent bool `json:"silent,omitempty"`
	// Refuse responds with 503 and X-Not-Run: true.
	Refuse bool `json:"refuse,omitempty"`
	// Status is the status to respond with instead of running the request.
	Status int `json:"status,omitempty"`
	// HeaderDelayMS delays the response header by this time in milliseconds.
	HeaderDelayMS int `json:"header_delay_ms,omitempty"`
	// CutAfter resets the connection after this number of tokens in an attempt.
	CutAfter int `json:"cut_after,omitempty"`
	// SilentAfter stops sending after this number of tokens in an attempt and keeps the connection open.
	SilentAfter int `json:"silent_after,omitempty"`
	// CutFirst resets the connection before the first byte of the response.
	CutFirst bool `json:"cut_first,omitempty"`
	// CutEnd resets the connection after the last token, before the rest of the response.
	CutEnd bool `json:"cut_end,omitempty"`
	// CutDone resets the connection of a stream after the finish reason and usage, before [DONE].
	CutDone bool `json:"cut_done,omitempty"`
	// Truncate ends a non-streamed response before its Content-Length is reached.
	Truncate bool `json:"truncate,omitempty"`
	// MaxRequests is the number of requests after which all faults are cleared; 0 means no limit.
	MaxRequests int `json:"times,omitempty"`
}

// RequestLimit implements crashserver.FaultSet.
func (f Faults) RequestLimit() int { return f.MaxRequests }

// AttemptCounts counts the attempts of one request ID or prompt.
type AttemptCounts struct {
	// Started counts attempts that started to run, Completed those whose response was sent completely.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// Resumed counts attempts that continued a partial answer.
	Resumed int `json:"resumed"`
	// Canceled counts attempts whose connection was lost before the response was complete, because the client
	// disconnected or the engine crashed.
	Canceled int `json:"canceled"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
}

// Engine is a running stand-in.
type Engine struct {
	options Options
	server  *crashserver.Server
	batch   *batch
	cache   *prefixCache

	faults crashserver.Injector[Faults]

	mu       sync.Mutex
	byID     map[string]AttemptCounts
	byPrompt map[string]AttemptCounts
	// mismatches counts requests whose partial answer is not the beginning of the answer, see Mismatches.
	mismatches int
	lastReport loadReport
}

// Start starts an engine and returns once it accepts connections.
func Start(o Options) (*Engine, error) {
	o = o.withDefaults()
	e := &Engine{
		options: o, batch: &batch{options: o}, cache: newPrefixCache(o.CacheBlocks),
		byID: map[string]AttemptCounts{}, byPrompt: map[string]AttemptCounts{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.Handle("POST /admin/faults", &e.faults)
	mux.HandleFunc("POST /admin/crash", crashserver.CrashHandler(e.Crash))
	mux.HandleFunc("GET /admin/runs", e.serveRuns)
	var err error
	e.server, err = crashserver.Listen(o.Address, mux)
	if err != nil {
		return nil, err
	}
	return e, nil
}

// URL returns the engine's base URL.
func (e *Engine) URL() string { return e.server.URL() }

// Close stops the engine.
func (e *Engine) Close() { e.server.Close() }

// Crash clears the prefix cache, resets all connections and refuses new ones for the given duration, or until
// Restart if it is 0.
func (e *Engine) Crash(down time.Duration) {
	e.cache.reset()
	e.server.Crash(down)
}

// Restart accepts connections again after a crash.
func (e *Engine) Restart() error { return e.server.Restart() }

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// ongoingFaults returns the faults that also affect requests which are already running.
func (e *Engine) ongoingFaults() (silent bool, slowdown float64) {
	f := e.faults.Current()
	return f.Silent, max(f.Slowdown, 1)
}

// AttemptsByID returns the attempt counts for an X-Request-Id.
func (e *Engine) AttemptsByID(id string) AttemptCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// AttemptsByPrompt returns the attempt counts for a prompt.
func (e *Engine) AttemptsByPrompt(prompt string) AttemptCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byPrompt[prompt]
}

// Mismatches returns the number of requests whose partial answer does not consist of the first tokens of the
// answer that the engine generates.
func (e *Engine) Mismatches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mismatches
}

// Load returns the number of running and waiting requests.
func (e *Engine) Load() (running, waiting int) { return e.batch.load() }

// updateCounts applies change to the counts of a request, by ID and by prompt.
func (e *Engine) updateCounts(c *call, change func(*AttemptCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.id != "" {
		r := e.byID[c.id]
		change(&r)
		e.byID[c.id] = r
	}
	r := e.byPrompt[c.prompt]
	change(&r)
	e.byPrompt[c.prompt] = r
}
