// Package fleet keeps what an entry daemon knows beyond its own requests: the routing table and the
// endpoints, which the platform's store holds, and the other entry daemons.
//
// The store is read by one watch per daemon. Daemons also tell each other the newest revision that they
// have, so that a daemon whose watch is silent, or that the store turns away, takes the state from a peer.
// Revisions of a key only grow: a configuration that was in force never comes back.
package fleet

import (
	"strings"
	"time"

	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// Codec translates the values of the store. The adapter of the platform provides it.
type Codec struct {
	// DaemonPrefix is the prefix of the daemons' own keys, which only a daemon without peers reads.
	TableKey       string
	EndpointPrefix string
	DaemonPrefix   string
	DecodeTable    func([]byte) (*traffic.Table, error)
	DecodeEndpoint func(id string, raw []byte) (traffic.Endpoint, error)
}

// View is what is known at one moment. It is immutable.
type View struct {
	// Revision is the revision of the store up to which the view is complete.
	Revision int64
	// Table is nil until the first configuration is known.
	Table *traffic.Table
	// Endpoints has all endpoints that have not left, by id.
	Endpoints map[string]traffic.Endpoint
	// ByPool lists the endpoints that take new requests.
	ByPool map[string][]traffic.Endpoint
}

// record is the last state of one key.
type record struct {
	revision int64
	// value is nil when the key was removed.
	value    []byte
	endpoint *traffic.Endpoint
	// goneAt is when this daemon learned of the removal.
	goneAt time.Time
	// lapsed says that the entry went missing around an outage of the store, so that the endpoint may
	// register again.
	lapsed bool
}

// State accumulates the keys of the store. It is pure: the time is passed in and callers serialize calls.
type State struct {
	codec   Codec
	records map[string]*record
	table   *traffic.Table
	// revision is the revision of the store up to which the state is complete. Keys may be newer.
	revision int64
	// graceUntil ends the time after an outage of the store in which missing entries of endpoints do not
	// count as gone.
	graceUntil time.Time
	lapseGrace time.Duration
	// rejected reports values that could not be decoded.
	rejected func(key string, err error)
}

// maxLapseGrace is how long an endpoint whose entry went missing around an outage of the store stays in
// use: living endpoints are back within about two seconds of the store's return.
const maxLapseGrace = 1800 * time.Millisecond

// drainShare is the part of the drain bound that the grace may take, so that an endpoint that has in fact
// left gets no request after the bound.
const drainShare = 0.85

// tombstoneAge is how long removals are kept for daemons that did not see them.
const tombstoneAge = 2 * time.Minute

// NewState returns an empty state.
func NewState(codec Codec, rejected func(key string, err error)) *State {
	if rejected == nil {
		rejected = func(string, error) {}
	}
	return &State{codec: codec, records: map[string]*record{}, rejected: rejected, lapseGrace: maxLapseGrace}
}

// SetDrainBound sets the time after which an endpoint that left must receive no new request.
func (s *State) SetDrainBound(bound time.Duration) {
	s.lapseGrace = min(maxLapseGrace, time.Duration(drainShare*float64(bound)))
}

// Revision returns the revision up to which the state is complete.
func (s *State) Revision() int64 { return s.revision }

// Advance says that all changes up to a revision have been applied.
func (s *State) Advance(revision int64) { s.revision = max(s.revision, revision) }

// StoreReturned says that the store answers again after an outage in which entries may have lapsed.
func (s *State) StoreReturned(now time.Time) { s.graceUntil = now.Add(s.lapseGrace) }

// Apply records the last state of a key and says whether it is news. A nil value means that the key was
// removed.
func (s *State) Apply(now time.Time, key string, revision int64, value []byte) bool {
	old := s.records[key]
	if !s.relevant(key) || (old != nil && revision <= old.revision) {
		return false
	}
	if key == s.codec.TableKey {
		return s.applyTable(key, revision, value)
	}
	s.applyEndpoint(now, key, revision, value, old)
	return true
}

func (s *State) relevant(key string) bool {
	return key == s.codec.TableKey || strings.HasPrefix(key, s.codec.EndpointPrefix)
}

// applyTable puts a routing table in force unless it is malformed or older.
func (s *State) applyTable(key string, revision int64, value []byte) bool {
	if value == nil {
		return false
	}
	table, err := s.codec.DecodeTable(value)
	if err != nil {
		s.rejected(key, err)
		return false
	}
	s.records[key] = &record{revision: revision, value: value}
	s.table = table
	return true
}

func (s *State) applyEndpoint(now time.Time, key string, revision int64, value []byte, old *record) {
	r := &record{revision: revision, value: value}
	if value == nil {
		r.goneAt = now
		if old != nil && old.endpoint != nil && old.endpoint.State == traffic.EndpointReady && now.Before(s.graceUntil) {
			r.endpoint, r.lapsed = old.endpoint, true
		}
		s.records[key] = r
		return
	}
	e, err := s.codec.DecodeEndpoint(strings.TrimPrefix(key, s.codec.EndpointPrefix), value)
	if err != nil {
		s.rejected(key, err)
	} else {
		r.endpoint = &e
	}
	s.records[key] = r
}

// ApplyListing records a complete listing of the store as of a revision: keys that are not in it and have
// not changed since were removed.
func (s *State) ApplyListing(now time.Time, asOf int64, listed []platform.KeyValue) bool {
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
		if r.value != nil && !present[key] && r.revision <= asOf && key != s.codec.TableKey {
			newest = max(newest, asOf)
			changed = s.Apply(now, key, max(asOf, r.revision+1), nil) || changed
		}
	}
	// A key of a later page may be newer than one of an earlier page that changed meanwhile.
	s.Advance(min(newest, asOf))
	s.expire(now)
	return changed
}

func (s *State) expire(now time.Time) {
	for key, r := range s.records {
		if r.value == nil && now.Sub(r.goneAt) > tombstoneAge {
			delete(s.records, key)
		}
	}
}

// Entry is the last state of one key, as daemons pass it to each other.
type Entry struct {
	Key      string
	Revision int64
	// Value is nil when the key was removed.
	Value []byte
}

// Since returns the entries that are newer than a revision.
func (s *State) Since(revision int64) []Entry {
	var entries []Entry
	for key, r := range s.records {
		if r.revision > revision {
			entries = append(entries, Entry{Key: key, Revision: r.revision, Value: r.value})
		}
	}
	return entries
}

// NextLapse returns when the view changes by itself; zero when it does not.
func (s *State) NextLapse(now time.Time) time.Time {
	var next time.Time
	for _, r := range s.records {
		if end := r.goneAt.Add(s.lapseGrace); r.lapsed && end.After(now) && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	return next
}

// View returns the state as an immutable value.
func (s *State) View(now time.Time) *View {
	v := &View{Revision: s.revision, Table: s.table, Endpoints: map[string]traffic.Endpoint{}, ByPool: map[string][]traffic.Endpoint{}}
	for _, r := range s.records {
		if r.endpoint == nil || (r.lapsed && now.Sub(r.goneAt) >= s.lapseGrace) {
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
