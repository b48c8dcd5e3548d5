// Package poison records which requests ran on an endpoint when it crashed, to identify requests that
// cause crashes. It reads no clock and takes no locks: callers pass the time and serialize the calls.
package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Expiry is how long a crash is counted.
	Expiry = 10 * time.Minute
	// CrashLimit is the number of crashes at which a request is rejected.
	CrashLimit = 2
	// certainRequestCrashes is the number of crashes at which a request is rejected until they expire, if they happened at
	// CrashLimit moments or more. With fewer it is rejected for requestBlock after the last crash, so that a request which
	// was present by chance gets another chance soon.
	certainRequestCrashes = 3
	requestBlock          = 30 * time.Second
	// maxRequestCrashes is the number of crashes that are kept for a request.
	maxRequestCrashes = 64
	// DefaultMaxSize is the default maximum number of fingerprints in a table.
	DefaultMaxSize = 10000
	// sameCrashWindow is the time within which reports about an endpoint are taken for the same crash.
	// Several daemons, or several copies of a request, detect it at slightly different times.
	sameCrashWindow = 3 * time.Second
)

// Fingerprint is a hash of a request's content that is equal across daemons and retries.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a workspace's request. target is the method with path and query. It is
// included because many requests have no body and differ only in their target.
func FingerprintOf(workspace, target string, body ...[]byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{workspace, target} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = d.Write(part)
	}
	return Fingerprint(d.Sum64())
}

// crash is one crash of an endpoint while the request ran there.
type crash struct {
	id       string
	endpoint string
	at       time.Time
	// cleared is true if the crash is no longer counted. It is kept until it expires, so that a repeated
	// report of it is recognized.
	cleared bool
}

// record holds the crashes of one fingerprint, oldest first.
type record struct {
	crashes []crash
	// answeredAt is when the request was last known to be answered completely. Earlier crashes do not count.
	answeredAt time.Time
}

// Table maps fingerprints to the crashes during which their requests ran. It is not safe for concurrent
// use.
type Table struct {
	maxSize int
	records map[Fingerprint]*record
	// suspects are the fingerprints with at least CrashLimit crashes that are neither cleared nor, when it was last
	// updated, expired.
	suspects map[Fingerprint]bool
}

// New returns an empty table of at most maxSize fingerprints. If maxSize is 0 or less, the limit is
// DefaultMaxSize.
func New(maxSize int) *Table {
	if maxSize <= 0 {
		maxSize = DefaultMaxSize
	}
	return &Table{maxSize: maxSize, records: map[Fingerprint]*record{}, suspects: map[Fingerprint]bool{}}
}

// Add records that a request ran on an endpoint when the endpoint crashed at a time. It returns false if the crash does
// not count: it has expired, the request was answered since, or it is already recorded, as one with the same ID or one
// of the same endpoint within sameCrashWindow. If the table is full, a new fingerprint replaces the one whose latest
// crash is the oldest.
func (t *Table) Add(now, at time.Time, f Fingerprint, endpoint, crashID string) bool {
	if now.Sub(at) >= Expiry {
		return false
	}
	r := t.records[f]
	if r == nil {
		t.evict(now)
		r = &record{}
		t.records[f] = r
	}
	r.expire(now)
	if !at.After(r.answeredAt) {
		return false
	}
	i := len(r.crashes)
	for n, c := range r.crashes {
		if c.endpoint == endpoint && (c.id == crashID || at.Sub(c.at).Abs() < sameCrashWindow) {
			return false
		}
		if c.at.After(at) {
			i = min(i, n)
		}
	}
	r.crashes = slices.Insert(r.crashes, i, crash{id: crashID, endpoint: endpoint, at: at})
	if len(r.crashes) > maxRequestCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	t.updateSuspect(f, r)
	return true
}

// Answered records that the request was answered completely at a time. It returns whether crashes had been counted
// against it until then.
func (t *Table) Answered(now, at time.Time, f Fingerprint) bool {
	r := t.records[f]
	if r == nil || !at.After(r.answeredAt) {
		return false
	}
	r.expire(now)
	r.answeredAt = at
	cleared := false
	for i := range r.crashes {
		if c := &r.crashes[i]; !c.cleared && !c.at.After(at) {
			c.cleared, cleared = true, true
		}
	}
	t.updateSuspect(f, r)
	return cleared
}

// Clear records that the request completed on an endpoint that ran no other suspect at the same time. A suspect
// is a request that ran on an endpoint when it crashed. The crashes recorded so far are no longer counted, even
// if they are reported again.
func (t *Table) Clear(f Fingerprint) {
	r := t.records[f]
	if r == nil {
		return
	}
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	t.updateSuspect(f, r)
}

// Crashes returns the number of crashes of a request that are neither cleared nor expired.
func (t *Table) Crashes(now time.Time, f Fingerprint) int {
	r := t.records[f]
	if r == nil {
		return 0
	}
	r.expire(now)
	if len(r.crashes) == 0 && now.Sub(r.answeredAt) >= Expiry {
		t.remove(f)
		return 0
	}
	return r.counted()
}

// Rejects reports whether the request must not be sent to an endpoint. Crashes within crashMoment are evidence of one
// common cause, such as a failed rack; a request whose crashes all happened at one moment is rejected only if there are
// certainRequestCrashes of them, and for requestBlock.
func (t *Table) Rejects(now time.Time, f Fingerprint) bool {
	if !t.suspects[f] {
		return false
	}
	r := t.records[f]
	r.expire(now)
	t.updateSuspect(f, r)
	n, moments := 0, 0
	var first, last time.Time
	for _, c := range r.crashes {
		if c.cleared {
			continue
		}
		n++
		if moments == 0 || c.at.Sub(first) >= crashMoment {
			moments++
			first = c.at
		}
		last = c.at
	}
	switch {
	case n >= certainRequestCrashes && moments >= CrashLimit:
		return true
	case n >= certainRequestCrashes || moments >= CrashLimit:
		return now.Sub(last) < requestBlock
	}
	return false
}

// RequestEvidence is a crash that is counted against a request.
type RequestEvidence struct {
	Request           Fingerprint
	Endpoint, CrashID string
	At                time.Time
}

// Evidence returns up to limit of the crashes that are counted against requests with at least CrashLimit of them.
func (t *Table) Evidence(now time.Time, limit int) []RequestEvidence {
	var all []RequestEvidence
	for f := range t.suspects {
		r := t.records[f]
		r.expire(now)
		t.updateSuspect(f, r)
		for _, c := range slices.Backward(r.crashes) {
			if len(all) == limit {
				return all
			}
			if !c.cleared {
				all = append(all, RequestEvidence{Request: f, Endpoint: c.endpoint, CrashID: c.id, At: c.at})
			}
		}
	}
	return all
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.records) }

// counted returns the number of crashes that are not cleared.
func (r *record) counted() int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// newest returns the time of the latest crash or answer.
func (r *record) newest() time.Time {
	if n := len(r.crashes); n > 0 && r.crashes[n-1].at.After(r.answeredAt) {
		return r.crashes[n-1].at
	}
	return r.answeredAt
}

// expire deletes the crashes that are older than Expiry.
func (r *record) expire(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) >= Expiry })
}

func (t *Table) updateSuspect(f Fingerprint, r *record) {
	if r.counted() >= CrashLimit {
		t.suspects[f] = true
	} else {
		delete(t.suspects, f)
	}
}

func (t *Table) remove(f Fingerprint) {
	delete(t.records, f)
	delete(t.suspects, f)
}

// evict makes room for a new record if the table is full. It deletes the expired records, or if there are
// none, the one whose latest crash is the oldest.
func (t *Table) evict(now time.Time) {
	if len(t.records) < t.maxSize {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Time
	var found bool
	for f, r := range t.records {
		at := r.newest()
		if now.Sub(at) >= Expiry {
			t.remove(f)
			continue
		}
		if !found || at.Before(oldestAt) {
			oldest, oldestAt, found = f, at, true
		}
	}
	if found && len(t.records) >= t.maxSize {
		t.remove(oldest)
	}
}
