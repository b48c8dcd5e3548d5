package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// streamEvents is the number of events of each stream.
const streamEvents = 8

// endpoint is a stand-in for an endpoint, with plain and streamed responses. It counts how often each attempt runs.
type endpoint struct {
	s     *system
	index int
	mu    sync.Mutex
	// instance is the number of the current instance, which replace increments.
	instance int
	// address is that of the current instance, and reports counts the entries written.
	address      string
	reports      int
	failingUntil time.Time
	pausingUntil time.Time
	// leaving is the instance that says that it is leaving.
	leaving string
	server  *http.Server
}

func newEndpoint(s *system, index int) *endpoint {
	e := &endpoint{s: s, index: index}
	e.startInstance()
	s.t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	return e
}

func (e *endpoint) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instanceID()
}

func (e *endpoint) instanceID() string { return fmt.Sprintf("e%d-%d", e.index, e.instance) }

// startInstance starts the next instance of the endpoint and registers it in the store.
func (e *endpoint) startInstance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		e.s.t.Error(err)
		return
	}
	e.instance++
	name := e.instanceID()
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(name, w, r) })}
	go func(server *http.Server) { _ = server.Serve(l) }(e.server)
	e.address = l.Addr().String()
	e.publish()
}

// publish writes the entry of the current instance. e.mu must be held.
func (e *endpoint) publish() {
	e.reports++
	e.s.store.Put("servers/"+e.instanceID(), fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"z","slots":6,"state":"ready","seq":%d}`, e.address, e.reports))
}

// replace removes the current instance from the store and starts another one. The old instance keeps serving for
// a few seconds.
func (e *endpoint) replace(s *system) {
	e.mu.Lock()
	old, server := e.instanceID(), e.server
	e.mu.Unlock()
	s.store.Delete("servers/" + old)
	time.AfterFunc(3*time.Second, func() { _ = server.Close() })
	e.startInstance()
}

// failFor makes the endpoint refuse requests or abort connections for the given time.
func (e *endpoint) failFor(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failingUntil = time.Now().Add(duration)
}

func (e *endpoint) failing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.failingUntil)
}

func (e *endpoint) serve(name string, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	if r.Header.Get("Expect-Instance") != name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.addMarks(name, attempt, h) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	failing := e.failing()
	// While failing, the endpoint refuses attempts whose ID has an even length and aborts the others.
	if failing && len(attempt)%2 == 0 {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.s.mu.Lock()
	e.s.runs[attempt]++
	e.s.mu.Unlock()
	h.Set("Server-Stamp", name)
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/") {
		e.stream(w, r, attempt, failing)
		return
	}
	<-time.After(10 * time.Millisecond)
	if failing {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "answer to "+attempt)
}

func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, attempt string, failing bool) {
	firstID := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &firstID)
		firstID++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := firstID; id <= streamEvents; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, attempt)
		_ = http.NewResponseController(w).Flush()
		if failing && id == firstID+2 {
			panic(http.ErrAbortHandler)
		}
		<-time.After(15 * time.Millisecond)
	}
}

// result is the outcome of one attempt as observed by a caller.
type result struct {
	attempt string
	path    string
	status  int
	body    string
	// complete is true if the response body was read to its end without an error.
	complete bool
}

// runCaller sends requests sequentially until the system stops.
func (s *system) runCaller(caller int) {
	defer s.callers.Done()
	paths := []string{"/once/", "/safe/", "/stream/", "/resume/"}
	for n := 0; ; n++ {
		select {
		case <-s.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		address := s.resolveEntry(s.daemons[(caller+n)%len(s.daemons)])
		if address == "" {
			continue
		}
		r := s.send(address, paths[n%len(paths)])
		s.mu.Lock()
		s.results = append(s.results, r)
		s.mu.Unlock()
	}
}

// resolveEntry asks a daemon's directory for an entry address. It returns "" on failure.
func (s *system) resolveEntry(d *daemon) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.directory+"/chivewind/resolve?name=h&zone=z", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addrs) == 0 {
		return ""
	}
	return answer.Addrs[0]
}

// send makes one attempt with a unique ID.
func (s *system) send(address, path string) result {
	s.mu.Lock()
	s.lastID++
	r := result{attempt: fmt.Sprint("a", s.lastID), path: path}
	for _, d := range s.daemons {
		if d.entry == address {
			s.senders[r.attempt] = sender{daemon: d, at: time.Now()}
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+r.attempt, strings.NewReader("x"))
	req.Host = "h"
	req.Header.Set("Attempt-Id", r.attempt)
	req.Header.Set("Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Token k1")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.complete = resp.StatusCode, string(body), err == nil
	return r
}

// waitForVersion waits until every daemon serves the route unique to a configuration version.
func (s *system) waitForVersion(t *testing.T, version int) {
	t.Helper()
	deadline := time.Now().Add(recoveryTimeout)
	for _, d := range s.daemons {
		for {
			r := s.send(d.entry, fmt.Sprintf("/version-%d/", version))
			if r.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s does not serve version %d after %s: status %d", d.name, version, recoveryTimeout, r.status)
			}
			<-time.After(50 * time.Millisecond)
		}
	}
}

// waitForUsage waits until a usage window that ends after the call is reported.
func (s *system) waitForUsage(t *testing.T) {
	t.Helper()
	window := time.Now().UnixNano() / int64(usageWindow)
	for deadline := time.Now().Add(recoveryTimeout); ; <-time.After(50 * time.Millisecond) {
		if _, reported := s.control.Windows()[window]; reported {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("usage window %d is not reported after %s", window, recoveryTimeout)
		}
	}
}

// violations returns a description of each violated guarantee.
func (s *system) violations() (problems []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.marks {
		s.closeMark(key)
	}
	problems = append(problems, s.markProblems...)
	problems = append(problems, s.control.Violations()...)
	for _, r := range s.results {
		runs := s.runs[r.attempt]
		report := func(text string) {
			problems = append(problems, fmt.Sprintf("%s%s: %s (status %d, %d runs, body %q)", r.path, r.attempt, text, r.status, runs, r.body))
		}
		stream := r.path == "/stream/" || r.path == "/resume/"
		switch {
		case (r.path == "/once/" || r.path == "/stream/") && runs > 1:
			report("ran more than once")
		case r.status == http.StatusServiceUnavailable && runs > 0:
			report("was reported as not run but ran")
		case r.status == http.StatusNotFound || r.status == http.StatusUnauthorized:
			report("was rejected with 404 or 401")
		case r.status != http.StatusOK:
		case stream && !eventsInOrder(r):
			report("has missing, repeated or wrong events")
		case !stream && r.complete && r.body != "answer to "+r.attempt:
			report("got a wrong response body")
		}
	}
	return problems
}

// eventsInOrder reports whether the events of a stream are a prefix of the expected events, or all of them if the
// stream is complete.
func eventsInOrder(r result) bool {
	var want strings.Builder
	for id := 1; id <= streamEvents; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", id, r.attempt)
	}
	if r.complete {
		return r.body == want.String()
	}
	return strings.HasPrefix(want.String(), r.body)
}

func (s *system) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := map[int]int{}
	for _, r := range s.results {
		statuses[r.status]++
	}
	return fmt.Sprintf("%d attempts, by status %v, %d marks of endpoints, %d usage windows", len(s.results), statuses, s.marksSeen, len(s.control.Windows()))
}
