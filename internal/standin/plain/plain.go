// Package plain is a stand-in for a plain HTTP service that counts how often each request was executed.
// Faults are set in code or with POST /admin/faults; GET /admin/runs returns the counts.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/standin/crashserver"
)

const maxBodyBytes = 8 << 20

// Options configures a service. Zero values select the defaults.
type Options struct {
	// Address is the listen address. Default 127.0.0.1:0.
	Address string
	// Name identifies the service in each response.
	Name string
	// Delay is the processing time of a request.
	Delay time.Duration
	// AnswerBytes is the number of padding bytes in each response.
	AnswerBytes int
}

// Faults selects the faults to inject.
type Faults struct {
	// Refuse responds with 503 and X-Not-Run: true.
	Refuse bool `json:"refuse,omitempty"`
	// Status is the status of the response after the request was executed.
	Status int `json:"status,omitempty"`
	// DelayMS adds to the processing time, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Silent executes the request and never responds.
	Silent bool `json:"silent,omitempty"`
	// CutBeforeRun resets the connection without executing the request, CutAfterRun after executing it and
	// before the first byte of the response.
	CutBeforeRun bool `json:"cut_before_run,omitempty"`
	CutAfterRun  bool `json:"cut_after_run,omitempty"`
	// Truncate ends the response before its Content-Length is reached.
	Truncate bool `json:"truncate,omitempty"`
	// CrashAfterRunMS crashes the service for this time in milliseconds after executing the request.
	CrashAfterRunMS int `json:"crash_after_run_ms,omitempty"`
	// MaxRequests is the number of requests after which all faults are cleared; 0 means no limit.
	MaxRequests int `json:"times,omitempty"`
}

// RequestLimit implements crashserver.FaultSet.
func (f Faults) RequestLimit() int { return f.MaxRequests }

// Answer is the JSON body of a response.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Key     string `json:"key,omitempty"`
	// Run is the number of this execution among those with the same key, counted from 1. Without a key, it is
	// counted by request ID; without either, it is 0.
	Run  int    `json:"run"`
	Body string `json:"body,omitempty"`
	Pad  string `json:"pad,omitempty"`
}

// Service is a running stand-in.
type Service struct {
	options Options
	server  *crashserver.Server

	faults crashserver.Injector[Faults]

	mu    sync.Mutex
	byKey map[string]int
	byID  map[string]int
}

// Start starts a service and returns once it accepts connections.
func Start(o Options) (*Service, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	s := &Service{options: o, byKey: map[string]int{}, byID: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.Handle("POST /admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/runs", s.serveRuns)
	mux.HandleFunc("POST /admin/crash", crashserver.CrashHandler(s.Crash))
	var err error
	s.server, err = crashserver.Listen(o.Address, mux)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// URL returns the service's base URL.
func (s *Service) URL() string { return s.server.URL() }

// Close stops the service.
func (s *Service) Close() { s.server.Close() }

// Crash resets all connections and refuses new ones for the given duration, or until Restart if it is 0.
func (s *Service) Crash(down time.Duration) { s.server.Crash(down) }

// Restart accepts connections again after a crash.
func (s *Service) Restart() error { return s.server.Restart() }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// RunsByKey returns how often requests with the given Idempotency-Key were executed.
func (s *Service) RunsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// RunsByID returns how often requests with the given X-Request-Id were executed.
func (s *Service) RunsByID(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// recordRun counts an execution and returns its number among those with the same key, or with the same request
// ID if there is no key.
func (s *Service) recordRun(key, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" {
		s.byID[id]++
	}
	if key == "" {
		return s.byID[id]
	}
	s.byKey[key]++
	return s.byKey[key]
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Take()
	if f.Refuse {
		w.Header().Set(endpoint.HeaderNotRun, "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.CutBeforeRun {
		crashserver.Abort(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	n := s.recordRun(key, r.Header.Get(endpoint.HeaderRequestID))
	time.Sleep(s.options.Delay + time.Duration(f.DelayMS)*time.Millisecond)
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case f.CrashAfterRunMS > 0:
		s.server.Crash(time.Duration(f.CrashAfterRunMS) * time.Millisecond)
		return
	case f.CutAfterRun:
		crashserver.Abort(w)
		return
	}
	s.writeAnswer(w, f, Answer{
		Service: s.options.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Key: key, Run: n, Body: string(body),
	})
}

func (s *Service) writeAnswer(w http.ResponseWriter, f Faults, a Answer) {
	if s.options.AnswerBytes > 0 {
		pad := make([]byte, s.options.AnswerBytes)
		for i := range pad {
			pad[i] = 'x'
		}
		a.Pad = string(pad)
	}
	raw, err := json.Marshal(a)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set("X-Service", s.options.Name)
	if f.Status > 0 {
		w.WriteHeader(f.Status)
	}
	if f.Truncate {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

// runsJSON is the response body of GET /admin/runs.
type runsJSON struct {
	ByKey map[string]int `json:"by_key"`
	ByID  map[string]int `json:"by_id"`
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashserver.WriteJSON(w, runsJSON{ByKey: s.byKey, ByID: s.byID})
}
