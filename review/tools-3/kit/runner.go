package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a runner has run.
type Run struct {
	At      time.Time
	Attempt string
	Tenant  string
	Path    string
	Runner  *Runner
	Machine string
}

// Runs collects the runs of all runners.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

// Add adds a run.
func (r *Runs) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

// Of returns the runs of an attempt.
func (r *Runs) Of(attempt string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []Run
	for _, run := range r.all {
		if run.Attempt == attempt {
			runs = append(runs, run)
		}
	}
	return runs
}

// Runner is a stand-in of a runner. Handle, if set, answers a request instead of the ordinary answer, after the checks.
type Runner struct {
	ID, Service, Address, Zone string
	Slots                      int
	Born                       int64
	Work                       time.Duration
	Handle                     func(w http.ResponseWriter, r *http.Request, body []byte)

	store  *Store
	runs   *Runs
	record *Record
	server *http.Server

	mu       sync.Mutex
	seq      int
	state    string
	silent   bool
	active   int
	leaving  bool
	stopBeat chan struct{}
}

// StartRunner starts a runner, which registers itself.
func StartRunner(r *Runner, store *Store, runs *Runs, record *Record, heartbeat time.Duration) error {
	r.store, r.runs, r.record, r.state, r.Born = store, runs, record, "ready", time.Now().UnixMilli()
	if r.Slots == 0 {
		r.Slots = 6
	}
	l, err := net.Listen("tcp4", r.Address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 5 * time.Second}
	r.stopBeat = make(chan struct{})
	go func() { _ = r.server.Serve(l) }()
	r.Beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.Beat()
			case <-r.stopBeat:
				return
			}
		}
	}()
	record.Add(r.ID, "runner of %s at %s registered", r.Service, r.Address)
	return nil
}

// Beat writes the runner's entry.
func (r *Runner) Beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.seq++
	r.store.Put("servers/"+r.ID, map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": r.state, "cold_left_ms": 0,
		"seq": r.seq, "born": r.Born,
	})
}

// SetState changes the state in the runner's entry.
func (r *Runner) SetState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.Beat()
	r.record.Add(r.ID, "writes state %s", state)
}

// Kill ends the runner without notice: connections break and nothing listens any more.
func (r *Runner) Kill() {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	close(r.stopBeat)
	_ = r.server.Close()
	r.record.Add(r.ID, "has crashed")
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	machine, _, _ := net.SplitHostPort(q.RemoteAddr)
	w.Header().Set("Keep-Alive", "timeout=5")
	if q.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", r.ID)
		return
	}
	attempt := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	full := r.active >= 4*r.Slots
	if !full {
		r.active++
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.active--
		r.mu.Unlock()
	}()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.runs.Add(Run{At: time.Now(), Attempt: attempt, Tenant: q.Header.Get("Tenant"), Path: q.URL.Path, Runner: r, Machine: machine})
	r.record.Add(r.ID, "runs %s %s of %s for tenant %s (service %s)", attempt, q.URL.Path, machine, q.Header.Get("Tenant"), r.Service)
	if r.Handle != nil {
		r.Handle(w, q, body)
		return
	}
	time.Sleep(r.Work)
	w.Header().Set("Server-Stamp", r.ID+"."+attempt)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "answer of %s (%s) to %s\n", r.ID, r.Service, attempt)
}

// At returns the runs at a runner.
func (r *Runs) At(runner *Runner) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []Run
	for _, run := range r.all {
		if run.Runner == runner {
			runs = append(runs, run)
		}
	}
	return runs
}
