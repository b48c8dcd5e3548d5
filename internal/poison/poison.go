// Package poison keeps the table of requests that ran on an endpoint when it crashed. It is pure:
// the time is passed in, and callers serialize all calls.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Expiry is how long a crash counts.
	Expiry = 10 * time.Minute
	// Limit is the number of crashes from which on a request is stopped.
	Limit = 2
	// DefaultSize bounds the table; the oldest entry makes room for a new one.
	DefaultSize = 10000
	// sameCrashWindow is the time within which reports about one endpoint describe the same crash:
	// several daemons, or several copies of one request, see it at slightly different times.
	sameCrashWindow = 3 * time.Second
)

// Fingerprint identifies a request's content across daemons and retries.
type Fingerprint uint64

// Of returns the fingerprint of a workspace's request. The target is the method with path and query:
// many requests have no body, and those to other targets are other requests.
func Of(workspace, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{workspace, target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// crash is one crash of an endpoint while the request ran there.
type crash struct {
	id       string
	endpoint string
	at       time.Time
	cleared  bool
}

type record struct {
	crashes []crash
	newest  time.Time
}

// Table maps fingerprints to the crashes that they were present at.
type Table struct {
	size    int
	entries map[Fingerprint]*record
}

// New returns an empty table of at most size entries; 0 means DefaultSize.
func New(size int) *Table {
	if size <= 0 {
		size = DefaultSize
	}
	return &Table{size: size, entries: map[Fingerprint]*record{}}
}

// Add records that a request ran on an endpoint when it crashed. It returns false for a crash that
// is already known.
func (t *Table) Add(now time.Time, f Fingerprint, endpoint, crashID string) bool {
	e := t.entries[f]
	if e == nil {
		t.evict(now)
		e = &record{}
		t.entries[f] = e
	}
	e.expire(now)
	for _, c := range e.crashes {
		if c.id == crashID || (c.endpoint == endpoint && now.Sub(c.at) < sameCrashWindow) {
			return false
		}
	}
	e.crashes = append(e.crashes, crash{id: crashID, endpoint: endpoint, at: now})
	e.newest = now
	return true
}

// Clear records that the request completed apart from other suspects. Crashes so far no longer
// count, also when they are reported again.
func (t *Table) Clear(f Fingerprint) {
	e := t.entries[f]
	if e == nil {
		return
	}
	for i := range e.crashes {
		e.crashes[i].cleared = true
	}
}

// Crashes counts the crashes of a request that are neither cleared nor expired.
func (t *Table) Crashes(now time.Time, f Fingerprint) int {
	e := t.entries[f]
	if e == nil {
		return 0
	}
	e.expire(now)
	if len(e.crashes) == 0 {
		delete(t.entries, f)
		return 0
	}
	n := 0
	for _, c := range e.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

func (e *record) expire(now time.Time) {
	kept := e.crashes[:0]
	for _, c := range e.crashes {
		if now.Sub(c.at) < Expiry {
			kept = append(kept, c)
		}
	}
	e.crashes = kept
}

// evict drops expired entries when the table is full, else the one with the oldest crash.
func (t *Table) evict(now time.Time) {
	if len(t.entries) < t.size {
		return
	}
	var oldest Fingerprint
	var found bool
	for f, e := range t.entries {
		if now.Sub(e.newest) >= Expiry {
			delete(t.entries, f)
			continue
		}
		if !found || e.newest.Before(t.entries[oldest].newest) {
			oldest, found = f, true
		}
	}
	if found && len(t.entries) >= t.size {
		delete(t.entries, oldest)
	}
}
