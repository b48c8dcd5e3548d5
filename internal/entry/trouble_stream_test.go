package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/traffic"
)

// streamHead writes the header of an event stream.
func streamHead(w net.Conn, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt-Id"))
}

// writeEvent writes one event of an event stream.
func writeEvent(w net.Conn, id int) {
	event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
}

// TestTroubleSlowStream guards against cutting a stream that is slow but makes progress: one with pauses far beyond the
// time after which its endpoint counts as unresponsive, and one whose events arrive in pieces.
func TestTroubleSlowStream(t *testing.T) {
	const (
		events = 4
		pause  = 1200 * time.Millisecond
	)
	for _, c := range []struct {
		desc  string
		pause func(w net.Conn)
	}{
		{"silent between events", func(net.Conn) { time.Sleep(pause) }},
		{"comments between events", func(w net.Conn) {
			for range 6 {
				_, _ = io.WriteString(w, "3\r\n: \n\r\n")
				time.Sleep(pause / 6)
			}
		}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) {
				streamHead(w, r)
				for id := 1; id <= events; id++ {
					c.pause(w)
					writeEvent(w, id)
				}
				_, _ = io.WriteString(w, "0\r\n\r\n")
			})
			got := startSystem(t, unreachedTimeoutMs, e).call(t, "/stream/1")
			if got.status != 200 || got.cut || strings.Count(got.body, "data:") != events {
				t.Errorf("status %d, cut %v, body %q; want %d events", got.status, got.cut, got.body, events)
			}
		})
	}
}

// TestTroubleTrickle guards against an answer that arrives a byte now and then and never ends: the request must end at its
// route's timeout, without a claim that it has not run, and must not look complete.
func TestTroubleTrickle(t *testing.T) {
	const (
		timeoutMs = 600
		// margin is the time beyond the timeout that a heavily loaded machine may need.
		margin = 2 * time.Second
	)
	for _, c := range []struct {
		desc, path string
		head       bool
		firstEvent bool
		piece      string
	}{
		{"head", "/once/1", false, false, "x"},
		{"head of a stream", "/stream/1", false, false, "x"},
		{"body", "/once/1", true, false, "1\r\nx\r\n"},
		{"event that never ends", "/stream/1", true, false, "1\r\nx\r\n"},
		{"event that never ends after another one", "/stream/1", true, true, "1\r\nx\r\n"},
		{"event that never ends in a resumable stream", "/resume/1", true, true, "1\r\nx\r\n"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) {
				if c.head {
					streamHead(w, r)
				}
				if c.firstEvent {
					writeEvent(w, 1)
				}
				for _, err := io.WriteString(w, c.piece); err == nil; _, err = io.WriteString(w, c.piece) {
					time.Sleep(20 * time.Millisecond)
				}
			})
			s := startSystem(t, timeoutMs, e)
			start := time.Now()
			got := s.call(t, c.path)
			if took := time.Since(start); took > timeoutMs*time.Millisecond+margin {
				t.Errorf("ended after %s, want %d ms", took, timeoutMs)
			}
			if want := http.StatusGatewayTimeout; !c.firstEvent && got.status != want {
				t.Errorf("status %d, want %d", got.status, want)
			}
			if c.firstEvent && !got.cut {
				t.Errorf("status %d: the stream looks complete", got.status)
			}
			if n := totalRequests(e); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
			}
		})
	}
}

// TestTroubleUnlistedEndpointKeepsItsRequests guards against giving up or repeating requests in progress at an endpoint
// that only did not report for a while: its requests go on, new ones go elsewhere, and it gets requests again as soon as
// it is back.
func TestTroubleUnlistedEndpointKeepsItsRequests(t *testing.T) {
	proceed := make(chan struct{})
	serve := func(_ int, w net.Conn, r *http.Request) {
		if r.URL.Path != "/stream/long" {
			writeResponse(w, r, 200, "x")
			return
		}
		streamHead(w, r)
		writeEvent(w, 1)
		<-proceed
		writeEvent(w, 2)
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
	silent, other := startEndpoint(t, "1", serve), startEndpoint(t, "2", serve)
	s := startSystem(t, unreachedTimeoutMs, silent)
	listed := s.fleet.Current
	long := make(chan reply, 1)
	go func() { long <- s.call(t, "/stream/long") }()
	for totalRequests(silent) == 0 {
		time.Sleep(time.Millisecond)
	}
	replacement := traffic.Endpoint{ID: "s2", Pool: "s", Address: other.address, Zone: "z", Slots: 6}
	s.SetView(&fleet.View{
		Table: listed.Table, Endpoints: map[string]traffic.Endpoint{"s2": replacement}, ByPool: map[string][]traffic.Endpoint{"s": {replacement}},
	})
	if got := s.call(t, "/once/1"); got.status != 200 || totalRequests(other) != 1 {
		t.Errorf("status %d, %d requests at the other endpoint; want 200 and 1", got.status, totalRequests(other))
	}
	s.SetView(listed)
	if got := s.call(t, "/once/2"); got.status != 200 || totalRequests(silent) != 2 {
		t.Errorf("status %d, %d requests at the endpoint that is back; want 200 and 2", got.status, totalRequests(silent))
	}
	close(proceed)
	if got := <-long; got.status != 200 || got.cut || strings.Count(got.body, "data:") != 2 {
		t.Errorf("the request in progress got status %d, cut %v, body %q", got.status, got.cut, got.body)
	}
	if n := totalRequests(silent, other); n != 3 {
		t.Errorf("%d requests arrived, want 3", n)
	}
}
