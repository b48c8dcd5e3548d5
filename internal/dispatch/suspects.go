package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chivewind/chivewind/internal/poison"
	"github.com/chivewind/chivewind/peer"
)

// announceTimeout limits the time to send one announcement, and thereby how long a failed response to the caller
// is delayed by other members that do not respond.
const announceTimeout = 500 * time.Millisecond

// suspects is the table of requests suspected of crashing endpoints, guarded by a mutex.
type suspects struct {
	mu    sync.Mutex
	table *poison.Table
	// size is the gauge of the number of entries.
	size metrics.Gauge
}

func (s *suspects) crashes(f poison.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Crashes(time.Now(), f)
}

func (s *suspects) apply(p *peer.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.size.Update(int64(s.table.Len())) }()
	if p.Cleared {
		s.table.Clear(poison.Fingerprint(p.Fingerprint))
		return
	}
	now := time.Now()
	s.table.Add(now, now, poison.Fingerprint(p.Fingerprint), p.Endpoint, p.CrashId)
}

// announceDelay is the time during which suspects are batched into one announcement. Many requests fail at
// once when an availability zone fails, and each announcement is sent to every daemon.
const announceDelay = 10 * time.Millisecond

// announcement is a batch of suspects that is sent to all daemons.
type announcement struct {
	suspects []*peer.Suspect
	// done is closed when the announcement has been sent or has failed.
	done chan struct{}
}

// announcements batches suspects. pending is the batch that has not been sent yet; nil means none.
type announcements struct {
	mu      sync.Mutex
	pending *announcement
}

// queueAnnouncement adds a suspect to the pending announcement and returns the announcement's done channel.
func (d *Dispatcher) queueAnnouncement(p *peer.Suspect) <-chan struct{} {
	d.announcements.mu.Lock()
	defer d.announcements.mu.Unlock()
	a := d.announcements.pending
	if a == nil {
		a = &announcement{done: make(chan struct{})}
		d.announcements.pending = a
		time.AfterFunc(announceDelay, func() { d.sendAnnouncement(a) })
	}
	a.suspects = append(a.suspects, p)
	return a.done
}

// sendAnnouncement ends the collection of the pending batch and sends it.
func (d *Dispatcher) sendAnnouncement(a *announcement) {
	defer close(a.done)
	d.announcements.mu.Lock()
	d.announcements.pending = nil
	d.announcements.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := d.opts.Announcer.Announce(ctx, &peer.AnnounceRequest{From: d.opts.MemberID, Suspects: a.suspects}); err != nil {
		d.opts.Log.Warn("failed to announce suspects", "count", len(a.suspects), "error", err)
	}
}

// reportSuspect records a suspect locally and announces it to the other daemons.
func (r *run) reportSuspect(p *peer.Suspect) {
	r.dispatcher.suspects.apply(p)
	if r.dispatcher.opts.Announcer != nil {
		r.pendingAnnouncements = append(r.pendingAnnouncements, r.dispatcher.queueAnnouncement(p))
	}
}

// awaitAnnouncements waits until the announcements about the request have been sent or have failed, so that
// another daemon knows about its crashes when the caller retries there.
func (r *run) awaitAnnouncements() {
	for _, done := range r.pendingAnnouncements {
		<-done
	}
}

// recordCrash records that the endpoint crashed while it ran the request.
func (r *run) recordCrash(endpoint string) {
	r.dispatcher.counters.crashes.Inc(1)
	r.suspected = true
	r.reportSuspect(&peer.Suspect{
		Fingerprint: uint64(r.fingerprint), Endpoint: endpoint, CrashId: r.attemptName(),
	})
}

// clearSuspicion withdraws the suspicion against a request that has completed.
func (r *run) clearSuspicion() {
	if r.suspected {
		r.reportSuspect(&peer.Suspect{Fingerprint: uint64(r.fingerprint), Cleared: true})
	}
}
