package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// headRoutes are paths of routes whose answers are read in different ways.
var headRoutes = []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"}

// checkInvalidHead calls a system whose only endpoint answers with an invalid head, and checks that no caller gets that
// as an answer, waits for its route's timeout, or is told that the request has not run.
func checkInvalidHead(t *testing.T, answer func(w net.Conn, r *http.Request)) {
	t.Helper()
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { answer(w, r) })
	s := startSystem(t, unreachedTimeoutMs, e)
	for _, path := range headRoutes {
		start := time.Now()
		got := s.call(t, path)
		if got.status != http.StatusBadGateway {
			t.Errorf("%s: status %d, cut %v, body %q; want 502", path, got.status, got.cut, got.body)
		}
		if took := time.Since(start); took > unreachedTimeoutMs*time.Millisecond/2 {
			t.Errorf("%s: ended after %s", path, took)
		}
	}
}

// invalidFields are the fields of a head that is invalid, or that follows an invalid one.
type invalidFields struct{ before, fields, body string }

// checkInvalidFields calls checkInvalidHead for each answer, after which the endpoint closes the connection.
func checkInvalidFields(t *testing.T, answers []invalidFields) {
	t.Helper()
	for _, a := range answers {
		t.Run(fmt.Sprintf("%.60q", a.before+a.fields), func(t *testing.T) {
			t.Parallel()
			checkInvalidHead(t, func(w net.Conn, r *http.Request) {
				fmt.Fprintf(w, "%sHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n%s\r\n\r\n%s", a.before, r.Header.Get("Attempt-Id"), a.fields, a.body)
				_ = w.Close()
			})
		})
	}
}

// TestTroubleInvalidStatus guards against an answer whose status is invalid: it must not be delivered, and what follows its
// head must not be taken for another answer.
func TestTroubleInvalidStatus(t *testing.T) {
	bodies := map[string]string{
		"no body":            "",
		"body":               "broken",
		"body like a head":   "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nbad",
		"body like a stream": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
	}
	for _, status := range []string{"000", "-00", "+20", "001", "020", "099", "101", "600", "999"} {
		for desc, body := range bodies {
			t.Run(status+" "+desc, func(t *testing.T) {
				t.Parallel()
				checkInvalidHead(t, func(w net.Conn, r *http.Request) {
					fmt.Fprintf(w, "HTTP/1.1 %s X\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Attempt-Id"), len(body), body)
				})
			})
		}
	}
}

// TestTroubleInvalidStatusIsRetried guards against a request that may be repeated and fails although a second endpoint is
// sound.
func TestTroubleInvalidStatusIsRetried(t *testing.T) {
	var arrived atomic.Int64
	serve := func(_ int, w net.Conn, r *http.Request) {
		if arrived.Add(1) == 1 {
			fmt.Fprintf(w, "HTTP/1.1 000 X\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
			return
		}
		writeResponse(w, r, http.StatusOK, "sound")
	}
	s := startSystem(t, unreachedTimeoutMs, startEndpoint(t, "1", serve), startEndpoint(t, "2", serve))
	if got := s.call(t, "/safe/1"); got.status != http.StatusOK || got.body != "sound" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

// TestTroubleInvalidFieldName guards against an answer with a field whose name is no token: other software may read that
// as the field it resembles, so that the end of the body is uncertain.
func TestTroubleInvalidFieldName(t *testing.T) {
	checkInvalidFields(t, []invalidFields{
		{fields: "Content-Length : 6", body: "answer"},
		{fields: "Transfer-Encoding : chunked", body: "6\r\nanswer\r\n0\r\n\r\n"},
		{fields: "Transfer-Encoding : chunked", body: "f\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n"},
		{fields: "X Note: 1\r\nContent-Length: 0"},
		{fields: "X-Note\t: 1\r\nContent-Length: 0"},
		{fields: "X\x00Note: 1\r\nContent-Length: 0"},
		{fields: "X\x1fNote: 1\r\nContent-Length: 0"},
		{fields: "X\x7fNote: 1\r\nContent-Length: 0"},
		{fields: "X\rNote: 1\r\nContent-Length: 0"},
		{fields: "X-N\xc3\xb6te: 1\r\nContent-Length: 0"},
		{fields: "X(Note): 1\r\nContent-Length: 0"},
		{fields: ": 1\r\nContent-Length: 0"},
		{fields: "X-Note\r\nContent-Length: 0"},
		{before: "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n", fields: "Content-Length: 0"},
	})
}

// TestSoundHeads guards against rejecting answers whose heads are unusual but valid.
func TestSoundHeads(t *testing.T) {
	const (
		tokenName = "X!#$%&'*+-.^_`|~09aZ"
		body      = "answer\n with blanks\r\n\r\n\tand lines\n"
	)
	for _, c := range []struct {
		before, field string
		status        int
	}{
		{status: 200, field: tokenName + ": 1"},
		{status: 200, field: "X-Note:"},
		{status: 200, field: "X-Note:\t a  b \t"},
		{status: 200, before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{status: 299}, {status: 418}, {status: 451}, {status: 511}, {status: 599},
	} {
		e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) {
			field := c.field
			if field != "" {
				field += "\r\n"
			}
			fmt.Fprintf(w, "%sHTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", c.before, c.status, r.Header.Get("Attempt-Id"), field, len(body), body)
		})
		s := startSystem(t, unreachedTimeoutMs, e)
		for range 2 {
			if got := s.call(t, "/once/1"); got.status != c.status || got.body != body || got.cut {
				t.Errorf("%d, %q%q: got status %d, body %q, cut %v", c.status, c.before, c.field, got.status, got.body, got.cut)
			}
		}
	}
}

// TestTroubleFoldedField guards against an answer in whose head a line begins with a blank: it continues the line before,
// but other software may read it as a field.
func TestTroubleFoldedField(t *testing.T) {
	checkInvalidFields(t, []invalidFields{
		{fields: "X-Note: 1\r\n Transfer-Encoding: chunked", body: "6\r\nanswer\r\n0\r\n\r\n"},
		{fields: "X-Note: 1\r\n\tTransfer-Encoding: chunked", body: "f\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n"},
		{fields: "X-Note: 1\r\n Content-Length: 6", body: "answer"},
		{fields: "X-Note: 1\n more\nContent-Length: 0"},
		{fields: "X-Note: " + strings.Repeat("x", 3*4096) + "\r\n more\r\nContent-Length: 0"},
		{fields: "Content-Length: 0\r\n \r\nX-Note: 1"},
		{before: "HTTP/1.1 103 Early Hints\r\nX-Note: 1\r\n more\r\n\r\n", fields: "Content-Length: 0"},
	})
}
