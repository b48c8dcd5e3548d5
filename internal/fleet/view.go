// Package fleet maintains an entry daemon's view of the cluster: the routing table and the endpoints, which are
// read from the platform's store, and the fleet, which is the set of all entry daemons.
//
// A few daemons watch the store for the fleet. Daemons include their newest revision in their reports, so that a
// daemon that does not watch, or whose watch is silent or refused by the store, gets the state from a peer.
// The revision of a key only increases: a replaced routing table never comes back into force, also if the store comes back
// from an older copy, see era.go.
package fleet

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// EncodeEndpoint returns a short value that DecodeEndpoint decodes to the endpoint. Daemons keep and exchange it in place of
	// the value of the store, which may be large. If it is nil, they keep the latter.
	EncodeEndpoint func(traffic.Endpoint) []byte
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
	// value is nil if the key was removed or names no endpoint.
	value    []byte
	endpoint *traffic.Endpoint
	// removedAt is when this daemon learned of the removal.
	removedAt time.Time
	// inGrace is set if this daemon learned of the removal shortly after an outage of the store, in which the
	// lease may have expired. The endpoint then stays in use for the grace period, because it may register again.
	inGrace bool
	// last is the endpoint of a removed key; nil if it is not known.
	last *traffic.Endpoint
	// usableFrom is when an endpoint may be used whose removal has been undone by an older copy of the store.
	usableFrom time.Time
}

// State holds the replicated keys of the store. It does no I/O and reads no clock. It is not safe for concurrent
// use.
type State struct {
	codec   Codec
	records map[string]*record
	table   *traffic.Table
	// revision is the revision of the store up to which the state is complete. Single keys may be newer.
	revision int64
	// removalsSince is the revision after which the state has a record of each removal up to revision. A state that
	// begins with a listing has none of those before.
	removalsSince int64
	// era is the newest era of the store that is known.
	era int64
	// digest is the XOR of the digests of the keys that are present.
	digest uint64
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

// Digest returns a digest of the keys that are present and their revisions. It is 0 if there are none.
func (s *State) Digest() uint64 { return s.digest }

// RemovalsSince returns the revision after which the state has a record of each removal.
func (s *State) RemovalsSince() int64 { return s.removalsSince }

// Advance records that all changes up to revision have been applied, each removal included.
func (s *State) Advance(revision int64) { s.revision = max(s.revision, revision) }

// advanceWithoutRemovals records that the state is complete up to revision and has a record of each removal after
// removalsSince only.
func (s *State) advanceWithoutRemovals(revision, removalsSince int64) {
	if revision > s.revision {
		s.revision, s.removalsSince = revision, max(s.removalsSince, removalsSince)
	}
}

// ConfirmDigest records that a state with the given digest is complete up to revision. If this one holds the same keys,
// so is it.
func (s *State) ConfirmDigest(revision int64, digest uint64) {
	if digest != 0 && digest == s.digest {
		s.advanceWithoutRemovals(revision, revision)
	}
}

// setRecord replaces the record of a key.
func (s *State) setRecord(key string, r *record) {
	s.digest ^= recordDigest(key, s.records[key]) ^ recordDigest(key, r)
	s.records[key] = r
}

// recordDigest returns the digest of a key, or 0 if it is not present.
func recordDigest(key string, r *record) uint64 {
	if r == nil || len(r.value) == 0 {
		return 0
	}
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(key), uint64(r.revision)))
}

// StoreRecovered starts the grace period after an outage of the store during which leases of endpoints may have
// expired.
func (s *State) StoreRecovered(now time.Time) { s.recoveryGraceUntil = now.Add(s.gracePeriod) }

// Apply records the state of a key at a revision and reports whether the state changed. A nil value means that the
// key was removed. Revisions that are not newer than the recorded one are ignored, except that replacesTable decides between
// routing tables of different eras. So is a change of an endpoint that has no record although the state is complete up to the
// change: the endpoint has been removed since.
func (s *State) Apply(now time.Time, key string, revision int64, value []byte) bool {
	if !s.relevant(key) {
		return false
	}
	s.enterEra(now, revision)
	if key == s.codec.TableKey {
		return s.applyTable(revision, value)
	}
	old := s.records[key]
	if (old != nil && revision <= old.revision) || (old == nil && revision <= s.revision) {
		return false
	}
	s.applyEndpoint(now, key, revision, value, old)
	return true
}

func (s *State) relevant(key string) bool {
	return key == s.codec.TableKey || strings.HasPrefix(key, s.codec.EndpointPrefix)
}

// applyTable replaces the routing table if the given one is newer. A malformed table and a removal are ignored.
func (s *State) applyTable(revision int64, value []byte) bool {
	old := s.records[s.codec.TableKey]
	if value == nil || (old != nil && revision <= old.revision && sameEra(revision, old.revision)) {
		return false
	}
	table, err := s.codec.DecodeTable(value)
	if err != nil {
		s.onRejected(s.codec.TableKey, err)
		return false
	}
	if !s.replacesTable(revision, table) {
		return false
	}
	s.setRecord(s.codec.TableKey, &record{revision: revision, value: value})
	s.table = table
	return true
}

func (s *State) applyEndpoint(now time.Time, key string, revision int64, value []byte, old *record) {
	r := &record{revision: revision, value: value}
	if value == nil {
		r.removedAt, r.last = now, old.lastEndpoint()
		if old.inUse(now) && old.endpoint.State == traffic.EndpointReady && now.Before(s.recoveryGraceUntil) {
			r.endpoint, r.inGrace = old.endpoint, true
		}
		s.setRecord(key, r)
		return
	}
	e, err := s.codec.DecodeEndpoint(strings.TrimPrefix(key, s.codec.EndpointPrefix), value)
	if err != nil {
		// Its bytes are of no use to any daemon. The record is that of a removal, so that an earlier value does not count.
		s.onRejected(key, err)
		r.value, r.removedAt, r.last = nil, now, old.lastEndpoint()
		s.setRecord(key, r)
		return
	}
	r.endpoint = &e
	r.keepNewer(now, old)
	if s.codec.EncodeEndpoint != nil {
		r.value = s.codec.EncodeEndpoint(*r.endpoint)
	}
	s.setRecord(key, r)
}

// ApplyListing applies a complete listing of the store as of listRevision and reports whether the state changed.
// Endpoints that are not in the listing and have not changed since listRevision are treated as removed.
func (s *State) ApplyListing(now time.Time, listRevision int64, listed []platform.KeyValue) bool {
	s.enterEra(now, listRevision)
	changed := false
	present := make(map[string]bool, len(listed))
	for _, kv := range listed {
		present[kv.Key] = true
		value := kv.Value
		if value == nil {
			value = []byte{}
		}
		changed = s.ApplyFromStore(now, kv.Key, kv.ModRevision, value) || changed
	}
	changed = s.removeAbsent(now, listRevision, present) || changed
	s.advanceWithoutRemovals(listRevision, listRevision)
	return changed
}

// removeAbsent applies the removal of all endpoints that are not present at a revision and have not changed since. It
// reports whether there are any.
func (s *State) removeAbsent(now time.Time, revision int64, present map[string]bool) bool {
	changed := false
	for key, r := range s.records {
		if r.value != nil && !present[key] && r.revision <= revision && key != s.codec.TableKey {
			changed = s.Apply(now, key, max(revision, r.revision+1), nil) || changed
		}
	}
	return changed
}

// PeerState is what a daemon sends of its state.
type PeerState struct {
	// Revision and Digest are those of the whole state.
	Revision int64
	Digest   uint64
	// Entries are all changes after EntriesSince. If Listing is set, they are all keys, and all removals after
	// RemovalsSince.
	Entries       []Entry
	EntriesSince  int64
	Listing       bool
	RemovalsSince int64
}

// ApplyPeerState applies the state of another daemon, and reports whether this one changed.
func (s *State) ApplyPeerState(now time.Time, p *PeerState) bool {
	s.enterEra(now, p.Revision)
	changed, complete := false, true
	present := make(map[string]bool, len(p.Entries))
	for _, e := range p.Entries {
		present[e.Key] = true
		entryChanged, usable := s.ApplyEntry(now, e)
		changed, complete = changed || entryChanged, complete && usable
	}
	switch {
	case !complete:
	case p.Listing:
		changed = s.removeAbsent(now, p.Revision, present) || changed
		s.advanceWithoutRemovals(p.Revision, p.RemovalsSince)
	case s.revision >= p.EntriesSince:
		s.Advance(p.Revision)
	default:
		s.ConfirmDigest(p.Revision, p.Digest)
	}
	return changed
}

// StateFor returns what a daemon needs whose state has the given revision and digest: the changes after it, or all keys if
// removals since then have left no record here. tableRevision is the revision of its routing table.
func (s *State) StateFor(revision, tableRevision int64, digest uint64) *PeerState {
	p := &PeerState{Revision: s.revision, Digest: s.digest, EntriesSince: revision, RemovalsSince: s.removalsSince}
	switch {
	case revision >= s.removalsSince:
		p.Entries = s.Since(revision, tableRevision)
	case digest != 0 && digest == s.digest:
		p.EntriesSince = s.revision
	default:
		p.Entries, p.Listing = s.Since(0, tableRevision), true
	}
	return p
}

// ExpireTombstones discards the records of removals that are older than tombstoneRetention.
func (s *State) ExpireTombstones(now time.Time) {
	for key, r := range s.records {
		if r.value == nil && now.Sub(r.removedAt) > tombstoneRetention {
			delete(s.records, key)
			s.removalsSince = max(s.removalsSince, r.revision)
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

// NextViewChange returns the earliest time after now at which the view changes without an update of the state, because a
// grace period ends or an endpoint becomes usable. It returns the zero time if there is none.
func (s *State) NextViewChange(now time.Time) time.Time {
	var next time.Time
	note := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, r := range s.records {
		if r.inGrace {
			note(r.removedAt.Add(s.gracePeriod))
		}
		note(r.usableFrom)
	}
	return next
}

// View returns a snapshot of the state at the time now.
func (s *State) View(now time.Time) *View {
	v := &View{Revision: s.revision, Table: s.table, Endpoints: map[string]traffic.Endpoint{}, ByPool: map[string][]traffic.Endpoint{}}
	for _, r := range s.records {
		if !r.inUse(now) || (r.inGrace && now.Sub(r.removedAt) >= s.gracePeriod) {
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
