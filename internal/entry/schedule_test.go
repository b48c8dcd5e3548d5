package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/entry"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/internal/placement"
	"github.com/chivewind/chivewind/internal/promtext"
	"github.com/chivewind/chivewind/peer"
)

// TestSilentScheduler guards against requests that fail or keep waiting for a scheduler that does not reply.
func TestSilentScheduler(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeEvents(w, r, 1, 2, true) })
	s := startSystem(t, unreachedTimeoutMs, e)
	s.fleet.Members = []*fleet.Member{{Identity: &peer.Identity{Daemon: "gone"}}}
	placeRequests := 0
	s.fleet.OnSend = func(d *peer.Datagram) {
		if d.GetPlace() != nil {
			placeRequests++
		}
	}
	for range 3 {
		if got := s.call(t, "/model/1", "Token-Usage", "10,10", "Prefix-Hash", "a:5,b:5"); got.status != 200 {
			t.Errorf("status %d without a scheduler", got.status)
		}
	}
	if placeRequests == 0 || placeRequests > 2 {
		t.Errorf("%d place requests to a scheduler that does not reply, want 1 or 2", placeRequests)
	}
}

// useScheduler makes another system the scheduler of s. Each place request is delivered twice, and replied is called
// with each reply.
func (s *system) useScheduler(scheduler *system, replied func(*peer.PlaceReply)) {
	scheduler.fleet.OnSend = func(d *peer.Datagram) {
		replied(d.GetPlaced())
		s.HandleDatagram(d, netip.AddrPort{})
	}
	s.fleet.Members = []*fleet.Member{{Identity: &peer.Identity{Daemon: "host"}, Incarnation: 1}}
	s.fleet.OnSend = func(d *peer.Datagram) {
		scheduler.HandleDatagram(d, netip.AddrPort{})
		if d.GetPlace() != nil {
			scheduler.HandleDatagram(d, netip.AddrPort{})
		}
	}
}

// TestWaitForParts guards against a request that is sent to an engine while the engine still prefills the same shared
// prompt parts for another request, against one that keeps waiting after the prefill, and against load that remains
// accounted for after the deadline of a waiting request.
func TestWaitForParts(t *testing.T) {
	for _, c := range []struct {
		desc               string
		scheduler, expires bool
	}{
		{"placed by the daemon itself", false, false}, {"placed by a scheduler", true, false},
		{"placed by the daemon itself, the deadline passes", false, true}, {"placed by a scheduler, the deadline passes", true, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			release := make(chan struct{})
			e := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
				if n == 1 {
					<-release
				}
				writeEvents(w, r, 1, 2, true)
			})
			s, schedulerSystem := startSystem(t, unreachedTimeoutMs, e), startSystem(t, unreachedTimeoutMs, e)
			if c.scheduler {
				s.useScheduler(schedulerSystem, func(*peer.PlaceReply) {})
			}
			statuses := make(chan int, 2)
			go func() {
				statuses <- s.call(t, "/model/1", "Token-Usage", "5010,10", "Prefix-Hash", "a:5000,b:10").status
			}()
			waitFor(t, func() bool { return totalRequests(e) == 1 })
			go func() {
				deadlineMs := "10000"
				if c.expires {
					deadlineMs = "300"
				}
				statuses <- s.call(t, "/model/2", "Token-Usage", "5010,10", "Prefix-Hash", "a:5000,c:10", "Deadline-Ms", deadlineMs).status
			}()
			if c.expires {
				if got := <-statuses; got != http.StatusServiceUnavailable {
					t.Errorf("status %d for a request that waited until its deadline, want 503", got)
				}
			} else {
				time.Sleep(4 * placement.PlacementRetryInterval)
			}
			if n := totalRequests(e); n != 1 {
				t.Errorf("%d requests reached the engine while it prefilled the parts for the first one", n)
			}
			close(release)
			want := 2
			if c.expires {
				want = 1
			}
			for range want {
				if got := <-statuses; got != http.StatusOK {
					t.Errorf("status %d", got)
				}
			}
			if n := totalRequests(e); n != want {
				t.Errorf("%d requests reached the engine, want %d", n, want)
			}
			for _, system := range []*system{s, schedulerSystem} {
				waitFor(t, func() bool {
					report := &peer.Report{}
					system.FillReport(report, true)
					return len(report.Loads) == 0
				})
			}
		})
	}
}

// TestCallerLeavesWhileWaiting guards against a request that is not counted, or whose handler panics, when its caller
// disconnects before an endpoint has been chosen.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	release := make(chan struct{})
	e := startEndpoint(t, "1", func(n int, w net.Conn, r *http.Request) {
		<-release
		writeEvents(w, r, 1, 2, true)
	})
	s := startSystem(t, unreachedTimeoutMs, e)
	done := make(chan int, 1)
	go func() { done <- s.call(t, "/model/1", "Token-Usage", "5010,10", "Prefix-Hash", "a:5000,b:10").status }()
	waitFor(t, func() bool { return totalRequests(e) == 1 })
	c, err := net.Dial("tcp4", s.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "POST /model/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nAuthorization: Token k1\r\nDeadline-Ms: 10000\r\n"+
		"Token-Usage: 5010,10\r\nPrefix-Hash: a:5000,c:10\r\nContent-Length: 0\r\n\r\n")
	waited := promtext.Name("chivewind_entry_waits_total", "class", "streaming-0-5000ms")
	waitFor(t, func() bool { return s.counter(waited) == 1 })
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	disconnected := promtext.Name("chivewind_entry_requests_total", "class", "streaming-0-5000ms", "status", "0", "reason", string(entry.CallerDisconnected))
	waitFor(t, func() bool { return s.counter(disconnected) == 1 })
	close(release)
	if got := <-done; got != http.StatusOK {
		t.Errorf("status %d for the request that the other one waited for", got)
	}
	if n := totalRequests(e); n != 1 {
		t.Errorf("%d requests reached the engine, want 1", n)
	}
}

// TestScheduler guards against a scheduler and a daemon with different views of a request: it must be sent to the
// endpoint that the scheduler chose, a repeated place request must get the same reply, and the end of the request must
// release its load at the scheduler.
func TestScheduler(t *testing.T) {
	e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeEvents(w, r, 1, 2, true) })
	s, schedulerSystem := startSystem(t, unreachedTimeoutMs, e), startSystem(t, unreachedTimeoutMs, e)
	var replies []*peer.PlaceReply
	s.useScheduler(schedulerSystem, func(r *peer.PlaceReply) { replies = append(replies, r) })
	if got := s.call(t, "/model/1", "Token-Usage", "10,10", "Prefix-Hash", "a:5,b:5"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
	if len(replies) != 2 || replies[0].Endpoint == 0 || replies[0] != replies[1] {
		t.Errorf("replies %v", replies)
	}
	report := &peer.Report{}
	schedulerSystem.FillReport(report, true)
	if len(report.Loads) != 0 {
		t.Errorf("the scheduler reports %v as its own", report.Loads)
	}
}
