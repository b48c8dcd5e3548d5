package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startUnreadEndpoint starts an endpoint that reads only the header of a request, answers with the body, without a length,
// and resets the connection when the daemon had the time to read that.
func startUnreadEndpoint(t *testing.T, body string) *endpoint {
	t.Helper()
	e := newEndpoint(t, "1")
	go func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				writeUntilClosed(c, r, body)
				time.Sleep(100 * time.Millisecond)
			}()
		}
	}()
	return e
}

// writeUntilClosed writes a response that ends with the connection.
func writeUntilClosed(w net.Conn, r *http.Request, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n\r\n%s", r.Header.Get("Attempt-Id"), body)
}

// TestTroubleResetWhileWriting guards against an answer that looks complete to the caller although the endpoint crashed in
// the middle of it, while the daemon was still writing the request.
func TestTroubleResetWhileWriting(t *testing.T) {
	const bodyBytes = 16 << 20
	events := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	for _, c := range []struct{ desc, path, body string }{
		{"answer", "/once/1", "part"},
		{"answer that may be repeated", "/safe/1", "part"},
		{"answer over the buffer", "/once/1", strings.Repeat("x", 300<<10)},
		{"stream between events", "/stream/1", events},
		{"stream inside an event", "/stream/1", events + "id: 3"},
		{"stream before the first event", "/stream/1", ": comment\n\n"},
		{"resumable stream", "/resume/1", events},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := startSystem(t, unreachedTimeoutMs, startUnreadEndpoint(t, c.body))
			s.fleet.Current.Table.MaxBody = bodyBytes
			got := s.callWithBody(t, c.path, strings.Repeat("x", bodyBytes))
			if got.status == http.StatusOK && !got.cut {
				t.Errorf("an incomplete answer of %d bytes looks complete", len(got.body))
			}
			if got.status == http.StatusServiceUnavailable {
				t.Error("the caller was told that the request has not run")
			}
		})
	}
}
