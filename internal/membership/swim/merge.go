package swim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// Merge applies what another daemon knows about members, from a packet or a full exchange.
func (s *State) Merge(now time.Duration, updates []*peer.Member) {
	for _, u := range updates {
		if u == nil || u.Id == "" || precedence(u.State) == 0 {
			continue
		}
		if u.Id == s.self.Id {
			s.refute(u)
			continue
		}
		s.apply(now, u)
	}
}

// refute answers a claim about this daemon that is not its own. A claim with a higher incarnation
// is left from an earlier process with the same id.
func (s *State) refute(u *peer.Member) {
	if u.Incarnation < s.self.Incarnation {
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
	// After a partition the other side's claims of death arrive about members that this side
	// sees alive. They become suspicions, which the members can refute.
	if u.State == dead && m.info.State == alive {
		next.State = suspect
	}
	s.change(now, m, next)
}

// change moves a member to a new record and spreads it.
func (s *State) change(now time.Duration, m *member, next *peer.Member) {
	previous := m.info.State
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
