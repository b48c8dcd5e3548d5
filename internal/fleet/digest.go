package fleet

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chivewind/chivewind/peer"
)

// memberBuckets is the number of buckets of members. Two daemons exchange only the members of the buckets in which they
// differ.
const memberBuckets = 64

// memberDigests holds the digest of each bucket, which is the XOR of the digests of its members.
type memberDigests [memberBuckets]uint64

// memberBucket returns the bucket of a daemon.
func memberBucket(daemon string) int { return int(xxhash.Sum64String(daemon) % memberBuckets) }

// toggle adds a member with the given digest, or removes it.
func (d *memberDigests) toggle(daemon string, digest uint64) { d[memberBucket(daemon)] ^= digest }

// differs reports whether the bucket of a daemon differs from that of a peer. A peer that sent no digests knows nothing.
func (d *memberDigests) differs(daemon string, peerDigests []uint64) bool {
	bucket := memberBucket(daemon)
	return len(peerDigests) != memberBuckets || d[bucket] != peerDigests[bucket]
}

// identityDigest returns a digest of all fields of an identity.
func identityDigest(id *peer.Identity) uint64 {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(id)
	if err != nil {
		// An identity has only scalar fields, whose encoding fails only for invalid UTF-8. Such an identity is exchanged
		// each time.
		return 0
	}
	return xxhash.Sum64(raw)
}
