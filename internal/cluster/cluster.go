// Package cluster defines what the parts of a daemon need to know about the other daemons.
// Package membership and package replica implement it; tests use small fakes.
package cluster

import (
	"context"

	"github.com/chivewind/chivewind/peer"
)

// Members is a daemon's view of the live daemons. All methods are safe for concurrent use, and
// returned members must not be changed.
type Members interface {
	// Self returns this daemon.
	Self() *peer.Member
	// Live returns the members that may own roles and be named to callers: alive or suspected,
	// not leaving. It is sorted by id and includes this daemon unless it is leaving.
	Live() []*peer.Member
	// All returns every known member, also leaving and dead ones.
	All() []*peer.Member
	// Owners returns up to n live members in descending rendezvous weight for key.
	Owners(key string, n int) []*peer.Member
	// Subscribe calls f after each change of the view. f must not block.
	Subscribe(f func())
	// Trusted is false from the detection of a pause of this process until the view is fresh again.
	// A daemon that is not trusted grants nothing and names no entry addresses.
	Trusted() bool
}

// IsOwner says whether this daemon has the highest rendezvous weight for key.
func IsOwner(m Members, key string) bool {
	owners := m.Owners(key, 1)
	return len(owners) == 1 && owners[0].Id == m.Self().Id
}

// Documents are versioned documents that are replicated to all daemons. Only a higher version
// replaces a document.
type Documents interface {
	// Publish stores a document and spreads it. It returns false for a version that is not newer.
	Publish(name string, version uint64, content []byte) bool
	// Get returns the newest document; version 0 means that there is none.
	Get(name string) (version uint64, content []byte)
	// Subscribe calls f after each change of a document. f must not block.
	Subscribe(f func(name string, version uint64, content []byte))
}

// Peers gives access to the peer service of other daemons.
type Peers interface {
	// Client returns a client for a member. It dials when there is no healthy connection.
	Client(ctx context.Context, member *peer.Member) (peer.DRPCPeerClient, error)
}
