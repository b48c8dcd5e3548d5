package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// PartCrashLimit is the number of crashes at which requests with a prompt part are rejected.
	PartCrashLimit = 3
	// crashMoment is the time within which crashes count as one. Endpoints that crash together have a common cause,
	// such as a failed rack, and not one of the requests that they were about to answer.
	crashMoment = 200 * time.Millisecond
	// firstBlock is how long requests with a part are rejected after the last of PartCrashLimit crashes. It doubles with
	// each further crash, so that a part which was suspected wrongly gets another chance soon. From certainCrashes on,
	// where those within crashMoment count as well, they are rejected until the crashes expire.
	firstBlock     = 30 * time.Second
	certainCrashes = 5
	// maxPartCrashes is the number of crashes that are kept for a part.
	maxPartCrashes = 64
)

// PartKey is a hash of a prompt part that is equal across daemons.
type PartKey uint64

// PartKeyOf returns the key of a part of a model's prompt.
func PartKeyOf(model, part string) PartKey {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return PartKey(d.Sum64())
}

// CrashID identifies a crash of an endpoint by the incarnation that crashed.
type CrashID struct {
	Endpoint string
	// StartedAtMs is the start time of the incarnation in Unix milliseconds.
	StartedAtMs uint64
}

// PartTable records the prompt parts of the requests that endpoints were about to answer when they crashed, to identify
// parts that cause crashes. It reads no clock and is not safe for concurrent use.
//
// A part is innocent if a request with it was answered. Of the others, a part is rejected once it was present at
// PartCrashLimit crashes. If several parts were present at the same crashes, it cannot be told which of them is the
// cause, so only requests with all of them are rejected.
type PartTable struct {
	maxSize int
	records map[PartKey]*partRecord
	// present holds the parts that were present at each crash.
	present map[CrashID]*presentParts
	// rejected are the parts with at least PartCrashLimit crashes.
	rejected map[PartKey]bool
}

// presentParts are the parts that were present at a crash.
type presentParts struct {
	at    time.Time
	parts []PartKey
}

// partRecord holds the crashes at which a part was present, oldest first.
type partRecord struct {
	crashes []partCrash
	// answeredAt is when a request with the part was last known to be answered. Earlier crashes do not count.
	answeredAt time.Time
}

type partCrash struct {
	id CrashID
	at time.Time
}

// NewPartTable returns an empty table of at most maxSize parts. If maxSize is 0 or less, the limit is DefaultMaxSize.
func NewPartTable(maxSize int) *PartTable {
	if maxSize <= 0 {
		maxSize = DefaultMaxSize
	}
	return &PartTable{maxSize: maxSize, records: map[PartKey]*partRecord{}, present: map[CrashID]*presentParts{}, rejected: map[PartKey]bool{}}
}

// Add records that an endpoint crashed at a time when it was about to answer a request with the parts. It returns
// whether that was not known of all parts.
func (t *PartTable) Add(now, at time.Time, id CrashID, parts []PartKey) bool {
	added := false
	for _, part := range parts {
		r := t.records[part]
		if r == nil {
			t.makeRoom(now)
			r = &partRecord{}
			t.records[part] = r
		}
		if !r.add(partCrash{id: id, at: at}) {
			continue
		}
		added = true
		t.addPresent(now, at, id, part)
		t.updateRejected(now, part, r)
	}
	return added
}

// add inserts a crash in the order of time, and returns whether it was not known and counts.
func (r *partRecord) add(c partCrash) bool {
	if !c.at.After(r.answeredAt) || slices.ContainsFunc(r.crashes, func(known partCrash) bool { return known.id == c.id }) {
		return false
	}
	i := len(r.crashes)
	for i > 0 && r.crashes[i-1].at.After(c.at) {
		i--
	}
	r.crashes = slices.Insert(r.crashes, i, c)
	if len(r.crashes) > maxPartCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return true
}

// addPresent records that a part was present at a crash. If there are too many crashes, it discards the expired ones, or
// else the oldest.
func (t *PartTable) addPresent(now, at time.Time, id CrashID, part PartKey) {
	p := t.present[id]
	if p == nil {
		if len(t.present) >= t.maxSize {
			var oldest CrashID
			oldestAt := at
			for id, p := range t.present {
				if now.Sub(p.at) >= Expiry {
					delete(t.present, id)
				} else if !p.at.After(oldestAt) {
					oldest, oldestAt = id, p.at
				}
			}
			if len(t.present) >= t.maxSize {
				delete(t.present, oldest)
			}
		}
		p = &presentParts{at: at}
		t.present[id] = p
	}
	if !slices.Contains(p.parts, part) {
		p.parts = append(p.parts, part)
	}
}

// Answered records that a request with the part was answered completely at a time. It returns whether crashes had been
// counted against the part until then.
func (t *PartTable) Answered(now, at time.Time, part PartKey) bool {
	r := t.records[part]
	if r == nil || !at.After(r.answeredAt) || !slices.ContainsFunc(r.crashes, func(c partCrash) bool { return !c.at.After(at) }) {
		return false
	}
	r.answeredAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return !c.at.After(at) })
	t.updateRejected(now, part, r)
	return true
}

// Suspected reports whether crashes are counted against the part.
func (t *PartTable) Suspected(part PartKey) bool {
	r := t.records[part]
	return r != nil && len(r.crashes) > 0
}

// Rejected returns the number of parts with at least PartCrashLimit crashes.
func (t *PartTable) Rejected() int { return len(t.rejected) }

// Rejects reports whether a request with the parts must not be sent to an endpoint.
func (t *PartTable) Rejects(now time.Time, parts []PartKey) bool {
	if len(t.rejected) == 0 {
		return false
	}
	for _, part := range parts {
		if t.rejected[part] && t.isBlocked(now, part) && !t.explainedByOther(part, parts) {
			return true
		}
	}
	return false
}

// isBlocked reports whether the crashes of a part suffice to reject it now.
func (t *PartTable) isBlocked(now time.Time, part PartKey) bool {
	r := t.records[part]
	r.expire(now)
	n := r.moments()
	if n < PartCrashLimit {
		t.updateRejected(now, part, r)
		return false
	}
	block := Expiry
	if len(r.crashes) < certainCrashes {
		block = firstBlock << (n - PartCrashLimit)
	}
	return now.Sub(r.crashes[len(r.crashes)-1].at) < block
}

// explainedByOther reports whether a part that is not among the given ones was present at all crashes of a part.
func (t *PartTable) explainedByOther(part PartKey, among []PartKey) bool {
	crashes := t.records[part].crashes
	first := t.present[crashes[0].id]
	if first == nil {
		return false
	}
	return slices.ContainsFunc(first.parts, func(other PartKey) bool {
		if other == part || slices.Contains(among, other) {
			return false
		}
		r := t.records[other]
		return r != nil && r.includes(crashes)
	})
}

// includes reports whether all the crashes are counted against the part.
func (r *partRecord) includes(crashes []partCrash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(r.crashes, func(own partCrash) bool { return own.id == c.id }) {
			return false
		}
	}
	return true
}

// moments returns the number of crashes, where those within crashMoment count as one.
func (r *partRecord) moments() int {
	n := 0
	var last time.Time
	for _, c := range r.crashes {
		if n == 0 || c.at.Sub(last) >= crashMoment {
			n++
			last = c.at
		}
	}
	return n
}

// expire discards the crashes that are older than Expiry.
func (r *partRecord) expire(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return now.Sub(c.at) >= Expiry })
}

func (t *PartTable) updateRejected(now time.Time, part PartKey, r *partRecord) {
	r.expire(now)
	if r.moments() >= PartCrashLimit {
		t.rejected[part] = true
	} else {
		delete(t.rejected, part)
	}
}

// PartEvidence is a crash that is counted against a part.
type PartEvidence struct {
	Part  PartKey
	Crash CrashID
	At    time.Time
}

// Evidence returns up to limit of the crashes that are counted against rejected parts, newest first for each part.
func (t *PartTable) Evidence(limit int) []PartEvidence {
	var all []PartEvidence
	for part := range t.rejected {
		for _, c := range slices.Backward(t.records[part].crashes) {
			if len(all) == limit {
				return all
			}
			all = append(all, PartEvidence{Part: part, Crash: c.id, At: c.at})
		}
	}
	return all
}

// Len returns the number of parts in the table.
func (t *PartTable) Len() int { return len(t.records) }

// makeRoom discards what has expired if the table is full, and then the part whose newest crash is the oldest, but no
// rejected one if there are others.
func (t *PartTable) makeRoom(now time.Time) {
	if len(t.records) < t.maxSize {
		return
	}
	var oldest PartKey
	var oldestAt time.Time
	found, oldestRejected := false, false
	for part, r := range t.records {
		r.expire(now)
		if len(r.crashes) == 0 && now.Sub(r.answeredAt) >= Expiry {
			t.remove(part)
			continue
		}
		at := r.answeredAt
		if n := len(r.crashes); n > 0 {
			at = r.crashes[n-1].at
		}
		rejected := t.rejected[part]
		if !found || (oldestRejected && !rejected) || (oldestRejected == rejected && at.Before(oldestAt)) {
			oldest, oldestAt, found, oldestRejected = part, at, true, rejected
		}
	}
	if found && len(t.records) >= t.maxSize {
		t.remove(oldest)
	}
}

func (t *PartTable) remove(part PartKey) {
	delete(t.records, part)
	delete(t.rejected, part)
}
