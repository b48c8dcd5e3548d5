package fleet

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestEndpointBurst guards against many endpoints that change at the same time and make the relays send more than their
// links carry: reports are lost, the relays seem dead, and all daemons watch the store themselves.
func TestEndpointBurst(t *testing.T) {
	const (
		changes = 400
		// pause is the time between two changes. Hundreds of endpoints that have crashed return within a second.
		pause = 5 * time.Millisecond
		// entryBytes is the size of an endpoint's entry.
		entryBytes = 250
		// maxLinkShare is the share of a relay's link that the news may take; the rest is for requests.
		maxLinkShare = 0.5
	)
	warmUp(t)
	synctest.Test(t, func(t *testing.T) {
		s := startSim(t, *simSize, 3)
		defer s.stop()
		callsBefore, sentBefore, start := s.store.callCount(), s.bytesSent(), time.Now()
		for i := range changes {
			s.store.put(fmt.Sprintf("e/engine-%d", i%240), []byte("pool-"+strings.Repeat("x", entryBytes-i%2)))
			time.Sleep(pause)
		}
		s.checkChange("burst of endpoints", 2, 6<<10)
		// Each relay makes a call for each change, and its usual ones.
		if calls := s.store.callCount() - callsBefore; calls > 2*relayCount*changes {
			t.Errorf("%d calls to the store for %d changes, want at most %d", calls, changes, 2*relayCount*changes)
		}
		sent := s.bytesSent()
		for _, relay := range s.relays() {
			rate := float64(sent[relay]-sentBefore[relay]) / (changes * pause).Seconds()
			t.Logf("%s sent %.0f KB/s in %s", relay.opts.Self.Daemon, rate/1000, time.Since(start))
			if rate > maxLinkShare*relay.class.bytesPerSec {
				t.Errorf("%s sent %.0f KB/s, want at most %.0f", relay.opts.Self.Daemon, rate/1000, maxLinkShare*relay.class.bytesPerSec/1000)
			}
		}
	})
}
