package entry_test

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"

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

// TestSchedulerLearnsOfDrainingLate guards against requests that a daemon sends to an endpoint which it knows as draining,
// because the scheduler does not know it yet.
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
