// Package engine is a stand-in for a model engine with the OpenAI-compatible API. Each answer is a
// deterministic function of the prompt, so that a checker can verify it. Faults are switched on in
// code or with POST /admin/faults; GET /admin/runs counts what ran.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/standin/crashserver"
)

// Options configure an engine. Zero values mean the defaults.
type Options struct {
	// Address is where the engine listens. Default 127.0.0.1:0.
	Address string
	// Model is the model's name. Default "standin".
	Model string
	// Slots is the size of the batch. Default 32.
	Slots int
	// Prefill is the time to the first token, plus PrefillPerBlock for each block of the prompt
	// that is not cached.
	Prefill         time.Duration
	PrefillPerBlock time.Duration
	// TokenTime is the time per token of a request that runs alone; each further request in the
	// batch adds TokenTimePerRequest.
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	// CacheBlocks is the size of the prefix cache. Default 4096.
	CacheBlocks int
	// ReportLag delays load reports.
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

// Faults are the fault switches.
type Faults struct {
	// Marker crashes the engine when a prompt contains it.
	Marker string `json:"marker,omitempty"`
	// DownMS is how long the engine refuses connections after a crash by Marker; 0 means 1 s.
	DownMS int `json:"down_ms,omitempty"`
	// Slowdown multiplies the time per token; 0 and 1 mean none.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Silent keeps connections open and sends nothing.
	Silent bool `json:"silent,omitempty"`
	// Refuse answers 503 with X-Not-Run: true.
	Refuse bool `json:"refuse,omitempty"`
	// Status answers with this status and does not run the request.
	Status int `json:"status,omitempty"`
	// HeaderDelayMS delays the answer's header.
	HeaderDelayMS int `json:"header_delay_ms,omitempty"`
	// CutAfter resets the connection after this number of tokens of one attempt.
	CutAfter int `json:"cut_after,omitempty"`
	// SilentAfter sends nothing more after this number of tokens of one attempt.
	SilentAfter int `json:"silent_after,omitempty"`
	// CutFirst resets the connection before the first byte of the answer.
	CutFirst bool `json:"cut_first,omitempty"`
	// CutEnd resets the connection after the last token and before the end of the answer.
	CutEnd bool `json:"cut_end,omitempty"`
	// CutDone ends the stream after the reason for its end and before [DONE].
	CutDone bool `json:"cut_done,omitempty"`
	// Truncate ends an answer that is not streamed before its stated length.
	Truncate bool `json:"truncate,omitempty"`
	// Times ends all of these faults after this number of requests; 0 means no end.
	Times int `json:"times,omitempty"`
}

// Requests implements crashserver.Limited.
func (f Faults) Requests() int { return f.Times }

// Run counts what the engine did for one request id or prompt.
type Run struct {
	// Started counts attempts that began to run, Completed those that were sent whole.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// Resumed counts attempts that continued a partial answer.
	Resumed int `json:"resumed"`
	// Canceled counts attempts whose connection was closed before the end.
	Canceled int `json:"canceled"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
}

// Engine is a running stand-in.
type Engine struct {
	o      Options
	server *crashserver.Server
	batch  *batch
	cache  *prefixCache

	faults crashserver.Faults[Faults]

	mu       sync.Mutex
	byID     map[string]Run
	byPrompt map[string]Run
	// mismatches counts continued requests whose partial answer was not the engine's own.
	mismatches int
	lastReport report
}

// Start starts an engine.
func Start(o Options) (*Engine, error) {
	o = o.withDefaults()
	e := &Engine{
		o: o, batch: &batch{o: o}, cache: newPrefixCache(o.CacheBlocks),
		byID: map[string]Run{}, byPrompt: map[string]Run{},
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

// URL returns the engine's base address.
func (e *Engine) URL() string { return e.server.URL() }

// Close stops the engine.
func (e *Engine) Close() { e.server.Close() }

// Crash breaks all connections and refuses new ones for a while; 0 means until Revive.
func (e *Engine) Crash(down time.Duration) {
	e.cache.reset()
	e.server.Crash(down)
}

// Revive accepts connections again after a crash.
func (e *Engine) Revive() error { return e.server.Revive() }

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// current returns the faults that apply to running requests too.
func (e *Engine) current() (silent bool, slowdown float64) {
	f := e.faults.Current()
	return f.Silent, max(f.Slowdown, 1)
}

// RunsByID returns the counts for a value of X-Request-Id.
func (e *Engine) RunsByID(id string) Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// RunsByPrompt returns the counts for a prompt.
func (e *Engine) RunsByPrompt(prompt string) Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byPrompt[prompt]
}

// Mismatches counts continued requests whose partial answer was not the engine's own.
func (e *Engine) Mismatches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mismatches
}

// Load returns the number of running and waiting requests.
func (e *Engine) Load() (running, waiting int) { return e.batch.load() }

// count changes the counts of a request.
func (e *Engine) count(c *call, change func(*Run)) {
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
