package swim

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// member is what this daemon knows about another one.
type member struct {
	// info is immutable; a change replaces it.
	info *peer.Member
	// deadline is when a suspicion ends in death; zero means no suspicion.
	deadline time.Duration
	// since is when the member entered its state.
	since time.Duration
	flap  flap
}

func (m *member) reachable() bool {
	s := m.info.State
	return s == alive || s == suspect || s == leaving
}

// State is one daemon's membership state.
type State struct {
	cfg  Config
	rng  *rand.Rand
	self *peer.Member

	members map[string]*member
	// order is the shuffled probe order; a full round precedes the next shuffle, which bounds
	// the time until a failed member is probed.
	order []string
	pos   int

	sequence      uint64
	probes        map[uint64]*probe
	relays        map[uint64]relay
	nextProbe     time.Duration
	nextReconnect time.Duration
	nextForget    time.Duration

	queue      []broadcast
	urgent     bool
	nextUrgent time.Duration
	out        []Envelope
	generation uint64
}

// New returns the state of a daemon that knows only itself.
func New(cfg Config, self *peer.Member, rng *rand.Rand) *State {
	s := &State{
		cfg: cfg, rng: rng,
		self:    proto.Clone(self).(*peer.Member),
		members: map[string]*member{},
		probes:  map[uint64]*probe{},
		relays:  map[uint64]relay{},
	}
	s.self.State = alive
	s.generation = 1
	return s
}

// Tick advances all timers. It must be called several times per AckTimeout.
func (s *State) Tick(now time.Duration) {
	s.expireProbes(now)
	s.expireSuspicions(now)
	if now >= s.nextProbe {
		// A late tick must not be followed by a burst of probes.
		s.nextProbe = max(s.nextProbe+s.cfg.ProbeInterval, now+s.cfg.ProbeInterval/2)
		s.startProbe(now)
	}
	if now >= s.nextReconnect {
		s.nextReconnect = now + s.cfg.ReconnectInterval
		s.reconnect()
	}
	if now >= s.nextForget {
		s.nextForget = now + s.cfg.FlapMin
		s.forget(now)
	}
	s.sendUrgent(now)
}

// expireSuspicions declares suspected members dead and ends exclusions.
func (s *State) expireSuspicions(now time.Duration) {
	var expired []string
	for id, m := range s.members {
		if m.deadline != 0 && now >= m.deadline && m.reachable() {
			expired = append(expired, id)
		}
		if m.flap.expire(now) {
			s.generation++
		}
	}
	// The order of the map would make the order of updates differ between equal runs.
	sort.Strings(expired)
	for _, id := range expired {
		m := s.members[id]
		s.change(now, m, withState(m.info, dead, m.info.Incarnation))
		s.urgent = true
	}
}

// forget drops members that are gone for long.
func (s *State) forget(now time.Duration) {
	for id, m := range s.members {
		if !m.reachable() && now-m.since > s.cfg.ForgetAfter {
			delete(s.members, id)
			s.generation++
		}
	}
}

// Restart takes a new incarnation after a pause of this process. Suspicions start again, because
// their ends passed while this process could not receive a refutation.
func (s *State) Restart(now time.Duration) {
	s.probes = map[uint64]*probe{}
	s.relays = map[uint64]relay{}
	s.nextProbe = now
	for _, m := range s.members {
		if m.deadline != 0 {
			m.deadline = now + s.cfg.SuspicionTimeout
		}
	}
	s.setSelf(s.self.State, s.self.Incarnation+1)
}

// Leave marks this daemon as leaving, or as left when it has finished its work.
func (s *State) Leave(final bool) {
	state := leaving
	if final {
		state = left
	}
	if precedence(state) > precedence(s.self.State) {
		s.setSelf(state, s.self.Incarnation)
	}
}

func (s *State) setSelf(state peer.MemberState, incarnation uint64) {
	s.self = withState(s.self, state, incarnation)
	s.generation++
	s.enqueue(s.self.Id)
	s.urgent = true
}

// Self returns this daemon's record.
func (s *State) Self() *peer.Member { return s.self }

// Generation changes with each change of the view.
func (s *State) Generation() uint64 { return s.generation }

// Live returns the members that may own roles, sorted by id. Exclusions are ignored when they
// would leave no member at all.
func (s *State) Live() []*peer.Member {
	var live, excluded []*peer.Member
	for _, m := range s.members {
		if m.info.State != alive && m.info.State != suspect {
			continue
		}
		if m.flap.excluded() {
			excluded = append(excluded, m.info)
			continue
		}
		live = append(live, m.info)
	}
	if s.self.State == alive {
		live = append(live, s.self)
	}
	if len(live) == 0 {
		live = excluded
	}
	sortMembers(live)
	return live
}

// All returns every known member including this daemon, sorted by id.
func (s *State) All() []*peer.Member {
	all := make([]*peer.Member, 0, len(s.members)+1)
	for _, m := range s.members {
		all = append(all, m.info)
	}
	all = append(all, s.self)
	sortMembers(all)
	return all
}

// Take returns the packets to send and clears them.
func (s *State) Take() []Envelope {
	out := s.out
	s.out = nil
	return out
}

func sortMembers(list []*peer.Member) {
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
}

func withState(m *peer.Member, state peer.MemberState, incarnation uint64) *peer.Member {
	c := proto.Clone(m).(*peer.Member)
	c.State = state
	c.Incarnation = incarnation
	return c
}
