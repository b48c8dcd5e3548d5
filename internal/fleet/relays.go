package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

const (
	// newMemberGrace is how long a daemon that is new to this one counts as live in the choice of the relays before it
	// has been heard.
	newMemberGrace = 5 * time.Second
	// identifyTime is how long the reports of a daemon include its addresses after a change of the relays.
	identifyTime = 3 * time.Second
)

// relayCount is the number of relays, which watch the store for the fleet. Not all daemons watch it, because every
// watch makes a call to the store for each change of a watched key, and the store's limit on the rate of calls grows
// more slowly than the fleet.
const relayCount = 3

// registrantCount is the number of daemons that keep a key in the store. A daemon that reaches none of its seeds needs
// only some of the others, from which it learns of the rest.
const registrantCount = 8

// UpdateRelays chooses the relays, which are the daemons that watch the store and, in a large fleet, tell all others
// which daemons are live. They are those with the highest capacity, since they send to all others, and among equals
// those with the highest rendezvous weight. Daemons with the same live members choose the same relays. A relay that is
// not heard within silenceTimeout is replaced, until it is heard again.
func (m *Members) UpdateRelays(now time.Time) {
	m.updateListed(now)
	var candidates []*Member
	for _, member := range m.members {
		live := m.isLive(now, member)
		if live {
			member.lastLive = now
		} else if !member.relaySince.IsZero() && now.Sub(member.relaySince) >= m.silenceTimeout() {
			member.relayFailed = now
		}
		if (live || m.presumedLive(now, member)) && (member.relayFailed.IsZero() || member.LastReport.After(member.relayFailed)) {
			candidates = append(candidates, member)
		}
	}
	relays := m.top(candidates, "watch", true, relayCount)
	if !slices.Equal(relays, m.relays) {
		m.relays, m.relaysChangedAt = relays, now
	}
	for _, member := range m.members {
		switch relay := slices.Contains(m.relays, member.Identity.Daemon); {
		case !relay:
			member.relaySince = time.Time{}
		case member.relaySince.IsZero():
			member.relaySince = now
		}
	}
}

// presumedLive reports whether a member that is not live counts as live in the choice of the relays: it is new to this
// daemon, or it is a new relay.
func (m *Members) presumedLive(now time.Time, member *Member) bool {
	if !member.relaySince.IsZero() {
		return now.Sub(member.relaySince) < m.silenceTimeout()
	}
	return m.isLarge() && member.LastReport.IsZero() && member.lastLive.IsZero() && now.Sub(member.learnedAt) < newMemberGrace
}

// MustIdentify reports whether a relay may not yet know this daemon.
func (m *Members) MustIdentify(now time.Time) bool { return now.Sub(m.relaysChangedAt) < identifyTime }

// IsRelay reports whether this daemon is a relay.
func (m *Members) IsRelay() bool { return slices.Contains(m.relays, m.self.Daemon) }

// IsRegistrant reports whether this daemon must keep a key in the store. It considers all members, because a daemon that
// has just started has not yet received a report from each.
func (m *Members) IsRegistrant() bool {
	return slices.Contains(m.top(slices.Collect(maps.Values(m.members)), "register", false, registrantCount), m.self.Daemon)
}

// top returns the first n of this daemon and those of the others that are not leaving, in the order of a role.
func (m *Members) top(others []*Member, role string, byCapacity bool, n int) []string {
	candidates := []*Member{{Identity: m.self, nameHash: rendezvous.HashString(m.self.Daemon)}}
	for _, member := range others {
		if member.State != peer.DaemonState_DAEMON_STATE_LEAVING {
			candidates = append(candidates, member)
		}
	}
	sortByRole(candidates, role, byCapacity)
	names := make([]string, min(n, len(candidates)))
	for i := range names {
		names[i] = candidates[i].Identity.Daemon
	}
	return names
}

// sortByRole sorts daemons by preference for a role: by capacity, highest first, if byCapacity is set, and among equals
// by rendezvous weight.
func sortByRole(members []*Member, role string, byCapacity bool) {
	key := rendezvous.HashString(role)
	slices.SortFunc(members, func(a, b *Member) int {
		if byCapacity && a.Identity.Capacity != b.Identity.Capacity {
			return cmp.Compare(b.Identity.Capacity, a.Identity.Capacity)
		}
		return cmp.Compare(rendezvous.Weight(key, b.nameHash), rendezvous.Weight(key, a.nameHash))
	})
}

// StoreIsWatched reports whether a relay other than this daemon has sent a report within maxAge, whose last reply from
// the store is not older either.
func (m *Members) StoreIsWatched(now time.Time, maxAge time.Duration) bool {
	return slices.ContainsFunc(m.relays, func(id string) bool {
		member := m.members[id]
		return member != nil && now.Sub(member.LastStoreReply) < maxAge && now.Sub(member.LastReport) < maxAge
	})
}

// MustWatch reports whether this daemon must watch the store: it is a relay, or no relay does.
func (m *Members) MustWatch(now time.Time, maxAge time.Duration) bool {
	return m.IsRelay() || !m.StoreIsWatched(now, maxAge)
}

// RelayIdentities returns the identities of the other daemons that are relays.
func (m *Members) RelayIdentities() []*peer.Identity {
	var ids []*peer.Identity
	for _, id := range m.relays {
		if member := m.members[id]; member != nil {
			ids = append(ids, member.Identity)
		}
	}
	return ids
}

// ForwardsChanges reports whether this daemon's reports include recently changed entries. In a large fleet only daemons
// that must watch the store include them; otherwise each change would be sent between every pair of daemons. Daemons
// that miss a change notice it by the revision in a report and pull it.
func (m *Members) ForwardsChanges(now time.Time, maxAge time.Duration) bool {
	return !m.isLarge() || m.MustWatch(now, maxAge)
}

// schedulersMaxAge is how long the order of the schedulers is used again while no daemon changes its state.
const schedulersMaxAge = 100 * time.Millisecond

// schedulerOrder is a result of Schedulers.
type schedulerOrder struct {
	members   []*Member
	at        time.Time
	selfReady bool
}

// maxSchedulers is the number of daemons that Schedulers returns. The first ones place all requests of the fleet; the
// others replace them.
const maxSchedulers = 8

// Schedulers returns copies of the first maxSchedulers ready daemons in order of preference as scheduler: by capacity,
// highest first, and among equals by rendezvous weight. They include this daemon if selfReady is set. The result must
// not be modified.
func (m *Members) Schedulers(now time.Time, selfReady bool) []*Member {
	if o := m.schedulers; o.members != nil && o.selfReady == selfReady && now.Sub(o.at) < schedulersMaxAge {
		return o.members
	}
	ready := []*Member{}
	if selfReady {
		ready = append(ready, &Member{Identity: m.self, State: peer.DaemonState_DAEMON_STATE_READY, nameHash: rendezvous.HashString(m.self.Daemon)})
	}
	for _, member := range m.members {
		if member.State == peer.DaemonState_DAEMON_STATE_READY && m.isLive(now, member) {
			ready = append(ready, member)
		}
	}
	sortByRole(ready, "scheduler", true)
	ready = ready[:min(len(ready), maxSchedulers)]
	for i, member := range ready {
		snapshot := *member
		ready[i] = &snapshot
	}
	m.schedulers = schedulerOrder{members: ready, at: now, selfReady: selfReady}
	return ready
}
