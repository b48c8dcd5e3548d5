package scheduler

import "github.com/chivewind/chivewind/peer"

// progressEncoder has short numbers for the calls of one link. A Progress for each open stream each
// second is most of the traffic between daemons, and the request id would be two thirds of it. The
// first Progress of a call carries its attempt and its number, later ones only the number. A stream
// keeps the order of its messages, so that the receiver knows each number that it meets.
//
// Client.mu guards it.
type progressEncoder struct {
	numbers map[*call]uint32
	// free has numbers whose calls have ended.
	free []uint32
}

// releaseUnused frees the numbers of calls that have left the link.
func (n *progressEncoder) releaseUnused(inUse func(*call) bool) {
	for k, number := range n.numbers {
		if !inUse(k) {
			delete(n.numbers, k)
			n.free = append(n.free, number)
		}
	}
}

// encode replaces the attempt by the call's number, or adds a new number to it.
func (n *progressEncoder) encode(k *call, p *peer.Progress) {
	if number, ok := n.numbers[k]; ok {
		p.Attempt, p.Number = nil, number
		return
	}
	if n.numbers == nil {
		n.numbers = map[*call]uint32{}
	}
	// Numbers start at 1: 0 means none.
	number := uint32(len(n.numbers) + 1)
	if last := len(n.free) - 1; last >= 0 {
		number, n.free = n.free[last], n.free[:last]
	}
	n.numbers[k] = number
	p.Number = number
}

// progressDecoder is the receiver's side of callNumbers.
type progressDecoder map[uint32]*peer.Attempt

// decode returns the decode that a Progress is about, nil for an unknown number.
func (n progressDecoder) decode(p *peer.Progress) *peer.Attempt {
	if p.Attempt == nil {
		return n[p.Number]
	}
	if p.Number > 0 {
		n[p.Number] = p.Attempt
	}
	return p.Attempt
}
