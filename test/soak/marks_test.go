package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// markGrace is the time after an answer with a mark from which requests of the same daemon count. The stated bound for
	// endpoints that leave is longer.
	markGrace = 500 * time.Millisecond
	// pauseTime is the pause that an endpoint asks for.
	pauseTime = 2 * time.Second
	// maxPausedRequests is the number of requests of one daemon that may still arrive during a pause.
	maxPausedRequests = 2
)

// mark is what an instance of an endpoint told a daemon in an answer.
type mark struct {
	at time.Time
	// until is the end of a pause; zero if the instance is leaving.
	until time.Time
	// epoch is the number of disturbances of the daemon until then. A later one excuses its requests.
	epoch int
	// arrivals counts the requests that count against the mark.
	arrivals int
}

// markKey identifies the daemon and the instance of a mark.
type markKey struct {
	daemon, instance string
	pause            bool
}

// sender is the daemon to which a caller sent an attempt, and when.
type sender struct {
	daemon *daemon
	at     time.Time
}

// leaveFor makes the current instance say in all its answers that it is leaving, and replaces it after a time. Until
// then the store lists it as ready.
func (e *endpoint) leaveFor(s *system, duration time.Duration) {
	e.mu.Lock()
	leaving := e.instanceID()
	e.leaving = leaving
	e.mu.Unlock()
	time.AfterFunc(duration, func() {
		if e.id() == leaving {
			e.replace(s)
		}
	})
}

// pauseFor makes the endpoint reject requests with a pause for the given time.
func (e *endpoint) pauseFor(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausingUntil = time.Now().Add(duration)
}

// addMarks adds to the header of an answer what an instance says about itself, and counts the request against what it
// has said to the daemon before. It returns true if the request is rejected.
func (e *endpoint) addMarks(instance, attempt string, h http.Header) bool {
	e.mu.Lock()
	leaving, pausing := e.leaving == instance, time.Now().Before(e.pausingUntil)
	e.mu.Unlock()
	s := e.s
	s.mu.Lock()
	defer s.mu.Unlock()
	from, ok := s.senders[attempt]
	if !ok {
		return false
	}
	now, epoch := time.Now(), from.daemon.epoch.Load()
	for _, pause := range []bool{false, true} {
		m := s.marks[markKey{from.daemon.name, instance, pause}]
		switch {
		case m == nil || m.epoch != int(epoch):
		case pause && now.Sub(m.at) > markGrace && now.Before(m.until), !pause && from.at.Sub(m.at) > markGrace:
			m.arrivals++
		}
	}
	key := markKey{from.daemon.name, instance, pausing}
	old := s.marks[key]
	switch {
	case pausing:
		h.Set("Retry-After", fmt.Sprint(pauseTime.Seconds()))
		h.Set("Not-Executed", "1")
		if old == nil || now.After(old.until) || old.epoch != int(epoch) {
			s.closeMark(key)
			s.marks[key] = &mark{at: now, until: now.Add(pauseTime), epoch: int(epoch)}
		}
	case leaving:
		h.Set("Server-Leaving", "1")
		if old == nil || old.epoch != int(epoch) {
			s.closeMark(key)
			s.marks[key] = &mark{at: now, epoch: int(epoch)}
		}
	}
	return pausing
}

// closeMark records the violations of a mark that is replaced. s.mu must be held.
func (s *system) closeMark(key markKey) {
	m := s.marks[key]
	switch {
	case m == nil:
		return
	case key.pause && m.arrivals > maxPausedRequests:
		s.markProblems = append(s.markProblems, fmt.Sprintf("%d requests of %s reached %s during a pause", m.arrivals, key.daemon, key.instance))
	case !key.pause && m.arrivals > 0:
		s.markProblems = append(s.markProblems, fmt.Sprintf("%d requests of %s reached %s, which had said that it is leaving", m.arrivals, key.daemon, key.instance))
	}
	s.marksSeen++
	delete(s.marks, key)
}
