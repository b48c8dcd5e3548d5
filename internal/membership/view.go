package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivewind/chivewind/internal/membership/swim"
	"github.com/chivewind/chivewind/internal/rendezvous"
	"github.com/chivewind/chivewind/peer"
)

// view is an immutable snapshot of the state machine's members.
type view struct {
	generation uint64
	self       *peer.Member
	live       []*peer.Member
	all        []*peer.Member
	// liveSet holds the ids of live in the same order.
	liveSet *rendezvous.Set
	digest  uint64
}

func newView(s *swim.State) *view {
	v := &view{generation: s.Generation(), self: s.Self(), live: s.Live(), all: s.All()}
	ids := make([]string, len(v.live))
	for i, m := range v.live {
		ids[i] = m.Id
	}
	v.liveSet = rendezvous.NewSet(ids)
	v.digest = digest(v.all)
	return v
}

// digest returns a hash of all reachable members with their incarnations and states. Suspect members
// count as alive, since suspicions are resolved within seconds. Members that are dead or have left
// are not included, since daemons remove them at different times.
func digest(all []*peer.Member) uint64 {
	h := xxhash.New()
	for _, m := range all {
		state := byte(m.State)
		switch m.State {
		case peer.MemberState_MEMBER_STATE_DEAD, peer.MemberState_MEMBER_STATE_LEFT:
			continue
		case peer.MemberState_MEMBER_STATE_SUSPECT:
			state = byte(peer.MemberState_MEMBER_STATE_ALIVE)
		}
		_, _ = h.WriteString(m.Id)
		inc := m.Incarnation
		_, _ = h.Write([]byte{0, state, byte(inc), byte(inc >> 8), byte(inc >> 16), byte(inc >> 24), byte(inc >> 32), byte(inc >> 40)})
	}
	return h.Sum64()
}

// find returns the record of a member, or nil if it is unknown.
func (v *view) find(id string) *peer.Member {
	i := sort.Search(len(v.all), func(i int) bool { return v.all[i].Id >= id })
	if i < len(v.all) && v.all[i].Id == id {
		return v.all[i]
	}
	return nil
}

// Self implements cluster.Members.
func (m *Membership) Self() *peer.Member { return m.view.Load().self }

// Live implements cluster.Members.
func (m *Membership) Live() []*peer.Member { return m.view.Load().live }

// All implements cluster.Members.
func (m *Membership) All() []*peer.Member { return m.view.Load().all }

// Digest returns a hash that is equal on two daemons that know the same reachable members with the
// same incarnations and states, where suspect counts as alive.
func (m *Membership) Digest() uint64 { return m.view.Load().digest }

// Owners implements cluster.Members.
func (m *Membership) Owners(key string, n int) []*peer.Member {
	v := m.view.Load()
	top := v.liveSet.Top(rendezvous.HashString(key), n)
	owners := make([]*peer.Member, len(top))
	for i, at := range top {
		owners[i] = v.live[at]
	}
	return owners
}

// Subscribe implements cluster.Members.
func (m *Membership) Subscribe(f func()) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	// append copies the slice, so that it does not write to the array that notify reads without the lock.
	m.subscribers = append(m.subscribers[:len(m.subscribers):len(m.subscribers)], f)
}

// ViewFresh implements cluster.Members. It also checks the time of the last tick, since other
// goroutines may run before the tick loop after a pause.
func (m *Membership) ViewFresh() bool {
	return m.viewFresh.Load() && m.now()-time.Duration(m.lastTick.Load()) <= PauseThreshold
}
