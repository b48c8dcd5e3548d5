package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/peer"
)

// announceTimeout bounds the wait for members before a failure is returned to the caller.
const announceTimeout = 500 * time.Millisecond

// suspects guards the table of suspects.
type suspects struct {
	mu    sync.Mutex
	table *poison.Table
}

func (s *suspects) crashes(f poison.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Crashes(time.Now(), f)
}

func (s *suspects) apply(p *peer.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Cleared {
		s.table.Clear(poison.Fingerprint(p.Fingerprint))
		return
	}
	s.table.Add(time.Now(), poison.Fingerprint(p.Fingerprint), p.Endpoint, p.CrashId)
}

// tell records a suspect here and announces it to the other daemons. The announcement is under way
// when tell returns; wait with run.announced before a failure is returned to the caller.
func (r *run) tell(p *peer.Suspect) {
	r.d.suspects.apply(p)
	if r.d.o.Announcer == nil {
		return
	}
	r.announced.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		req := &peer.AnnounceRequest{From: r.d.o.MemberID, Suspects: []*peer.Suspect{p}}
		if err := r.d.o.Announcer.Announce(ctx, req); err != nil {
			r.d.o.Log.Warn("announce suspect", "endpoint", p.Endpoint, "error", err)
		}
	})
}

// crashed records that an endpoint crashed while it ran the request.
func (r *run) crashed(endpoint string) {
	r.d.counters.crashes.Inc(1)
	r.suspect = true
	r.tell(&peer.Suspect{
		Fingerprint: uint64(r.fingerprint), Endpoint: endpoint, CrashId: r.attemptName(),
	})
}

// cleared tells that the request completed.
func (r *run) cleared() {
	if r.suspect {
		r.tell(&peer.Suspect{Fingerprint: uint64(r.fingerprint), Cleared: true})
	}
}
