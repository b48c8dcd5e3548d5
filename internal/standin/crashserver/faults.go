package crashserver

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Limited is a set of fault switches that can end after a number of requests; 0 means no end.
type Limited interface {
	Requests() int
}

// Faults guards the fault switches of a stand-in. Its zero value has none on.
type Faults[F Limited] struct {
	mu   sync.Mutex
	on   F
	left int
}

// Set replaces the switches.
func (f *Faults[F]) Set(on F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
	f.left = on.Requests()
}

// Take returns the switches for a new request.
func (f *Faults[F]) Take() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	on := f.on
	if f.left > 0 {
		if f.left--; f.left == 0 {
			var off F
			f.on = off
		}
	}
	return on
}

// Current returns the switches without counting a request.
func (f *Faults[F]) Current() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.on
}

// ServeHTTP replaces the switches with those in the JSON body.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var on F
	if err := json.NewDecoder(r.Body).Decode(&on); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(on)
	w.WriteHeader(http.StatusNoContent)
}

// CrashHandler crashes a server for the time in the query parameter down, for example 2s.
func CrashHandler(crash func(down time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down, err := time.ParseDuration(r.URL.Query().Get("down"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		crash(down)
	}
}

// WriteJSON answers with a JSON value.
func WriteJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
