package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// largeFleet returns the members of daemon d00 in a large fleet, of which d01, d02 and d03 are the relays, with the
// identities of all. Only the relays have sent d00 a report; their rosters list all daemons.
func largeFleet(t *testing.T) (*Members, []*peer.Identity) {
	t.Helper()
	var ids []*peer.Identity
	for i := range 20 {
		id := testIdentity(fmt.Sprintf("d%02d", i), "z")
		if i >= 1 && i <= 3 {
			id.Capacity = 800
		}
		ids = append(ids, id)
	}
	m := NewMembers(ids[0])
	for _, id := range ids[1:] {
		m.LearnIdentity(testTime, id)
	}
	m.UpdateRelays(testTime)
	for _, relay := range ids[1:4] {
		reportFrom(m, testTime, relay, 1)
		m.ReplaceRoster(testTime, relay.Daemon, rosterOf(ids...))
	}
	m.UpdateRelays(testTime)
	if got := slices.Sorted(slices.Values(m.relays)); !slices.Equal(got, []string{"d01", "d02", "d03"}) {
		t.Fatalf("relays %v", got)
	}
	return m, ids
}

func reportFrom(m *Members, at time.Time, id *peer.Identity, sequence uint64) {
	m.RecordReport(at, &peer.Report{Daemon: id.Daemon, Incarnation: 1, Sequence: sequence, State: peer.DaemonState_DAEMON_STATE_READY, Identity: id})
}

func rosterOf(ids ...*peer.Identity) []*peer.Member {
	var members []*peer.Member
	for _, id := range ids {
		members = append(members, &peer.Member{Id: id.Daemon, Incarnation: 1, State: peer.MemberState_MEMBER_STATE_ALIVE})
	}
	return members
}

// digestOf returns the digest that a relay sends with a roster.
func digestOf(members []*peer.Member) uint64 {
	r := newRoster()
	for _, member := range members {
		r.set(member.Id, rosterEntry{incarnation: member.Incarnation, state: daemonStates[member.State]})
	}
	return r.digest
}

// TestRosters guards against a relay that is cut off from some daemons and makes the others regard them as dead, and
// against daemons that no relay hears and that count as live.
func TestRosters(t *testing.T) {
	m, ids := largeFleet(t)
	if live := len(m.Live(testTime)); live != len(ids)-1 {
		t.Fatalf("%d live, want %d", live, len(ids)-1)
	}
	victim := ids[10]
	gone := []*peer.Member{{Id: victim.Daemon, State: peer.MemberState_MEMBER_STATE_DEAD}}
	rest := rosterOf(slices.Delete(slices.Clone(ids), 10, 11)...)
	isLive := func(now time.Time) bool {
		return slices.ContainsFunc(m.Live(now), func(member *Member) bool { return member.Identity.Daemon == victim.Daemon })
	}
	now := testTime.Add(largeFleetHeartbeat)
	for i, relay := range ids[1:4] {
		if !isLive(now) {
			t.Errorf("not live although %d of 3 relays hear the daemon", 3-i)
		}
		reportFrom(m, now, relay, 2)
		m.RecordRoster(now, relay.Daemon, gone, digestOf(rest))
	}
	if isLive(now) {
		t.Error("live although no relay hears the daemon")
	}
	if slices.Contains(m.EntryAddresses(now, "z", true), victim.EntryAddress) {
		t.Error("callers are told the address of a daemon that no relay hears")
	}
	if source := m.RosterSource(now.Add(rosterPullDelay)); source != nil {
		t.Errorf("the roster of %s is pulled although it is known", source.Daemon)
	}
}

// TestRosterIsPulled guards against a daemon that has missed a change of a roster and never learns of it.
func TestRosterIsPulled(t *testing.T) {
	m, ids := largeFleet(t)
	rest := rosterOf(slices.Delete(slices.Clone(ids), 10, 11)...)
	for i := range 4 {
		now := testTime.Add(time.Duration(i+1) * largeFleetHeartbeat)
		for _, relay := range ids[1:4] {
			reportFrom(m, now, relay, uint64(i+2))
			digest := digestOf(rosterOf(ids...))
			if relay == ids[2] {
				digest = digestOf(rest)
			}
			m.RecordRoster(now, relay.Daemon, nil, digest)
		}
		source := m.RosterSource(now)
		if missing := now.Sub(testTime) > rosterPullDelay; (source == ids[2]) != missing || (source != nil) != missing {
			t.Errorf("after %s: pull from %v", now.Sub(testTime), source)
		}
	}
}

// TestSilentRelay guards against a relay that stays in its role although it is not heard, and against regarding all
// daemons as dead when all relays are lost.
func TestSilentRelay(t *testing.T) {
	m, ids := largeFleet(t)
	now := testTime
	for i := range 5 {
		now = now.Add(largeFleetHeartbeat)
		reportFrom(m, now, ids[2], uint64(i+2))
		reportFrom(m, now, ids[3], uint64(i+2))
		for _, relay := range ids[2:4] {
			m.RecordRoster(now, relay.Daemon, nil, digestOf(rosterOf(ids...)))
		}
		m.UpdateRelays(now)
	}
	if slices.Contains(m.relays, "d01") {
		t.Error("a silent relay stays in its role, though the others still have it on their rosters")
	}
	for range 5 {
		now = now.Add(largeFleetHeartbeat)
		m.UpdateRelays(now)
	}
	for _, lost := range []string{"d01", "d02", "d03"} {
		if slices.Contains(m.relays, lost) {
			t.Errorf("%s is still a relay", lost)
		}
	}
	if live := len(m.Live(now)); live < len(ids)-4 {
		t.Errorf("%d of %d daemons live after the loss of the relays", live, len(ids)-4)
	}
	reportFrom(m, now, ids[1], 2)
	m.UpdateRelays(now)
	if !slices.Contains(m.relays, "d01") {
		t.Error("a relay that is heard again does not get its role back")
	}
}

// TestOwnRoster guards against a new relay that drops daemons which have not yet sent it a report, and against one that
// keeps daemons which never do.
func TestOwnRoster(t *testing.T) {
	m, ids := largeFleet(t)
	// d01 and d02 are lost, so d00 becomes a relay if it has the highest weight; make it so by its capacity.
	m.self.Capacity = 900
	m.UpdateRelays(testTime)
	self := rosterEntry{incarnation: 7, state: peer.DaemonState_DAEMON_STATE_READY}
	if !m.PublishRoster(testTime, self) || len(m.OwnRoster()) != len(ids) {
		t.Fatalf("%d on the roster of a new relay, want %d", len(m.OwnRoster()), len(ids))
	}
	now := testTime.Add(rosterChangeTTL)
	for _, id := range ids[1:15] {
		reportFrom(m, now, id, 9)
	}
	m.UpdateRelays(now)
	if !m.PublishRoster(now, self) {
		t.Error("no change when daemons stay silent")
	}
	if got := len(m.OwnRoster()); got != 15 {
		t.Errorf("%d on the roster, want 15", got)
	}
	changes, digest := m.RosterChanges(now)
	if len(changes) > maxRosterChanges || digest != digestOf(m.OwnRoster()) {
		t.Errorf("%d changes, digest %x, want %x", len(changes), digest, digestOf(m.OwnRoster()))
	}
}

// TestRemovedDaemon guards against daemons that learn of a dead one from each other again and again, and against
// ignoring one that is back.
func TestRemovedDaemon(t *testing.T) {
	m, ids := largeFleet(t)
	now := testTime.Add(time.Minute)
	m.UpdateRelays(now)
	m.RemoveSilent(now, 30*time.Second)
	if n := len(m.Identities()); n != 0 {
		t.Fatalf("%d silent daemons are left", n)
	}
	m.LearnIdentity(now, ids[5])
	if n := len(m.Identities()); n != 0 {
		t.Error("a removed daemon was learned of again from another one")
	}
	if !slices.Contains(m.Removed(), ids[5].ControlAddress) {
		t.Error("a removed daemon is not tried again")
	}
	reportFrom(m, now, ids[5], 50)
	if n := len(m.Identities()); n != 1 {
		t.Error("a removed daemon that reports is ignored")
	}
}

// TestMemberDigests guards against Sync replies that hold members which the caller knows, or lack others.
func TestMemberDigests(t *testing.T) {
	m, ids := largeFleet(t)
	other := NewMembers(ids[1])
	for _, id := range ids[2:] {
		other.LearnIdentity(testTime, id)
	}
	for range 2 {
		for _, id := range append(m.Identities(), m.self) {
			if known := id == ids[1] || other.members[id.Daemon] != nil; known && other.digests == m.digests && m.digests.differs(id.Daemon, other.digests[:]) {
				t.Errorf("%s is sent although it is known", id.Daemon)
			}
			if m.digests.differs(id.Daemon, other.digests[:]) {
				other.LearnIdentity(testTime, id)
			}
		}
	}
	if other.digests != m.digests {
		t.Error("the members still differ after an exchange")
	}
	if !m.digests.differs("d05", nil) {
		t.Error("a caller without digests is not sent all members")
	}
}
