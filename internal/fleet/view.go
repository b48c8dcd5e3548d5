// Package fleet maintains an entry daemon's view of the cluster: the routing table and the endpoints, which are
// read from the platform's store, and the fleet, which is the set of all entry daemons.
//
// A few daemons watch the store for the fleet. Daemons include their newest revision in their reports, so that a
// daemon that does not watch, or whose watch is silent or refused by the store, gets the state from a peer.
// The revision of a key only increases: a replaced routing table never comes back into force.
package fleet

import (
	"strings"
	"time"

	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// Codec holds the keys of the store and the decoders of their values. The platform's adapter provides it.
type Codec struct {
	TableKey       string
	EndpointPrefix string
	// DaemonPrefix is the prefix of the keys that entry daemons write for themselves.
	DaemonPrefix   string
	DecodeTable    func([]byte) (*traffic.Table, error)
	DecodeEndpoint func(id string, raw []byte) (traffic.Endpoint, error)
}

// View is an immutable snapshot of the routing table and the endpoints.
type View struct {
	// Revision is the revision of the store up to which the view is complete.
	Revision int64
	// Table is nil until a routing table has been received.
	Table *traffic.Table
	// Endpoints holds all endpoints that have not been removed, including draining ones, by ID.
	Endpoints map[string]traffic.Endpoint
	// ByPool holds the endpoints that accept new requests, by pool and sorted by ID.
	ByPool map[string][]traffic.Endpoint
}

// record is the last known state of one key.
type record struct {
	revision int64
	// value is nil if the key was removed.
	value    []byte
	endpoint *traffic.Endpoint
	// removedAt is when this daemon learned of the removal.
	removedAt time.Time
	// inGrace is set if this daemon learned of the removal shortly after an outage of the store, in which the
	// lease may have expired. The endpoint then stays in use for the grace period, because it may register again.
	inGrace bool
}

// State holds the replicated keys of the store. It does no I/O and reads no clock. It is not safe for concurrent
// use.
type State struct {
	codec   Codec
	records map[string]*record
	table   *traffic.Table
	// revision is the revision of the store up to which the state is complete. Single keys may be newer.
	revision int64
	// tableChanges are the latest changes of the routing table, oldest first and without gaps.
	tableChanges []tableChange
	// recoveryGraceUntil is gracePeriod after the end of the last outage of the store. Ready endpoints whose removal
	// this daemon learns of before that time stay in use for another gracePeriod. Later removals take effect at once.
	recoveryGraceUntil time.Time
	gracePeriod        time.Duration
	// onRejected is called for values that cannot be decoded.
	onRejected func(key string, err error)
}

// maxGracePeriod is the longest time for which an endpoint stays in use after this daemon has learned, shortly after
// an outage of the store, that the endpoint's key was removed. Live endpoints register again within about 2 s after the
// store recovers.
const maxGracePeriod = 1800 * time.Millisecond

// graceShareOfDrainBound is the share of the drain bound to which the grace period is limited, so that an endpoint that
// has actually left gets no request after the bound.
const graceShareOfDrainBound = 0.85

// tombstoneRetention is how long removals are kept for daemons that have not received them.
const tombstoneRetention = 2 * time.Minute

// NewState returns an empty state. onRejected may be nil; it is called for values that cannot be decoded.
func NewState(codec Codec, onRejected func(key string, err error)) *State {
	if onRejected == nil {
		onRejected = func(string, error) {}
	}
	return &State{codec: codec, records: map[string]*record{}, onRejected: onRejected, gracePeriod: maxGracePeriod}
}

// SetDrainBound sets the time after which a removed endpoint must receive no new requests.
func (s *State) SetDrainBound(bound time.Duration) {
	s.gracePeriod = min(maxGracePeriod, time.Duration(graceShareOfDrainBound*float64(bound)))
}

// Revision returns the revision up to which the state is complete.
func (s *State) Revision() int64 { return s.revision }

// Advance records that all changes up to revision have been applied.
func (s *State) Advance(revision int64) { s.revision = max(s.revision, revision) }

// StoreRecovered starts the grace period after an outage of the store during which leases of endpoints may have
// expired.
func (s *State) StoreRecovered(now time.Time) { s.recoveryGraceUntil = now.Add(s.gracePeriod) }

// Apply records the state of a key at a revision and reports whether the state changed. A nil value means that the
// key was removed. Revisions that are not newer than the recorded one are ignored.
func (s *State) Apply(now time.Time, key string, revision int64, value []byte) bool {
	old := s.records[key]
	if !s.relevant(key) || (old != nil && revision <= old.revision) {
		return false
	}
	if key == s.codec.TableKey {
		return s.applyTable(revision, value)
	}
	s.applyEndpoint(now, key, revision, value, old)
	return true
}

func (s *State) relevant(key string) bool {
	return key == s.codec.TableKey || strings.HasPrefix(key, s.codec.EndpointPrefix)
}

// applyTable replaces the routing table. A malformed table and a removal are ignored.
func (s *State) applyTable(revision int64, value []byte) bool {
	if value == nil {
		return false
	}
	table, err := s.codec.DecodeTable(value)
	if err != nil {
		s.onRejected(s.codec.TableKey, err)
		return false
	}
	s.records[s.codec.TableKey] = &record{revision: revision, value: value}
	s.table = table
	return true
}

func (s *State) applyEndpoint(now time.Time, key string, revision int64, value []byte, old *record) {
	r := &record{revision: revision, value: value}
	if value == nil {
		r.removedAt = now
		if old != nil && old.endpoint != nil && old.endpoint.State == traffic.EndpointReady && now.Before(s.recoveryGraceUntil) {
			r.endpoint, r.inGrace = old.endpoint, true
		}
		s.records[key] = r
		return
	}
	e, err := s.codec.DecodeEndpoint(strings.TrimPrefix(key, s.codec.EndpointPrefix), value)
	if err != nil {
		s.onRejected(key, err)
	} else {
		r.endpoint = &e
	}
	s.records[key] = r
}

// ApplyListing applies a complete listing of the store as of listRevision and reports whether the state changed.
// Endpoints that are not in the listing and have not changed since listRevision are treated as removed.
func (s *State) ApplyListing(now time.Time, listRevision int64, listed []platform.KeyValue) bool {
	changed := false
	newest := int64(0)
	present := make(map[string]bool, len(listed))
	for _, kv := range listed {
		present[kv.Key] = true
		if s.relevant(kv.Key) {
			newest = max(newest, kv.ModRevision)
		}
		value := kv.Value
		if value == nil {
			value = []byte{}
		}
		changed = s.Apply(now, kv.Key, kv.ModRevision, value) || changed
	}
	for key, r := range s.records {
		if r.value != nil && !present[key] && r.revision <= listRevision && key != s.codec.TableKey {
			newest = max(newest, listRevision)
			changed = s.Apply(now, key, max(listRevision, r.revision+1), nil) || changed
		}
	}
	// The revision is that of the newest change of a relevant key, but at most listRevision, which is the revision of
	// the first page: a key on an early page may have changed before a later page was read.
	s.Advance(min(newest, listRevision))
	return changed
}

// ExpireTombstones discards removals that are older than tombstoneRetention.
func (s *State) ExpireTombstones(now time.Time) {
	for key, r := range s.records {
		if r.value == nil && now.Sub(r.removedAt) > tombstoneRetention {
			delete(s.records, key)
		}
	}
}

// Entry is the last known state of one key, or a change of it, as exchanged between daemons.
type Entry struct {
	Key      string
	Revision int64
	// Value is nil if the key was removed.
	Value []byte
	// Base is the revision of the value to which Value is a patch, or 0 if Value is complete.
	Base int64
}

// Since returns the entries that changed after revision, including removals, in no particular order except that
// patches of the routing table follow each other. tableRevision is the revision of the receiver's routing table.
func (s *State) Since(revision, tableRevision int64) []Entry {
	var entries []Entry
	for key, r := range s.records {
		if r.revision > revision && key != s.codec.TableKey {
			entries = append(entries, Entry{Key: key, Revision: r.revision, Value: r.value})
		}
	}
	return append(entries, s.tableSince(tableRevision)...)
}

// NextGraceEnd returns the earliest time after now at which a grace period ends, or the zero time if there is none.
func (s *State) NextGraceEnd(now time.Time) time.Time {
	var next time.Time
	for _, r := range s.records {
		if end := r.removedAt.Add(s.gracePeriod); r.inGrace && end.After(now) && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	return next
}

// View returns a snapshot of the state at the time now.
func (s *State) View(now time.Time) *View {
	v := &View{Revision: s.revision, Table: s.table, Endpoints: map[string]traffic.Endpoint{}, ByPool: map[string][]traffic.Endpoint{}}
	for _, r := range s.records {
		if r.endpoint == nil || (r.inGrace && now.Sub(r.removedAt) >= s.gracePeriod) {
			continue
		}
		e := *r.endpoint
		v.Endpoints[e.ID] = e
		if e.State == traffic.EndpointReady {
			v.ByPool[e.Pool] = append(v.ByPool[e.Pool], e)
		}
	}
	for _, endpoints := range v.ByPool {
		sortByID(endpoints)
	}
	return v
}
