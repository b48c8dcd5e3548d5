package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestTroubleRepeatedRefusal guards against an earlier refusal that an endpoint writes once more on the same connection
// and that is taken for the answer to a request which the endpoint runs.
func TestTroubleRepeatedRefusal(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Busy\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, withID := range []bool{true, false} {
		for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
			var mu sync.Mutex
			refused := map[net.Conn]string{}
			ran := 0
			runs := func() int {
				mu.Lock()
				defer mu.Unlock()
				return ran
			}
			e := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
				id := ""
				if withID {
					id = "Attempt-Id: " + r.Header.Get("Attempt-Id") + "\r\n"
				}
				mu.Lock()
				defer mu.Unlock()
				if n%2 == 1 {
					refused[w] = refusal(id)
					fmt.Fprint(w, refusal(id))
					return
				}
				ran++
				fmt.Fprint(w, refused[w])
				writeResponse(w, r, http.StatusOK, "id: 1\ndata: 1\n\n")
			})
			s := startSystem(t, unreachedTimeoutMs, e)
			for i := range 6 {
				before := runs()
				got := s.call(t, path, "Attempt-Id", fmt.Sprintf("a%d", i))
				if got.status == http.StatusServiceUnavailable && runs() > before {
					t.Errorf("%s, with ID %v: request %d ran and was answered as not run", path, withID, i)
				}
			}
		}
	}
}

// TestTroubleErrorAfterStream guards against the answer of the next endpoint, an error, in the middle of a stream that
// had begun, and against a stream that ends as if it were complete then.
func TestTroubleErrorAfterStream(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	for desc, answer := range map[string]string{
		"error with a body":     "HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 7\r\n\r\nid: 4\n\n",
		"refusal":               "HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"503 without statement": "HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\nbusy",
		"error without length":  "HTTP/1.1 404 Gone\r\nAttempt-Id: a1\r\nConnection: close\r\n\r\nHTTP/1.1 500 Error\r\n\r\n",
		"redirect":              "HTTP/1.1 302 Found\r\nAttempt-Id: a1\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		"success of a stranger": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 6\r\n\r\n<html>",
		"no events":             "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nConnection: close\r\n\r\n",
		"half an event":         "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nid: 4",
		"half a head":           "HTTP/1.1 500 Error\r\nAttempt-Id: a1\r\nContent-Le",
	} {
		t.Run(desc, func(t *testing.T) {
			serve := func(_ int, w net.Conn, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "" {
					writeEvents(w, r, 1, 3, false)
					return
				}
				_, _ = io.WriteString(w, answer)
				_ = w.Close()
			}
			s := startSystem(t, unreachedTimeoutMs, startEndpoint(t, "1", serve), startEndpoint(t, "2", serve))
			if got := s.call(t, "/resume/1"); !got.cut || got.body != begun {
				t.Errorf("cut %v, body %q", got.cut, got.body)
			}
		})
	}
}

// TestTroubleTruncatedHead guards against an endpoint that stops in the middle of the head of its answer and closes the
// connection, whose caller gets a success with an empty or short body.
func TestTroubleTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 17\r\n\r\n"
	for length := range len(head) {
		e := startEndpoint(t, "1", func(_ int, w net.Conn, _ *http.Request) {
			_, _ = io.WriteString(w, head[:length])
			_ = w.Close()
		})
		s := startSystem(t, unreachedTimeoutMs, e)
		for _, path := range []string{"/once/1", "/stream/1"} {
			if got := s.call(t, path); got.status != http.StatusBadGateway {
				t.Errorf("%s, head ends after %q: status %d, cut %v, body %q", path, head[max(0, length-12):length], got.status, got.cut, got.body)
			}
		}
	}
	if !strings.HasSuffix(head, "\r\n\r\n") {
		t.Error("the whole head was not played")
	}
}
