package crashserver

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultSet is a set of faults that can be limited to a number of requests.
type FaultSet interface {
	// RequestLimit returns the number of requests after which the faults are cleared; 0 means no limit.
	RequestLimit() int
}

// Injector holds the active faults of a stand-in. Its zero value injects none. It is safe for concurrent use.
type Injector[F FaultSet] struct {
	mu           sync.Mutex
	faults       F
	requestsLeft int
}

// Set replaces the active faults.
func (f *Injector[F]) Set(faults F) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.requestsLeft = faults.RequestLimit()
}

// Take returns the faults for a new request and counts the request against their limit.
func (f *Injector[F]) Take() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.faults
	if f.requestsLeft > 0 {
		if f.requestsLeft--; f.requestsLeft == 0 {
			var none F
			f.faults = none
		}
	}
	return faults
}

// Current returns the active faults without counting a request.
func (f *Injector[F]) Current() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// ServeHTTP replaces the active faults with those in the JSON request body.
func (f *Injector[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults F
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(faults)
	w.WriteHeader(http.StatusNoContent)
}

// CrashHandler returns a handler that calls crash with the duration in the query parameter down, for example 2s.
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

// WriteJSON writes v as the JSON body of a response.
func WriteJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
