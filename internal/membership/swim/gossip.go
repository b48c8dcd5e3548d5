package swim

import (
	"math/bits"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// updateOverhead is the tag and length that precede an update in a packet.
const updateOverhead = 3

// minUpdate is the room below which no update fits.
const minUpdate = 20

// urgentInterval bounds the rate of urgent packets when many members fail at once.
const urgentInterval = 500 * time.Millisecond

// broadcast is a member whose record is still to be spread.
type broadcast struct {
	id    string
	sends int
}

// enqueue spreads a member's current record from the start.
func (s *State) enqueue(id string) {
	for i := range s.queue {
		if s.queue[i].id == id {
			s.queue[i].sends = 0
			return
		}
	}
	s.queue = append(s.queue, broadcast{id: id})
}

// limit is how often one update is sent: 3·log2(n+1).
func (s *State) limit() int { return 3 * bits.Len(uint(len(s.members)+1)) }

func (s *State) info(id string) *peer.Member {
	if id == s.self.Id {
		return s.self
	}
	if m, ok := s.members[id]; ok {
		return m.info
	}
	return nil
}

// send completes a packet with updates and puts it in the out box. The receiver's own record comes
// first when it is suspected or dead, so that it can refute at once.
func (s *State) send(address, to string, p *peer.Packet) {
	p.From = s.self.Id
	p.Incarnation = s.self.Incarnation
	room := s.cfg.UpdateBytes
	if m, ok := s.members[to]; ok && (m.info.State == suspect || m.info.State == dead) {
		room = s.add(p, m.info, room)
	}
	sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].sends < s.queue[j].sends })
	limit := s.limit()
	kept := s.queue[:0]
	for _, b := range s.queue {
		if room < minUpdate {
			kept = append(kept, b)
			continue
		}
		m := s.info(b.id)
		if m == nil {
			continue
		}
		if before := len(p.Updates); b.id != to {
			room = s.add(p, m, room)
			b.sends += len(p.Updates) - before
		}
		if b.sends < limit {
			kept = append(kept, b)
		}
	}
	s.queue = kept
	s.out = append(s.out, Envelope{Address: address, Packet: p})
}

// add appends a record if it fits and returns the room left. Records of members that are not alive
// go without addresses, which their receivers know.
func (s *State) add(p *peer.Packet, m *peer.Member, room int) int {
	if m.State == suspect || m.State == dead || m.State == left {
		m = &peer.Member{Id: m.Id, Incarnation: m.Incarnation, State: m.State}
	}
	size := proto.Size(m) + updateOverhead
	if size > room {
		return room
	}
	p.Updates = append(p.Updates, m)
	return room - size
}

// random returns up to n distinct reachable members other than except, in random order.
func (s *State) random(n int, except string) []*peer.Member {
	var list []*peer.Member
	if len(s.order) == 0 {
		return nil
	}
	seen := map[string]bool{except: true}
	// A few draws find n members without a walk over all of them.
	for range 4*n + len(s.order)/8 {
		if len(list) == n {
			break
		}
		id := s.order[s.rng.IntN(len(s.order))]
		m, ok := s.members[id]
		if seen[id] || !ok || !m.reachable() {
			continue
		}
		seen[id] = true
		list = append(list, m.info)
	}
	return list
}

// sendUrgent tells a few members at once about first-hand news.
func (s *State) sendUrgent(now time.Duration) {
	if !s.urgent || now < s.nextUrgent {
		return
	}
	s.urgent = false
	s.nextUrgent = now + urgentInterval
	s.Advertise()
}

// Advertise sends a packet without an ack to a few random members.
func (s *State) Advertise() {
	for _, m := range s.random(s.cfg.Fanout, "") {
		s.send(m.GossipAddress, m.Id, &peer.Packet{Kind: peer.Packet_KIND_PING})
	}
}
