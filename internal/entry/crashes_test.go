package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/peer"
)

// startCrashingEndpoint starts an endpoint that crashes when it is about to answer a request whose prompt has a part: it
// closes all connections and stops listening. It answers other requests.
func startCrashingEndpoint(t *testing.T, id, part string) *endpoint {
	e := newEndpoint(t, id)
	go e.accept(func(_ int, w net.Conn, r *http.Request) {
		if strings.Contains(r.Header.Get("Prefix-Hash"), part+":") {
			e.crash()
			return
		}
		writeEvents(w, r, 1, 2, true)
	})
	return e
}

// exchangeReports sends a report of each system to the other.
func exchangeReports(a, b *system) {
	for _, pair := range [][2]*system{{a, b}, {b, a}} {
		r := &peer.Report{Daemon: "other"}
		pair[0].FillReport(r, false)
		raw, _ := proto.Marshal(r)
		received := &peer.Report{}
		_ = proto.Unmarshal(raw, received)
		pair[1].HandleReport(received)
	}
}

// prompt returns the headers of a request with shared prompt parts and a part of its own.
func prompt(own int, shared ...string) []string {
	parts := fmt.Sprintf("own%d:5", own)
	for i := len(shared) - 1; i >= 0; i-- {
		parts = shared[i] + ":5," + parts
	}
	return []string{"Attempt-Id", fmt.Sprintf("a%d", own), "Token-Usage", "20,10", "Prefix-Hash", parts}
}

// TestPartThatCrashesEndpoints guards against requests with one prompt part, no two alike, that crash one endpoint after
// the other through different daemons, and against sound requests with their other parts that are rejected with them.
func TestPartThatCrashesEndpoints(t *testing.T) {
	const endpoints = 10
	var all []*endpoint
	for i := range endpoints {
		all = append(all, startCrashingEndpoint(t, fmt.Sprint(i), "deadly"))
	}
	a, b := startSystem(t, unreachedTimeoutMs, all...), startSystem(t, unreachedTimeoutMs, all...)
	crashed := func() (n int) {
		for _, e := range all {
			if e.crashed() {
				n++
			}
		}
		return n
	}
	var rejected reply
	for i := range 2 * endpoints {
		s := []*system{a, b}[i%2]
		before := crashed()
		got := s.call(t, fmt.Sprintf("/model/%d", i), prompt(i, "shared", "deadly")...)
		if crashed() > before {
			if got.status == http.StatusServiceUnavailable {
				t.Fatalf("request %d ran and was answered as not run", i)
			}
			reported := time.Now()
			waitFor(t, func() bool {
				exchangeReports(a, b)
				return time.Since(reported) > 300*time.Millisecond
			})
		} else if got.status == http.StatusServiceUnavailable {
			rejected = got
		}
		for n := range 4 {
			if got := s.call(t, "/model/1", prompt(1000*(n+1)+i, "shared")...); got.status != http.StatusOK {
				t.Fatalf("sound request after %d crashes: status %d, body %q", crashed(), got.status, got.body)
			}
		}
	}
	if n := crashed(); n > 4 {
		t.Errorf("requests with one part crashed %d endpoints", n)
	}
	if rejected.header.Get("Retry-After") == "" {
		t.Errorf("rejected with status %d without Retry-After", rejected.status)
	}
}

// TestLostConnectionsAreNoCrash guards against parts that are rejected because connections break while the endpoints
// keep running.
func TestLostConnectionsAreNoCrash(t *testing.T) {
	var all []*endpoint
	for i := range 6 {
		all = append(all, startEndpoint(t, fmt.Sprint(i), func(_ int, w net.Conn, _ *http.Request) { _ = w.Close() }))
	}
	s := startSystem(t, unreachedTimeoutMs, all...)
	for i := range 8 {
		sent := time.Now()
		if got := s.call(t, fmt.Sprintf("/model/%d", i), prompt(i, "shared")...); got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "crashes") {
			t.Fatalf("request %d was rejected: %s", i, got.body)
		}
		waitFor(t, func() bool { return time.Since(sent) > 300*time.Millisecond })
	}
}

// TestNewsOfPartsReachDaemonsThatStart guards against a daemon that starts after the crashes and sends requests with a
// part that the others reject.
func TestNewsOfPartsReachDaemonsThatStart(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeEvents(w, r, 1, 2, true) })
	old, started := startSystem(t, unreachedTimeoutMs, e), startSystem(t, unreachedTimeoutMs, e)
	key := uint64(poison.PartKeyOf("", "part"))
	for i, age := range []uint32{9000, 8000, 7000} {
		old.HandleReport(&peer.Report{Daemon: "other", PartCrashes: []*peer.PartCrash{{Endpoint: fmt.Sprint(i), Parts: []uint64{key}, AgeMs: age}}})
	}
	known := time.Now()
	waitFor(t, func() bool { return time.Since(known) > 2*time.Second })
	exchangeReports(old, started)
	if got := started.call(t, "/model/1", prompt(1, "part")...); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
	if n := totalRequests(e); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
	started.HandleReport(&peer.Report{Daemon: "other", AnsweredParts: []*peer.AnsweredPart{{Part: key}}})
	if got := started.call(t, "/model/1", prompt(2, "part")...); got.status != http.StatusOK {
		t.Errorf("after an answer elsewhere: status %d, want 200", got.status)
	}
}
