package fleet

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// simSize is the number of daemons of the largest simulated fleet. The default keeps the tests short; sizes of real
// deployments are 295 and more.
var simSize = flag.Int("daemons", 60, "number of daemons of the largest simulated fleet")

const (
	// spreadBound is half of the 4 s within which a routing table must be in force on all daemons of a large fleet.
	spreadBound = 2 * time.Second
	// deathBound is the time after which callers must not be told the address of a dead daemon.
	deathBound = 2 * time.Second
	// simStartup is the time from the start of the daemons to the first traffic.
	simStartup = 14 * time.Second
	// maxStoreCallsPerSecond is the rate of calls of a fleet at rest.
	maxStoreCallsPerSecond = 10
	// maxControlBytesPerSecond is the traffic that a daemon that is no relay may send to others at rest.
	maxControlBytesPerSecond = 6 << 10
)

// simTable returns a routing table of a version with about the given number of bytes, of which a change of the version
// changes only a few.
func simTable(version, size int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%d\n", version)
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%x.example","prefix":"/%x/","pool":"pool-%d","timeout_ms":%d},`, i, rng.Uint32(), rng.Uint32(), i%3, 1000*(1+i%12))
		if i == 7 {
			fmt.Fprintf(&b, `{"name":"changed-%d"},`, version)
		}
	}
	return b.Bytes()
}

// startSim starts a fleet of n daemons and 240 endpoints and waits until traffic would start.
func startSim(t *testing.T, n int, seed uint64) *simFleet {
	s := newSimFleet(t, seed)
	s.store.put("table", simTable(1, 6<<10))
	for i := range 240 {
		s.store.put(fmt.Sprintf("e/engine-%d", i), []byte("pool-0"))
	}
	s.start(n)
	time.Sleep(simStartup)
	return s
}

// change writes a table and returns the longest time until it is in force on a daemon.
func (s *simFleet) change(version, size int) time.Duration {
	s.store.put("table", simTable(version, size))
	start := time.Now()
	time.Sleep(3 * spreadBound)
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, d := range s.daemons {
		if d.dead {
			continue
		}
		at, ok := d.inForceSince[int64(version)]
		if !ok {
			at = time.Now()
		}
		longest = max(longest, at.Sub(start))
	}
	return longest
}

func (s *simFleet) checkChange(desc string, version, size int) {
	s.t.Helper()
	if took := s.change(version, size); took > spreadBound {
		s.t.Errorf("%d daemons, %s: in force everywhere after %s, want at most %s", len(s.daemons), desc, took, spreadBound)
	}
}

// checkDeath kills daemons and checks that the others do not return their addresses to callers after deathBound.
func (s *simFleet) checkDeath(desc string, victims ...*simDaemon) {
	s.t.Helper()
	for _, v := range victims {
		v.kill()
	}
	time.Sleep(deathBound)
	told := 0
	for _, d := range s.daemons {
		for _, v := range victims {
			if !d.dead && slices.Contains(d.EntryAddresses(v.opts.Self.Zone), v.opts.Self.EntryAddress) {
				told++
				break
			}
		}
	}
	if told > 0 {
		s.t.Errorf("%d daemons, %s: %d still return the address of a dead daemon after %s", len(s.daemons), desc, told, deathBound)
	}
}

// checkComplete checks that every daemon regards all others as live.
func (s *simFleet) checkComplete(desc string) {
	s.t.Helper()
	live, incomplete := 0, 0
	for _, d := range s.daemons {
		if !d.dead {
			live++
		}
	}
	for _, d := range s.daemons {
		if !d.dead && d.liveCount() != live {
			incomplete++
		}
	}
	if incomplete > 0 {
		s.t.Errorf("%d daemons, %s: %d do not regard all others as live", len(s.daemons), desc, incomplete)
	}
}

// liveCount returns the number of daemons that a daemon regards as live, including itself.
func (d *simDaemon) liveCount() int {
	d.Fleet.mu.Lock()
	defer d.Fleet.mu.Unlock()
	return len(d.members.Live(time.Now())) + 1
}

// relays returns the live daemons that regard themselves as relays.
func (s *simFleet) relays() (relays []*simDaemon) {
	for _, d := range s.daemons {
		d.Fleet.mu.Lock()
		if !d.dead && d.members.IsRelay() {
			relays = append(relays, d)
		}
		d.Fleet.mu.Unlock()
	}
	return relays
}

// entryDaemon returns a live daemon that is returned to callers and is no relay.
func (s *simFleet) entryDaemon() *simDaemon {
	relays := s.relays()
	for _, d := range s.daemons {
		if !d.dead && !slices.Contains(relays, d) && slices.Contains(s.daemons[0].EntryAddresses(d.opts.Self.Zone), d.opts.Self.EntryAddress) {
			return d
		}
	}
	s.t.Fatal("no daemon is returned to callers")
	return nil
}

// warmUp creates the shared encoder and decoder outside of the bubbles of virtual time.
func warmUp(t *testing.T) {
	reply, err := compressReply(&peer.SyncReply{Documents: []*peer.Document{{Content: make([]byte, 4*minCompressedBytes)}}})
	if err == nil {
		_, err = decompressReply(reply)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestSpread guards against changes and deaths that take longer to spread the larger the fleet and the routing table
// are, and against traffic and calls to the store that grow with the fleet.
func TestSpread(t *testing.T) {
	warmUp(t)
	for _, n := range append([]int{6, 30}, *simSize) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSim(t, n, 1)
				defer s.stop()
				s.checkComplete("after the start")
				s.checkRest()
				s.checkChange("small table", 2, 6<<10)
				s.checkChange("large table", 3, 229<<10)
				s.checkChange("change of the large table", 4, 229<<10)
				s.checkDeath("one VM lost", s.entryDaemon())
				s.setLoss(0.03)
				s.checkChange("3% loss", 5, 229<<10)
				s.checkDeath("one VM lost with 3% loss", s.entryDaemon())
				time.Sleep(simStartup)
				s.checkComplete("after 3% loss")
			})
		})
	}
}

// checkRest checks calls and bytes of a fleet at rest.
func (s *simFleet) checkRest() {
	s.t.Helper()
	const window = 10 * time.Second
	startCalls, sentBefore := s.store.callCount(), s.bytesSent()
	time.Sleep(window)
	rate := float64(s.store.callCount()-startCalls) / window.Seconds()
	relays, sentAfter := s.relays(), s.bytesSent()
	busiest, relay := 0, 0
	for _, d := range s.daemons {
		sent := (sentAfter[d] - sentBefore[d]) / int(window.Seconds())
		if slices.Contains(relays, d) {
			relay = max(relay, sent)
		} else {
			busiest = max(busiest, sent)
		}
	}
	s.t.Logf("%d daemons: %d calls to the store at the start, %.1f/s at rest; at most %d B/s sent by a relay and %d B/s by others",
		len(s.daemons), startCalls, rate, relay, busiest)
	if rate > maxStoreCallsPerSecond {
		s.t.Errorf("%d daemons: %.1f calls to the store a second at rest, want at most %d", len(s.daemons), rate, maxStoreCallsPerSecond)
	}
	if busiest > maxControlBytesPerSecond {
		s.t.Errorf("%d daemons: %d B/s sent by a daemon that is no relay, want at most %d", len(s.daemons), busiest, maxControlBytesPerSecond)
	}
}

// TestSpreadWithoutRelays guards against a fleet that loses its relays and with them the news of changes and deaths, and
// against one that takes all daemons for dead then.
func TestSpreadWithoutRelays(t *testing.T) {
	warmUp(t)
	for _, n := range []int{30, *simSize} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSim(t, n, 2)
				defer s.stop()
				relays := s.relays()
				if len(relays) != relayCount {
					t.Fatalf("%d relays", len(relays))
				}
				s.checkDeath("one relay lost", relays[0])
				s.checkChange("one relay lost", 2, 229<<10)
				for _, d := range s.relays() {
					d.kill()
				}
				s.checkChange("all relays lost", 3, 229<<10)
				s.checkComplete("after the loss of all relays")
				s.checkDeath("new relays", s.entryDaemon())
			})
		})
	}
}

// TestSpreadWhileRelaysLackTheStore guards against a change that waits until all relays notice that their connections
// to the store have gone silent.
func TestSpreadWhileRelaysLackTheStore(t *testing.T) {
	warmUp(t)
	for _, n := range []int{8, 30, *simSize} {
		for _, offset := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%s", n, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSim(t, n, 2)
					defer s.stop()
					time.Sleep(offset)
					for _, d := range s.relays() {
						d.silenceStore()
					}
					s.checkChange("store silent to the relays", 2, 6<<10)
					s.checkChange("watched by others", 3, 6<<10)
				})
			})
		}
	}
}

// TestSpreadWhileRelaysLoseTheStoreInTurn guards against a change that waits because one relay after the other loses the
// store without an error, each before the loss of the one before has been noticed.
func TestSpreadWhileRelaysLoseTheStoreInTurn(t *testing.T) {
	warmUp(t)
	for _, n := range []int{8, 30, *simSize} {
		for _, gap := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%s", n, gap), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSim(t, n, 4)
					defer s.stop()
					version := 1
					for range 2 {
						for _, d := range s.relays() {
							time.Sleep(gap)
							d.silenceStore()
						}
						version++
						s.checkChange("the last relay has lost the store", version, 6<<10)
					}
				})
			})
		}
	}
}

// TestSpreadAfterSilentOutage guards against a change that waits for calls to the store that were made in the last
// moments of an outage and never get a reply.
func TestSpreadAfterSilentOutage(t *testing.T) {
	warmUp(t)
	const outage = 3300 * time.Millisecond
	for _, n := range []int{8, 30} {
		for _, later := range []time.Duration{0, 400 * time.Millisecond, 1100 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d/%s", n, later), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSim(t, n, 6)
					defer s.stop()
					for _, d := range s.daemons {
						d.silenceStore()
					}
					time.Sleep(outage)
					for _, d := range s.daemons {
						d.restoreStore()
					}
					time.Sleep(later)
					s.checkChange("after the outage", 2, 6<<10)
				})
			})
		}
	}
}
