package fleet

import (
	"slices"
	"time"
)

// tableChange is the change of the routing table from the value at the revision base to the one at revision.
type tableChange struct {
	base     int64
	revision int64
	// patch is the result of encodePatch for the two values.
	patch []byte
}

// maxTableChanges is the number of changes of the routing table that are kept for daemons with an older one.
const maxTableChanges = 8

// TableRevision returns the revision of the routing table, or 0 if there is none.
func (s *State) TableRevision() int64 {
	if r := s.records[s.codec.TableKey]; r != nil {
		return r.revision
	}
	return 0
}

// ApplyFromStore is like Apply for a change read from the store. If it replaces the routing table, it also computes the
// patch that other daemons need.
func (s *State) ApplyFromStore(now time.Time, key string, revision int64, value []byte) bool {
	old := s.records[key]
	changed := s.Apply(now, key, revision, value)
	if changed && key == s.codec.TableKey && old != nil {
		patch, err := encodePatch(old.value, value)
		if err != nil {
			s.onRejected(key, err)
			return changed
		}
		s.addTableChange(tableChange{base: old.revision, revision: revision, patch: patch})
	}
	return changed
}

// ApplyEntry applies an entry received from another daemon. It reports whether the state changed, and whether the entry
// could be used: a patch cannot if this daemon does not have the value to which it applies.
func (s *State) ApplyEntry(now time.Time, e Entry) (changed, usable bool) {
	if e.Base == 0 {
		return s.Apply(now, e.Key, e.Revision, e.Value), true
	}
	if e.Key != s.codec.TableKey {
		return false, false
	}
	old := s.records[e.Key]
	if old != nil && e.Revision <= old.revision && sameEra(e.Revision, old.revision) {
		return false, true
	}
	if old == nil || old.revision != e.Base {
		return false, false
	}
	value, err := applyPatch(old.value, e.Value)
	if err != nil {
		s.onRejected(e.Key, err)
	}
	if err != nil || len(value) == 0 {
		return false, false
	}
	changed = s.applyTable(e.Revision, value)
	if changed {
		s.addTableChange(tableChange{base: e.Base, revision: e.Revision, patch: e.Value})
	}
	return changed, true
}

// addTableChange records a change. Earlier ones are dropped if it does not follow them.
func (s *State) addTableChange(c tableChange) {
	if n := len(s.tableChanges); n > 0 && s.tableChanges[n-1].revision != c.base {
		s.tableChanges = nil
	}
	s.tableChanges = append(s.tableChanges, c)
	if len(s.tableChanges) > maxTableChanges {
		s.tableChanges = slices.Clone(s.tableChanges[1:])
	}
}

// tableSince returns the patches that turn the routing table at a revision into the current one, or the complete table
// if that revision is unknown or the patches are larger. A table of an earlier era than that revision is complete, too: the
// receiver may have an older one, from a copy of the store.
func (s *State) tableSince(revision int64) []Entry {
	r := s.records[s.codec.TableKey]
	if r == nil || (r.revision <= revision && sameEra(r.revision, revision)) {
		return nil
	}
	var entries []Entry
	size := 0
	for _, c := range s.tableChanges {
		if c.base != revision && len(entries) == 0 {
			continue
		}
		entries = append(entries, Entry{Key: s.codec.TableKey, Revision: c.revision, Value: c.patch, Base: c.base})
		size += len(c.patch)
	}
	if n := len(entries); n == 0 || entries[n-1].Revision != r.revision || size >= len(r.value) {
		return []Entry{{Key: s.codec.TableKey, Revision: r.revision, Value: r.value}}
	}
	return entries
}
