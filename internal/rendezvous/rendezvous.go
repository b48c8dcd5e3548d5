// Package rendezvous implements highest-random-weight hashing. Each key is assigned to the member with the
// highest weight, so that removing a member moves only that member's keys. A Set is immutable and safe for
// concurrent use.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash of a key or of a member.
type Hash uint64

// HashString returns the hash of a key or of the id of a member.
func HashString(s string) Hash { return Hash(xxhash.Sum64String(s)) }

// Weight returns the weight of a member for a key. All daemons compute the same value.
func Weight(key, member Hash) uint64 {
	// The splitmix64 finalizer makes the order of members independent between keys. Comparing the plain sums
	// would give the same cyclic order for every key.
	x := uint64(key) + uint64(member)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Set is an immutable list of members and their hashes.
type Set struct {
	ids    []string
	hashes []Hash
}

// NewSet returns a set of the members with the given ids. The ids must be distinct, and the caller must not
// modify the slice afterwards.
func NewSet(ids []string) *Set {
	s := &Set{ids: ids, hashes: make([]Hash, len(ids))}
	for i, id := range ids {
		s.hashes[i] = HashString(id)
	}
	return s
}

// Top returns the indexes of up to n members in descending order of their weight for the key.
func (s *Set) Top(key Hash, n int) []int {
	n = min(n, len(s.ids))
	if n <= 0 {
		return nil
	}
	if n == 1 {
		return []int{s.owner(key)}
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

// owner returns the index of the member with the highest weight for the key, without sorting all members.
func (s *Set) owner(key Hash) int {
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
