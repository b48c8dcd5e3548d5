package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

const (
	// smallFleetHeartbeat is the time between heartbeats in a small fleet, where they go to all other daemons, and
	// largeFleetHeartbeat that in a large one, where they go to the relays, and from them to all.
	smallFleetHeartbeat = 300 * time.Millisecond
	largeFleetHeartbeat = 400 * time.Millisecond
	// missedHeartbeatLimit is the number of heartbeat intervals without a report after which a daemon is no longer
	// live. Links may lose several percent of the packets, so a few consecutive heartbeats may be missing.
	missedHeartbeatLimit = 4
	// maxSmallFleetPeers is the maximum number of other daemons in a small fleet. There, full reports go to all
	// daemons, and all daemons forward changes of the store.
	maxSmallFleetPeers = 8
)

// Member is the last known state of another entry daemon.
type Member struct {
	Identity    *peer.Identity
	Incarnation uint64
	Sequence    uint64
	State       peer.DaemonState
	Revision    int64
	LastReport  time.Time
	// learnedAt is when this daemon first learned of the member, and lastLive when the member was last seen to be live.
	learnedAt time.Time
	lastLive  time.Time
	// listed is set when the member is on a roster that counts, see updateListed.
	listed bool
	// silent is set when Silent has returned the member and it has not been live since.
	silent bool
	// relaySince is when the member became a relay, as far as this daemon knows; zero if it is none. relayFailed is when
	// it last lost the role because it was not heard.
	relaySince  time.Time
	relayFailed time.Time
	// nameHash is the rendezvous hash of the member's name.
	nameHash rendezvous.Hash
	// digest is the member's contribution to the digest of its bucket.
	digest uint64
	// LastStoreReply is when the store last replied to the member, according to its last report.
	LastStoreReply time.Time
}

// Members holds the other daemons. It does no I/O and reads no clock. It is not safe for concurrent use.
type Members struct {
	self    *peer.Identity
	members map[string]*Member
	// removed holds the daemons that were removed because they were silent. What others say of them is ignored, so that
	// daemons do not learn of a dead one from each other again and again.
	removed map[string]removedMember
	digests memberDigests
	// relays are the names of the relays, most preferred first, which have been the same since relaysChangedAt.
	relays          []string
	relaysChangedAt time.Time
	// rosters holds the known roster of each relay, and own the roster that this daemon sends as a relay.
	rosters map[string]*roster
	own     ownRoster
	// schedulers is the latest result of Schedulers.
	schedulers schedulerOrder
	// newestRevision is the newest revision that any daemon has reported.
	newestRevision int64
}

// removedMember is a daemon that was removed from the members.
type removedMember struct {
	identity *peer.Identity
	at       time.Time
}

// NewMembers returns an empty set of members for the daemon self.
func NewMembers(self *peer.Identity) *Members {
	m := &Members{self: self, members: map[string]*Member{}, removed: map[string]removedMember{}, rosters: map[string]*roster{}}
	m.digests.toggle(self.Daemon, identityDigest(self))
	return m
}

// SetIdentity records the addresses of a daemon, as sent by itself. The daemon is considered live only after a report.
func (m *Members) SetIdentity(now time.Time, id *peer.Identity) {
	if id == nil || id.Daemon == "" || id.Daemon == m.self.Daemon || id.ReportAddress == "" {
		return
	}
	delete(m.removed, id.Daemon)
	known := m.members[id.Daemon]
	if known == nil {
		known = &Member{learnedAt: now, nameHash: rendezvous.HashString(id.Daemon)}
		m.members[id.Daemon] = known
	}
	digest := identityDigest(id)
	m.digests.toggle(id.Daemon, known.digest^digest)
	known.Identity, known.digest = id, digest
}

// LearnIdentity records the addresses of a daemon that another source states: another daemon or the store. It ignores
// daemons that were removed recently.
func (m *Members) LearnIdentity(now time.Time, id *peer.Identity) {
	if _, removed := m.removed[id.GetDaemon()]; !removed {
		m.SetIdentity(now, id)
	}
}

// RecordReport records a report and returns its sender. It returns nil for a report that is not newer than the last
// one, and if the sender's addresses are not known yet.
func (m *Members) RecordReport(now time.Time, r *peer.Report) *Member {
	m.SetIdentity(now, r.Identity)
	known := m.members[r.Daemon]
	if known == nil || r.Incarnation < known.Incarnation ||
		(r.Incarnation == known.Incarnation && r.Sequence <= known.Sequence) {
		return nil
	}
	m.setState(known, r.Incarnation, r.State)
	known.Sequence, known.Revision, known.LastReport = r.Sequence, r.Revision, now
	known.LastStoreReply = now.Add(-time.Duration(r.StoreAgeMs) * time.Millisecond)
	m.newestRevision = max(m.newestRevision, r.Revision)
	return known
}

// Size returns the number of other daemons that are known, whether live or not.
func (m *Members) Size() int { return len(m.members) }

// isLarge reports whether the fleet has relays.
func (m *Members) isLarge() bool { return len(m.members) > maxSmallFleetPeers }

// HeartbeatInterval returns the time between the heartbeats of a daemon.
func (m *Members) HeartbeatInterval() time.Duration {
	if m.isLarge() {
		return largeFleetHeartbeat
	}
	return smallFleetHeartbeat
}

// silenceTimeout returns the time without a report after which a daemon is no longer heard.
func (m *Members) silenceTimeout() time.Duration { return missedHeartbeatLimit * m.HeartbeatInterval() }

// heardDirectly reports whether the member has sent this daemon a report within the last silenceTimeout.
func (m *Members) heardDirectly(now time.Time, member *Member) bool {
	return !member.LastReport.IsZero() && now.Sub(member.LastReport) < m.silenceTimeout()
}

// isLive reports whether this daemon or a relay hears the member.
func (m *Members) isLive(now time.Time, member *Member) bool {
	if m.heardDirectly(now, member) {
		return true
	}
	// A relay sends to all, so what others say of it does not count.
	return member.relaySince.IsZero() && member.listed && m.isLarge()
}

// Live returns the other daemons that are live, sorted by name.
func (m *Members) Live(now time.Time) []*Member {
	var live []*Member
	for _, member := range m.members {
		if m.isLive(now, member) {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.Identity.Daemon, b.Identity.Daemon) })
	return live
}

// setState sets the state of a member, in an incarnation of it.
func (m *Members) setState(member *Member, incarnation uint64, state peer.DaemonState) {
	if member.Incarnation != incarnation || member.State != state {
		member.Incarnation, member.State = incarnation, state
		m.schedulers = schedulerOrder{}
	}
}

// NewerThan returns the live daemons whose last report had a revision newer than the given one.
func (m *Members) NewerThan(now time.Time, revision int64) []*peer.Identity {
	var ids []*peer.Identity
	for _, member := range m.members {
		if member.Revision > revision && m.isLive(now, member) {
			ids = append(ids, member.Identity)
		}
	}
	return ids
}

// Silent returns the daemons that were live, as of UpdateRelays, and have not been for the given time. It returns each
// one once.
func (m *Members) Silent(now time.Time, silence time.Duration) []string {
	var silent []string
	for id, member := range m.members {
		isSilent := !member.lastLive.IsZero() && now.Sub(member.lastLive) > silence
		if isSilent && !member.silent {
			silent = append(silent, id)
		}
		member.silent = isSilent
	}
	return silent
}

// Identities returns the identities of all known daemons, whether live or not, sorted by name.
func (m *Members) Identities() []*peer.Identity {
	ids := make([]*peer.Identity, 0, len(m.members))
	for _, member := range m.members {
		ids = append(ids, member.Identity)
	}
	slices.SortFunc(ids, func(a, b *peer.Identity) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return ids
}

// removedRetention is how long removed daemons are remembered.
const removedRetention = 5 * time.Minute

// RemoveSilent removes daemons that have not been live, as of UpdateRelays, for the given time and were not learned of
// within it.
func (m *Members) RemoveSilent(now time.Time, silence time.Duration) {
	for id, member := range m.members {
		if now.Sub(member.lastLive) > silence && now.Sub(member.learnedAt) > silence {
			m.digests.toggle(id, member.digest)
			m.removed[id] = removedMember{identity: member.Identity, at: now}
			delete(m.members, id)
			delete(m.rosters, id)
		}
	}
	for id, r := range m.removed {
		if now.Sub(r.at) > removedRetention {
			delete(m.removed, id)
		}
	}
}

// Removed returns the control addresses of the daemons that were removed recently. They may be back, behind a
// partition that has healed.
func (m *Members) Removed() []string {
	addresses := make([]string, 0, len(m.removed))
	for _, r := range m.removed {
		addresses = append(addresses, r.identity.ControlAddress)
	}
	return addresses
}

// minEntryAddresses is the minimum number of addresses returned to callers if the fleet has that many, so that a
// caller can fail over immediately.
const minEntryAddresses = 2

// maxEntryAddresses is the maximum number of addresses returned to callers, which use at most 64.
const maxEntryAddresses = 16

// EntryAddresses returns the entry addresses for callers in an availability zone: the ready daemons of the zone and,
// if those are fewer than minEntryAddresses, daemons of other zones. Traffic within a zone is faster and cheaper.
func (m *Members) EntryAddresses(now time.Time, zone string, selfReady bool) []string {
	var local, remote []*peer.Identity
	add := func(id *peer.Identity) {
		if id.Zone == zone {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	if selfReady {
		add(m.self)
	}
	for _, member := range m.members {
		if member.State == peer.DaemonState_DAEMON_STATE_READY && m.isLive(now, member) {
			add(member.Identity)
		}
	}
	// All daemons compute the same order for a zone, and the preferred daemons differ between zones.
	key := rendezvous.HashString(zone)
	byWeight := func(a, b *peer.Identity) int {
		return cmp.Compare(rendezvous.Weight(key, rendezvous.HashString(b.Daemon)), rendezvous.Weight(key, rendezvous.HashString(a.Daemon)))
	}
	slices.SortFunc(local, byWeight)
	slices.SortFunc(remote, byWeight)
	chosen := local[:min(len(local), maxEntryAddresses)]
	if missing := minEntryAddresses - len(chosen); missing > 0 {
		chosen = append(slices.Clone(chosen), remote[:min(len(remote), missing)]...)
	}
	addresses := make([]string, len(chosen))
	for i, id := range chosen {
		addresses[i] = id.EntryAddress
	}
	return addresses
}
