package swim

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// Merge applies another daemon's whole view. Its claims that known members failed are left out:
// after a partition they would put the other side's members under suspicion all at once, faster
// than they can refute. Each daemon finds failures by probes and by gossip.
func (s *State) Merge(now time.Duration, view []*peer.Member) {
	before := slices.Clone(s.queue)
	s.merge(now, view, false)
	if len(s.queue)-len(before) <= bulkMerge {
		return
	}
	// A daemon that learns this much has just joined, or is behind; the others know it already.
	// Gossip about all of it would fill its packets for minutes.
	s.queue = before
	s.enqueue(s.self.Id)
}

// bulkMerge is the number of new records in one exchange up to which they are gossiped.
const bulkMerge = 16

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

// refute answers a claim about this daemon that is not its own. A claim with a higher incarnation
// is left from an earlier process with the same id.
func (s *State) refute(u *peer.Member) {
	if u.Incarnation < s.self.Incarnation {
		// The sender has not heard the refutation, which may have been lost each time it was sent.
		if u.State == suspect || u.State == dead {
			s.enqueue(s.self.Id)
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
	s.setSelf(s.self.State, u.Incarnation+1)
}

func (s *State) apply(now time.Duration, u *peer.Member) {
	m, known := s.members[u.Id]
	if !known {
		// A death of an unknown member is no news, and without an address it cannot be probed.
		if u.State == dead || u.State == left || u.GossipAddress == "" {
			return
		}
		s.members[u.Id] = &member{info: proto.Clone(u).(*peer.Member)}
		s.change(now, s.members[u.Id], s.members[u.Id].info)
		return
	}
	if !Supersedes(u, m.info) {
		return
	}
	next := withAddresses(u, m.info)
	// Another daemon's claim of death is a suspicion here, so that the member always has the full
	// time to refute. Otherwise one daemon that lost contact could remove all others.
	if u.State == dead {
		switch {
		case m.info.State == leaving:
			s.suspect(now, m)
			return
		case m.info.State == suspect && m.info.Incarnation == u.Incarnation:
			return
		case m.reachable():
			next.State = suspect
		}
	}
	s.change(now, m, next)
}

// change moves a member to a new record and spreads it.
func (s *State) change(now time.Duration, m *member, next *peer.Member) {
	previous := m.info.State
	restarted := next.State == alive && next.Incarnation >= m.info.Incarnation+restartJump
	m.info = next
	m.since = now
	if m.reachable() {
		s.insertProbe(next.Id)
	}
	switch next.State {
	case suspect:
		if m.deadline == 0 || previous != suspect {
			m.deadline = now + s.cfg.SuspicionTimeout
		}
	default:
		m.deadline = 0
	}
	if previous == dead && (next.State == alive || next.State == suspect) {
		m.flap.returned(now, s.cfg)
	}
	s.generation++
	s.enqueue(next.Id)
	if restarted {
		s.introduce(next)
	}
}

// restartJump is the least rise of an incarnation that shows a new process: a process begins with the
// wall clock in milliseconds, and a refutation adds 1.
const restartJump = 500

// observe notes from any packet that its sender is a new process. The new process may know nobody, so
// that its own record would not be spread.
func (s *State) observe(now time.Duration, p *peer.Packet) {
	m, ok := s.members[p.From]
	if !ok || p.Incarnation < m.info.Incarnation+restartJump {
		return
	}
	s.change(now, m, withState(m.info, alive, p.Incarnation))
}

// introduce sends this daemon's record to a member whose process is new and may know nobody. Without
// it a daemon that was restarted without join addresses took itself for the only one, and for the
// owner of everything, until the next full exchange after up to 30 s.
func (s *State) introduce(m *peer.Member) {
	s.send(m.GossipAddress, m.Id, &peer.Packet{Kind: peer.Packet_KIND_PING, Updates: []*peer.Member{s.self}})
}

// suspect records that a member did not answer any probe.
func (s *State) suspect(now time.Duration, m *member) {
	switch m.info.State {
	case alive:
		s.change(now, m, withState(m.info, suspect, m.info.Incarnation))
		s.urgent = true
	case leaving:
		// The state stays, since others must not name the member again; only the deadline runs.
		if m.deadline == 0 {
			m.deadline = now + s.cfg.SuspicionTimeout
		}
	}
}

// withAddresses copies u and completes fields that a short update leaves out.
func withAddresses(u, known *peer.Member) *peer.Member {
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

// flap tracks how often a member came back from the dead.
type flap struct {
	seen       bool
	lastReturn time.Duration
	penalty    time.Duration
	until      time.Duration
}

// returned counts a return. The first one has no cost, since a crash with a restart is not flapping.
func (f *flap) returned(now time.Duration, cfg Config) {
	if f.seen && now-f.lastReturn <= cfg.FlapWindow {
		f.penalty = min(max(f.penalty*2, cfg.FlapMin), cfg.FlapMax)
		f.until = now + f.penalty
	} else {
		f.penalty = 0
	}
	f.seen = true
	f.lastReturn = now
}

func (f *flap) excluded() bool { return f.until != 0 }

// expire ends an exclusion and says whether it did.
func (f *flap) expire(now time.Duration) bool {
	if f.until == 0 || now < f.until {
		return false
	}
	f.until = 0
	return true
}
