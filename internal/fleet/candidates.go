package fleet

import (
	"time"

	"github.com/chivewind/chivewind/peer"
)

// DutyCandidates returns the names of the ready daemons, this one included, that may hold the role of duties, most
// preferred first. They are those that receive the full reports of all others, in the order of Schedulers, except that
// those which started less than minAge ago come last: they do not know what processes have reported that have ended since.
// mature is the number of the others.
func (f *Fleet) DutyCandidates(minAge time.Duration) (names []string, mature int) {
	schedulers := f.Schedulers()
	bornBefore := uint64(time.Now().Add(-minAge).UnixNano())
	var young []string
	for _, m := range schedulers[:min(len(schedulers), maxLoadRecipients)] {
		incarnation := m.Incarnation
		if m.Identity.Daemon == f.opts.Self.Daemon {
			incarnation = f.incarnation
		}
		if incarnation <= bornBefore {
			names = append(names, m.Identity.Daemon)
		} else {
			young = append(young, m.Identity.Daemon)
		}
	}
	return append(names, young...), len(names)
}

// Isolated reports whether this daemon hears fewer than half of the known daemons. It is then probably cut off from the
// others, rather than the others having failed.
func (f *Fleet) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.isolated(time.Now())
}

// isolated reports whether this daemon and the live members are fewer than half of the known daemons. Those that are
// leaving do not count.
func (m *Members) isolated(now time.Time) bool {
	known, live := 1, 1
	for _, member := range m.members {
		if member.State == peer.DaemonState_DAEMON_STATE_LEAVING {
			continue
		}
		known++
		if m.isLive(now, member) {
			live++
		}
	}
	return 2*live < known
}
