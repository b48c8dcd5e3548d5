package kit

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is a call of a duty that the platform has accepted.
type Call struct {
	At      time.Time
	Path    string
	Holder  string
	Machine string
	Fence   int64
	Window  int64
	Counts  map[string]int
}

// Cloud is a stand-in of the platform's control plane. It does not check the fence, as where fencing_enforced is false.
type Cloud struct {
	Address string
	record  *Record

	mu    sync.Mutex
	calls []Call
}

// NewCloud starts a control plane.
func NewCloud(address string, record *Record) (*Cloud, error) {
	c := &Cloud{Address: address, record: record}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", c.accept)
	mux.HandleFunc("POST /scale", c.accept)
	return c, Serve(address, mux)
}

// Calls returns the accepted calls in order.
func (c *Cloud) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

func (c *Cloud) accept(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Window int64          `json:"window_id"`
		Counts map[string]int `json:"counts"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("Duty-Holder"), Fence: fence, Window: in.Window, Counts: in.Counts}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.record.Say("cloud", "%s by %s with fence %d: window %d, counts %v", call.Path, call.Holder, call.Fence, call.Window, call.Counts)
	w.WriteHeader(http.StatusOK)
}
