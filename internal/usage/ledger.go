// Package usage counts the requests that endpoints execute by workspace and window of time, collects the counts of all
// daemons, and reports them to the platform.
//
// Ledger is pure: it does no I/O and reads no clock. Task, the duty of one daemon, reports what its Ledger holds.
package usage

import (
	"sync"
	"time"

	"github.com/chivewind/chivewind/peer"
)

const (
	// maxAhead is the number of windows by which the clock of another daemon may be ahead.
	maxAhead = 2
	// silentAfter is the time without a report after which the clock of a process does not count any more, and goneAfter
	// that after which its counts are not waited for. Between the two it may be cut off for a while.
	silentAfter = 5 * time.Second
	goneAfter   = 30 * time.Second
	// maxSealedWindows and maxSealedBytes bound the older windows that are kept in case they still have to be reported:
	// half an hour of windows of 5 s.
	maxSealedWindows = 360
	maxSealedBytes   = 4 << 20
)

// process identifies one incarnation of a daemon.
type process struct {
	daemon      string
	incarnation uint64
}

// source holds the counts of one process.
type source struct {
	// current is the window in which the process made its last report, and heardAt when this daemon received it.
	current int64
	heardAt time.Time
	windows map[int64]*counts
}

// counts are the requests of one process in one window. total is their number as the process states it, and sum the
// number of those in workspaces; it is smaller if reports are missing.
type counts struct {
	total, sum uint32
	workspaces map[string]uint32
}

func (s *source) window(k int64) *counts {
	c := s.windows[k]
	if c == nil {
		c = &counts{workspaces: map[string]uint32{}}
		s.windows[k] = c
	}
	return c
}

// complete reports whether the counts of a window are final and complete.
func (s *source) complete(k int64) bool {
	c := s.windows[k]
	return s.current > k && (c == nil || c.sum >= c.total)
}

// Limits are the lengths of time that determine which windows a Ledger holds.
type Limits struct {
	// Window is the length of a window, and Due the time after its end within which it must be reported.
	Window, Due time.Duration
}

// reported returns the number of windows that a report includes, the current one among them. A daemon that has just
// started and becomes the holder learns from the reports of the others of all windows that may still have to be reported
// in time.
func (l Limits) reported() int64 { return int64((l.Due+l.Window-1)/l.Window) + 2 }

// open returns the number of windows, the current one among them, for which counts are accepted.
func (l Limits) open() int64 { return 2 * l.reported() }

// Ledger holds the counts of this daemon and those that other daemons have reported. It is safe for concurrent use. A
// nil Ledger counts nothing.
type Ledger struct {
	limits Limits

	mu      sync.Mutex
	self    process
	own     *source
	sources map[process]*source
	// sealed holds the encoded counts of windows that are no longer open, from sealedFrom to openFrom-1.
	sealed      map[int64][]byte
	sealedFrom  int64
	sealedBytes int
	openFrom    int64
	out         outbox
}

// NewLedger returns the ledger of a process that starts now.
func NewLedger(daemon string, incarnation uint64, limits Limits, now time.Time) *Ledger {
	l := &Ledger{limits: limits, self: process{daemon, incarnation}, sealed: map[int64][]byte{}}
	l.own = &source{current: l.WindowAt(now), windows: map[int64]*counts{}}
	l.sources = map[process]*source{l.self: l.own}
	l.sealedFrom, l.openFrom = l.own.current, l.own.current
	l.out.start = l.own.current
	return l
}

// WindowAt returns the window at a time of the wall clock.
func (l *Ledger) WindowAt(now time.Time) int64 { return now.UnixNano() / int64(l.limits.Window) }

// EndOf returns the end of a window.
func (l *Ledger) EndOf(k int64) time.Time { return time.Unix(0, (k+1)*int64(l.limits.Window)) }

// Count counts a request that an endpoint has begun to execute. Requests without a workspace are not counted.
func (l *Ledger) Count(now time.Time, workspace string) {
	if l == nil || workspace == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	k := l.WindowAt(now)
	c := l.own.window(k)
	c.total++
	c.sum++
	c.workspaces[workspace]++
	l.out.changed(k, workspace)
}

// HandleReport merges the counts in the report of another daemon. They only grow, so that the largest count is the
// newest, whatever the order in which reports arrive.
func (l *Ledger) HandleReport(now time.Time, r *peer.Report) {
	if l == nil || len(r.Usage) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	p := process{r.Daemon, r.Incarnation}
	if p == l.self {
		return
	}
	s := l.sources[p]
	if s == nil {
		s = &source{windows: map[int64]*counts{}}
		l.sources[p] = s
	}
	newest := l.WindowAt(now) + maxAhead
	s.current, s.heardAt = 0, now
	for _, w := range r.Usage {
		s.current = max(s.current, w.Window)
		if w.Window > newest || w.Window <= newest-maxAhead-l.limits.open() {
			continue
		}
		// A window before the first one of this ledger is learned of from the first reports.
		if len(l.sealed) == 0 && w.Window < l.openFrom {
			l.openFrom, l.sealedFrom = w.Window, w.Window
		}
		if w.Window >= l.openFrom {
			s.window(w.Window).merge(w)
		}
	}
}

func (c *counts) merge(w *peer.WindowUsage) {
	for _, u := range w.Workspaces {
		if u.Workspace == totalEntry {
			c.total = max(c.total, u.Requests)
			continue
		}
		if before := c.workspaces[u.Workspace]; u.Requests > before {
			c.workspaces[u.Workspace] = u.Requests
			c.sum += u.Requests - before
		}
	}
}

// advance seals windows that are no longer open, and drops processes that have been silent since. l.mu must be held.
func (l *Ledger) advance(now time.Time) {
	current := l.WindowAt(now)
	if current < l.openFrom {
		// The clock has been set back. What was sealed of the windows from now on is counted anew.
		for k := range l.sealed {
			if k >= current {
				l.unseal(k)
			}
		}
		l.openFrom, l.sealedFrom = current, min(l.sealedFrom, current)
	}
	openFrom := current - l.limits.open() + 1
	if openFrom <= l.openFrom {
		return
	}
	// After a step of the clock, most windows in between have no counts; the newest ones suffice.
	l.sealedFrom = max(l.sealedFrom, openFrom-maxSealedWindows)
	for k := max(l.openFrom, l.sealedFrom); k < openFrom; k++ {
		l.sealed[k] = encodeCounts(l.sum(k))
		l.sealedBytes += len(l.sealed[k])
	}
	l.openFrom = openFrom
	for p, s := range l.sources {
		for k := range s.windows {
			if k < openFrom {
				delete(s.windows, k)
			}
		}
		if s.current < openFrom && p != l.self && now.Sub(s.heardAt) >= goneAfter {
			delete(l.sources, p)
		}
	}
	for k := range l.sealed {
		if k < l.sealedFrom {
			l.unseal(k)
		}
	}
	for l.sealedBytes > maxSealedBytes {
		l.unseal(l.sealedFrom)
		l.sealedFrom++
	}
}

func (l *Ledger) unseal(k int64) {
	l.sealedBytes -= len(l.sealed[k])
	delete(l.sealed, k)
}

// sum returns the counts of all processes in an open window. l.mu must be held.
func (l *Ledger) sum(k int64) map[string]int {
	requests := map[string]int{}
	for _, s := range l.sources {
		if c := s.windows[k]; c != nil {
			for workspace, n := range c.workspaces {
				requests[workspace] += int(n)
			}
		}
	}
	return requests
}

// Requests returns the counts of a window.
func (l *Ledger) Requests(k int64) (map[string]int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k >= l.openFrom {
		return l.sum(k), nil
	}
	return decodeCounts(l.sealed[k])
}

// First returns the oldest window that the ledger knows.
func (l *Ledger) First() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sealedFrom
}

// Forget drops sealed windows before k.
func (l *Ledger) Forget(k int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for ; l.sealedFrom < min(k, l.openFrom); l.sealedFrom++ {
		l.unseal(l.sealedFrom)
	}
}

// Progress describes what is known of a window.
type Progress int

// The degrees of progress of a window.
const (
	// Running means that for most processes the window has not ended, or that they have not reported since.
	Running Progress = iota
	// Ended means that half of the processes that are heard, or more, have reported after the end of the window.
	Ended
	// Complete means that all processes have, and that no count is missing.
	Complete
)

// Progress returns what is known of a window at time now, which is after its end by the clock of this daemon. Processes
// that are gone and those that have been replaced by a newer one of the same daemon do not count.
func (l *Ledger) Progress(now time.Time, k int64) Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.own.current, l.own.heardAt = l.WindowAt(now), now
	newest := map[string]uint64{}
	for p := range l.sources {
		newest[p.daemon] = max(newest[p.daemon], p.incarnation)
	}
	heard, ended, complete := 0, 0, true
	for p, s := range l.sources {
		silence := now.Sub(s.heardAt)
		if silence >= goneAfter || p.incarnation < newest[p.daemon] {
			continue
		}
		complete = complete && s.complete(k)
		if silence < silentAfter {
			heard++
			if s.current > k {
				ended++
			}
		}
	}
	switch {
	case complete:
		return Complete
	case 2*ended >= heard:
		return Ended
	}
	return Running
}
