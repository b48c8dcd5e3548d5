package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivewind/chivewind/internal/entry"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/platform/managed"
)

// TestSends guards against requests that run more often than their route allows, and against answers that
// promise what is not true: a 503 says that nothing ran.
func TestSends(t *testing.T) {
	reset := func(w net.Conn, _ *http.Request) {
		_ = w.(*net.TCPConn).SetLinger(0)
		_ = w.Close()
	}
	// first is true until the first request of the row that needs it.
	var first atomic.Bool
	first.Store(true)
	for _, c := range []struct {
		desc   string
		path   string
		serve  func(n int, w net.Conn, r *http.Request)
		sends  int
		status int
	}{
		{"served", "/once/1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 200, "x") }, 1, 200},
		{"lost answer, at most once", "/once/1", func(_ int, w net.Conn, r *http.Request) { reset(w, r) }, 1, 502},
		{"lost answer, repeatable", "/safe/1", func(_ int, w net.Conn, r *http.Request) { reset(w, r) }, 2, 502},
		{"refused, at most once", "/once/1", func(_ int, w net.Conn, r *http.Request) { writeNotRun(w, r) }, 3, 503},
		{"refused, one other attempt", "/safe/1", func(_ int, w net.Conn, r *http.Request) { writeNotRun(w, r) }, 2, 503},
		{"own error, at most once", "/once/1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 500, "x") }, 1, 500},
		{"own error, repeatable", "/safe/1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 500, "x") }, 2, 500},
		{"stream not resumable", "/stream/1", func(_ int, w net.Conn, r *http.Request) { reset(w, r) }, 1, 502},
		{"lost answer, then refused", "/safe/1", func(_ int, w net.Conn, r *http.Request) {
			if first.CompareAndSwap(true, false) {
				reset(w, r)
				return
			}
			writeNotRun(w, r)
		}, 2, 502},
		{"success without a stamp", "/once/1", func(_ int, w net.Conn, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 1\r\n\r\nx", r.Header.Get("Attempt-Id"))
		}, 1, 502},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var all []*endpoint
			for i := range 4 {
				all = append(all, startEndpoint(t, strconv.Itoa(i), c.serve))
			}
			got := startSystem(t, unreachedTimeoutMs, all...).call(t, c.path)
			if got.status != c.status || totalRequests(all...) != c.sends {
				t.Errorf("status %d after %d sends, want %d after %d", got.status, totalRequests(all...), c.status, c.sends)
			}
			if own := c.status == 502 || c.status == 503; own && got.header.Get("Server-Stamp") != "" {
				t.Error("an answer of the daemon's own bears an endpoint's stamp")
			}
			if c.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
		})
	}
}

// TestRequestIsUnchanged guards against a request that reaches an endpoint changed, or with the key.
func TestRequestIsUnchanged(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 200, "x") })
	startSystem(t, unreachedTimeoutMs, e).call(t, "/once/%2Fa//b/../c?x=1&x=%20&&y", "X-Other", "kept", "Tenant", "forged")
	r := e.requests()[0]
	body, _ := io.ReadAll(r.Body)
	if r.RequestURI != "/once/%2Fa//b/../c?x=1&x=%20&&y" || string(body) != "body" || r.Host != "h" || r.Method != http.MethodPost {
		t.Errorf("%s %s %s %q", r.Method, r.Host, r.RequestURI, body)
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != "t1" || r.Header.Get("X-Other") != "kept" || r.Header.Get("Expect-Instance") != "s1" {
		t.Errorf("%v", r.Header)
	}
	if left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms")); left <= 0 || left > unreachedTimeoutMs {
		t.Errorf("%d ms left, want at most the route's %d", left, unreachedTimeoutMs)
	}
}

// TestRefusals guards against refusals that a newer configuration might not give, and against a daemon
// without a configuration that says that a route does not exist.
func TestRefusals(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 200, "x") })
	for _, c := range []struct {
		desc   string
		path   string
		key    string
		change func(*system)
		want   int
	}{
		{"no route", "/none/", "k1", func(*system) {}, 404},
		{"unknown key", "/once/", "k9", func(*system) {}, 401},
		{"no route by an old table", "/none/", "k1", func(s *system) { s.fleet.Age = time.Minute }, 503},
		{"unknown key by an old table", "/once/", "k9", func(s *system) { s.fleet.Age = time.Minute }, 503},
		{"no table", "/once/", "k1", func(s *system) { s.fleet.Current = &fleet.View{} }, 503},
		{"stopping", "/once/", "k1", func(s *system) { s.RefuseRequests() }, 503},
		{"no endpoint", "/once/", "k1", func(s *system) { s.SetView(&fleet.View{Table: s.fleet.Current.Table}) }, 503},
	} {
		s := startSystem(t, unreachedTimeoutMs, e)
		c.change(s)
		if got := s.call(t, c.path, "Authorization", "Token "+c.key); got.status != c.want {
			t.Errorf("%s: %d, want %d", c.desc, got.status, c.want)
		}
	}
	if totalRequests(e) != 0 {
		t.Errorf("%d refused requests reached the endpoint", totalRequests(e))
	}
}

// TestBrokenStream guards against a stream that breaks off and looks complete, and against a resumed one
// with missing, repeated or torn events.
func TestBrokenStream(t *testing.T) {
	whole := func(first, last int) string {
		var b strings.Builder
		for id := first; id <= last; id++ {
			fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
		}
		return b.String()
	}
	serve := func(_ int, w net.Conn, r *http.Request) {
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			n, _ := strconv.Atoi(last)
			writeEvents(w, r, n+1, 6, true)
			return
		}
		writeEvents(w, r, 1, 3, false)
	}
	a, b := startEndpoint(t, "1", serve), startEndpoint(t, "2", serve)
	s := startSystem(t, unreachedTimeoutMs, a, b)
	if got := s.call(t, "/stream/1"); !got.cut || got.body != whole(1, 3) {
		t.Errorf("not resumable: cut %v, %q", got.cut, got.body)
	}
	if n := totalRequests(a, b); n != 1 {
		t.Errorf("%d sends of a stream that may not be resumed", n)
	}
	got := s.call(t, "/resume/1")
	if got.cut || got.body != whole(1, 6) {
		t.Errorf("resumable: cut %v, %q", got.cut, got.body)
	}
	if n := totalRequests(a, b); n != 3 {
		t.Errorf("%d sends, want one more and its continuation", n-1)
	}
}

// TestTimeout guards against a caller that is held beyond its route's timeout without a final answer.
func TestTimeout(t *testing.T) {
	for _, c := range []struct {
		path   string
		serve  func(n int, w net.Conn, r *http.Request)
		status int
		cut    bool
	}{
		{"/once/1", func(_ int, w net.Conn, _ *http.Request) {
			_, _ = w.Read(make([]byte, 1))
		}, 504, false},
		{"/stream/1", func(_ int, w net.Conn, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nd\n\n\r\n", r.Header.Get("Attempt-Id"))
			_, _ = w.Read(make([]byte, 1))
		}, 200, true},
	} {
		s := startSystem(t, 300, startEndpoint(t, "1", c.serve))
		if got := s.call(t, c.path); got.status != c.status || got.cut != c.cut {
			t.Errorf("%s: status %d, cut %v; want %d, %v", c.path, got.status, got.cut, c.status, c.cut)
		}
	}
}

// TestCrashingRequest guards against a request that crashes one endpoint after the other when its caller
// sends it again.
func TestCrashingRequest(t *testing.T) {
	var all []*endpoint
	for i := range 6 {
		all = append(all, startEndpoint(t, strconv.Itoa(i), func(_ int, w net.Conn, _ *http.Request) { _ = w.Close() }))
	}
	s := startSystem(t, unreachedTimeoutMs, all...)
	for range 6 {
		s.call(t, "/once/1")
	}
	if n := totalRequests(all...); n > 3 {
		t.Errorf("a request that crashes endpoints reached %d of them", n)
	}
}

// panicWire fails on each request's head.
type panicWire struct{ managed.Wire }

func (panicWire) EndpointHeader(http.Header, entry.Outgoing) http.Header { panic("fault in a test") }

// TestPanicIsReported guards against a fault of the daemon that ends a request without a line or a count.
func TestPanicIsReported(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeResponse(w, r, 200, "x") })
	var log bytes.Buffer
	s := startSystemWith(t, unreachedTimeoutMs, panicWire{}, hclog.New(&hclog.LoggerOptions{Output: &log}), e)
	if got := s.call(t, "/safe/1"); !got.cut {
		t.Errorf("status %d", got.status)
	}
	waitFor(t, func() bool { return s.counter("chivewind_entry_panics_total") == 1 })
	if text := log.String(); !strings.Contains(text, "fault in a test") || !strings.Contains(text, "request=a1") {
		t.Errorf("the log has %q", text)
	}
}
