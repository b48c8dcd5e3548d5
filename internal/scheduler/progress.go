package scheduler

import "github.com/chivewind/chivewind/peer"

// progressEncoder assigns short numbers to the calls of one link, to shorten Progress messages. A
// Progress for each call each second is most of the traffic between daemons, and the request ID would be
// two thirds of its bytes. The first Progress of a call carries both its attempt and its number, later ones
// only the number. Because a stream preserves the order of messages, the receiver has seen the attempt
// of each number that it receives.
//
// It is guarded by Client.mu.
type progressEncoder struct {
	numbers map[*call]uint32
	// free holds numbers that can be reused.
	free []uint32
}

// releaseUnused frees the numbers of calls for which inUse returns false.
func (e *progressEncoder) releaseUnused(inUse func(*call) bool) {
	for k, number := range e.numbers {
		if !inUse(k) {
			delete(e.numbers, k)
			e.free = append(e.free, number)
		}
	}
}

// encode replaces the attempt in p by the call's number. If the call has no number, encode assigns one and
// sets it in addition to the attempt.
func (e *progressEncoder) encode(k *call, p *peer.Progress) {
	if number, ok := e.numbers[k]; ok {
		p.Attempt, p.Number = nil, number
		return
	}
	if e.numbers == nil {
		e.numbers = map[*call]uint32{}
	}
	// Numbers start at 1, because 0 means that there is none.
	number := uint32(len(e.numbers) + 1)
	if last := len(e.free) - 1; last >= 0 {
		number, e.free = e.free[last], e.free[:last]
	}
	e.numbers[k] = number
	p.Number = number
}

// progressDecoder maps the numbers that a progressEncoder assigned to their attempts.
type progressDecoder map[uint32]*peer.Attempt

// decode returns the attempt of a Progress, or nil if its number is unknown. If p has an attempt and a
// number, decode records them for later messages.
func (d progressDecoder) decode(p *peer.Progress) *peer.Attempt {
	if p.Attempt == nil {
		return d[p.Number]
	}
	if p.Number > 0 {
		d[p.Number] = p.Attempt
	}
	return p.Attempt
}
