package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a runner began to work on.
type run struct {
	id, path, tenant, runner string
	at                       time.Time
	body                     int
}

// runs collects the runs of all runners.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[x.id] = append(r.byID[x.id], x)
}

// find returns the runs of a request.
func (r *runs) find(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// runner is a stand-in for a runner of a plain service. It answers each request after work, with the stamp and the id.
type runner struct {
	id       string
	service  string
	listener net.Listener
	server   *http.Server
	work     time.Duration
	// longWork is how long the requests take whose path begins with longPath; 0 for as long as all others.
	longWork time.Duration
	born     int64
	rec      *record
	runs     *runs
	// losing is set while the runner loses the answers of a share of the requests that it ran.
	losing atomic.Bool
}

// longPath is the prefix of the paths of requests that may take longer than others.
const longPath = "/book/"

// lostShare is the share of the answers that a losing runner loses.
const lostShare = 0.4

func newRunner(rec *record, rs *runs, id, service string, work time.Duration) (*runner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, listener: l, work: work, born: time.Now().UnixMilli(), rec: rec, runs: rs}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

func (r *runner) address() string { return r.listener.Addr().String() }

// entry is the runner's entry in the store.
func (r *runner) entry(state string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address(), "zone": "z1", "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": r.born,
	})
	return raw
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.rec.add("runner %s runs %s (%s %s, tenant %s, %d bytes)", r.id, id, q.Method, q.URL.Path, q.Header.Get("Tenant"), len(body))
	r.runs.add(run{id: id, path: q.URL.Path, tenant: q.Header.Get("Tenant"), runner: r.id, at: time.Now(), body: len(body)})
	work := r.work
	if r.longWork > 0 && strings.HasPrefix(q.URL.Path, longPath) {
		work = r.longWork
	}
	select {
	case <-time.After(work):
	case <-q.Context().Done():
		r.rec.add("runner %s: the channel of %s was closed while it ran", r.id, id)
		return
	}
	if r.losing.Load() && rand.Float64() < lostShare {
		r.rec.add("runner %s loses the answer to %s", r.id, id)
		if hijacker, ok := w.(http.Hijacker); ok {
			if conn, _, err := hijacker.Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
		}
		return
	}
	w.Header().Set("Server-Stamp", "stamp-"+r.id+"-"+id)
	fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}
