package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

const (
	// baseHeartbeatInterval is the time between heartbeats of daemons in a small fleet, and of watchers in any fleet.
	baseHeartbeatInterval = 300 * time.Millisecond
	// maxHeartbeatsPerSecond is the maximum rate of heartbeat datagrams that a daemon sends. Larger fleets use longer
	// intervals to stay below it.
	maxHeartbeatsPerSecond = 60
	// missedHeartbeatLimit is the number of heartbeat intervals without a report after which a daemon is no longer
	// live. Links may lose several percent of the packets, so a few consecutive heartbeats may be missing.
	missedHeartbeatLimit = 4
)

// heartbeatInterval returns the interval for a fleet of n daemons.
func heartbeatInterval(n int) time.Duration {
	return max(baseHeartbeatInterval, time.Duration(n)*time.Second/maxHeartbeatsPerSecond)
}

// Member is the last known state of another entry daemon.
type Member struct {
	Identity    *peer.Identity
	Incarnation uint64
	Sequence    uint64
	State       peer.DaemonState
	Revision    int64
	LastReport  time.Time
	// LastStoreReply is when the store last replied to the member, according to its last report.
	LastStoreReply time.Time
}

// Members holds the other daemons. It does no I/O and reads no clock. It is not safe for concurrent use.
type Members struct {
	self    *peer.Identity
	members map[string]*Member
}

// NewMembers returns an empty set of members for the daemon self.
func NewMembers(self *peer.Identity) *Members {
	return &Members{self: self, members: map[string]*Member{}}
}

// SetIdentity records the addresses of a daemon, for example from its key in the store. The daemon is considered live
// only after a report.
func (m *Members) SetIdentity(id *peer.Identity) {
	if id == nil || id.Daemon == "" || id.Daemon == m.self.Daemon || id.ReportAddress == "" {
		return
	}
	if known := m.members[id.Daemon]; known != nil {
		known.Identity = id
		return
	}
	m.members[id.Daemon] = &Member{Identity: id}
}

// RecordReport records a report and returns its sender. It returns nil for a report that is not newer than the last
// one, and if the sender's addresses are not known yet.
func (m *Members) RecordReport(now time.Time, r *peer.Report) *Member {
	m.SetIdentity(r.Identity)
	known := m.members[r.Daemon]
	if known == nil || r.Incarnation < known.Incarnation ||
		(r.Incarnation == known.Incarnation && r.Sequence <= known.Sequence) {
		return nil
	}
	known.Incarnation, known.Sequence = r.Incarnation, r.Sequence
	known.State, known.Revision, known.LastReport = r.State, r.Revision, now
	known.LastStoreReply = now.Add(-time.Duration(r.StoreAgeMs) * time.Millisecond)
	return known
}

// silenceTimeout returns the time without a report after which a daemon is no longer live.
func (m *Members) silenceTimeout() time.Duration {
	return missedHeartbeatLimit * heartbeatInterval(len(m.members)+1)
}

// isLive reports whether the member has sent a report within the last silenceTimeout.
func (m *Members) isLive(now time.Time, member *Member) bool {
	return !member.LastReport.IsZero() && now.Sub(member.LastReport) < m.silenceTimeout()
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

// watcherCount is the number of daemons that watch the store for the fleet. Not all daemons watch it, because every
// watch makes a call to the store for each change of a watched key, and the store's limit on the rate of calls grows
// more slowly than the fleet.
const watcherCount = 3

// Watchers returns the daemons that watch the store, which are those with the highest rendezvous weight. Daemons with
// the same live members choose the same watchers.
func (m *Members) Watchers(now time.Time) []string {
	candidates := []string{m.self.Daemon}
	for _, member := range m.Live(now) {
		if member.State != peer.DaemonState_DAEMON_STATE_LEAVING {
			candidates = append(candidates, member.Identity.Daemon)
		}
	}
	top := rendezvous.NewSet(candidates).Top(rendezvous.HashString("watch"), watcherCount)
	watchers := make([]string, len(top))
	for i, n := range top {
		watchers[i] = candidates[n]
	}
	return watchers
}

// MustWatch reports whether this daemon must watch the store: it is one of the watchers, or there is no other watcher
// whose last report and last reply from the store are both more recent than maxAge.
func (m *Members) MustWatch(now time.Time, maxAge time.Duration) bool {
	fresh := false
	for _, id := range m.Watchers(now) {
		if id == m.self.Daemon {
			return true
		}
		if member := m.members[id]; member != nil && now.Sub(member.LastStoreReply) < maxAge && now.Sub(member.LastReport) < maxAge {
			fresh = true
		}
	}
	return !fresh
}

// Schedulers returns the ready daemons in order of preference as scheduler: by capacity, highest first, and among
// equals by rendezvous weight. It includes this daemon if selfReady is set.
func (m *Members) Schedulers(now time.Time, selfReady bool) []*Member {
	var ready []*Member
	if selfReady {
		ready = append(ready, &Member{Identity: m.self, State: peer.DaemonState_DAEMON_STATE_READY})
	}
	for _, member := range m.Live(now) {
		if member.State == peer.DaemonState_DAEMON_STATE_READY {
			ready = append(ready, member)
		}
	}
	key := rendezvous.HashString("scheduler")
	slices.SortFunc(ready, func(a, b *Member) int {
		return cmp.Or(
			cmp.Compare(b.Identity.Capacity, a.Identity.Capacity),
			cmp.Compare(rendezvous.Weight(key, rendezvous.HashString(b.Identity.Daemon)), rendezvous.Weight(key, rendezvous.HashString(a.Identity.Daemon))),
		)
	})
	return ready
}

// ForwardsChanges reports whether this daemon's reports include recently changed entries. In a large fleet only daemons
// that must watch the store include them; otherwise each change would be sent between every pair of daemons. Daemons
// that miss a change notice it by the revision in a report and pull it.
func (m *Members) ForwardsChanges(now time.Time, maxAge time.Duration) bool {
	return len(m.members) <= maxSmallFleetPeers || m.MustWatch(now, maxAge)
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

// RemoveSilent removes daemons that are not registered in the store and have sent no report for the given time, or none
// at all.
func (m *Members) RemoveSilent(now time.Time, silence time.Duration, registered func(daemon string) bool) {
	for id, member := range m.members {
		if now.Sub(member.LastReport) > silence && !registered(id) {
			delete(m.members, id)
		}
	}
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
