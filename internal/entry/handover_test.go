package entry_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/peer"
)

// TestTroubleLateScheduler guards against requests that are sent twice, or whose load stays at a scheduler, around a
// hand-over: a scheduler that is paused or whose replies are lost has placed them, their daemon has placed them itself
// meanwhile, and the scheduler's replies arrive later, each twice.
func TestTroubleLateScheduler(t *testing.T) {
	for _, c := range []struct {
		desc string
		// paused is set if the scheduler receives the datagrams of a request only when the request has ended.
		paused bool
	}{{"replies late", false}, {"scheduler paused", true}} {
		t.Run(c.desc, func(t *testing.T) {
			e := startEndpoint(t, "1", func(_ int, w net.Conn, r *http.Request) { writeEvents(w, r, 1, 2, true) })
			s, scheduler := startSystem(t, unreachedTimeoutMs, e), startSystem(t, unreachedTimeoutMs, e)
			var mu sync.Mutex
			var toScheduler, replies []*peer.Datagram
			scheduler.fleet.OnSend = func(d *peer.Datagram) {
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, d)
			}
			s.fleet.Members = []*fleet.Member{{Identity: &peer.Identity{Daemon: "host"}, Incarnation: 1}}
			s.fleet.OnSend = func(d *peer.Datagram) {
				if c.paused {
					mu.Lock()
					defer mu.Unlock()
					toScheduler = append(toScheduler, d)
					return
				}
				scheduler.HandleDatagram(d, netip.AddrPort{})
			}
			for range 2 {
				if got := s.call(t, "/model/1", "Token-Usage", "10,10", "Prefix-Hash", "a:5,b:5"); got.status != http.StatusOK {
					t.Errorf("status %d", got.status)
				}
			}
			mu.Lock()
			late := toScheduler
			mu.Unlock()
			for _, d := range late {
				scheduler.HandleDatagram(d, netip.AddrPort{})
			}
			mu.Lock()
			late = replies
			mu.Unlock()
			if len(late) == 0 {
				t.Fatal("the scheduler placed nothing")
			}
			for _, d := range late {
				s.HandleDatagram(d, netip.AddrPort{})
				s.HandleDatagram(d, netip.AddrPort{})
			}
			time.Sleep(50 * time.Millisecond)
			if n := totalRequests(e); n != 2 {
				t.Errorf("%d requests reached the engine, want 2", n)
			}
			if n := scheduler.RemoteRequests(); n != 0 {
				t.Errorf("the scheduler still counts %d requests", n)
			}
		})
	}
}
