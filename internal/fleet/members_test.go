package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chivewind/chivewind/peer"
)

func testIdentity(name, zone string) *peer.Identity {
	return &peer.Identity{Daemon: name, Zone: zone, EntryAddress: name + ":80", ReportAddress: "127.0.0.1:1", ControlAddress: name + ":81", Capacity: 400}
}

// membersWithReports returns a Members in which each of the others sent a report at the given time, ready and with a
// store age of 0.
func membersWithReports(self *peer.Identity, at time.Time, others ...*peer.Identity) *Members {
	m := NewMembers(self)
	for _, id := range others {
		m.RecordReport(at, &peer.Report{Daemon: id.Daemon, Incarnation: 1, Sequence: 1, State: peer.DaemonState_DAEMON_STATE_READY, Identity: id})
	}
	m.UpdateRelays(at)
	return m
}

// TestMembersRecordReport guards against accepting reports that arrive out of order or from an earlier process of
// the sender.
func TestMembersRecordReport(t *testing.T) {
	m := NewMembers(testIdentity("a", "z"))
	b := testIdentity("b", "z")
	for _, c := range []struct {
		desc                  string
		incarnation, sequence uint64
		identity              *peer.Identity
		want                  bool
	}{
		{"unknown sender", 1, 1, nil, false},
		{"first", 1, 2, b, true},
		{"repeated", 1, 2, nil, false},
		{"overtaken", 1, 1, nil, false},
		{"next", 1, 3, nil, true},
		{"restarted", 2, 1, nil, true},
		{"from before the restart", 1, 9, nil, false},
	} {
		got := m.RecordReport(testTime, &peer.Report{Daemon: "b", Incarnation: c.incarnation, Sequence: c.sequence, Identity: c.identity}) != nil
		if got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.desc, got, c.want)
		}
	}
}

// TestEntryAddresses guards against returning daemons that are silent, leaving or starting to callers, and against
// returning a single address if more are available.
func TestEntryAddresses(t *testing.T) {
	m := membersWithReports(testIdentity("a", "z1"), testTime, testIdentity("b", "z1"), testIdentity("c", "z2"), testIdentity("d", "z3"))
	if got := m.EntryAddresses(testTime, "z1", true); !slices.Contains(got, "a:80") || !slices.Contains(got, "b:80") || len(got) != 2 {
		t.Errorf("own zone: %v", got)
	}
	if got := m.EntryAddresses(testTime, "z2", true); len(got) != 2 || got[0] != "c:80" {
		t.Errorf("zone with one daemon: %v", got)
	}
	if got := m.EntryAddresses(testTime, "elsewhere", true); len(got) != 2 {
		t.Errorf("unknown zone: %v", got)
	}
	m.RecordReport(testTime, &peer.Report{Daemon: "b", Incarnation: 1, Sequence: 2, State: peer.DaemonState_DAEMON_STATE_LEAVING})
	if got := m.EntryAddresses(testTime, "z1", true); slices.Contains(got, "b:80") {
		t.Errorf("a leaving daemon is returned: %v", got)
	}
	if got := m.EntryAddresses(testTime.Add(time.Minute), "z2", true); len(got) != 1 || got[0] != "a:80" {
		t.Errorf("all other daemons silent: %v", got)
	}
	if got := m.EntryAddresses(testTime.Add(time.Minute), "z2", false); len(got) != 0 {
		t.Errorf("no daemon ready: %v", got)
	}
}

// TestWatchers guards against a fleet in which every daemon watches the store, and against one in which none does
// because the chosen watchers have lost their connection to it.
func TestWatchers(t *testing.T) {
	var ids []*peer.Identity
	for i := range 40 {
		ids = append(ids, testIdentity(fmt.Sprintf("d%02d", i), "z"))
	}
	watching := 0
	for i, self := range ids {
		others := slices.Delete(slices.Clone(ids), i, i+1)
		m := membersWithReports(self, testTime, others...)
		if m.MustWatch(testTime, watcherMaxAge) {
			watching++
		}
		m.UpdateRelays(testTime.Add(watcherMaxAge))
		if !m.MustWatch(testTime.Add(watcherMaxAge), watcherMaxAge) {
			t.Errorf("%s relies on watchers that have sent no report for %s", self.Daemon, watcherMaxAge)
		}
	}
	if watching != relayCount {
		t.Errorf("%d daemons watch, want %d", watching, relayCount)
	}
	m := membersWithReports(ids[0], testTime, ids[1:]...)
	for _, id := range ids[1:] {
		m.RecordReport(testTime, &peer.Report{Daemon: id.Daemon, Incarnation: 1, Sequence: 2, State: peer.DaemonState_DAEMON_STATE_READY, StoreAgeMs: 1 << 30})
	}
	if !m.MustWatch(testTime, watcherMaxAge) {
		t.Error("a daemon relies on watchers that get no reply from the store")
	}
}

// TestForwardsChanges guards against sending each change between all pairs of daemons of a large fleet, and against a
// fleet in which no daemon forwards changes.
func TestForwardsChanges(t *testing.T) {
	for _, c := range []struct {
		size, want int
		age        time.Duration
	}{{4, 4, 0}, {maxSmallFleetPeers + 1, maxSmallFleetPeers + 1, 0}, {40, relayCount, 0}, {40, 40, watcherMaxAge}} {
		var ids []*peer.Identity
		for i := range c.size {
			ids = append(ids, testIdentity(fmt.Sprintf("d%02d", i), "z"))
		}
		forwarding := 0
		for i, self := range ids {
			m := membersWithReports(self, testTime, slices.Delete(slices.Clone(ids), i, i+1)...)
			m.UpdateRelays(testTime.Add(c.age))
			if m.ForwardsChanges(testTime.Add(c.age), watcherMaxAge) {
				forwarding++
			}
		}
		if forwarding != c.want {
			t.Errorf("%d of %d daemons forward changes when the last reports are %s old, want %d", forwarding, c.size, c.age, c.want)
		}
	}
}

// TestSchedulers guards against daemons that choose different schedulers, and against choosing a small VM while there
// are larger ones.
func TestSchedulers(t *testing.T) {
	a, b, c := testIdentity("a", "z"), testIdentity("b", "z"), testIdentity("c", "z")
	b.Capacity = 800
	for _, m := range []*Members{membersWithReports(a, testTime, b, c), membersWithReports(b, testTime, a, c), membersWithReports(c, testTime, a, b)} {
		if got := m.Schedulers(testTime, true); len(got) != 3 || got[0].Identity.Daemon != "b" {
			t.Errorf("%s prefers %s as scheduler, want b", m.self.Daemon, got[0].Identity.Daemon)
		}
	}
	m := membersWithReports(a, testTime, b, c)
	m.RecordReport(testTime, &peer.Report{Daemon: "b", Incarnation: 1, Sequence: 2, State: peer.DaemonState_DAEMON_STATE_LEAVING})
	if got := m.Schedulers(testTime, true); got[0].Identity.Daemon == "b" {
		t.Error("a leaving daemon is the preferred scheduler")
	}
}

// TestSizeCountsDaemonsNotHeardYet guards against daemons that start together, or are cut off from each other, and each
// takes the retry reserve of the fleet for its own.
func TestSizeCountsDaemonsNotHeardYet(t *testing.T) {
	f := newTestFleet(t, func(*View) {})
	f.members.LearnIdentity(time.Now(), testIdentity("b", "z"))
	f.members.LearnIdentity(time.Now(), testIdentity("c", "z"))
	if got := f.Size(); got != 3 {
		t.Errorf("Size returned %d, want 3", got)
	}
}

// TestLeavingIsFinal guards against a daemon that is stopped at the moment at which it becomes ready, and counts as ready
// while it stops.
func TestLeavingIsFinal(t *testing.T) {
	f := newTestFleet(t, func(*View) {})
	f.SetState(peer.DaemonState_DAEMON_STATE_LEAVING)
	f.SetState(peer.DaemonState_DAEMON_STATE_READY)
	if f.Ready() {
		t.Error("ready after it was leaving")
	}
}
