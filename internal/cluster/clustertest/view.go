package clustertest

import (
	"sync"

	"github.com/chivewind/chivewind/internal/cluster"
	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

// View is a fake of one daemon's membership view. Its live set is given by members, and Owners uses
// package rendezvous as the daemon does.
type View struct {
	self *peer.Member

	mu          sync.Mutex
	live        []*peer.Member
	viewStale   bool
	subscribers []func()
}

var _ cluster.Members = (*View)(nil)

// NewView returns the view of the daemon self. live must be sorted by id.
func NewView(self *peer.Member, live ...*peer.Member) *View {
	return &View{self: self, live: live}
}

// Set replaces the live members, which must be sorted by id.
func (m *View) Set(live ...*peer.Member) {
	m.mu.Lock()
	m.live = live
	m.mu.Unlock()
	m.notify()
}

// SetViewFresh sets the result of ViewFresh.
func (m *View) SetViewFresh(fresh bool) {
	m.mu.Lock()
	m.viewStale = !fresh
	m.mu.Unlock()
	m.notify()
}

func (m *View) notify() {
	m.mu.Lock()
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}

// Self implements cluster.Members.
func (m *View) Self() *peer.Member { return m.self }

// Live implements cluster.Members.
func (m *View) Live() []*peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// All implements cluster.Members.
func (m *View) All() []*peer.Member { return m.Live() }

// Owners implements cluster.Members.
func (m *View) Owners(key string, n int) []*peer.Member {
	live := m.Live()
	ids := make([]string, len(live))
	for i, l := range live {
		ids[i] = l.Id
	}
	var owners []*peer.Member
	for _, i := range rendezvous.NewSet(ids).Top(rendezvous.HashString(key), n) {
		owners = append(owners, live[i])
	}
	return owners
}

// Subscribe implements cluster.Members.
func (m *View) Subscribe(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers[:len(m.subscribers):len(m.subscribers)], f)
}

// ViewFresh implements cluster.Members.
func (m *View) ViewFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.viewStale
}
