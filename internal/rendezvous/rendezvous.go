// Package rendezvous implements highest-random-weight hashing: it assigns a key to the member with
// the highest weight, so that the loss of a member moves only that member's keys.
// It is pure and has no locks.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash of a key or of a member.
type Hash uint64

// Key returns the hash of a key.
func Key(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Weight returns the weight of a member for a key. All daemons compute the same value.
func Weight(key, member Hash) uint64 {
	// The finalizer of splitmix64 makes the order of members independent between keys; the
	// plain sum would keep it.
	x := uint64(key) + uint64(member)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Set is an immutable list of members with their hashes.
type Set struct {
	ids    []string
	hashes []Hash
}

// NewSet returns a set of members. The ids must be distinct.
func NewSet(ids []string) *Set {
	s := &Set{ids: ids, hashes: make([]Hash, len(ids))}
	for i, id := range ids {
		s.hashes[i] = Key(id)
	}
	return s
}

// Top returns the indexes of up to n members in descending weight for key.
func (s *Set) Top(key Hash, n int) []int {
	n = min(n, len(s.ids))
	if n <= 0 {
		return nil
	}
	if n == 1 {
		return []int{s.first(key)}
	}
	order := make([]int, len(s.ids))
	weights := make([]uint64, len(s.ids))
	for i := range order {
		order[i] = i
		weights[i] = Weight(key, s.hashes[i])
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if weights[a] != weights[b] {
			return weights[a] > weights[b]
		}
		return s.ids[a] < s.ids[b]
	})
	return order[:n]
}

// first avoids the sort of Top for the common question of the single owner.
func (s *Set) first(key Hash) int {
	best := 0
	top := Weight(key, s.hashes[0])
	for i := 1; i < len(s.ids); i++ {
		w := Weight(key, s.hashes[i])
		if w > top || (w == top && s.ids[i] < s.ids[best]) {
			best, top = i, w
		}
	}
	return best
}
