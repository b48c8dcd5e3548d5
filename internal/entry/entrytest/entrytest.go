// Package entrytest provides a fake of entry.Fleet for tests of the request path.
package entrytest

import (
	"net/netip"
	"sync"
	"time"

	"github.com/chivewind/chivewind/internal/entry"
	"github.com/chivewind/chivewind/internal/fleet"
	"github.com/chivewind/chivewind/peer"
)

// Fleet is a fake entry.Fleet with a fixed view. Its fields must be set before it is used concurrently.
type Fleet struct {
	mu sync.Mutex
	// Current is returned by View.
	Current *fleet.View
	// Age is returned by TimeSinceStoreReply.
	Age time.Duration
	// Outdated is returned by Behind.
	Outdated bool
	// Daemons is returned by Size; 0 stands for 1.
	Daemons int
	// Members are returned by Schedulers.
	Members []*fleet.Member
	// OnSend, if not nil, is called with each datagram that is sent.
	OnSend func(*peer.Datagram)
}

var _ entry.Fleet = (*Fleet)(nil)

// View implements entry.Fleet.
func (f *Fleet) View() *fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Current
}

// RequestReport implements entry.Fleet.
func (f *Fleet) RequestReport() {}

// Size implements entry.Fleet.
func (f *Fleet) Size() int { return max(f.Daemons, 1) }

// TimeSinceStoreReply implements entry.Fleet.
func (f *Fleet) TimeSinceStoreReply() time.Duration { return f.Age }

// Behind implements entry.Fleet.
func (f *Fleet) Behind() bool { return f.Outdated }

// Self implements entry.Fleet.
func (f *Fleet) Self() (*peer.Identity, uint64) {
	return &peer.Identity{Daemon: "self", ReportAddress: "127.0.0.1:1"}, 1
}

// Schedulers implements entry.Fleet.
func (f *Fleet) Schedulers() []*fleet.Member { return f.Members }

// ForwardsNews implements entry.Fleet.
func (f *Fleet) ForwardsNews() bool { return true }

// Send implements entry.Fleet.
func (f *Fleet) Send(d *peer.Datagram, _ *peer.Identity) {
	if f.OnSend != nil {
		f.OnSend(d)
	}
}

// SendTo implements entry.Fleet.
func (f *Fleet) SendTo(d *peer.Datagram, _ netip.AddrPort) { f.Send(d, nil) }
