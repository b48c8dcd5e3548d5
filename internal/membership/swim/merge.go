package swim

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// Merge applies records that another daemon has sent over the peer service, often its whole view. Claims
// that known members are suspect or dead are ignored: after a partition they would put all members of
// the other side under suspicion at once, faster than those can refute. A daemon learns of failures
// only by probes and by gossip.
func (s *State) Merge(now time.Duration, view []*peer.Member) {
	before := slices.Clone(s.broadcasts)
	s.merge(now, view, false)
	if len(s.broadcasts)-len(before) <= maxGossipedRecords {
		return
	}
	// A daemon that learns this many records has just joined or was out of contact, and the other
	// members already know them. Gossiping them all would fill its packets for minutes.
	s.broadcasts = before
	s.queueUpdate(s.self.Id)
}

// maxGossipedRecords is the number of new records in one Merge up to which they are gossiped.
const maxGossipedRecords = 16

// merge applies updates from gossip or, if gossip is false, the records passed to Merge. Only gossip may
// claim that a known member is suspect or dead.
func (s *State) merge(now time.Duration, updates []*peer.Member, gossip bool) {
	for _, u := range updates {
		if u == nil || u.Id == "" || precedence(u.State) == 0 {
			continue
		}
		if u.Id == s.self.Id {
			s.refute(u)
			continue
		}
		_, known := s.members[u.Id]
		if !gossip && known && (u.State == suspect || u.State == dead) {
			continue
		}
		s.apply(now, u)
	}
}

// refute answers a claim about this daemon that it did not make itself. A claim with a higher
// incarnation stems from an earlier process with the same id. A suspicion is refuted even while this
// daemon is leaving, although leaving has the higher precedence.
func (s *State) refute(u *peer.Member) {
	if u.Incarnation < s.self.Incarnation {
		// The sender has not received the refutation: every packet that carried it may have been lost.
		if u.State == suspect || u.State == dead {
			s.queueUpdate(s.self.Id)
		}
		return
	}
	if u.Incarnation == s.self.Incarnation && precedence(u.State) <= precedence(s.self.State) &&
		u.State != suspect {
		return
	}
	if s.self.State == left {
		return
	}
	s.updateSelf(s.self.State, u.Incarnation+1)
}

// apply applies a record of another member if it supersedes the known one.
func (s *State) apply(now time.Duration, u *peer.Member) {
	m, known := s.members[u.Id]
	if !known {
		// The death of an unknown member is irrelevant, and a member without an address cannot be probed.
		if u.State == dead || u.State == left || u.GossipAddress == "" {
			return
		}
		s.members[u.Id] = &member{record: proto.Clone(u).(*peer.Member)}
		s.setRecord(now, s.members[u.Id], s.members[u.Id].record)
		return
	}
	if !Supersedes(u, m.record) {
		return
	}
	next := withKnownAddresses(u, m.record)
	// Another daemon's claim that a member is dead only makes it suspect here, so that the member
	// always has the full suspicion timeout to refute. Otherwise a single daemon that lost
	// connectivity could declare all others dead for the whole cluster.
	if u.State == dead {
		switch {
		case m.record.State == leaving:
			s.markSuspect(now, m)
			return
		case m.record.State == suspect && m.record.Incarnation == u.Incarnation:
			return
		case m.reachable():
			next.State = suspect
		}
	}
	s.setRecord(now, m, next)
}

// setRecord replaces the record of a member and queues it for gossip.
func (s *State) setRecord(now time.Duration, m *member, next *peer.Member) {
	previous := m.record.State
	restarted := next.State == alive && next.Incarnation >= m.record.Incarnation+minRestartIncrement
	m.record = next
	m.changedAt = now
	if m.reachable() {
		s.insertProbeTarget(next.Id)
	}
	switch next.State {
	case suspect:
		if m.suspicionDeadline == 0 || previous != suspect {
			m.suspicionDeadline = now + s.cfg.SuspicionTimeout
		}
	default:
		m.suspicionDeadline = 0
	}
	if previous == dead && (next.State == alive || next.State == suspect) {
		m.flap.recordReturn(now, s.cfg)
	}
	s.generation++
	s.queueUpdate(next.Id)
	if restarted {
		s.sendOwnRecord(next)
	}
}

// minRestartIncrement is the smallest increase of an incarnation that indicates a new process: a
// process starts with the wall clock in milliseconds, whereas a refutation adds 1.
const minRestartIncrement = 500

// detectRestart marks the sender of a packet as alive when its incarnation shows that it is a new
// process. A new process that knows no other member only answers probes, and its packets do not contain
// its own record.
func (s *State) detectRestart(now time.Duration, p *peer.Packet) {
	m, ok := s.members[p.From]
	if !ok || p.Incarnation < m.record.Incarnation+minRestartIncrement {
		return
	}
	s.setRecord(now, m, withState(m.record, alive, p.Incarnation))
}

// sendOwnRecord sends this daemon's record to a member whose process is new and may know no other
// member. Without it, a daemon restarted without join addresses would consider itself the only member,
// and so the owner of every key, until another daemon chose it for its periodic full exchange, which
// each daemon makes every 30 s with a random member.
func (s *State) sendOwnRecord(m *peer.Member) {
	s.queuePacket(m.GossipAddress, m.Id, &peer.Packet{Kind: peer.Packet_KIND_PING, Updates: []*peer.Member{s.self}})
}

// markSuspect records that a member answered neither a direct nor an indirect probe.
func (s *State) markSuspect(now time.Duration, m *member) {
	switch m.record.State {
	case alive:
		s.setRecord(now, m, withState(m.record, suspect, m.record.Incarnation))
		s.advertisePending = true
	case leaving:
		// The state stays leaving, since a suspect member counts as live and would own roles again. Only
		// the suspicion deadline is set.
		if m.suspicionDeadline == 0 {
			m.suspicionDeadline = now + s.cfg.SuspicionTimeout
		}
	}
}

// withKnownAddresses returns a copy of u. If u is an update without addresses, they are copied from
// the known record, together with the availability zone and the region.
func withKnownAddresses(u, known *peer.Member) *peer.Member {
	c := proto.Clone(u).(*peer.Member)
	if c.GossipAddress == "" {
		c.GossipAddress = known.GossipAddress
		c.PeerAddress = known.PeerAddress
		c.EntryUrl = known.EntryUrl
		c.Zone = known.Zone
		c.Region = known.Region
	}
	return c
}

// flapHistory holds the latest return of a member from the dead state, and its exclusion.
type flapHistory struct {
	returnedBefore bool
	lastReturn     time.Duration
	// penalty is the length of the latest exclusion; zero means that the latest return had none.
	penalty       time.Duration
	excludedUntil time.Duration
}

// recordReturn records a return from the dead state. The first return has no penalty, since a crash
// followed by a restart is not flapping.
func (f *flapHistory) recordReturn(now time.Duration, cfg Config) {
	if f.returnedBefore && now-f.lastReturn <= cfg.FlapWindow {
		f.penalty = min(max(f.penalty*2, cfg.MinFlapExclusion), cfg.MaxFlapExclusion)
		f.excludedUntil = now + f.penalty
	} else {
		f.penalty = 0
	}
	f.returnedBefore = true
	f.lastReturn = now
}

func (f *flapHistory) excluded() bool { return f.excludedUntil != 0 }

// expireExclusion ends an exclusion whose time has passed and reports whether it did.
func (f *flapHistory) expireExclusion(now time.Duration) bool {
	if f.excludedUntil == 0 || now < f.excludedUntil {
		return false
	}
	f.excludedUntil = 0
	return true
}
