package swim

import (
	"maps"
	"slices"
	"time"

	"github.com/chivewind/chivewind/peer"
)

// probe is a ping of this daemon that waits for an ack.
type probe struct {
	target   string
	deadline time.Duration
	indirect bool
}

// relay is a ping on behalf of another member.
type relay struct {
	address  string
	sequence uint64
	target   string
	expires  time.Duration
}

// startProbe pings the next member of the probe order.
func (s *State) startProbe(now time.Duration) {
	for range len(s.order) + 1 {
		if s.pos >= len(s.order) {
			s.reshuffle()
		}
		if len(s.order) == 0 {
			return
		}
		id := s.order[s.pos]
		s.pos++
		m, ok := s.members[id]
		if !ok || !m.reachable() {
			continue
		}
		s.sequence++
		s.probes[s.sequence] = &probe{target: id, deadline: now + s.cfg.AckTimeout}
		s.send(m.info.GossipAddress, id, &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: s.sequence})
		return
	}
}

func (s *State) reshuffle() {
	s.order = s.order[:0]
	for _, m := range s.All() {
		if m.Id != s.self.Id && s.members[m.Id].reachable() {
			s.order = append(s.order, m.Id)
		}
	}
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	s.pos = 0
}

// insertProbe puts a new or returned member at a random place in the rest of the probe order.
func (s *State) insertProbe(id string) {
	if slices.Contains(s.order, id) {
		return
	}
	s.order = slices.Insert(s.order, s.pos+s.rng.IntN(len(s.order)-s.pos+1), id)
}

// expireProbes sends indirect probes after the ack timeout, and suspects after the probe interval.
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
			s.suspect(now, m)
			continue
		}
		p.indirect = true
		p.deadline = now + s.cfg.ProbeInterval - s.cfg.AckTimeout
		for _, helper := range s.random(s.cfg.IndirectProbes, p.target) {
			s.send(helper.GossipAddress, helper.Id, &peer.Packet{
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

// reconnect pings one dead member. It carries the claim of death, so that a member that is alive
// behind a healed partition refutes it.
func (s *State) reconnect() {
	var gone []*peer.Member
	for _, m := range s.members {
		if m.info.State == dead {
			gone = append(gone, m.info)
		}
	}
	if len(gone) == 0 {
		return
	}
	sortMembers(gone)
	m := gone[s.rng.IntN(len(gone))]
	s.sequence++
	s.send(m.GossipAddress, m.Id, &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: s.sequence})
}

// Handle processes a packet that came from an address.
func (s *State) Handle(now time.Duration, address string, p *peer.Packet) {
	if p.From == s.self.Id || p.From == "" {
		return
	}
	s.observe(now, p)
	s.merge(now, p.Updates, true)
	switch p.Kind {
	case peer.Packet_KIND_PING:
		// Sequence 0 marks a packet that only spreads news.
		if p.Sequence != 0 {
			s.send(address, p.From, &peer.Packet{Kind: peer.Packet_KIND_ACK, Sequence: p.Sequence})
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
	s.relays[s.sequence] = relay{
		address: address, sequence: p.Sequence, target: p.Target, expires: now + s.cfg.ProbeInterval,
	}
	s.send(m.info.GossipAddress, p.Target, &peer.Packet{Kind: peer.Packet_KIND_PING, Sequence: s.sequence})
}

// handleAck completes a probe. A relayed ack names the probed member as its target.
func (s *State) handleAck(p *peer.Packet) {
	from := p.From
	if p.Target != "" {
		from = p.Target
	}
	if r, ok := s.relays[p.Sequence]; ok && r.target == from {
		delete(s.relays, p.Sequence)
		s.send(r.address, "", &peer.Packet{Kind: peer.Packet_KIND_ACK, Sequence: r.sequence, Target: r.target})
		return
	}
	pr, ok := s.probes[p.Sequence]
	if !ok || pr.target != from {
		return
	}
	delete(s.probes, p.Sequence)
	if m := s.members[from]; m != nil && m.info.State == leaving {
		m.deadline = 0
	}
}
