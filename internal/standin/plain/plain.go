// Package plain is a stand-in for a plain HTTP service that counts how often each request ran.
// Faults are switched on in code or with POST /admin/faults; GET /admin/runs returns the counts.
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

const maxBody = 8 << 20

// Options configure a service. Zero values mean the defaults.
type Options struct {
	// Address is where the service listens. Default 127.0.0.1:0.
	Address string
	// Name is part of each answer.
	Name string
	// Delay is the time that a request takes.
	Delay time.Duration
	// AnswerBytes pads each answer to at least this size.
	AnswerBytes int
}

// Faults are the fault switches.
type Faults struct {
	// Refuse answers 503 with X-Not-Run: true.
	Refuse bool `json:"refuse,omitempty"`
	// Status answers with this status after the run.
	Status int `json:"status,omitempty"`
	// DelayMS delays the run.
	DelayMS int `json:"delay_ms,omitempty"`
	// Silent runs the request and never answers.
	Silent bool `json:"silent,omitempty"`
	// CutBeforeRun resets the connection without a run, CutAfterRun after the run and before the
	// first byte of the answer.
	CutBeforeRun bool `json:"cut_before_run,omitempty"`
	CutAfterRun  bool `json:"cut_after_run,omitempty"`
	// Truncate ends the answer before its stated length.
	Truncate bool `json:"truncate,omitempty"`
	// CrashAfterRun crashes the whole service after the run for this time.
	CrashAfterRunMS int `json:"crash_after_run_ms,omitempty"`
	// Times ends all of these faults after this number of requests; 0 means no end.
	Times int `json:"times,omitempty"`
}

// Requests implements crashserver.Limited.
func (f Faults) Requests() int { return f.Times }

// Answer is the JSON form of an answer.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Key     string `json:"key,omitempty"`
	// Run numbers the runs with the same key.
	Run  int    `json:"run"`
	Body string `json:"body,omitempty"`
	Pad  string `json:"pad,omitempty"`
}

// Service is a running stand-in.
type Service struct {
	o      Options
	server *crashserver.Server

	faults crashserver.Faults[Faults]

	mu    sync.Mutex
	byKey map[string]int
	byID  map[string]int
}

// Start starts a service.
func Start(o Options) (*Service, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	s := &Service{o: o, byKey: map[string]int{}, byID: map[string]int{}}
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

// URL returns the service's base address.
func (s *Service) URL() string { return s.server.URL() }

// Close stops the service.
func (s *Service) Close() { s.server.Close() }

// Crash breaks all connections and refuses new ones for a while; 0 means until Revive.
func (s *Service) Crash(down time.Duration) { s.server.Crash(down) }

// Revive accepts connections again after a crash.
func (s *Service) Revive() error { return s.server.Revive() }

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// RunsByKey returns the number of runs with an Idempotency-Key.
func (s *Service) RunsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// RunsByID returns the number of runs with an X-Request-Id.
func (s *Service) RunsByID(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// run counts a run and returns its number among those with the same key.
func (s *Service) run(key, id string) int {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	n := s.run(key, r.Header.Get(endpoint.HeaderRequestID))
	time.Sleep(s.o.Delay + time.Duration(f.DelayMS)*time.Millisecond)
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
	s.answer(w, f, Answer{
		Service: s.o.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Key: key, Run: n, Body: string(body),
	})
}

func (s *Service) answer(w http.ResponseWriter, f Faults, a Answer) {
	if s.o.AnswerBytes > 0 {
		pad := make([]byte, s.o.AnswerBytes)
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
	w.Header().Set("X-Service", s.o.Name)
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

// runsJSON is the JSON form of GET /admin/runs.
type runsJSON struct {
	ByKey map[string]int `json:"by_key"`
	ByID  map[string]int `json:"by_id"`
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashserver.WriteJSON(w, runsJSON{ByKey: s.byKey, ByID: s.byID})
}
