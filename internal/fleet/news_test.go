package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// newsBound is half of the 4 s within which an endpoint that is leaving must get no more requests in a large fleet, and
// all of it in a small one.
const newsBound = 2 * time.Second

// simNews is the Reporter of a simulated daemon. It passes on which endpoints are leaving. simFleet.mu guards it.
type simNews struct {
	simReporter
	d *simDaemon
	// learnedAt has the endpoints that the daemon knows to be leaving.
	learnedAt map[uint32]time.Time
	latest    News[uint32]
}

func (r *simNews) FillReport(report *peer.Report, _ bool) {
	r.d.sim.mu.Lock()
	defer r.d.sim.mu.Unlock()
	report.Leaving = r.latest.Latest(time.Now(), 64)
}

func (r *simNews) HandleReport(report *peer.Report) {
	for _, endpoint := range report.Leaving {
		r.learn(endpoint, r.d.ForwardsNews())
	}
}

func (r *simNews) learn(endpoint uint32, report bool) {
	r.d.sim.mu.Lock()
	defer r.d.sim.mu.Unlock()
	if _, known := r.learnedAt[endpoint]; known {
		return
	}
	r.learnedAt[endpoint] = time.Now()
	if report {
		r.latest.Add(time.Now(), endpoint)
	}
}

// checkNews lets a daemon learn that an endpoint is leaving and checks that all others know it after newsBound, and that
// no daemon reports it any more after another newsTTL.
func (s *simFleet) checkNews(desc string, source *simDaemon, endpoint uint32) {
	s.t.Helper()
	source.news.learn(endpoint, true)
	source.RequestReport()
	start := time.Now()
	time.Sleep(newsBound)
	s.mu.Lock()
	longest, uninformed := time.Duration(0), 0
	for _, d := range s.daemons {
		at, known := d.news.learnedAt[endpoint]
		switch {
		case known:
			longest = max(longest, at.Sub(start))
		case !d.dead:
			uninformed++
		}
	}
	s.mu.Unlock()
	s.t.Logf("%d daemons, %s: known everywhere after %s", len(s.daemons), desc, longest)
	if uninformed > 0 {
		s.t.Errorf("%d daemons, %s: %d do not know it after %s", len(s.daemons), desc, uninformed, newsBound)
	}
	time.Sleep(2 * newsTTL)
	for _, d := range s.daemons {
		report := &peer.Report{}
		d.news.FillReport(report, false)
		if !d.dead && slices.Contains(report.Leaving, endpoint) {
			s.t.Errorf("%d daemons, %s: %s still reports it", len(s.daemons), desc, d.opts.Self.Daemon)
		}
	}
}

// TestSpreadOfNews guards against what one daemon has learned from an endpoint and others are not told, and against
// news that a fleet repeats without end.
func TestSpreadOfNews(t *testing.T) {
	warmUp(t)
	for _, n := range []int{8, 30, *simSize} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSim(t, n, 3)
				defer s.stop()
				s.checkNews("no faults", s.entryDaemon(), 1)
				s.checkNews("learned by a relay", s.relays()[0], 2)
				s.setLoss(0.03)
				s.checkNews("3% loss", s.entryDaemon(), 3)
				for _, d := range s.daemons {
					d.silenceStore()
				}
				s.checkNews("store silent", s.entryDaemon(), 4)
				source := s.entryDaemon()
				s.relays()[0].kill()
				s.checkNews("a relay lost", source, 5)
			})
		})
	}
}
