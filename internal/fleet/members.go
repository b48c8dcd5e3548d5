package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

const (
	// minHeartbeatInterval is the longest time between two reports of a daemon in a small fleet, and of a
	// watcher in any.
	minHeartbeatInterval = 300 * time.Millisecond
	// maxHeartbeatsPerSecond is the number of datagrams a second that a daemon sends as heartbeats at most; larger
	// fleets have longer intervals.
	maxHeartbeatsPerSecond = 60
	// missedHeartbeatLimit is the number of intervals of silence after which a daemon counts as dead. Links may
	// lose several packets in a hundred, so that a few in a row may be missing.
	missedHeartbeatLimit = 4
)

// heartbeatInterval returns the interval for a fleet of n daemons.
func heartbeatInterval(n int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(n)*time.Second/maxHeartbeatsPerSecond)
}

// Member is another entry daemon.
type Member struct {
	Identity    *peer.Identity
	Incarnation uint64
	Sequence    uint64
	State       peer.DaemonState
	Revision    int64
	LastReport  time.Time
	// LastStoreReply is when the store last answered the member, as far as it has told.
	LastStoreReply time.Time
}

// Members is the list of the other daemons. It is pure: the time is passed in and callers serialize calls.
type Members struct {
	self    *peer.Identity
	members map[string]*Member
}

// NewMembers returns an empty list for a daemon.
func NewMembers(self *peer.Identity) *Members {
	return &Members{self: self, members: map[string]*Member{}}
}

// AddIdentity records where a daemon is reached, for example from its key in the store. Only a report shows
// that it lives.
func (m *Members) AddIdentity(id *peer.Identity) {
	if id == nil || id.Daemon == "" || id.Daemon == m.self.Daemon || id.ReportAddress == "" {
		return
	}
	if known := m.members[id.Daemon]; known != nil {
		known.Identity = id
		return
	}
	m.members[id.Daemon] = &Member{Identity: id}
}

// HandleReport records a report. It returns nil for one that is older than the last, or whose sender's
// addresses are not known yet.
func (m *Members) HandleReport(now time.Time, r *peer.Report) *Member {
	m.AddIdentity(r.Identity)
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

// failureTimeout is the silence after which a daemon counts as dead.
func (m *Members) failureTimeout() time.Duration {
	return missedHeartbeatLimit * heartbeatInterval(len(m.members)+1)
}

// alive says whether a member's last report is recent.
func (m *Members) alive(now time.Time, member *Member) bool {
	return !member.LastReport.IsZero() && now.Sub(member.LastReport) < m.failureTimeout()
}

// Live returns the other daemons that were heard lately, sorted by name.
func (m *Members) Live(now time.Time) []*Member {
	var live []*Member
	for _, member := range m.members {
		if m.alive(now, member) {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b *Member) int { return cmp.Compare(a.Identity.Daemon, b.Identity.Daemon) })
	return live
}

// watcherCount is the number of daemons that watch the store for the fleet. The store's rate grows more
// slowly than the fleet, and each change of a watched key costs one call for each watch.
const watcherCount = 3

// Watchers returns the daemons that watch the store: those with the highest rendezvous weight. All daemons
// that see the same members agree.
func (m *Members) Watchers(now time.Time) []string {
	ids := []string{m.self.Daemon}
	for _, member := range m.Live(now) {
		if member.State != peer.DaemonState_DAEMON_STATE_LEAVING {
			ids = append(ids, member.Identity.Daemon)
		}
	}
	top := rendezvous.NewSet(ids).Top(rendezvous.Key("watch"), watcherCount)
	watchers := make([]string, len(top))
	for i, n := range top {
		watchers[i] = ids[n]
	}
	return watchers
}

// MustWatch says whether this daemon watches the store: it is one of the watchers, or none of them has
// told lately that the store answers it.
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

// Schedulers returns the daemons that may place requests for the fleet, the one to ask first at the front:
// those with the most processor time, among them by rendezvous.
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
	key := rendezvous.Key("scheduler")
	slices.SortFunc(ready, func(a, b *Member) int {
		return cmp.Or(
			cmp.Compare(b.Identity.Capacity, a.Identity.Capacity),
			cmp.Compare(rendezvous.Weight(key, rendezvous.Key(b.Identity.Daemon)), rendezvous.Weight(key, rendezvous.Key(a.Identity.Daemon))),
		)
	})
	return ready
}

// ForwardsChanges says whether this daemon's reports carry the keys that changed lately. In a large fleet only those
// of watchers do: from all daemons, each change would travel once over each pair. Others learn from the
// revision in a report that they have missed one, and ask for it.
func (m *Members) ForwardsChanges(now time.Time, maxAge time.Duration) bool {
	return len(m.members) <= maxSmallFleetPeers || m.MustWatch(now, maxAge)
}

// Identities returns where all known daemons are reached, also silent ones.
func (m *Members) Identities() []*peer.Identity {
	ids := make([]*peer.Identity, 0, len(m.members))
	for _, member := range m.members {
		ids = append(ids, member.Identity)
	}
	slices.SortFunc(ids, func(a, b *peer.Identity) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return ids
}

// RemoveSilent drops daemons that have been silent for the given time and are not registered in the store.
func (m *Members) RemoveSilent(now time.Time, silence time.Duration, registered func(daemon string) bool) {
	for id, member := range m.members {
		if now.Sub(member.LastReport) > silence && !registered(id) {
			delete(m.members, id)
		}
	}
}

// minEntryAddresses is the number of addresses in an answer to callers where the fleet has as many, so
// that a caller whose address fails has another one at once.
const minEntryAddresses = 2

// maxEntryAddresses bounds the addresses of one answer; callers use no more than 64.
const maxEntryAddresses = 16

// EntryAddresses returns the entry addresses for callers of an availability zone: the ready daemons of the
// zone and, if those are fewer than two, one of another zone. Traffic within a zone is faster and cheaper.
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
		if member.State == peer.DaemonState_DAEMON_STATE_READY && m.alive(now, member) {
			add(member.Identity)
		}
	}
	// All daemons order the others alike for a zone, and zones prefer different ones.
	key := rendezvous.Key(zone)
	byWeight := func(a, b *peer.Identity) int {
		return cmp.Compare(rendezvous.Weight(key, rendezvous.Key(b.Daemon)), rendezvous.Weight(key, rendezvous.Key(a.Daemon)))
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
