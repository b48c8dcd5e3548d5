package entry_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/peer"
	"github.com/chivewind/chivewind/traffic"
)

// listAs changes the state in which the view of a system lists an endpoint.
func (s *system) listAs(e *endpoint, state traffic.EndpointState) {
	old := s.fleet.Current
	view := &fleet.View{Table: old.Table, Endpoints: maps.Clone(old.Endpoints), ByPool: map[string][]traffic.Endpoint{}}
	for _, pool := range []string{"s", "m"} {
		info := view.Endpoints[pool+e.id]
		info.State = state
		view.Endpoints[info.ID] = info
		view.ByPool[pool] = slices.DeleteFunc(slices.Clone(old.ByPool[pool]), func(o traffic.Endpoint) bool { return o.ID == info.ID })
		if state == traffic.EndpointReady {
			view.ByPool[pool] = append(view.ByPool[pool], info)
		}
	}
	s.fleet.Current = view
	s.SetView(view)
}

// useViewOf gives a system the view of another one.
func (s *system) useViewOf(other *system) {
	s.fleet.Current = other.fleet.Current
	s.SetView(s.fleet.Current)
}

// TestSchedulerLearnsOfDrainingLate guards against requests that a daemon sends to an endpoint which it knows as
// draining, because the scheduler does not know it yet.
func TestSchedulerLearnsOfDrainingLate(t *testing.T) {
	serve := func(_ int, w net.Conn, r *http.Request) { writeEvents(w, r, 1, 2, true) }
	draining, ready := startEndpoint(t, "1", serve), startEndpoint(t, "2", serve)
	s, scheduler := startSystem(t, unreachedTimeoutMs, draining, ready), startSystem(t, unreachedTimeoutMs, draining, ready)
	s.useScheduler(scheduler, func(*peer.PlaceReply) {})
	s.listAs(draining, traffic.EndpointDraining)
	for i := range 8 {
		if got := s.call(t, "/model/1", prompt(i, fmt.Sprint("shared", i))...); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	if n := totalRequests(draining); n > 0 {
		t.Errorf("%d requests reached the draining endpoint", n)
	}
}

// answerWith writes a response with further header lines.
func answerWith(w io.Writer, r *http.Request, status int, lines, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Attempt-Id"), lines, len(body), body)
}

const leavingLine = "Server-Leaving: 1\r\n"

// TestLeavingEndpointGetsNoRequests guards against requests to an endpoint that has said in an answer, of any status,
// that it is leaving, while the store still lists it as ready, and against a mark that counts for the next user of
// its address.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				lines, body := leavingLine, "id: 1\ndata: 1\n\n"
				if status == http.StatusServiceUnavailable {
					lines += "Not-Executed: 1\r\n"
				}
				leaving := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { answerWith(w, r, status, lines, body) })
				s := startSystem(t, unreachedTimeoutMs, leaving)
				s.call(t, path)
				other := startEndpoint(t, "2", func(_ int, w net.Conn, r *http.Request) { answerWith(w, r, http.StatusOK, "", body) })
				s.useViewOf(startSystem(t, unreachedTimeoutMs, leaving, other))
				for range 6 {
					if got := s.call(t, path); got.status != http.StatusOK {
						t.Errorf("status %d, want that of the other endpoint", got.status)
					}
				}
				if n := totalRequests(leaving); n != 1 {
					t.Errorf("%d requests reached the leaving endpoint, want 1", n)
				}
			})
		}
	}
}

// TestNewsOfLeavingEndpoints guards against daemons that are not told by the others that an endpoint is leaving, and
// against news that are repeated without end.
func TestNewsOfLeavingEndpoints(t *testing.T) {
	leaving := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { answerWith(w, r, http.StatusOK, leavingLine, "body") })
	other := startEndpoint(t, "2", func(_ int, w net.Conn, r *http.Request) { answerWith(w, r, http.StatusOK, "", "body") })
	systems := []*system{startSystem(t, unreachedTimeoutMs, leaving)}
	systems[0].call(t, "/safe/1")
	for range 2 {
		systems = append(systems, startSystem(t, unreachedTimeoutMs, leaving, other))
	}
	systems[0].useViewOf(systems[1])
	exchangeReports(systems[0], systems[1])
	exchangeReports(systems[1], systems[2])
	reported := time.Now()
	for _, s := range systems {
		for range 6 {
			s.call(t, "/safe/1")
		}
	}
	if n := totalRequests(leaving); n != 1 {
		t.Errorf("%d requests reached the leaving endpoint, want 1", n)
	}
	waitFor(t, func() bool { return time.Since(reported) > 2*time.Second })
	r := &peer.Report{}
	systems[1].FillReport(r, false)
	if len(r.Leaving) > 0 {
		t.Error("still reported after 2 s")
	}
}

// TestPlacementUnderWay guards against a request that is sent to an endpoint which has said that it is leaving, or
// that it wants a pause, while a scheduler was choosing it.
func TestPlacementUnderWay(t *testing.T) {
	for desc, lines := range map[string]string{"leaving": leavingLine, "pause": "Not-Executed: 1\r\nRetry-After: 5\r\n"} {
		t.Run(desc, func(t *testing.T) {
			e := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
				if n == 1 {
					answerWith(w, r, http.StatusServiceUnavailable, lines, "")
					return
				}
				writeEvents(w, r, 1, 2, true)
			})
			s, scheduler := startSystem(t, unreachedTimeoutMs, e), startSystem(t, unreachedTimeoutMs, e)
			s.useScheduler(scheduler, func(*peer.PlaceReply) {})
			choose := scheduler.fleet.OnSend
			var once sync.Once
			scheduler.fleet.OnSend = func(d *peer.Datagram) {
				// The scheduler has chosen the endpoint; the first answer of the endpoint arrives before its reply.
				once.Do(func() {
					members := s.fleet.Members
					s.fleet.Members = nil
					s.call(t, "/model/1", prompt(100, "a")...)
					s.fleet.Members = members
				})
				choose(d)
			}
			got := s.call(t, "/model/1", prompt(1, "b")...)
			if n := totalRequests(e); n != 1 || got.status != http.StatusServiceUnavailable {
				t.Errorf("%d requests reached the endpoint, want 1; status %d, want 503", n, got.status)
			}
		})
	}
}

// TestPausedEndpoint guards against requests of any route, and retries, that reach an endpoint during a pause which
// it asked for, and against callers that are told to come back during it.
func TestPausedEndpoint(t *testing.T) {
	pausing := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
		if n == 1 {
			answerWith(w, r, http.StatusServiceUnavailable, "Not-Executed: 1\r\nRetry-After: 3\r\n", "")
			return
		}
		answerWith(w, r, http.StatusOK, "", "id: 1\ndata: 1\n\n")
	})
	s := startSystem(t, unreachedTimeoutMs, pausing)
	s.call(t, "/once/1")
	asked := time.Now()
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
		got := s.call(t, path)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil || after < 1 || after > 4 || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "pause") {
			t.Errorf("%s: status %d, Retry-After %q, body %q", path, got.status, got.header.Get("Retry-After"), got.body)
		}
	}
	if n := totalRequests(pausing); n != 1 {
		t.Errorf("%d requests reached the endpoint before the end of its pause, want 1", n)
	}
	if n := s.counter("chivewind_entry_endpoint_pauses_total"); n != 1 {
		t.Errorf("%d pauses counted", n)
	}
	waitFor(t, func() bool { return time.Since(asked) > 3*time.Second })
	if got := s.call(t, "/once/1"); got.status != http.StatusOK {
		t.Errorf("status %d after the pause", got.status)
	}
}

// TestRefusedByAllEndpoints guards against a request that every endpoint refused without running it, and whose caller
// is not told so.
func TestRefusedByAllEndpoints(t *testing.T) {
	s := startSystem(t, unreachedTimeoutMs, startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeNotRun(w, r) }))
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		if got := s.call(t, path); got.status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, want 503", path, got.status)
		}
	}
}

// TestHeldRequestAfterPause guards against a request that waits for its shared prompt parts and is refused then, because
// an endpoint whose pause has ended meanwhile still counts as paused for it.
func TestHeldRequestAfterPause(t *testing.T) {
	const pause = 2 * time.Second
	release := make(chan struct{})
	events := "id: 1\ndata: 1\n\n"
	pausing := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
		if n == 1 {
			answerWith(w, r, http.StatusServiceUnavailable, fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %v\r\n", pause.Seconds()), "")
			return
		}
		answerWith(w, r, http.StatusOK, "", events)
	})
	busy := startEndpoint(t, "2", func(_ int, w net.Conn, r *http.Request) {
		<-release
		answerWith(w, r, http.StatusOK, leavingLine, events)
	})
	s := startSystem(t, unreachedTimeoutMs, pausing)
	s.call(t, "/model/1", prompt(0, "a")...)
	paused := time.Now()
	s.useViewOf(startSystem(t, unreachedTimeoutMs, pausing, busy))
	statuses := make(chan int, 2)
	call := func(own string) {
		statuses <- s.call(t, "/model/1", "Token-Usage", "5010,10", "Prefix-Hash", "a:5000,"+own+":10").status
	}
	go call("b")
	waitFor(t, func() bool { return totalRequests(busy) == 1 })
	go call("c")
	waitFor(t, func() bool { return s.counter(`chivewind_entry_waits_total{class="streaming-0-5000ms"}`) == 1 })
	waitFor(t, func() bool { return time.Since(paused) > pause })
	close(release)
	for range 2 {
		if got := <-statuses; got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	}
	if n := totalRequests(pausing); n != 2 {
		t.Errorf("%d requests reached the endpoint that was paused, want 2", n)
	}
}
