package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/peer"
)

// In a large fleet a daemon sends its heartbeats only to a few relays. Each relay maintains a roster of the daemons
// that it hears, and sends changes of the roster, with a digest of all of it, to every daemon. Traffic at a daemon then
// does not depend on the size of the fleet. A daemon counts as live while any relay hears it, so that a relay that is
// partly cut off does not remove the daemons that only it cannot hear.

const (
	// rosterMaxAge is how long the roster of a silent relay is used while no other relay is heard.
	rosterMaxAge = 10 * time.Second
	// rosterChangeTTL is how long reports of a relay repeat a change of its roster.
	rosterChangeTTL = 2 * time.Second
	// maxRosterChanges bounds the changes in one report. Daemons pull the roster when they missed changes.
	maxRosterChanges = 16
	// rosterPullDelay is how long the digest of a relay must have differed from that of its known roster before the
	// roster is pulled.
	rosterPullDelay = time.Second
)

// rosterEntry is the last known state of a daemon on a roster.
type rosterEntry struct {
	incarnation uint64
	state       peer.DaemonState
}

// roster holds the daemons that a relay hears.
type roster struct {
	entries map[string]rosterEntry
	// digest is the XOR of the digests of all entries.
	digest uint64
	// heardAt is when the relay last sent a report, and matchedAt when the digest in it was last the expected one.
	heardAt   time.Time
	matchedAt time.Time
}

func newRoster() *roster { return &roster{entries: map[string]rosterEntry{}} }

// rosterDigest returns the contribution of an entry to the digest of a roster.
func rosterDigest(daemon string, e rosterEntry) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(daemon)
	var fields [9]byte
	binary.LittleEndian.PutUint64(fields[:], e.incarnation)
	fields[8] = byte(e.state)
	_, _ = h.Write(fields[:])
	return h.Sum64()
}

// set adds or replaces an entry.
func (r *roster) set(daemon string, e rosterEntry) {
	r.remove(daemon)
	r.entries[daemon] = e
	r.digest ^= rosterDigest(daemon, e)
}

func (r *roster) remove(daemon string) {
	if e, ok := r.entries[daemon]; ok {
		r.digest ^= rosterDigest(daemon, e)
		delete(r.entries, daemon)
	}
}

// rosterChange is a change of this daemon's roster that its reports include until the given time.
type rosterChange struct {
	member *peer.Member
	until  time.Time
}

// ownRoster is the roster that this daemon sends as a relay.
type ownRoster struct {
	// roster is nil if this daemon is no relay. Otherwise it has been one since the given time.
	roster *roster
	since  time.Time
	// changes are the latest changes, and version counts all of them.
	changes []rosterChange
	version int
}

// daemonStates maps the states of members on a roster. All others stand for a daemon that is not heard.
var daemonStates = map[peer.MemberState]peer.DaemonState{
	peer.MemberState_MEMBER_STATE_STARTING: peer.DaemonState_DAEMON_STATE_STARTING,
	peer.MemberState_MEMBER_STATE_ALIVE:    peer.DaemonState_DAEMON_STATE_READY,
	peer.MemberState_MEMBER_STATE_LEAVING:  peer.DaemonState_DAEMON_STATE_LEAVING,
}

// memberState is the inverse of daemonStates.
func memberState(s peer.DaemonState) peer.MemberState {
	for member, daemon := range daemonStates {
		if daemon == s {
			return member
		}
	}
	return peer.MemberState_MEMBER_STATE_UNSPECIFIED
}

// RecordRoster applies the changes in a report of a relay.
func (m *Members) RecordRoster(now time.Time, relay string, changes []*peer.Member, digest uint64) {
	if digest == 0 {
		delete(m.rosters, relay)
		return
	}
	r := m.rosters[relay]
	if r == nil {
		r = newRoster()
		// The first roster is pulled soon, since the changes are only a part of it.
		r.matchedAt = now.Add(-rosterPullDelay / 2)
		m.rosters[relay] = r
	}
	r.heardAt = now
	var changed []string
	for _, change := range changes {
		if m.applyRosterEntry(now, r, change) {
			changed = append(changed, change.Id)
		}
	}
	if len(changed) > 0 {
		m.schedulers = schedulerOrder{}
		heard := m.rostersHeardWithin(now, m.silenceTimeout())
		for _, id := range changed {
			if member := m.members[id]; member != nil {
				member.listed = isListed(id, heard)
			}
		}
	}
	if r.digest == digest {
		r.matchedAt = now
	}
}

// ReplaceRoster replaces the known roster of a relay by a complete one.
func (m *Members) ReplaceRoster(now time.Time, relay string, members []*peer.Member) {
	r := newRoster()
	for _, member := range members {
		m.applyRosterEntry(now, r, member)
	}
	r.heardAt, r.matchedAt = now, now
	m.rosters[relay] = r
	m.updateListed(now)
	m.schedulers = schedulerOrder{}
}

// applyRosterEntry applies one entry to a roster, and the daemon's state to the members. It reports whether the roster
// has changed.
func (m *Members) applyRosterEntry(now time.Time, r *roster, entry *peer.Member) bool {
	state, heard := daemonStates[entry.State]
	digest := r.digest
	if !heard {
		r.remove(entry.Id)
		return r.digest != digest
	}
	r.set(entry.Id, rosterEntry{incarnation: entry.Incarnation, state: state})
	if entry.GossipAddress != "" {
		// A relay hears the daemon, even if this daemon has removed it.
		m.SetIdentity(now, identityFromMember(entry))
	}
	// Within an incarnation the states of a daemon only increase.
	if known := m.members[entry.Id]; known != nil &&
		(entry.Incarnation > known.Incarnation || (entry.Incarnation == known.Incarnation && state > known.State)) {
		if entry.Incarnation > known.Incarnation {
			known.Sequence = 0
		}
		m.setState(known, entry.Incarnation, state)
	}
	return r.digest != digest
}

// updateListed determines which members are on a roster that counts. Rosters of silent relays count only while no relay
// is heard.
func (m *Members) updateListed(now time.Time) {
	rosters := m.rostersHeardWithin(now, m.silenceTimeout())
	if len(rosters) == 0 {
		rosters = m.rostersHeardWithin(now, rosterMaxAge)
	}
	for id, member := range m.members {
		member.listed = isListed(id, rosters)
	}
}

func isListed(daemon string, rosters []*roster) bool {
	for _, r := range rosters {
		if _, ok := r.entries[daemon]; ok {
			return true
		}
	}
	return false
}

func (m *Members) rostersHeardWithin(now time.Time, age time.Duration) []*roster {
	var heard []*roster
	for _, r := range m.rosters {
		if now.Sub(r.heardAt) < age {
			heard = append(heard, r)
		}
	}
	return heard
}

// RosterSource returns a relay whose roster must be pulled, or nil if there is none.
func (m *Members) RosterSource(now time.Time) *peer.Identity {
	for relay, r := range m.rosters {
		member := m.members[relay]
		if member != nil && now.Sub(r.heardAt) < m.silenceTimeout() && now.Sub(r.matchedAt) > rosterPullDelay {
			return member.Identity
		}
	}
	return nil
}

// PublishRoster updates the roster that this daemon sends as a relay and reports whether it has changed. A daemon that
// becomes a relay starts with the daemons that the other relays hear, until rosterChangeTTL later all of them should
// have sent it a report. A daemon that is no relay has no roster.
func (m *Members) PublishRoster(now time.Time, self rosterEntry) bool {
	if !m.isLarge() || !m.IsRelay() {
		m.own = ownRoster{}
		return false
	}
	if m.own.roster == nil {
		m.own.roster, m.own.since = newRoster(), now
	}
	version := m.own.version
	m.updateOwnEntry(now, m.self.Daemon, m.self, self, true)
	for id, member := range m.members {
		heard := m.heardDirectly(now, member) || (now.Sub(m.own.since) < rosterChangeTTL && m.isLive(now, member))
		m.updateOwnEntry(now, id, member.Identity, rosterEntry{incarnation: member.Incarnation, state: member.State}, heard)
	}
	for id := range m.own.roster.entries {
		if m.members[id] == nil && id != m.self.Daemon {
			m.updateOwnEntry(now, id, &peer.Identity{Daemon: id}, rosterEntry{}, false)
		}
	}
	return m.own.version > version
}

// updateOwnEntry records the state of one daemon on this daemon's roster.
func (m *Members) updateOwnEntry(now time.Time, id string, identity *peer.Identity, e rosterEntry, heard bool) {
	old, listed := m.own.roster.entries[id]
	if heard == listed && (!listed || old == e) {
		return
	}
	change := &peer.Member{Id: id, State: peer.MemberState_MEMBER_STATE_DEAD}
	if heard {
		m.own.roster.set(id, e)
		change = memberFromIdentity(identity)
		change.Incarnation, change.State = e.incarnation, memberState(e.state)
	} else {
		m.own.roster.remove(id)
	}
	m.own.changes = slices.DeleteFunc(m.own.changes, func(c rosterChange) bool { return c.member.Id == id })
	m.own.changes = append(m.own.changes, rosterChange{member: change, until: now.Add(rosterChangeTTL)})
	m.own.version++
}

// RosterChanges returns the latest changes of this daemon's roster, oldest first, and the digest of the roster. The
// digest is 0 if this daemon is no relay.
func (m *Members) RosterChanges(now time.Time) ([]*peer.Member, uint64) {
	if m.own.roster == nil {
		return nil, 0
	}
	m.own.changes = slices.DeleteFunc(m.own.changes, func(c rosterChange) bool { return now.After(c.until) })
	var changes []*peer.Member
	for _, c := range m.own.changes[max(len(m.own.changes)-maxRosterChanges, 0):] {
		changes = append(changes, c.member)
	}
	return changes, m.own.roster.digest
}

// OwnRoster returns the complete roster of this daemon, sorted by name, or nil if it is no relay.
func (m *Members) OwnRoster() []*peer.Member {
	if m.own.roster == nil {
		return nil
	}
	members := make([]*peer.Member, 0, len(m.own.roster.entries))
	for id, e := range m.own.roster.entries {
		members = append(members, &peer.Member{Id: id, Incarnation: e.incarnation, State: memberState(e.state)})
	}
	slices.SortFunc(members, func(a, b *peer.Member) int { return cmp.Compare(a.Id, b.Id) })
	return members
}
