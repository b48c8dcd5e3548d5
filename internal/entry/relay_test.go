package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestFailuresKeepTheirStatus guards against a failure that bears the stamp of an endpoint and another status than that
// endpoint gave.
func TestFailuresKeepTheirStatus(t *testing.T) {
	for _, status := range []int{301, 304, 400, 401, 403, 404, 408, 409, 410, 413, 421, 422, 425, 429, 451, 500, 501, 502, 503, 504, 507, 599} {
		for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1", "/model/1"} {
			serve := func(_ int, w net.Conn, r *http.Request) {
				if status == http.StatusNotModified {
					fmt.Fprintf(w, "HTTP/1.1 304 X\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n\r\n", r.Header.Get("Attempt-Id"))
					return
				}
				writeResponse(w, r, status, "failure")
			}
			s := startSystem(t, unreachedTimeoutMs, startEndpoint(t, "1", serve), startEndpoint(t, "2", serve))
			own := http.StatusBadGateway
			if status == http.StatusMisdirectedRequest {
				// The request has not run.
				own = http.StatusServiceUnavailable
			}
			got := s.call(t, path)
			stamped := got.header.Get("Server-Stamp") != ""
			switch {
			case got.cut:
				t.Errorf("%d %s: the connection was closed", status, path)
			case stamped && got.status != status:
				t.Errorf("%d %s: status %d with the stamp of the endpoint", status, path, got.status)
			case !stamped && got.status != own:
				t.Errorf("%d %s: status %d without a stamp", status, path, got.status)
			}
		}
	}
}

// TestDeadlineOfSecondSend guards against an endpoint that is told at a second send that it has as much time as at the
// first.
func TestDeadlineOfSecondSend(t *testing.T) {
	const firstTook = 400 * time.Millisecond
	for _, callerDeadlineMs := range []int{1500, 2 * unreachedTimeoutMs} {
		refuse := func(_ int, w net.Conn, r *http.Request) {
			<-time.After(firstTook)
			writeNotRun(w, r)
		}
		endpoints := []*endpoint{startEndpoint(t, "1", refuse), startEndpoint(t, "2", refuse)}
		s := startSystem(t, unreachedTimeoutMs, endpoints...)
		s.call(t, "/safe/1", "Deadline-Ms", strconv.Itoa(callerDeadlineMs))
		var left []int
		for _, e := range endpoints {
			for _, r := range e.requests() {
				ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
				if err != nil {
					t.Error(err)
				}
				left = append(left, ms)
			}
		}
		if len(left) != 2 {
			t.Fatalf("%d sends, want 2", len(left))
		}
		allowed := min(callerDeadlineMs, unreachedTimeoutMs)
		if first, second := max(left[0], left[1]), min(left[0], left[1]); first > allowed || second > allowed-int(firstTook.Milliseconds()) {
			t.Errorf("caller's deadline %d ms: %d and %d ms left at the two sends", callerDeadlineMs, first, second)
		}
	}
}

// resumeBound is the time after which an endpoint must not work any more on a stream that is resumed at another one.
const resumeBound = 400 * time.Millisecond

// TestResumedStreamEndsFirstRun guards against a stream that is resumed at another endpoint while the first one, whose
// answer is broken but whose connection is open, still works on it.
func TestResumedStreamEndsFirstRun(t *testing.T) {
	const event = "id: 1\ndata: 1\n\n"
	for desc, rest := range map[string]string{
		"malformed chunk": "zz\r\n", "huge chunk": "7fffffffffffffff1\r\n", "chunk without its end": "1\r\nixx\r\n",
		"endless event": fmt.Sprintf("%x\r\n%s", 4<<20, strings.Repeat("x", 4<<20)),
	} {
		t.Run(desc, func(t *testing.T) {
			var sends atomic.Int32
			closed := make(chan struct{})
			serve := func(_ int, w net.Conn, r *http.Request) {
				if sends.Add(1) == 1 {
					writeStream(w, r, "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n%s", len(event), event, rest))
					_, _ = w.Read(make([]byte, 1))
					close(closed)
					return
				}
				select {
				case <-closed:
				case <-time.After(resumeBound):
					t.Error("resumed while the connection to the first endpoint is open")
				}
				writeEvents(w, r, 2, 3, true)
			}
			s := startSystem(t, unreachedTimeoutMs, startEndpoint(t, "1", serve), startEndpoint(t, "2", serve))
			got := s.call(t, "/resume/1")
			if want := event + "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"; got.cut || got.body != want || sends.Load() != 2 {
				t.Errorf("cut %v, %d sends, body %q", got.cut, sends.Load(), got.body)
			}
		})
	}
}
