package swim

import (
	"math/bits"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// updateOverheadBytes is the maximum size of the field tag and length that precede an update in a
// packet.
const updateOverheadBytes = 3

// minUpdateBytes is the remaining space in a packet below which queuePacket adds no further update.
const minUpdateBytes = 20

// minAdvertiseInterval is the minimum time between advertisements of detected state changes. It
// bounds their rate when many members fail at once.
const minAdvertiseInterval = 500 * time.Millisecond

// broadcast is a member whose record is being gossiped, and the number of packets that have carried
// it.
type broadcast struct {
	id        string
	transmits int
}

// queueUpdate queues the current record of a member for gossip. If it is already queued, its
// transmit count starts again.
func (s *State) queueUpdate(id string) {
	for i := range s.broadcasts {
		if s.broadcasts[i].id == id {
			s.broadcasts[i].transmits = 0
			return
		}
	}
	s.broadcasts = append(s.broadcasts, broadcast{id: id})
}

// transmitLimit returns how many packets carry one update: about 3·log2(n+1) for n other members.
func (s *State) transmitLimit() int { return 3 * bits.Len(uint(len(s.members)+1)) }

// record returns the current record of this daemon or of another member, or nil for an unknown id.
func (s *State) record(id string) *peer.Member {
	if id == s.self.Id {
		return s.self
	}
	if m, ok := s.members[id]; ok {
		return m.record
	}
	return nil
}

// queuePacket adds gossiped updates to a packet and appends it to the outbox. If the receiver is
// suspected or dead, its own record comes first, so that it can refute at once. to is the id of the
// receiver, or empty if only its address is known.
func (s *State) queuePacket(address, to string, p *peer.Packet) {
	p.From = s.self.Id
	p.Incarnation = s.self.Incarnation
	room := s.cfg.MaxUpdateBytes
	if m, ok := s.members[to]; ok && (m.record.State == suspect || m.record.State == dead) {
		room = s.addUpdate(p, m.record, room)
	}
	sort.SliceStable(s.broadcasts, func(i, j int) bool { return s.broadcasts[i].transmits < s.broadcasts[j].transmits })
	limit := s.transmitLimit()
	kept := s.broadcasts[:0]
	for _, b := range s.broadcasts {
		if room < minUpdateBytes {
			kept = append(kept, b)
			continue
		}
		m := s.record(b.id)
		if m == nil {
			continue
		}
		if before := len(p.Updates); b.id != to {
			room = s.addUpdate(p, m, room)
			b.transmits += len(p.Updates) - before
		}
		if b.transmits < limit {
			kept = append(kept, b)
		}
	}
	s.broadcasts = kept
	s.outbox = append(s.outbox, Envelope{Address: address, Packet: p})
}

// addUpdate appends a record if it fits and returns the remaining space in bytes. Records of
// suspected, dead and left members omit the addresses: receivers that know the member keep its
// addresses, and others ignore such a record.
func (s *State) addUpdate(p *peer.Packet, m *peer.Member, room int) int {
	if m.State == suspect || m.State == dead || m.State == left {
		m = &peer.Member{Id: m.Id, Incarnation: m.Incarnation, State: m.State}
	}
	size := proto.Size(m) + updateOverheadBytes
	if size > room {
		return room
	}
	p.Updates = append(p.Updates, m)
	return room - size
}

// randomMembers returns up to n distinct reachable members other than except, in random order.
func (s *State) randomMembers(n int, except string) []*peer.Member {
	var list []*peer.Member
	if len(s.probeOrder) == 0 {
		return nil
	}
	seen := map[string]bool{except: true}
	// The number of draws is limited, so fewer than n members may be found when few are reachable.
	for range 4*n + len(s.probeOrder)/8 {
		if len(list) == n {
			break
		}
		id := s.probeOrder[s.rng.IntN(len(s.probeOrder))]
		m, ok := s.members[id]
		if seen[id] || !ok || !m.reachable() {
			continue
		}
		seen[id] = true
		list = append(list, m.record)
	}
	return list
}

// advertiseIfPending advertises state changes that this daemon has detected itself, at most once
// per minAdvertiseInterval.
func (s *State) advertiseIfPending(now time.Duration) {
	if !s.advertisePending || now < s.nextAdvertise {
		return
	}
	s.advertisePending = false
	s.nextAdvertise = now + minAdvertiseInterval
	s.Advertise()
}

// Advertise sends a packet that requests no ack to Config.Fanout random members.
func (s *State) Advertise() {
	for _, m := range s.randomMembers(s.cfg.Fanout, "") {
		s.queuePacket(m.GossipAddress, m.Id, &peer.Packet{Kind: peer.Packet_KIND_PING})
	}
}
