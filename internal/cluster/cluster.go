// Package cluster defines the interfaces through which the components of a daemon see the other
// daemons. Packages membership and replica implement them; tests use the fakes in clustertest.
package cluster

import (
	"context"

	"github.com/chivewind/chivewind/peer"
)

// Members is a daemon's view of the cluster membership. All methods are safe for concurrent use.
// Callers must not modify the returned members.
type Members interface {
	// Self returns this daemon.
	Self() *peer.Member
	// Live returns the members that may own roles: those that are alive or suspected, except members
	// that are excluded for flapping while others are live. The result is sorted by id and includes this
	// daemon unless it is leaving. Entry answers contain only live members that are not suspected.
	Live() []*peer.Member
	// All returns every known member, including leaving and dead ones.
	All() []*peer.Member
	// Owners returns up to n live members in descending order of their rendezvous weight for key.
	Owners(key string, n int) []*peer.Member
	// Subscribe calls f after each change of the view. f must not block.
	Subscribe(f func())
	// ViewFresh reports whether the view is fresh. It is false from the detection of a pause of this
	// process until the view has been refreshed. Meanwhile another daemon may have taken over the roles
	// of this one, so this daemon makes no scheduling decisions, replies for no ledger partition and
	// returns no entry addresses.
	ViewFresh() bool
}

// IsOwner reports whether this daemon has the highest rendezvous weight for key.
func IsOwner(m Members, key string) bool {
	owners := m.Owners(key, 1)
	return len(owners) == 1 && owners[0].Id == m.Self().Id
}

// Documents are versioned documents that are replicated to all daemons. Only a higher version
// replaces a document.
type Documents interface {
	// Publish stores a document and replicates it. It returns false if version is not higher than the
	// stored one.
	Publish(name string, version uint64, content []byte) bool
	// Get returns the newest known version of a document, or version 0 if there is none.
	Get(name string) (version uint64, content []byte)
	// Subscribe calls f after each change of a document. f must not block.
	Subscribe(f func(name string, version uint64, content []byte))
}

// Peers gives access to the peer service of other daemons.
type Peers interface {
	// Client returns a client for a member. A call of the client dials if there is no idle connection.
	Client(ctx context.Context, member *peer.Member) (peer.DRPCPeerClient, error)
}
