package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Runner is a stand-in for a runner. Handle decides what it does with a request; nil serves 200 after Work.
type Runner struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	Handle            func(r *Runner, q *RunnerRequest)

	store   *Store
	record  *Record
	address string
	born    int64
	seq     atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	state    string
	down     bool
}

// RunnerRequest is a request that has reached a runner.
type RunnerRequest struct {
	*http.Request
	Body    []byte
	Attempt string
	Conn    net.Conn
	At      time.Time
}

// NewRunner starts a runner and registers it.
func NewRunner(store *Store, record *Record, ip, service, zone, id string, slots int) (*Runner, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Zone: zone, Slots: slots, store: store, record: record, address: l.Addr().String(),
		born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}, state: "ready"}
	go r.accept(l)
	go r.beat()
	return r, nil
}

// beat writes the runner's entry about every 1.2 s while the runner is up.
func (r *Runner) beat() {
	for {
		r.mu.Lock()
		down := r.down
		r.mu.Unlock()
		if !down {
			r.Register()
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// Register writes the runner's entry.
func (r *Runner) Register() {
	r.mu.Lock()
	state, born := r.state, r.born
	r.mu.Unlock()
	r.store.Put("servers/"+r.ID, map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state,
		"cold_left_ms": 0, "seq": r.seq.Add(1), "born": born,
	})
}

func (r *Runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		rq := &RunnerRequest{Request: q, Body: body, Attempt: q.Header.Get("Attempt-Id"), Conn: c, At: time.Now()}
		if want := q.Header.Get("Expect-Instance"); want != "" && want != r.ID {
			Respond(c, 421, rq.Attempt, "Instance-Id: "+r.ID+"\r\n", nil)
			continue
		}
		if q.URL.Path == "/healthz" {
			Respond(c, 200, rq.Attempt, "Instance-Id: "+r.ID+"\r\n", nil)
			continue
		}
		if r.Handle != nil {
			r.Handle(r, rq)
			continue
		}
		r.record.Addf("run    %s at %s from %s", rq.Attempt, r.ID, c.RemoteAddr())
		time.Sleep(r.Work)
		Respond(c, 200, rq.Attempt, "", []byte("served "+rq.Attempt))
	}
}

// Respond writes a whole response with the runner's stamp.
func Respond(c net.Conn, status int, attempt, header string, body []byte) {
	stamp := ""
	if status != 421 && !strings.Contains(header, "Not-Executed") {
		stamp = "Server-Stamp: stamp-" + attempt + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%s%sContent-Length: %s\r\nKeep-Alive: timeout=5\r\n\r\n%s",
		status, http.StatusText(status), attempt, stamp, header, strconv.Itoa(len(body)), body)
}

// Crash closes the listener and resets all connections; the runner is back after the given time, as a new incarnation.
func (r *Runner) Crash(back time.Duration) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	time.AfterFunc(back, func() {
		l, err := net.Listen("tcp4", r.address)
		if err != nil {
			r.record.Addf("runner %s could not come back: %v", r.ID, err)
			return
		}
		r.mu.Lock()
		r.listener, r.down, r.born = l, false, time.Now().UnixMilli()
		r.mu.Unlock()
		r.record.Addf("runner %s is back", r.ID)
		r.Register()
		go r.accept(l)
	})
}

// Close ends the runner.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// servePlain serves a plain request in 60 ms.
func servePlain(r *Runner, q *RunnerRequest) {
	r.record.Addf("run    %s at %s", q.Attempt, r.ID)
	time.Sleep(60 * time.Millisecond)
	Respond(q.Conn, 200, q.Attempt, "", []byte("served "+q.Attempt))
}

// eventsOf returns the number of events of a stream and the time between them.
func eventsOf(path string) (events int, gap time.Duration) {
	if strings.HasPrefix(path, "/chat/") {
		return 57, 30 * time.Millisecond
	}
	return 17, 20 * time.Millisecond
}

// serveStream serves a stream.
func serveStream(r *Runner, q *RunnerRequest) {
	r.record.Addf("run    %s at %s", q.Attempt, r.ID)
	first := 0
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	time.Sleep(20 * time.Millisecond)
	fmt.Fprintf(q.Conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n", q.Attempt, q.Attempt)
	events, gap := eventsOf(q.URL.Path)
	for n := first; n < events; n++ {
		e := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n+1, n+1)
		if _, err := fmt.Fprintf(q.Conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return
		}
		time.Sleep(gap)
	}
	fmt.Fprint(q.Conn, "0\r\n\r\n")
}
