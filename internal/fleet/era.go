package fleet

import (
	"time"

	"github.com/chivewind/chivewind/platform"
	"github.com/chivewind/chivewind/traffic"
)

// A store that comes back from an older copy begins a new era, and revisions of the later era are greater, see
// platform.RevisionInEra. What the copy holds is thus newer by its revision, although a daemon may have seen a later state of
// it in the era before. The functions of this file decide between the two. Operators and endpoints write again what they
// wrote since the copy was taken.

// restoredEntryDelay is how long an endpoint that had been removed stays out of use when the store has come back from a copy
// with its entry. It is longer than the time after which the store removes an entry that is not renewed, which is three
// intervals of about a second.
const restoredEntryDelay = 5 * time.Second

func sameEra(a, b int64) bool { return platform.EraOf(a) == platform.EraOf(b) }

// enterEra records that the store has reached the era of a revision. If that era is new, keys may be missing until their
// owners have written them again, as after an outage.
func (s *State) enterEra(now time.Time, revision int64) {
	era := platform.EraOf(revision)
	if era <= s.era {
		return
	}
	s.era = era
	if s.revision > 0 {
		s.StoreRecovered(now)
	}
}

// replacesTable reports whether a routing table replaces the current one. Within an era, the later write does. Between eras
// the version decides, which the operator only increases, because the copy may hold a table that had been replaced.
func (s *State) replacesTable(revision int64, table *traffic.Table) bool {
	old := s.records[s.codec.TableKey]
	if old != nil && !sameEra(revision, old.revision) && table.Version != s.table.Version {
		return table.Version > s.table.Version
	}
	return old == nil || revision > old.revision
}

// inUse reports whether the record has an endpoint that may be used.
func (r *record) inUse(now time.Time) bool {
	return r != nil && r.endpoint != nil && !now.Before(r.usableFrom)
}

// lastEndpoint returns the endpoint of the record or, if its key was removed, the one before the removal.
func (r *record) lastEndpoint() *traffic.Endpoint {
	switch {
	case r == nil:
		return nil
	case r.endpoint != nil:
		return r.endpoint
	}
	return r.last
}

// keepNewer makes the record of an entry, which replaces old, keep what is known from an earlier era if the endpoint has not
// written the entry since: an endpoint that was leaving goes on to leave, and one that was removed stays out of use for
// restoredEntryDelay.
func (r *record) keepNewer(now time.Time, old *record) {
	last := old.lastEndpoint()
	if last == nil || sameEra(r.revision, old.revision) || isLaterReport(r.endpoint, last) {
		return
	}
	if old.value == nil {
		r.usableFrom = now.Add(restoredEntryDelay)
		return
	}
	r.usableFrom = old.usableFrom
	kept := *last
	if r.endpoint.State == traffic.EndpointDraining && r.endpoint.StartedAtMs == last.StartedAtMs {
		kept.State = traffic.EndpointDraining
	}
	r.endpoint = &kept
}

// isLaterReport reports whether an endpoint has made the report a after the report b, as far as that is known.
func isLaterReport(a, b *traffic.Endpoint) bool {
	if a.StartedAtMs != b.StartedAtMs {
		return a.StartedAtMs > b.StartedAtMs
	}
	return a.Sequence > b.Sequence
}
