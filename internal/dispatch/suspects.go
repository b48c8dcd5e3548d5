package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/peer"
)

// announceTimeout bounds the wait for members before a failure is returned to the caller.
const announceTimeout = 500 * time.Millisecond

// suspects guards the table of suspects.
type suspects struct {
	mu    sync.Mutex
	table *poison.Table
	// known is the number of entries.
	known metrics.Gauge
}

func (s *suspects) crashes(f poison.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Crashes(time.Now(), f)
}

func (s *suspects) apply(p *peer.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.known.Update(int64(s.table.Len())) }()
	if p.Cleared {
		s.table.Clear(poison.Fingerprint(p.Fingerprint))
		return
	}
	s.table.Add(time.Now(), poison.Fingerprint(p.Fingerprint), p.Endpoint, p.CrashId)
}

// announceDelay is the time in which suspects are collected into one announcement. Many requests fail
// at once when an availability zone does, and each announcement goes to every daemon.
const announceDelay = 10 * time.Millisecond

// announcement is a list of suspects that goes to all daemons at once.
type announcement struct {
	suspects []*peer.Suspect
	// done is closed when the announcement has been sent.
	done chan struct{}
}

// announcements collects suspects. open is the announcement that is not yet under way.
type announcements struct {
	mu   sync.Mutex
	open *announcement
}

// announce adds a suspect to the open announcement and returns the channel that tells its end.
func (d *Dispatcher) announce(p *peer.Suspect) <-chan struct{} {
	d.announcements.mu.Lock()
	defer d.announcements.mu.Unlock()
	a := d.announcements.open
	if a == nil {
		a = &announcement{done: make(chan struct{})}
		d.announcements.open = a
		time.AfterFunc(announceDelay, func() { d.send(a) })
	}
	a.suspects = append(a.suspects, p)
	return a.done
}

// send ends the collection and sends the announcement.
func (d *Dispatcher) send(a *announcement) {
	defer close(a.done)
	d.announcements.mu.Lock()
	d.announcements.open = nil
	d.announcements.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := d.o.Announcer.Announce(ctx, &peer.AnnounceRequest{From: d.o.MemberID, Suspects: a.suspects}); err != nil {
		d.o.Log.Warn("announce suspects", "count", len(a.suspects), "error", err)
	}
}

// tell records a suspect here and announces it to the other daemons.
func (r *run) tell(p *peer.Suspect) {
	r.d.suspects.apply(p)
	if r.d.o.Announcer != nil {
		r.announced = append(r.announced, r.d.announce(p))
	}
}

// awaitAnnounced waits until the request's suspects are announced, so that a repetition through
// another daemon meets them there. A crashed daemon's silence is bounded by announceTimeout.
func (r *run) awaitAnnounced() {
	for _, done := range r.announced {
		<-done
	}
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
