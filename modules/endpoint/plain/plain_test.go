package plain_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chivewind/chivewind/config"
	"github.com/chivewind/chivewind/endpoint"
	"github.com/chivewind/chivewind/internal/responsehead/headtest"
	standin "github.com/chivewind/chivewind/internal/standin/plain"
	"github.com/chivewind/chivewind/modules/endpoint/plain"
	"github.com/chivewind/chivewind/peer"
)

// recorder is a sink that records what it receives.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) Head(status int, h http.Header) error {
	r.status = status
	r.header = h
	return nil
}

func (r *recorder) Body(p []byte) error {
	r.body.Write(p)
	return nil
}

func (r *recorder) Event(endpoint.Event) error { return nil }
func (r *recorder) Flush() error               { return nil }

func attempt(url, method, body string) *endpoint.Attempt {
	return &endpoint.Attempt{
		Request: &endpoint.Request{
			ID: "request-1", Workspace: "registry", Method: method, Path: "/services/fees/a%2Fb", RawQuery: "year=2026",
			Header: http.Header{"Idempotency-Key": {"key-1"}, "Authorization": {"Bearer secret"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
			Body:   []byte(body), NonIdempotent: method == http.MethodPost,
		},
		Endpoint: config.Endpoint{ID: "fees-1", URL: url}, Number: 1,
		FirstTokenTimeout: 500 * time.Millisecond, InterTokenTimeout: 500 * time.Millisecond,
	}
}

// Guards against a wrong result of an attempt, which would cause a second run of a non-idempotent request
// or a request that is wrongly reported as not run.
func TestContract(t *testing.T) {
	cases := []struct {
		desc    string
		faults  standin.Faults
		down    bool
		want    endpoint.Result
		outcome peer.Outcome
		runs    int
	}{
		{desc: "answer", want: endpoint.Result{Sent: true, Complete: true, Status: 200}, outcome: peer.Outcome_OUTCOME_COMPLETED, runs: 1},
		{desc: "error of the service", faults: standin.Faults{Status: 500}, want: endpoint.Result{Sent: true, Complete: true, Status: 500}, outcome: peer.Outcome_OUTCOME_FAILED, runs: 1},
		{desc: "refusal of the service", faults: standin.Faults{Status: 404}, want: endpoint.Result{Sent: true, Complete: true, Status: 404}, outcome: peer.Outcome_OUTCOME_COMPLETED, runs: 1},
		{desc: "quota of the service", faults: standin.Faults{Status: 429}, want: endpoint.Result{Sent: true, Complete: true, Status: 429}, outcome: peer.Outcome_OUTCOME_COMPLETED, runs: 1},
		{desc: "connection refused", down: true, want: endpoint.Result{}, outcome: peer.Outcome_OUTCOME_NOT_SENT},
		{desc: "503 not run", faults: standin.Faults{Refuse: true}, want: endpoint.Result{Sent: true, NotRun: true, Status: 503, RetryAfter: time.Second}, outcome: peer.Outcome_OUTCOME_REFUSED},
		{desc: "crash before the run", faults: standin.Faults{CutBeforeRun: true}, want: endpoint.Result{Sent: true, Crashed: true}, outcome: peer.Outcome_OUTCOME_CRASHED},
		{desc: "crash after the run", faults: standin.Faults{CutAfterRun: true}, want: endpoint.Result{Sent: true, Crashed: true}, outcome: peer.Outcome_OUTCOME_CRASHED, runs: 1},
		{desc: "silence after the run", faults: standin.Faults{Silent: true}, want: endpoint.Result{Sent: true, Timeout: endpoint.TimeoutFirstToken}, outcome: peer.Outcome_OUTCOME_FAILED, runs: 1},
		{desc: "slow within the limit", faults: standin.Faults{DelayMS: 20}, want: endpoint.Result{Sent: true, Complete: true, Status: 200}, outcome: peer.Outcome_OUTCOME_COMPLETED, runs: 1},
		{desc: "truncated answer", faults: standin.Faults{Truncate: true}, want: endpoint.Result{Sent: true, Crashed: true, Status: 200}, outcome: peer.Outcome_OUTCOME_CRASHED, runs: 1},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(c.desc+" "+method, func(t *testing.T) {
				t.Parallel()
				s, err := standin.Start(standin.Options{Name: "fees"})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				s.SetFaults(c.faults)
				if c.down {
					s.Crash(0)
				}
				r := &recorder{}
				got := plain.New().Do(context.Background(), attempt(s.URL(), method, "body"), r)
				got.Err = nil
				got.FirstTokenAfter = 0
				if got != c.want || got.Outcome() != c.outcome {
					t.Errorf("got %+v, %v\nwant %+v, %v", got, got.Outcome(), c.want, c.outcome)
				}
				if runs := s.RunsByKey("key-1"); runs != c.runs {
					t.Errorf("ran %d times, want %d", runs, c.runs)
				}
			})
		}
	}
}

// Guards against requests that reach the service with a changed path, query or body, with hop-by-hop
// headers, or with the client's API key.
func TestPassedAsIs(t *testing.T) {
	var seen *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { seen = r }))
	defer server.Close()
	if got := plain.New().Do(context.Background(), attempt(server.URL, http.MethodPut, "body"), &recorder{}); !got.Complete {
		t.Fatalf("got %+v", got)
	}
	h := seen.Header
	if seen.URL.EscapedPath() != "/services/fees/a%2Fb" || seen.URL.RawQuery != "year=2026" || seen.ContentLength != 4 {
		t.Errorf("got %s, length %d", seen.URL, seen.ContentLength)
	}
	if h.Get("Authorization") != "" || h.Get("X-Hop") != "" || h.Get("User-Agent") != "" {
		t.Errorf("headers passed on: %v", h)
	}
	if h.Get("X-Request-Id") != "request-1" || h.Get("X-Chivewind-Workspace") != "registry" || h.Get("Idempotency-Key") != "key-1" {
		t.Errorf("headers missing: %v", h)
	}
}

// Guards against an empty body that is sent with a chunked encoding, which some services reject.
func TestEmptyBody(t *testing.T) {
	var seen *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { seen = r }))
	defer server.Close()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions} {
		if got := plain.New().Do(context.Background(), attempt(server.URL, method, ""), &recorder{}); !got.Complete {
			t.Errorf("%s: %+v", method, got)
		}
		if seen.ContentLength != 0 || len(seen.TransferEncoding) > 0 || seen.Method != method {
			t.Errorf("%s: length %d, encoding %v", method, seen.ContentLength, seen.TransferEncoding)
		}
	}
}

// Guards against an HTTP client that automatically resends a request after the service closed its pooled
// connection without a response.
func TestClientNeverRepeats(t *testing.T) {
	server, arrived := abortingServer(t)
	k := plain.New()
	a := attempt(server.URL, http.MethodGet, "")
	if got := k.Do(context.Background(), a, &recorder{}); !got.Complete {
		t.Fatalf("first request: %+v", got)
	}
	got := k.Do(context.Background(), a, &recorder{})
	if !got.Sent || got.Complete || got.Crashed || !got.Stale {
		t.Errorf("second request on the pooled connection: %+v", got)
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

// abortingServer starts a server that answers its first request and then closes the connection of each further one. It
// counts the requests.
func abortingServer(t *testing.T) (*httptest.Server, *atomic.Int32) {
	arrived := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server, arrived
}

// Guards against a second run of a request without a body whose answer was lost on a pooled connection: the HTTP client
// takes an idempotency key for permission to resend the request, although the service may ignore the key.
func TestTroubleLostAnswerIsNotRepeated(t *testing.T) {
	for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		server, arrived := abortingServer(t)
		k := plain.New()
		a := attempt(server.URL, http.MethodPut, "")
		a.Request.Header = http.Header{header: {"key-1"}}
		if got := k.Do(context.Background(), a, &recorder{}); !got.Complete {
			t.Fatalf("%s: first request: %+v", header, got)
		}
		if got := k.Do(context.Background(), a, &recorder{}); !got.Sent || got.Complete || got.NotRun {
			t.Errorf("%s: request without an answer: %+v", header, got)
		}
		if n := arrived.Load(); n != 2 {
			t.Errorf("%s: %d requests arrived, want 2", header, n)
		}
	}
}

// Guards against an earlier refusal that a service writes once more on the same connection and that is taken for the
// answer to a request which the service runs.
func TestTroubleRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, refusal)
		for {
			if _, err := http.ReadRequest(buf.Reader); err != nil {
				return
			}
			runs.Add(1)
			_, _ = io.WriteString(c, refusal+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	defer server.Close()
	k := plain.New()
	for i := range 4 {
		before := runs.Load()
		if got := k.Do(context.Background(), attempt(server.URL, http.MethodGet, ""), &recorder{}); got.NotRun && runs.Load() > before {
			t.Errorf("request %d ran and is reported as not run", i)
		}
	}
}

// Guards against a response whose head is cut off and that is taken for a complete one with an empty or short body.
func TestTroubleTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 17\r\n\r\n"
	var length atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, head[:length.Load()])
		_ = c.Close()
	}))
	defer server.Close()
	k := plain.New()
	for n := range len(head) + 1 {
		length.Store(int64(n))
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			if got := k.Do(context.Background(), attempt(server.URL, method, ""), &recorder{}); got.Complete || got.NotRun {
				t.Errorf("%s, head ends after %d bytes: %+v", method, n, got)
			}
		}
	}
}

// Guards against a response with an invalid head that is passed on or taken for a complete one.
func TestTroubleInvalidHead(t *testing.T) {
	answers := append(headtest.Heads("Content-Length: 0\r\n"), "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
	for _, head := range headtest.Heads("Content-Length: 6\r\n") {
		answers = append(answers, head+"\r\nanswer")
	}
	for _, answer := range answers {
		url := headtest.StartServer(t, answer+"\r\n")
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			r := &recorder{}
			got := plain.New().Do(context.Background(), attempt(url, method, ""), r)
			if got.Complete || !got.MayHaveRun() || got.Outcome() != peer.Outcome_OUTCOME_FAILED || r.header != nil {
				t.Errorf("%q, %s: %+v, status %d passed on", answer, method, got, r.status)
			}
		}
	}
}

// Guards against a response without a length or an end marker that is taken for complete when its
// connection closes.
func TestLengthUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buf.WriteString("HTTP/1.0 200 OK\r\n\r\nhalf an ans")
		_ = buf.Flush()
		_ = c.Close()
	}))
	defer server.Close()
	got := plain.New().Do(context.Background(), attempt(server.URL, http.MethodGet, ""), &recorder{})
	if got.Complete || got.Err == nil || !strings.Contains(got.Err.Error(), "neither") {
		t.Errorf("got %+v", got)
	}
}

// Guards against a response without a length that is taken for complete although the service reset the connection while
// the request was being written.
func TestTroubleResetWhileWriting(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		// The client has to read the part before the reset.
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}))
	defer server.Close()
	for range 10 {
		got := plain.New().Do(context.Background(), attempt(server.URL, http.MethodPost, strings.Repeat("x", 16<<20)), &recorder{})
		if got.Complete || !got.MayHaveRun() {
			t.Errorf("%+v", got)
		}
	}
}

// Guards against a non-idempotent request on a pooled connection. The service may be closing it at that
// moment, which would make the outcome of the request unknown for no reason.
func TestNonIdempotentFreshConnection(t *testing.T) {
	connections := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
	}))
	defer server.Close()
	k := plain.New()
	a := attempt(server.URL, http.MethodPost, "")
	a.Request.NonIdempotent = true
	const requests = 3
	for range requests {
		if got := k.Do(context.Background(), a, &recorder{}); !got.Complete {
			t.Fatalf("%+v", got)
		}
	}
	if len(connections) != requests {
		t.Errorf("%d requests used %d connections", requests, len(connections))
	}
}
