package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/entry"
)

// TestTroubleLateRequestDuringStop guards against passing on a request that a stopping daemon has read only when it takes
// no more requests: the end of the stop would cut it.
func TestTroubleLateRequestDuringStop(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 200, "x") })
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		s := startSystem(t, unreachedTimeoutMs, e)
		conn, err := net.Dial("tcp4", s.httpServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k1\r\nContent-Length: 4\r\n\r\n", path)
		waitFor(t, func() bool { return s.Active() == 1 })
		s.RefuseRequests()
		_, _ = io.WriteString(conn, "body")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, want a refusal", path, resp.StatusCode)
		}
	}
	if n := totalRequests(e); n != 0 {
		t.Errorf("%d requests were passed on late in the stop", n)
	}
}

// TestTroubleEndOfStop guards against requests that the end of a stop cuts without an answer, and against telling their
// callers that they have not run.
func TestTroubleEndOfStop(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for _, c := range []struct {
		desc, path string
		begin      func(w net.Conn, r *http.Request)
		status     int
		cut        bool
	}{
		{"request", "/once/1", func(net.Conn, *http.Request) {}, http.StatusBadGateway, false},
		{"request that may be repeated", "/safe/1", func(net.Conn, *http.Request) {}, http.StatusBadGateway, false},
		{"answer in part", "/once/1", func(w net.Conn, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\npart")
		}, http.StatusBadGateway, false},
		{"stream before its first event", "/stream/1", streamHead, http.StatusBadGateway, false},
		{"stream", "/stream/1", func(w net.Conn, r *http.Request) {
			streamHead(w, r)
			writeEvent(w, 1)
		}, http.StatusOK, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) {
				c.begin(w, r)
				<-release
			})
			s := startSystem(t, unreachedTimeoutMs, e)
			answered := make(chan reply, 1)
			go func() { answered <- s.call(t, c.path) }()
			waitFor(t, func() bool { return totalRequests(e) == 1 })
			time.Sleep(20 * time.Millisecond)
			s.RefuseRequests()
			s.EndRequests()
			got := <-answered
			if got.status != c.status || got.cut != c.cut {
				t.Errorf("status %d, cut %v; want %d and %v", got.status, got.cut, c.status, c.cut)
			}
			if !c.cut && !strings.Contains(got.body, string(entry.ShuttingDown)) {
				t.Errorf("reason %q", got.body)
			}
			if n := totalRequests(e); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
			}
		})
	}
}
