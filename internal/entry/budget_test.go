package entry_test

import (
	"net"
	"net/http"
	"testing"
)

// TestRetriesOfDaemonsThatLearnOfEachOther guards against daemons that together exceed the retry reserve of the fleet,
// because each forgets its retries when it learns of another daemon.
func TestRetriesOfDaemonsThatLearnOfEachOther(t *testing.T) {
	refuse := func(_ int, w net.Conn, r *http.Request) { writeNotRun(w, r) }
	endpoints := []*endpoint{startEndpoint(t, "1", refuse), startEndpoint(t, "2", refuse)}
	var systems []*system
	for range 4 {
		systems = append(systems, startSystem(t, unreachedTimeoutMs, endpoints...))
	}
	calls := 0
	for _, known := range []int{1, 2, 4} {
		for _, s := range systems {
			s.fleet.Daemons = known
			s.Maintain()
			for range 10 {
				s.call(t, "/safe/1")
				calls++
			}
		}
	}
	retries, allowed := totalRequests(endpoints...)-calls, int(retryRatio*float64(calls))+retryReserve
	t.Logf("%d calls, %d retries", calls, retries)
	if retries > allowed {
		t.Errorf("%d retries of %d calls, want at most %d", retries, calls, allowed)
	}
}
