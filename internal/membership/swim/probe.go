package swim

import (
	"maps"
	"slices"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// probe is a ping of this daemon that awaits an ack.
type probe struct {
	target   string
	deadline time.Duration
	indirect bool
}

// relayedPing is a ping sent on behalf of another member, as part of its indirect probe.
type relayedPing struct {
	// address and sequence are those of the request; the ack is relayed with them.
	address  string
	sequence uint64
	target   string
	expires  time.Duration
}

// startProbe pings the next reachable member in the probe order, if there is one.
func (s *State) startProbe(now time.Duration) {
	for range len(s.probeOrder) + 1 {
		if s.probePos >= len(s.probeOrder) {
			s.shuffleProbeOrder()
		}
		if len(s.probeOrder) == 0 {
			return
		}
		id := s.probeOrder[s.probePos]
		s.probePos++
		m, ok := s.members[id]
		if !ok || !m.reachable() {
			continue
		}
		s.sequence++
		s.probes[s.sequence] = &probe{target: id, deadline: now + s.cfg.AckTimeout}
		s.queuePacket(m.record.GossipAddress, id, &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: s.sequence})
		return
	}
}

func (s *State) shuffleProbeOrder() {
	s.probeOrder = s.probeOrder[:0]
	for _, m := range s.All() {
		if m.Id != s.self.Id && s.members[m.Id].reachable() {
			s.probeOrder = append(s.probeOrder, m.Id)
		}
	}
	s.rng.Shuffle(len(s.probeOrder), func(i, j int) {
		s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i]
	})
	s.probePos = 0
}

// insertProbeTarget inserts a new or returned member at a random position in the rest of the probe
// order.
func (s *State) insertProbeTarget(id string) {
	if slices.Contains(s.probeOrder, id) {
		return
	}
	s.probeOrder = slices.Insert(s.probeOrder, s.probePos+s.rng.IntN(len(s.probeOrder)-s.probePos+1), id)
}

// expireProbes sends indirect probes when the ack timeout has passed, and marks the target as
// suspect at the end of the probe interval. It also drops relayed pings that were not answered in
// time.
func (s *State) expireProbes(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[seq]
		if now < p.deadline {
			continue
		}
		m, ok := s.members[p.target]
		if !ok || !m.reachable() {
			delete(s.probes, seq)
			continue
		}
		if p.indirect {
			delete(s.probes, seq)
			s.markSuspect(now, m)
			continue
		}
		p.indirect = true
		p.deadline = now + s.cfg.ProbeInterval - s.cfg.AckTimeout
		for _, helper := range s.randomMembers(s.cfg.IndirectProbes, p.target) {
			s.queuePacket(helper.GossipAddress, helper.Id, &peer.Packet{
				Kind: peer.Packet_KIND_PING_REQUEST, Sequence: seq, Target: p.target,
			})
		}
	}
	for seq, r := range s.relays {
		if now >= r.expires {
			delete(s.relays, seq)
		}
	}
}

// probeDeadMember pings one random dead member. The ping carries the record that declares the
// member dead, so that a member that is alive behind a healed partition refutes it.
func (s *State) probeDeadMember() {
	var deadMembers []*peer.Member
	for _, m := range s.members {
		if m.record.State == dead {
			deadMembers = append(deadMembers, m.record)
		}
	}
	if len(deadMembers) == 0 {
		return
	}
	sortMembers(deadMembers)
	m := deadMembers[s.rng.IntN(len(deadMembers))]
	s.sequence++
	s.queuePacket(m.GossipAddress, m.Id, &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: s.sequence})
}

// Handle processes a packet received from an address.
func (s *State) Handle(now time.Duration, address string, p *peer.Packet) {
	if p.From == s.self.Id || p.From == "" {
		return
	}
	s.detectRestart(now, p)
	s.merge(now, p.Updates, true)
	switch p.Kind {
	case peer.Packet_KIND_PING:
		// Sequence 0 marks a packet that only carries updates.
		if p.Sequence != 0 {
			s.queuePacket(address, p.From, &peer.Packet{Kind: peer.Packet_KIND_ACK, Sequence: p.Sequence})
		}
	case peer.Packet_KIND_ACK:
		s.handleAck(p)
	case peer.Packet_KIND_PING_REQUEST:
		s.relayPing(now, address, p)
	}
}

func (s *State) relayPing(now time.Duration, address string, p *peer.Packet) {
	m, ok := s.members[p.Target]
	if !ok {
		return
	}
	s.sequence++
	s.relays[s.sequence] = relayedPing{
		address: address, sequence: p.Sequence, target: p.Target, expires: now + s.cfg.ProbeInterval,
	}
	s.queuePacket(m.record.GossipAddress, p.Target, &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: s.sequence})
}

// handleAck completes a probe of this daemon, or relays the ack of a relayed ping. The relayed ack of an
// indirect probe names the probed member in Target.
func (s *State) handleAck(p *peer.Packet) {
	from := p.From
	if p.Target != "" {
		from = p.Target
	}
	if r, ok := s.relays[p.Sequence]; ok && r.target == from {
		delete(s.relays, p.Sequence)
		s.queuePacket(r.address, "", &peer.Packet{Kind: peer.Packet_KIND_ACK, Sequence: r.sequence, Target: r.target})
		return
	}
	pr, ok := s.probes[p.Sequence]
	if !ok || pr.target != from {
		return
	}
	delete(s.probes, p.Sequence)
	if m := s.members[from]; m != nil && m.record.State == leaving {
		m.suspicionDeadline = 0
	}
}
