package swim

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// member is the state of another daemon as known to this one.
type member struct {
	// record is immutable; a change replaces it.
	record *peer.Member
	// suspicionDeadline is when the member is declared dead unless it refutes or, if it is leaving,
	// answers a probe. Zero means that it is not suspected.
	suspicionDeadline time.Duration
	// changedAt is when the current record was set.
	changedAt time.Duration
	flap      flapHistory
}

func (m *member) reachable() bool {
	s := m.record.State
	return s == alive || s == suspect || s == leaving
}

// State is the membership state of one daemon. It is not safe for concurrent use.
type State struct {
	cfg  Config
	rng  *rand.Rand
	self *peer.Member

	members map[string]*member
	// probeOrder is the shuffled list of probe targets, and probePos the index of the next one. Every
	// target has its turn before the list is shuffled again, which bounds the time until a failed
	// member is probed.
	probeOrder []string
	probePos   int

	// sequence is the sequence number of the last ping that requests an ack. The keys of probes and
	// relays are such numbers.
	sequence      uint64
	probes        map[uint64]*probe
	relays        map[uint64]relayedPing
	nextProbe     time.Duration
	nextReconnect time.Duration
	nextRemoval   time.Duration

	broadcasts []broadcast
	// advertisePending requests an advertisement of a state change that this daemon has detected.
	advertisePending bool
	nextAdvertise    time.Duration
	outbox           []Envelope
	generation       uint64
}

// New returns the state of a daemon that knows no other member.
func New(cfg Config, self *peer.Member, rng *rand.Rand) *State {
	s := &State{
		cfg: cfg, rng: rng,
		self:    proto.Clone(self).(*peer.Member),
		members: map[string]*member{},
		probes:  map[uint64]*probe{},
		relays:  map[uint64]relayedPing{},
	}
	s.self.State = alive
	s.generation = 1
	return s
}

// Tick runs the timers that are due. It must be called several times per AckTimeout.
func (s *State) Tick(now time.Duration) {
	s.expireProbes(now)
	s.expireSuspicions(now)
	if now >= s.nextProbe {
		// A late tick must not cause a burst of probes.
		s.nextProbe = max(s.nextProbe+s.cfg.ProbeInterval, now+s.cfg.ProbeInterval/2)
		s.startProbe(now)
	}
	if now >= s.nextReconnect {
		s.nextReconnect = now + s.cfg.ReconnectInterval
		s.probeDeadMember()
	}
	if now >= s.nextRemoval {
		// Any interval well below DeadRetention is enough.
		s.nextRemoval = now + s.cfg.MinFlapExclusion
		s.removeExpired(now)
	}
	s.advertiseIfPending(now)
}

// expireSuspicions declares members dead whose suspicion deadline has passed, and ends exclusions
// for flapping.
func (s *State) expireSuspicions(now time.Duration) {
	var expired []string
	for id, m := range s.members {
		if m.suspicionDeadline != 0 && now >= m.suspicionDeadline && m.reachable() {
			expired = append(expired, id)
		}
		if m.flap.expireExclusion(now) {
			s.generation++
		}
	}
	// Map order would make the order of updates differ between runs with the same seed.
	sort.Strings(expired)
	for _, id := range expired {
		m := s.members[id]
		s.setRecord(now, m, withState(m.record, dead, m.record.Incarnation))
		s.advertisePending = true
	}
}

// removeExpired removes members whose state has been dead or left for longer than DeadRetention.
func (s *State) removeExpired(now time.Duration) {
	for id, m := range s.members {
		if !m.reachable() && now-m.changedAt > s.cfg.DeadRetention {
			delete(s.members, id)
			s.generation++
		}
	}
}

// ResumeAfterPause takes a new incarnation after a pause of this process and restarts all suspicion
// timeouts, since no refutation could be received during the pause.
func (s *State) ResumeAfterPause(now time.Duration) {
	s.probes = map[uint64]*probe{}
	s.relays = map[uint64]relayedPing{}
	s.nextProbe = now
	for _, m := range s.members {
		if m.suspicionDeadline != 0 {
			m.suspicionDeadline = now + s.cfg.SuspicionTimeout
		}
	}
	s.updateSelf(s.self.State, s.self.Incarnation+1)
}

// Leave marks this daemon as leaving, or as left if final is true.
func (s *State) Leave(final bool) {
	state := leaving
	if final {
		state = left
	}
	if precedence(state) > precedence(s.self.State) {
		s.updateSelf(state, s.self.Incarnation)
	}
}

func (s *State) updateSelf(state peer.MemberState, incarnation uint64) {
	s.self = withState(s.self, state, incarnation)
	s.generation++
	s.queueUpdate(s.self.Id)
	s.advertisePending = true
}

// Self returns this daemon's record.
func (s *State) Self() *peer.Member { return s.self }

// Generation returns a number that changes with each change of the view.
func (s *State) Generation() uint64 { return s.generation }

// Live returns the members that may own roles, sorted by id. Exclusions for flapping are ignored if
// they would leave no member.
func (s *State) Live() []*peer.Member {
	var live, excluded []*peer.Member
	for _, m := range s.members {
		if m.record.State != alive && m.record.State != suspect {
			continue
		}
		if m.flap.excluded() {
			excluded = append(excluded, m.record)
			continue
		}
		live = append(live, m.record)
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
		all = append(all, m.record)
	}
	all = append(all, s.self)
	sortMembers(all)
	return all
}

// TakePackets returns the packets to send and clears the outbox.
func (s *State) TakePackets() []Envelope {
	out := s.outbox
	s.outbox = nil
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
