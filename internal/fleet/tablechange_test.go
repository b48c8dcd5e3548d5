package fleet

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newSimState returns a state whose tables are those of simTable.
func newSimState() *State { return NewState(simCodec(), nil) }

// TestPatch guards against a patch that does not reproduce a value, and against one that is large for a small change of
// a large value.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, value := rapid.SliceOf(rapid.Byte()).Draw(t, "base"), rapid.SliceOf(rapid.Byte()).Draw(t, "value")
		patch, err := encodePatch(base, value)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := applyPatch(base, patch); err != nil || !bytes.Equal(got, value) {
			t.Fatalf("%v, %v, want %v", got, err, value)
		}
	})
	for _, size := range []int{1 << 10, 229 << 10, 1 << 20} {
		base, value := simTable(1, size), simTable(2, size)
		patch, err := encodePatch(base, value)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := applyPatch(base, patch); err != nil || !bytes.Equal(got, value) {
			t.Errorf("%d bytes: the patch does not reproduce the value: %v", size, err)
		}
		if len(patch) > maxRecentChangeBytes/2 {
			t.Errorf("%d bytes: a patch of %d bytes does not fit into a report with others", size, len(patch))
		}
	}
}

// TestTableChanges guards against a routing table that is patched from another version than the patch was made for, and
// against daemons that get the whole table although patches suffice.
func TestTableChanges(t *testing.T) {
	source := newSimState()
	const versions = maxTableChanges + 4
	for v := 1; v <= versions; v++ {
		source.ApplyFromStore(testTime, "table", int64(10*v), simTable(v, 20<<10))
		source.Advance(int64(10 * v))
	}
	for have := range versions + 1 {
		s := newSimState()
		if have > 0 {
			s.Apply(testTime, "table", int64(10*have), simTable(have, 20<<10))
		}
		entries := source.Since(0, s.TableRevision())
		size := 0
		for _, e := range entries {
			size += len(e.Value)
			if _, usable := s.ApplyEntry(testTime, e); !usable {
				t.Errorf("from version %d: entry of revision %d is not usable", have, e.Revision)
			}
		}
		if got := s.View(testTime).Table.Version; got != versions {
			t.Errorf("from version %d: version %d, want %d", have, got, versions)
		}
		if whole := size > 10<<10; whole != (have < versions-maxTableChanges) {
			t.Errorf("from version %d: %d bytes", have, size)
		}
	}
	// Without the version that a patch applies to, the patch is not usable, and older state stays in force.
	s := newSimState()
	s.Apply(testTime, "table", 5, simTable(1, 20<<10))
	for _, e := range source.Since(0, 10*(versions-2)) {
		if _, usable := s.ApplyEntry(testTime, e); usable {
			t.Error("a patch was applied to another version")
		}
	}
	if got := s.View(testTime).Table.Version; got != 1 {
		t.Errorf("version %d, want 1", got)
	}
	// A patch that arrives twice or late is usable and changes nothing.
	last := slices.Clone(source.Since(0, 10*(versions-1)))
	if changed, usable := source.ApplyEntry(testTime, last[0]); changed || !usable {
		t.Errorf("repeated patch: changed %v, usable %v", changed, usable)
	}
	// A table that was received as a whole breaks the chain of patches.
	source.Apply(testTime, "table", 10*versions+5, simTable(versions+1, 20<<10))
	if entries := source.Since(0, 10*versions); len(entries) != 1 || entries[0].Base != 0 {
		t.Errorf("after a complete table: %d entries", len(entries))
	}
}

// TestBrokenPatch guards against a malformed patch that replaces the routing table.
func TestBrokenPatch(t *testing.T) {
	for _, patch := range [][]byte{nil, {}, []byte("no patch"), {0x28, 0xb5, 0x2f, 0xfd, 0x00}} {
		s := newSimState()
		s.Apply(testTime, "table", 5, simTable(1, 1<<10))
		if changed, usable := s.ApplyEntry(testTime, Entry{Key: "table", Revision: 6, Base: 5, Value: patch}); changed || usable {
			t.Errorf("%v: changed %v, usable %v", patch, changed, usable)
		}
		if got := s.View(testTime).Table.Version; got != 1 || s.TableRevision() != 5 {
			t.Errorf("%v: version %d at revision %d", patch, got, s.TableRevision())
		}
	}
}
